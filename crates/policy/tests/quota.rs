//! The limits of volumes, and how long volumes are remembered.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// The first burst of a limited volume after a start stays within a part of the slack.
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

/// Sends a request for a volume of its own, which is served at once.
fn use_new_volume(head: &mut TestHead, now: Micros, id: RequestId) {
    let volume = u64::from(id) + 1;
    head.receive(now, Request { volume, ..request(id, IDEMPOTENT, Some(1), now + 2 * SECOND) });
    head.end_attempt(now + MS, outcome(id, 0, 1, AttemptEnd::Ok, MS));
}

/// Long days: state for every volume ever asked for grew for ever.
#[test]
fn volumes_that_are_not_asked_for_any_more_are_forgotten() {
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

/// Uses so many new volumes within moments, and then none for 20 s.
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

/// Bad clients: names of volumes that do not exist were kept for a minute each, however many there were.
#[test]
fn volumes_by_the_thousand_are_forgotten_once_their_requests_are_over() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    use_new_volumes(&mut head, &mut now, 0..1000);
    let few = head.state_size();
    use_new_volumes(&mut head, &mut now, 1000..5000);
    // No more than some two thousand are left of five.
    assert!(head.state_size() < 3 * few, "{} after {few}", head.state_size());
}
