//! The memory budget of bodies.

use sedgerun::memory_budget::MemoryBudget;

#[test]
fn a_reservation_returns_to_the_budget_when_it_is_dropped() {
    let budget = MemoryBudget::new(100, 100);
    let mut first = budget.reserve(60).expect("capacity");
    assert!(budget.reserve(50).is_none());
    assert!(first.grow(40).is_ok());
    assert!(first.grow(1).is_err());
    assert_eq!(first.bytes(), 100);
    drop(first);
    assert!(budget.reserve(100).is_some());
}
