//! Slow start: how much this head may send to a backend that has just started, so that all heads together do
//! not overload it.
//!
//! Owns the time of the backend's start, and this head's tokens for it. The settings say what such a backend
//! bears within a window (`safe_units`) and how that grows; it fails over `overload_factor` times its
//! capacity. Checked against fleets of 1 to 30 heads in tests/slow_start.rs.

use crate::token_bucket::TokenBucket;
use crate::{Micros, SECOND, Settings, SlowStartLimits};

/// Heads up to which each has its even part of what the rule allows for chance as well.
const FEW_HEADS: u32 = 8;
/// Part of its even part that a head adds to its own reduced demand, so that all together come to
/// `safe_units`. Tuned against tests/slow_start.rs, with 20 and 30 heads.
const EVEN_PART: f64 = 0.3;
/// Part of the overload that a head's own demand is reduced to.
const OVERLOAD_DIVISOR: f64 = 2.0;
/// Heads of a large fleet save up their part divided by this.
const SAVED_DIVISOR: f64 = 10.0;
/// Bounds of `initial_capacity`, against settings that make no sense.
const INITIAL_CAPACITY_BOUNDS: (f64, f64) = (0.01, 1.0);

/// The slow start of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// When the backend last started; 0: long ago.
    started_at: Micros,
    tokens: TokenBucket,
}

/// A head's part of what a backend in slow start bears.
struct HeadPart {
    /// Units a second.
    rate: f64,
    /// Units that may be saved up.
    burst: f64,
}

impl SlowStart {
    /// When the backend last started; 0: long ago.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether this head's tokens were never set.
    pub(crate) fn is_unused(&self) -> bool {
        self.tokens.is_unused()
    }

    /// The backend has started, or may have. This head owes `debt` units before it sends there again.
    pub(crate) fn begin(&mut self, started_at: Micros, debt: f64, now: Micros) {
        self.started_at = started_at;
        self.owe(debt, now);
    }

    /// Notes a start that the endpoint list tells of.
    pub(crate) fn note_start(&mut self, started_at: Micros) {
        self.started_at = self.started_at.max(started_at);
    }

    /// This head owes `debt` units before it sends there again. A random debt keeps all heads from sending at
    /// once.
    pub(crate) fn owe(&mut self, debt: f64, now: Micros) {
        self.tokens = TokenBucket::with_debt(debt, now);
    }

    /// Takes the units of a request that is sent.
    pub(crate) fn charge(&mut self, units: f64) {
        self.tokens.take(units);
    }

    /// Units that this head may send now without overloading the backend; infinite once it is past its slow
    /// start, and for a head that has saved up its burst.
    ///
    /// A part smaller than a request is saved up; the debt after the request keeps the rate.
    pub(crate) fn allowance(&mut self, settings: &Settings, typical_demand: f64, now: Micros) -> f64 {
        let limits = &settings.rules.slow_start;
        let age = now.saturating_sub(self.started_at);
        if self.is_over(limits, age) {
            return f64::INFINITY;
        }
        let part = head_part(settings, typical_demand, age);
        let allowance = self.tokens.refill(now, part.rate, part.burst);
        if allowance >= part.burst { f64::INFINITY } else { allowance }
    }

    fn is_over(&self, limits: &SlowStartLimits, age: Micros) -> bool {
        let has_no_rule = limits.overload_window == 0 || limits.overload_factor <= 0.0;
        has_no_rule || self.started_at == 0 || age >= limits.duration
    }
}

/// This head's part at a backend that started `age` ago.
///
/// It is what the head is typically asked for there, reduced to half of what would overload the backend, and
/// less than an even part of what the settings say it always bears; both grow with the backend's capacity.
/// Without a demand it is the even part. Few heads share what the rule allows for chance as well, less what
/// each may have saved up.
fn head_part(settings: &Settings, typical_demand: f64, age: Micros) -> HeadPart {
    let limits = &settings.rules.slow_start;
    let initial_capacity =
        limits.initial_capacity.clamp(INITIAL_CAPACITY_BOUNDS.0, INITIAL_CAPACITY_BOUNDS.1);
    let growth = 1.0 + (1.0 / initial_capacity - 1.0) * age as f64 / limits.duration as f64;
    let windows_per_second = SECOND as f64 / limits.overload_window as f64;

    let mean_units = settings.mean_units_or_least();
    let safe_units = limits.safe_units.max(mean_units) * growth;
    let heads = f64::from(settings.heads.max(1));
    // Half of what the rule allows for chance beyond N safe calls: 2 * sqrt(N) + 2 calls.
    let half_chance = mean_units * ((safe_units / mean_units).sqrt() + 1.0) / heads;
    let saved = half_chance.max(mean_units);
    let has_few_heads = settings.heads <= FEW_HEADS;
    let chance = if has_few_heads { (2.0 * half_chance - saved).max(0.0) } else { 0.0 };
    let even_part = safe_units / heads + chance;

    let reduced_demand =
        limits.overload_factor / OVERLOAD_DIVISOR * initial_capacity * growth * typical_demand
            / windows_per_second;
    let units = if typical_demand > 0.0 { reduced_demand + EVEN_PART * even_part } else { even_part };
    let burst = if has_few_heads { saved } else { units / SAVED_DIVISOR };
    HeadPart { rate: units * windows_per_second, burst }
}
