//! What becomes of requests that will miss their latency objective, and how long attempts may take.

mod common;

use common::head::{TestHead, rejections, sends};
use common::*;
use sedgerun_policy::*;

/// Incident id2de28: past its objective, and the backend over its threshold: rejected at once, neither sent
/// nor kept.
#[test]
fn an_overdue_request_is_rejected_while_its_backend_is_crowded() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_one_by_one(&mut now, 1..12, AttemptEnd::Ok, 250 * MS);
    for id in 20..30 {
        head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND));
    }
    let mut rejected = 0;
    while now < 2 * SECOND + 11 * 251 * MS + 400 * MS {
        now += 5 * MS;
        let actions = head.timer(now, SWEEP_TIMER);
        rejected += rejections(&actions);
        assert!(sends(&actions).is_empty());
    }
    assert!(rejected >= 8, "{rejected} rejected");
}

/// Incidents i9f8e35, icc8011, ic64ebb: with many heads "nothing in flight here" is the rule, and a backend
/// that was slow a moment ago must not get from each of them one request more that comes too late.
#[test]
fn with_nothing_in_flight_an_overdue_request_is_not_sent_to_a_slow_backend() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    head.receive(now, request(20, WITH_KEY, Some(1), now + 3 * SECOND));
    now += 900 * MS;
    head.end_attempt(now, outcome(20, 0, 1, AttemptEnd::Ok, 900 * MS));
    let next = head.receive(now + MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert!(sends(&next).is_empty(), "{next:?}");
    let sweep = head.timer(now + 6 * MS, SWEEP_TIMER);
    assert!(matches!(sweep[..], [Action::Reject { id: 21, retry_after: 1.. }, ..]), "{sweep:?}");
    // Old samples wear off: the backend is tried again.
    let later = now + 6 * SECOND;
    let again = head.receive(later, request(22, IDEMPOTENT, Some(1), later + 2 * SECOND));
    assert_eq!(sends(&again), [(22, 1)]);
}

/// Churning days: after one long stall a backend with nothing in flight was taken for crowded for seconds,
/// since only a response tells otherwise and none could come; all that came for it was rejected meanwhile.
#[test]
fn a_backend_with_nothing_in_flight_gets_a_request_soon_after_a_stall() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_one_by_one(&mut now, 1..9, AttemptEnd::Ok, 10 * MS);
    head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    now += 900 * MS;
    head.end_attempt(now, outcome(20, 0, 1, AttemptEnd::Timeout, 900 * MS));
    // At once it is left alone; a quarter of the objective later one request is sent to see, and only one.
    let soon = head.receive(now + 5 * MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&soon), []);
    now += 120 * MS;
    let later = head.receive(now, request(22, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&later).len(), 1, "{later:?}");
    let more = head.receive(now + MS, request(23, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&more), []);
}

/// Attempts that `heads` send to a crowded backend in 20 s, each asked for one request a second.
fn trials_of_a_crowded_backend(heads: u32) -> u32 {
    let mut trials = 0;
    for index in 0..heads {
        let mut head = TestHead::new(Settings { heads, ..settings() }, u64::from(index) * 77 + 3);
        let mut now = SECOND + u64::from(index) * MS;
        head.list(now, UpdateScope::Full, vec![ready(1, 1)]);
        for id in 0..20 {
            let received = head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND));
            let mut sent = sends(&received);
            // Past its objective, and only then overdue.
            sent.extend(sends(&head.timer(now + 310 * MS, SWEEP_TIMER)));
            if let Some((id, backend)) = sent.first() {
                trials += 1;
                let timeout = outcome(*id, 0, *backend, AttemptEnd::Timeout, 500 * MS);
                head.end_attempt(now + 900 * MS, timeout);
            }
            head.end_request(now + 900 * MS, id);
            now += SECOND;
        }
    }
    trials
}

/// A crowded backend that a hundred heads are each asked for now and then: overdue requests that try whether
/// it is free again come at the pace of eight heads, not of a hundred, which alone would keep it crowded.
#[test]
fn overdue_requests_of_many_heads_do_not_keep_a_backend_crowded() {
    let (few, many) = (trials_of_a_crowded_backend(8), trials_of_a_crowded_backend(100));
    assert!(few > 100, "a few try too seldom: {few}");
    assert!(many < 8 * few, "a hundred try too often: {many} of {few}");
}

/// Incident iba5306: clients whose attempts live shorter than an objective were taken for ones that had
/// waited long, and rejected at idle backends.
#[test]
fn a_client_in_a_hurry_is_not_overdue() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    // Something is in flight, so that an overdue request would have to wait.
    head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    let next = head.receive(now + MS, request(21, IDEMPOTENT, Some(1), now + 150 * MS));
    assert_eq!(sends(&next), [(21, 1)]);
}

/// A response past the objective has little weight: the attempt ends there and frees its place at the
/// backend.
#[test]
fn an_attempt_times_out_at_the_latency_objective() {
    let mut head = TestHead::with_one_backend();
    let actions = head.receive(2 * SECOND, request(1, IDEMPOTENT, Some(1), 4 * SECOND));
    let timeout_at = 2 * SECOND + 300 * MS;
    assert!(actions.contains(&Action::Send { id: 1, backend: BackendId(1), timeout_at }));
}
