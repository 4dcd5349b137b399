//! The selection of a backend for a request.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// Incident i7f82d5: a backend that responds with fast errors must not attract new objects.
#[test]
fn new_objects_avoid_a_backend_that_responds_with_errors() {
    let (mut head, _) = TestHead::started(vec![ready(1, 1), ready(2, 2)]);
    let mut now = 2 * SECOND;
    head.run_sequentially(&mut now, 1..2, AttemptEnd::Ok, 20 * MS);
    for id in 10..16 {
        // The requests are not idempotent, so they are not retried after an error.
        head.receive(now, request(id, ORDERED, Some(1), now + 4 * SECOND));
        now += MS;
        let end = head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Error, MS));
        assert!(
            end.contains(&Action::Fail { id }),
            "a request that may have run must be failed, not rejected"
        );
    }
    for id in 20..23 {
        now += MS;
        let new = head.receive(now, request(id, ORDERED, None, now + 4 * SECOND));
        assert_eq!(sends(&new), [(id, 2)]);
    }
}

/// A request with an idempotency key that may have run stays in the shard of its backend, even after the
/// backend was removed from the list and dropped. Other shards would not recognise its key.
#[test]
fn a_request_with_an_idempotency_key_stays_in_the_shard_of_a_removed_backend() {
    let (mut head, _) = TestHead::started(vec![ready(1, 1), endpoint(2, 2, 0, Readiness::Draining)]);
    let now = 2 * SECOND;
    let first = head.receive(now, request(1, WITH_KEY, None, now + 3 * SECOND));
    assert_eq!(sends(&first), [(1, 1)]);
    let other_shard_only = vec![ready(2, 2)];
    head.update_endpoints(now + MS, UpdateScope::Full, other_shard_only.clone());
    head.end_attempt(now + 2 * MS, outcome(1, 0, 1, AttemptEnd::Reset, MS));
    let after = head.update_endpoints(now + 3 * MS, UpdateScope::Full, other_shard_only);
    let sweep = head.timer(now + 10 * MS, SWEEP_TIMER);
    assert!(sends(&after).is_empty() && sends(&sweep).is_empty(), "{after:?} {sweep:?}");
}
