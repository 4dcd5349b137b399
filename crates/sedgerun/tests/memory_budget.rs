//! The memory budget of bodies.

use sedgerun::backend::answer::MemoryBudget;

#[test]
fn a_reservation_returns_to_the_budget_when_it_is_dropped() {
    let budget = MemoryBudget::new(100, 100);
    let mut first = budget.take(60).expect("capacity");
    assert!(budget.take(50).is_none());
    assert!(first.grow(40).is_ok());
    assert!(first.grow(1).is_err());
    assert_eq!(first.bytes(), 100);
    drop(first);
    assert!(budget.take(100).is_some());
}
