//! Weighted max-min fairness: the division of a rate among demands that together exceed it.
//!
//! No demand gets more than its own rate; the share that it does not use is divided among the others in
//! proportion to their weights. Each backend's rate is divided this way, after the reservations are
//! subtracted.

/// One demand for a part of the rate that is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// The demanded rate, in units per second.
    pub rate: f64,
    /// Its weight in the division.
    pub weight: f64,
}

impl WeightedDemand {
    fn rate_per_weight(&self) -> f64 {
        self.rate / self.weight
    }
}

/// The level `L` at which the sum of `min(demand, L * weight)` is `rate` (water-filling); infinite if all
/// demands fit into the rate. Demands whose rate or weight is not positive are ignored.
pub fn fair_share_level(rate: f64, demands: &[WeightedDemand]) -> f64 {
    let is_counted = |demand: &WeightedDemand| demand.rate > 0.0 && demand.weight > 0.0;
    let mut by_level: Vec<WeightedDemand> = demands.iter().copied().filter(is_counted).collect();
    by_level.sort_by(|a, b| a.rate_per_weight().total_cmp(&b.rate_per_weight()));
    let mut rate_left = rate.max(0.0);
    let mut weights_left: f64 = by_level.iter().map(|demand| demand.weight).sum();
    for demand in by_level {
        if rate_left < demand.rate_per_weight() * weights_left {
            return rate_left / weights_left;
        }
        rate_left -= demand.rate;
        weights_left -= demand.weight;
    }
    f64::INFINITY
}
