//! The number of attempts that may be in flight at a backend, adapted by additive increase and multiplicative
//! decrease (AIMD).

use crate::Micros;

/// Limit of a new backend.
const INITIAL_LIMIT: f64 = 4.0;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 32.0;
/// Factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.85;

/// The concurrency limit of one backend, never below 1.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// When a slow response last decreased the limit.
    decreased_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit { limit: INITIAL_LIMIT, decreased_at: 0 }
    }
}

impl ConcurrencyLimit {
    /// Whether `in_flight` attempts leave no slot for another.
    pub(crate) fn is_reached(&self, in_flight: u32) -> bool {
        f64::from(in_flight) >= self.limit.floor()
    }

    /// A number of requests as a multiple of the limit.
    pub(crate) fn utilization(&self, requests: f64) -> f64 {
        requests / self.limit
    }

    /// Handles a fast response. The limit rises by about one for as many fast responses as the limit, and
    /// only while the attempts in flight use it up.
    pub(crate) fn increase(&mut self, in_flight: u32) {
        let is_fully_used = f64::from(in_flight) + 1.0 >= self.limit.floor();
        if is_fully_used {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Handles a slow response to an attempt sent at `sent_at`. All attempts that were in flight at the last
    /// decrease together cause no further one.
    pub(crate) fn decrease(&mut self, sent_at: Micros, now: Micros) {
        if sent_at >= self.decreased_at {
            self.decrease_unconditionally();
            self.decreased_at = now;
        }
    }

    /// Handles a rejection by the backend, which was full.
    pub(crate) fn decrease_unconditionally(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
