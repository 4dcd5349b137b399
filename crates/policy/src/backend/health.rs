//! Whether a backend is available, judged by the outcomes of attempts (passive health checking); this crate
//! requests no active health checks.

use crate::{Micros, SECOND};

/// Consecutive failures after which a backend counts as unavailable; one or two may be caused by the network.
const UNAVAILABLE_AFTER: u32 = 3;
/// Time between probes of an unavailable backend: a substantial fraction of a client's timeout.
const PROBE_INTERVAL: Micros = SECOND / 2;

/// The health of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Failed attempts since the last response other than a rejection.
    consecutive_failures: u32,
    /// When the backend may be probed next, if it is unavailable.
    next_probe_at: Micros,
    /// When it last responded, or from when on a missing response counts: the first attempt sent while none
    /// was in flight, or the end of a stall of the head.
    last_response_at: Micros,
}

impl Health {
    /// The health of a backend that becomes known at `now`.
    pub(crate) fn new(now: Micros) -> Health {
        Health { last_response_at: now, ..Health::default() }
    }

    /// Whether a few attempts in a row failed: the backend gets one probe at a time until one succeeds.
    /// Single attempts lost in the network do not make a backend unavailable that responds to the others.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.consecutive_failures >= UNAVAILABLE_AFTER
    }

    /// Whether one more failure makes the backend unavailable, or it already is.
    pub(crate) fn is_nearly_unavailable(&self) -> bool {
        self.consecutive_failures + 1 >= UNAVAILABLE_AFTER
    }

    /// Whether an attempt may be sent while `in_flight` others are: always to an available backend, one probe
    /// at a time to an unavailable one.
    pub(crate) fn allows_attempt(&self, in_flight: u32, now: Micros) -> bool {
        !self.is_unavailable() || now >= self.next_probe_at && in_flight == 0
    }

    /// Time until the next probe may be sent; 0 for a backend that never failed.
    pub(crate) fn time_to_probe(&self, now: Micros) -> Micros {
        self.next_probe_at.saturating_sub(now)
    }

    /// When the backend last responded, or from when on a missing response counts.
    pub(crate) fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// Time without a response so far.
    pub(crate) fn time_since_response(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_response_at)
    }

    /// Counts the time without a response from `now` on.
    pub(crate) fn restart_response_clock(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// Whether a response at `now` ends an outage: several failures in a row, and no response for more than
    /// `timeout`.
    pub(crate) fn is_recovering_after(&self, timeout: Micros, now: Micros) -> bool {
        self.consecutive_failures > 1 && self.time_since_response(now) > timeout
    }

    /// The backend served a request or responded with an error.
    pub(crate) fn on_response(&mut self, now: Micros) {
        self.consecutive_failures = 0;
        self.last_response_at = now;
    }

    /// A further part of a response arrived. It shows that the backend is alive, not that it takes requests.
    pub(crate) fn on_transfer_progress(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// The backend rejected a request because it was full. It is reachable, but this does not show that it
    /// serves requests, so the failures still count.
    pub(crate) fn on_rejection(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// A connection could not be established, or broke without a recent response of the backend.
    pub(crate) fn on_connection_failure(&mut self, now: Micros) {
        self.consecutive_failures += 1;
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// A connection broke shortly after a response of the backend. This alone does not make it unavailable.
    pub(crate) fn on_reset_after_response(&mut self, now: Micros) {
        self.count_failure_while_available();
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// An attempt timed out. This alone does not make the backend unavailable.
    pub(crate) fn on_timeout(&mut self) {
        self.count_failure_while_available();
    }

    /// Counts a failure unless it would make the backend unavailable.
    fn count_failure_while_available(&mut self) {
        if !self.is_nearly_unavailable() {
            self.consecutive_failures += 1;
        }
    }
}
