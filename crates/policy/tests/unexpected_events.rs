//! Unexpected events that a head may still send.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// Unexpected but valid events cause no panic and no action for unknown requests, backends or classes.
#[test]
fn unexpected_events_are_handled_safely() {
    let (mut head, _) = TestHead::started(vec![ready(1, 1), ready(1, 1)]);
    let now = 3 * SECOND;
    for units in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        let id = 50 + head.end_request(now, 1).len() as u32 + units.to_bits() as u32 % 997;
        let invalid = Request { units, volume_heads: units, ..request(id, IDEMPOTENT, None, now - SECOND) };
        let actions = head.receive(now, invalid);
        let more = head.timer(now + 1, SWEEP_TIMER);
        assert!(!actions.is_empty() || !more.is_empty());
    }
    head.end_attempt(now, outcome(999, 3, 9, AttemptEnd::Reset, 0));
    head.update_endpoints(now, UpdateScope::Full, Vec::new());
    let without_backend = request(700, IDEMPOTENT, None, now + SECOND);
    assert!(sends(&head.receive(now, without_backend)).is_empty());
    let last = head.timer(now + SECOND, SWEEP_TIMER);
    assert!(last.iter().any(|action| matches!(action, Action::Reject { id: 700, .. })));
    let unknown_class = Request { class: 77, ..request(701, IDEMPOTENT, None, now + 2 * SECOND) };
    assert_eq!(head.receive(now, unknown_class), [Action::Reject { id: 701, retry_after: 0 }]);
}
