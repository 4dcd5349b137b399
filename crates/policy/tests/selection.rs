//! Which backend a request is sent to.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// Incident i7f82d5: a backend that answers with quick errors draws no new objects.
#[test]
fn new_objects_avoid_a_backend_that_answers_with_errors() {
    let (mut head, _) = TestHead::started(vec![ready(1, 1), ready(2, 2)]);
    let mut now = 2 * SECOND;
    head.run_one_by_one(&mut now, 1..2, AttemptEnd::Ok, 20 * MS);
    for id in 10..16 {
        // Not idempotent: an error ends them, without a retry.
        head.receive(now, request(id, ORDERED, Some(1), now + 4 * SECOND));
        now += MS;
        let end = head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Error, MS));
        assert!(end.contains(&Action::Fail { id }), "what may have run is failed, not rejected");
    }
    for id in 20..23 {
        now += MS;
        let new = head.receive(now, request(id, ORDERED, None, now + 4 * SECOND));
        assert_eq!(sends(&new), [(id, 2)]);
    }
}

/// A request with an idempotency key that may have run stays with its shard even when its backend left the
/// list and memory.
#[test]
fn a_removed_backend_keeps_its_requests_with_idempotency_key_in_their_shard() {
    let (mut head, _) = TestHead::started(vec![ready(1, 1), endpoint(2, 2, 0, Readiness::Draining)]);
    let now = 2 * SECOND;
    let first = head.receive(now, request(1, WITH_KEY, None, now + 3 * SECOND));
    assert_eq!(sends(&first), [(1, 1)]);
    let other_shard_only = vec![ready(2, 2)];
    head.list(now + MS, UpdateScope::Full, other_shard_only.clone());
    head.end_attempt(now + 2 * MS, outcome(1, 0, 1, AttemptEnd::Reset, MS));
    let after = head.list(now + 3 * MS, UpdateScope::Full, other_shard_only);
    let sweep = head.timer(now + 10 * MS, SWEEP_TIMER);
    assert!(sends(&after).is_empty() && sends(&sweep).is_empty(), "{after:?} {sweep:?}");
}
