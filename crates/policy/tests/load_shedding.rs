//! Shedding of requests that will miss their latency objective, and the timeout of attempts.

mod common;

use common::head::{TestHead, rejections, sends};
use common::*;
use sedgerun_policy::*;

/// Incident id2de28: an overdue request must be rejected at once while the latency of its backend is above
/// the threshold. It must not be sent or kept in the queue.
#[test]
fn an_overdue_request_is_rejected_while_its_backend_is_congested() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_sequentially(&mut now, 1..12, AttemptEnd::Ok, 250 * MS);
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

/// Incidents i9f8e35, icc8011, ic64ebb: in a large cluster most heads have nothing in flight at a backend. A
/// backend that was just slow must not get one overdue request from each of them.
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
    // The weight of old samples decays: the backend gets requests again.
    let later = now + 6 * SECOND;
    let again = head.receive(later, request(22, IDEMPOTENT, Some(1), later + 2 * SECOND));
    assert_eq!(sends(&again), [(22, 1)]);
}

/// After one long stall a backend with nothing in flight counted as congested for seconds, because only a
/// response could show otherwise. All requests for it were rejected meanwhile. Seen in runs with backend
/// churn.
#[test]
fn a_backend_with_nothing_in_flight_is_probed_soon_after_a_stall() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_sequentially(&mut now, 1..9, AttemptEnd::Ok, 10 * MS);
    head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    now += 900 * MS;
    head.end_attempt(now, outcome(20, 0, 1, AttemptEnd::Timeout, 900 * MS));
    // At first nothing is sent; a quarter of the objective later exactly one request is sent as a probe.
    let soon = head.receive(now + 5 * MS, request(21, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&soon), []);
    now += 120 * MS;
    let later = head.receive(now, request(22, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&later).len(), 1, "{later:?}");
    let more = head.receive(now + MS, request(23, IDEMPOTENT, Some(1), now + 2 * SECOND));
    assert_eq!(sends(&more), []);
}

/// Number of attempts that `heads` heads send to a congested backend in 20 s, with one request per second at
/// each.
fn probes_of_a_congested_backend(heads: u32) -> u32 {
    let mut probes = 0;
    for index in 0..heads {
        let mut head = TestHead::new(Settings { heads, ..settings() }, u64::from(index) * 77 + 3);
        let mut now = SECOND + u64::from(index) * MS;
        head.update_endpoints(now, UpdateScope::Full, vec![ready(1, 1)]);
        for id in 0..20 {
            let received = head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND));
            let mut sent = sends(&received);
            // The request becomes overdue only now, past its objective.
            sent.extend(sends(&head.timer(now + 310 * MS, SWEEP_TIMER)));
            if let Some((id, backend)) = sent.first() {
                probes += 1;
                let timeout = outcome(*id, 0, *backend, AttemptEnd::Timeout, 500 * MS);
                head.end_attempt(now + 900 * MS, timeout);
            }
            head.end_request(now + 900 * MS, id);
            now += SECOND;
        }
    }
    probes
}

/// The overdue requests with which heads probe a congested backend must come at about the rate of eight
/// heads: the probes of a hundred heads at full rate alone would keep it congested.
#[test]
fn overdue_requests_of_many_heads_do_not_keep_a_backend_congested() {
    let (few, many) = (probes_of_a_congested_backend(8), probes_of_a_congested_backend(100));
    assert!(few > 100, "too few probes by 8 heads: {few}");
    assert!(many < 8 * few, "too many probes by 100 heads: {many}, against {few} by 8");
}

/// Incident iba5306: requests with a timeout shorter than the latency objective were taken for late retries
/// by the client, and rejected at idle backends.
#[test]
fn a_request_with_a_short_timeout_is_not_overdue() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.warm_up(&mut now);
    // With a request in flight, an overdue request would not be sent.
    head.receive(now, request(20, IDEMPOTENT, Some(1), now + 2 * SECOND));
    let next = head.receive(now + MS, request(21, IDEMPOTENT, Some(1), now + 150 * MS));
    assert_eq!(sends(&next), [(21, 1)]);
}

/// A response past the objective has little weight, so the attempt times out there and releases its slot at
/// the backend.
#[test]
fn an_attempt_times_out_at_the_latency_objective() {
    let mut head = TestHead::with_one_backend();
    let actions = head.receive(2 * SECOND, request(1, IDEMPOTENT, Some(1), 4 * SECOND));
    let timeout_at = 2 * SECOND + 300 * MS;
    assert!(actions.contains(&Action::Send { id: 1, backend: BackendId(1), timeout_at }));
}
