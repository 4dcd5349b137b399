//! How many attempts may be in flight at a backend: additive increase, multiplicative decrease (AIMD).

use crate::Micros;

/// Attempts that may be in flight at first: the design's "a few".
const INITIAL_LIMIT: f64 = 4.0;
/// The most attempts in flight (the design's figure).
const MAX_LIMIT: f64 = 32.0;
/// Factor of a decrease. Taken over with the decision module; what it was tuned against is not recorded.
const DECREASE_FACTOR: f64 = 0.85;

/// The concurrency limit of one backend, never under 1.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    decreased_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit { limit: INITIAL_LIMIT, decreased_at: 0 }
    }
}

impl ConcurrencyLimit {
    /// Whether so many attempts in flight leave no place for another.
    pub(crate) fn is_reached(&self, in_flight: u32) -> bool {
        f64::from(in_flight) >= self.limit.floor()
    }

    /// So many requests as a multiple of the limit.
    pub(crate) fn utilization(&self, requests: f64) -> f64 {
        requests / self.limit
    }

    /// A response was quick. The limit rises by one for each limit's worth of such responses, while it is in
    /// use.
    pub(crate) fn increase(&mut self, in_flight: u32) {
        let is_in_use = f64::from(in_flight) + 1.0 >= self.limit.floor();
        if is_in_use {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// A response was slow. The limit falls at most once for all attempts that were in flight at its last
    /// fall.
    pub(crate) fn decrease(&mut self, sent_at: Micros, now: Micros) {
        if sent_at >= self.decreased_at {
            self.decrease_at_once();
            self.decreased_at = now;
        }
    }

    /// The backend rejected a request, being full.
    pub(crate) fn decrease_at_once(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
