//! The controller's timers: the end of a control period, the sweep of the waiting requests, and the next
//! poll.
//!
//! Owns which of them are set, and the tokens by which they come back. What is done when one expires is
//! decided by the controller.

use crate::{Action, Micros, SECOND};

/// Length of a control period: the paper's second, so that rates a second and units a period are one.
const CONTROL_PERIOD: Micros = SECOND;
/// Time between sweeps of the waiting requests: far under the shortest latency objective, and cheap.
pub(crate) const SWEEP_INTERVAL: Micros = 5_000;
/// A period that ends later than this tells of a stall of the head itself: many sweeps.
const STALL: Micros = 50_000;

/// A timer that the controller sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The control period ends.
    PeriodEnd = 1,
    /// The waiting requests are looked through.
    Sweep = 2,
    /// The endpoint list is polled again after a failure.
    Poll = 3,
}

impl Timer {
    /// The timer that comes back with `token`, if it is one of the controller's.
    pub(crate) fn from_token(token: u64) -> Option<Timer> {
        [Timer::PeriodEnd, Timer::Sweep, Timer::Poll].into_iter().find(|timer| *timer as u64 == token)
    }

    /// The action that sets it.
    pub(crate) fn set(self, at: Micros) -> Action {
        Action::SetTimer { at, token: self as u64 }
    }
}

/// Which timers are set.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    /// When the present control period ends; 0 before the first event.
    period_ends_at: Micros,
    sweep_is_set: bool,
}

impl Timers {
    /// Whether the first control period has begun.
    pub(crate) fn are_started(&self) -> bool {
        self.period_ends_at != 0
    }

    /// Begins a control period.
    pub(crate) fn start_period(&mut self, now: Micros) -> Action {
        self.period_ends_at = now + CONTROL_PERIOD;
        Timer::PeriodEnd.set(self.period_ends_at)
    }

    /// Whether the present control period should have ended long ago: the head itself stood still.
    pub(crate) fn head_has_stalled(&self, now: Micros) -> bool {
        now > self.period_ends_at + STALL
    }

    /// Whether the next sweep is set.
    pub(crate) fn has_sweep(&self) -> bool {
        self.sweep_is_set
    }

    /// Sets the next sweep.
    pub(crate) fn start_sweep(&mut self, now: Micros) -> Action {
        self.sweep_is_set = true;
        Timer::Sweep.set(now + SWEEP_INTERVAL)
    }

    /// The sweep's timer has expired.
    pub(crate) fn on_sweep(&mut self) {
        self.sweep_is_set = false;
    }
}
