//! Weighted max-min fairness.

use sedgerun_policy::fair_share::{WeightedDemand, fair_share_level};

fn demands<const N: usize>(rates_and_weights: [(f64, f64); N]) -> [WeightedDemand; N] {
    rates_and_weights.map(|(rate, weight)| WeightedDemand { rate, weight })
}

#[test]
fn unused_share_is_divided_among_the_other_demands() {
    let level = fair_share_level(30.0, &demands([(4.0, 1.0), (40.0, 1.0), (40.0, 2.0)]));
    assert!((level - 26.0 / 3.0).abs() < 1e-9);
    assert!(fair_share_level(100.0, &demands([(40.0, 1.0), (50.0, 3.0)])).is_infinite());
    assert_eq!(fair_share_level(0.0, &demands([(4.0, 1.0)])), 0.0);
}
