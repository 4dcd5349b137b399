//! Whether a backend can be reached, judged by the ends of attempts; this crate sends no health checks.

use crate::{Micros, SECOND};

/// Attempts in a row that reached nobody before a backend counts as unavailable: one or two may be the link's
/// doing.
const UNAVAILABLE_AFTER: u32 = 3;
/// Time between trials of an unavailable backend: a fair part of the time that a client waits.
const TRIAL_INTERVAL: Micros = SECOND / 2;

/// The health of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Attempts in a row that reached nobody, with no response between.
    consecutive_failures: u32,
    /// When an unavailable backend may be tried next.
    next_trial_at: Micros,
    /// When it last responded, or when its silence began to count: at the first attempt after a time without
    /// any.
    last_response_at: Micros,
}

impl Health {
    /// That of a backend which is heard of for the first time.
    pub(crate) fn new(now: Micros) -> Health {
        Health { last_response_at: now, ..Health::default() }
    }

    /// A few attempts in a row reached nobody: the backend gets one trial at a time until one succeeds. Links
    /// that drop single attempts do not stop a backend that answers the others.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.consecutive_failures >= UNAVAILABLE_AFTER
    }

    /// Whether one failure more makes the backend unavailable.
    pub(crate) fn is_nearly_unavailable(&self) -> bool {
        self.consecutive_failures + 1 >= UNAVAILABLE_AFTER
    }

    /// Whether an attempt may be sent, with so many in flight: any to an available backend, one trial at a
    /// time to an unavailable one.
    pub(crate) fn allows_attempt(&self, in_flight: u32, now: Micros) -> bool {
        !self.is_unavailable() || now >= self.next_trial_at && in_flight == 0
    }

    /// Time until the next trial; 0 for a backend that never failed.
    pub(crate) fn time_to_trial(&self, now: Micros) -> Micros {
        self.next_trial_at.saturating_sub(now)
    }

    /// When the backend last responded, or its silence began.
    pub(crate) fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// How long the backend has been silent.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_response_at)
    }

    /// Lets the silence count from now on only.
    pub(crate) fn begin_silence(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// Whether a response now comes after failures and a silence of more than `timeout`.
    pub(crate) fn is_back_after(&self, timeout: Micros, now: Micros) -> bool {
        self.consecutive_failures > 1 && self.silence(now) > timeout
    }

    /// The backend served a request or answered it with an error.
    pub(crate) fn on_response(&mut self, now: Micros) {
        self.consecutive_failures = 0;
        self.last_response_at = now;
    }

    /// The backend rejected a request, being full. That says that it is there, and not that it serves.
    pub(crate) fn on_rejection(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// A connection could not be made, or broke with no sign of the backend since.
    pub(crate) fn on_connection_failure(&mut self, now: Micros) {
        self.consecutive_failures += 1;
        self.next_trial_at = now + TRIAL_INTERVAL;
    }

    /// A connection broke, though the backend responded a moment ago.
    pub(crate) fn on_reset_after_response(&mut self, now: Micros) {
        self.count_failure_while_available();
        self.next_trial_at = now + TRIAL_INTERVAL;
    }

    /// An attempt timed out: a failure, but not alone a reason to take the backend for unavailable.
    pub(crate) fn on_timeout(&mut self) {
        self.count_failure_while_available();
    }

    /// Counts a failure that cannot by itself make the backend unavailable.
    fn count_failure_while_available(&mut self) {
        if !self.is_nearly_unavailable() {
            self.consecutive_failures += 1;
        }
    }
}
