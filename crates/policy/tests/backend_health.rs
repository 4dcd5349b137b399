//! Passive health checking: which backends are sent requests after failed attempts, timeouts and resets.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// Incident i04db4f: after one reset a backend was not sent any more requests, though it responded to the
/// others.
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

/// A backend whose process died fails all attempts. It must get one probe at a time and not every request.
#[test]
fn an_unavailable_backend_gets_one_probe_at_a_time() {
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
    assert_eq!(attempts.len(), attempts_until_unavailable, "requests are sent to an unavailable backend");
}

/// A backend that closes idle connections without notice causes resets. Three resets in a row made it
/// unavailable though it responded to other requests, and all requests for it were rejected for half a
/// second.
#[test]
fn resets_do_not_make_a_backend_unavailable_that_has_just_responded() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_sequentially(&mut now, 1..9, AttemptEnd::Ok, 10 * MS);
    // Each attempt of an idempotent request is reset at once and retried.
    let first = head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&first), [(20, 1)]);
    for attempt in 0..3 {
        now += MS;
        head.end_attempt(now, outcome(20, attempt, 1, AttemptEnd::Reset, MS));
    }
    let next = head.receive(now + MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&next), [(21, 1)]);
    // Without a response for a latency objective, resets make a backend unavailable.
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
    assert!(attempts <= 3, "{attempts} attempts sent to an unavailable backend");
}

/// A timeout must count as a slow response: a backend that drops overdue requests gives no other sign of
/// overload.
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

/// After a stall, a head handles old outcomes and new requests at once. The time of its own stall must not
/// make its backends look unresponsive.
#[test]
fn a_stall_of_the_head_does_not_make_its_backends_unresponsive() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    head.timer(now, PERIOD_TIMER);
    head.receive(now, request(20, WITH_KEY, Some(1), now + 3 * SECOND));
    // The head is stalled for two seconds, past the end of the control period, and then handles a new request
    // before the response.
    now += 2 * SECOND;
    let received = head.receive(now, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&received), [(21, 1)]);
}
