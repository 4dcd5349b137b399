//! Slow start: how many units this head may send to a backend that is warming up after a start, so that all
//! heads together do not overload it.
//!
//! Owns the time of the backend's start and this head's tokens for it. The settings give the units that are
//! safe within a window right after the start (`safe_units`) and the growth of the capacity; a backend fails
//! above `overload_factor` times its capacity. tests/slow_start_cluster.rs checks the result for 1 to 30
//! heads.

use crate::token_bucket::TokenBucket;
use crate::{Micros, SECOND, Settings, SlowStartLimits};

/// Clusters of up to this many heads also divide the tolerance for random variation among the heads.
const SMALL_CLUSTER_HEADS: u32 = 8;
/// Fraction of its equal share that a head adds to its own reduced demand, so that all heads together send
/// about `safe_units`. Checked for 20 and 30 heads by tests/slow_start_cluster.rs.
const EQUAL_SHARE_FRACTION: f64 = 0.3;
/// A head's own demand is reduced to the load at which the backend fails divided by this.
const OVERLOAD_DIVISOR: f64 = 2.0;
/// The burst of a head in a large cluster is its share of a window divided by this.
const BURST_DIVISOR: f64 = 10.0;
/// Bounds of `initial_capacity`, for invalid settings.
const INITIAL_CAPACITY_BOUNDS: (f64, f64) = (0.01, 1.0);

/// The slow start of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// When the backend last started; 0: long ago.
    started_at: Micros,
    tokens: TokenBucket,
}

/// One head's share of the capacity of a backend in slow start.
struct HeadShare {
    /// Rate in units per second.
    rate: f64,
    /// Units that may accumulate.
    burst: f64,
}

impl SlowStart {
    /// When the backend last started; 0: long ago.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether this head's tokens were never set or used.
    pub(crate) fn is_unused(&self) -> bool {
        self.tokens.is_unused()
    }

    /// Begins a slow start at a backend that may have restarted. This head's tokens start with a debt in
    /// units.
    pub(crate) fn begin(&mut self, started_at: Micros, debt: f64, now: Micros) {
        self.started_at = started_at;
        self.set_debt(debt, now);
    }

    /// Records the start time of the backend in the endpoint list.
    pub(crate) fn record_start(&mut self, started_at: Micros) {
        self.started_at = self.started_at.max(started_at);
    }

    /// Sets this head's tokens to a debt in units, which has to accrue before it sends to the backend again.
    /// A random debt keeps the heads from all sending at the same time.
    pub(crate) fn set_debt(&mut self, debt: f64, now: Micros) {
        self.tokens = TokenBucket::with_debt(debt, now);
    }

    /// Takes the units of a request that is sent.
    pub(crate) fn charge(&mut self, units: f64) {
        self.tokens.take(units);
    }

    /// Units that this head may send now without overloading the backend; infinite once the slow start is
    /// over, and when the tokens have reached the burst.
    ///
    /// A share smaller than a request accumulates up to the burst and then allows any request; the debt after
    /// the request keeps the rate.
    pub(crate) fn allowance(&mut self, settings: &Settings, typical_demand: f64, now: Micros) -> f64 {
        let limits = &settings.rules.slow_start;
        let age = now.saturating_sub(self.started_at);
        if self.is_over(limits, age) {
            return f64::INFINITY;
        }
        let share = head_share(settings, typical_demand, age);
        let allowance = self.tokens.refill(now, share.rate, share.burst);
        if allowance >= share.burst { f64::INFINITY } else { allowance }
    }

    fn is_over(&self, limits: &SlowStartLimits, age: Micros) -> bool {
        let is_disabled = limits.overload_window == 0 || limits.overload_factor <= 0.0;
        is_disabled || self.started_at == 0 || age >= limits.duration
    }
}

/// This head's share of the capacity of a backend that started `age` ago.
///
/// The share is the sum of two parts, which both grow with the backend's capacity: the head's typical demand
/// there, reduced to half of the load at which the backend fails, and a fraction of an equal share of the
/// safe units. Without demand it is the whole equal share. In small clusters the equal share includes the
/// tolerance for random variation, less the burst.
fn head_share(settings: &Settings, typical_demand: f64, age: Micros) -> HeadShare {
    let limits = &settings.rules.slow_start;
    let initial_capacity =
        limits.initial_capacity.clamp(INITIAL_CAPACITY_BOUNDS.0, INITIAL_CAPACITY_BOUNDS.1);
    let growth = 1.0 + (1.0 / initial_capacity - 1.0) * age as f64 / limits.duration as f64;
    let windows_per_second = SECOND as f64 / limits.overload_window as f64;

    let mean_units = settings.positive_mean_units();
    let safe_units = limits.safe_units.max(mean_units) * growth;
    let heads = f64::from(settings.heads.max(1));
    // Random variation may add 2 * sqrt(N) + 2 requests to N safe ones; this is half of that for each head.
    let half_tolerance = mean_units * ((safe_units / mean_units).sqrt() + 1.0) / heads;
    let small_cluster_burst = half_tolerance.max(mean_units);
    let is_small_cluster = settings.heads <= SMALL_CLUSTER_HEADS;
    let tolerance =
        if is_small_cluster { (2.0 * half_tolerance - small_cluster_burst).max(0.0) } else { 0.0 };
    let equal_share = safe_units / heads + tolerance;

    let reduced_demand =
        limits.overload_factor / OVERLOAD_DIVISOR * initial_capacity * growth * typical_demand
            / windows_per_second;
    let units =
        if typical_demand > 0.0 { reduced_demand + EQUAL_SHARE_FRACTION * equal_share } else { equal_share };
    let burst = if is_small_cluster { small_cluster_burst } else { units / BURST_DIVISOR };
    HeadShare { rate: units * windows_per_second, burst }
}
