//! Which backends are sent requests after attempts that failed, timed out or were reset.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// Incident i04db4f: one reset must not stop a backend that answers the others.
#[test]
fn a_single_reset_does_not_make_a_backend_unavailable() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    head.receive(now, request(20, WITH_KEY, Some(1), now + 2 * SECOND));
    head.end_attempt(now + MS, outcome(20, 0, 1, AttemptEnd::Reset, MS));
    let next = head.receive(now + 2 * MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&next), [(21, 1)]);
}

/// A process that dies shows as failures in a row: one trial at a time then, not every request.
#[test]
fn a_dead_backend_gets_one_trial_at_a_time() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    for id in 1..=3 {
        head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND));
    }
    let mut attempts = Vec::new();
    for id in 1..=3 {
        now += MS;
        let actions = head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::ConnectFailed, MS));
        attempts.extend(sends(&actions));
    }
    let attempts_until_unavailable = attempts.len();
    for id in 30..40 {
        now += MS;
        let actions = head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND));
        attempts.extend(sends(&actions));
    }
    assert_eq!(
        attempts.len(),
        attempts_until_unavailable,
        "an unavailable backend is not sent every request"
    );
}

/// Backends that close kept connections without notice: three resets within moments took one for unavailable
/// that answered all the while, and what came for it was rejected for half a second.
#[test]
fn resets_do_not_make_a_backend_unavailable_that_has_just_responded() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_one_by_one(&mut now, 1..9, AttemptEnd::Ok, 10 * MS);
    // Each attempt of a read is reset at once, and sent again.
    let first = head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&first), [(20, 1)]);
    for attempt in 0..3 {
        now += MS;
        head.end_attempt(now, outcome(20, attempt, 1, AttemptEnd::Reset, MS));
    }
    let next = head.receive(now + MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&next), [(21, 1)]);
    // Without a response for a latency objective, resets tell of a backend that is gone.
    now += 400 * MS;
    head.end_attempt(now, outcome(21, 0, 1, AttemptEnd::Reset, MS));
    let mut attempts = 0;
    for id in 30..40 {
        now += MS;
        let sent = sends(&head.receive(now, request(id, WITH_KEY, Some(1), now + 2 * SECOND)));
        attempts += sent.len();
        for (id, _) in sent {
            head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Reset, MS));
        }
    }
    assert!(attempts <= 3, "{attempts} sent to a backend that is gone");
}

/// An attempt that timed out is a slow response, not none: nothing else tells of a backend that drops overdue
/// work.
#[test]
fn a_timeout_counts_as_a_slow_response() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    now += SECOND;
    head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    now += 300 * MS;
    head.end_attempt(now, outcome(20, 0, 1, AttemptEnd::Timeout, 300 * MS));
    let next = head.receive(now + MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert!(sends(&next).is_empty(), "{next:?}");
}

/// A head that stood still finds old outcomes and requests at once: its backends were not silent.
#[test]
fn a_stall_of_the_head_is_not_the_silence_of_its_backends() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    head.timer(now, PERIOD_TIMER);
    head.receive(now, request(20, WITH_KEY, Some(1), now + 3 * SECOND));
    // The period's timer and what came meanwhile are found two seconds late, the request before the response.
    now += 2 * SECOND;
    let found = head.receive(now, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&found), [(21, 1)]);
}
