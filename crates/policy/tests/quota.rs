//! The limits of volumes, and when the state of idle volumes is dropped.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// A restarted head must not grant a limited volume a full burst again: its previous incarnation may just
/// have granted one. The first burst stays within the slack of the limit.
#[test]
fn a_restarted_head_does_not_start_with_a_full_burst() {
    let mut head = TestHead::with_one_backend();
    let mut units = 0.0;
    for id in 1..20 {
        let limited = Request {
            plan: LIMITED,
            volume: 3,
            volume_heads: 3.0,
            ..request(id, WITH_KEY, Some(1), 4 * SECOND)
        };
        units += 2.0 * sends(&head.receive(SECOND + 1, limited)).len() as f64;
    }
    assert!(units <= settings().plans[LIMITED].limit_slack, "{units}");
}

/// Runs a request for a new volume, which is served at once.
fn use_new_volume(head: &mut TestHead, now: Micros, id: RequestId) {
    let volume = u64::from(id) + 1;
    head.receive(now, Request { volume, ..request(id, IDEMPOTENT, Some(1), now + 2 * SECOND) });
    head.end_attempt(now + MS, outcome(id, 0, 1, AttemptEnd::Ok, MS));
}

/// In long runs, memory grew without bound with the state of every volume ever requested.
#[test]
fn idle_volumes_are_dropped() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    let mut sizes = Vec::new();
    for minute in 0..6 {
        for i in 0..500 {
            use_new_volume(&mut head, now, minute * 1000 + i);
            now += 100 * MS;
            if i % 10 == 0 {
                head.timer(now, PERIOD_TIMER);
            }
        }
        sizes.push(head.state_size());
    }
    assert!(sizes[5] < sizes[2] + sizes[2] / 10, "{sizes:?}");
}

/// Runs a request for a new volume every 2 ms, and then none for 20 s.
fn use_new_volumes(head: &mut TestHead, now: &mut Micros, ids: std::ops::Range<RequestId>) {
    for id in ids {
        use_new_volume(head, *now, id);
        *now += 2 * MS;
    }
    for _ in 0..20 {
        *now += SECOND;
        head.timer(*now, PERIOD_TIMER);
    }
}

/// Volumes that do not exist, requested by faulty clients, were kept for a minute each, whatever their
/// number.
#[test]
fn thousands_of_volumes_are_dropped_once_their_requests_have_ended() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    use_new_volumes(&mut head, &mut now, 0..1000);
    let few = head.state_size();
    use_new_volumes(&mut head, &mut now, 1000..5000);
    // About two thousand of the five thousand volumes may be left.
    assert!(head.state_size() < 3 * few, "{} after {few}", head.state_size());
}
