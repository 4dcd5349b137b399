//! Weighted max-min fairness: how a rate is divided among demands that together exceed it.
//!
//! A demand gets no more than it asks for, and what it leaves passes on to the others in proportion to their
//! weights. The design divides each backend's rate so, once the reservations are taken off it.

/// What one party demands of a rate that is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// The demanded rate, in units a second.
    pub rate: f64,
    /// Its weight in the division.
    pub weight: f64,
}

impl WeightedDemand {
    fn rate_per_weight(&self) -> f64 {
        self.rate / self.weight
    }
}

/// The level `L` at which the sum of `min(demand, L * weight)` is `rate` (water-filling); infinite where all
/// demands fit. Demands without a rate or a weight are left out.
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
