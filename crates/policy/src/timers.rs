//! The controller's timers: the end of the control period, the sweep of the queued requests, and the next
//! poll.
//!
//! Owns which timers are set and the tokens that identify them. The controller decides what happens when a
//! timer expires.

use crate::{Action, Micros, SECOND};

/// Length of a control period. The Triage paper uses one second; units per period and units per second are
/// then the same number.
const CONTROL_PERIOD: Micros = SECOND;
/// Time between sweeps of the queued requests: far below the shortest latency objective, and still cheap.
pub(crate) const SWEEP_INTERVAL: Micros = 5_000;
/// A control period that ends later than this shows that the head itself was stalled. Ten sweep intervals, so
/// that ordinary timer delays do not count.
const STALL_THRESHOLD: Micros = 50_000;

/// A timer that the controller sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// End of the control period.
    PeriodEnd = 1,
    /// Sweep of the queued requests.
    Sweep = 2,
    /// Next poll of the endpoint list after a failure.
    Poll = 3,
}

impl Timer {
    /// The timer with a token, if it is one of the controller's.
    pub(crate) fn from_token(token: u64) -> Option<Timer> {
        [Timer::PeriodEnd, Timer::Sweep, Timer::Poll].into_iter().find(|timer| *timer as u64 == token)
    }

    /// The action that sets this timer.
    pub(crate) fn set(self, at: Micros) -> Action {
        Action::SetTimer { at, token: self as u64 }
    }
}

/// Which timers are set.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    /// When the current control period ends; 0 before the first event.
    period_ends_at: Micros,
    is_sweep_set: bool,
}

impl Timers {
    /// Whether the first control period has begun.
    pub(crate) fn are_started(&self) -> bool {
        self.period_ends_at != 0
    }

    /// Begins a control period and returns the action that sets the timer of its end.
    pub(crate) fn start_period(&mut self, now: Micros) -> Action {
        self.period_ends_at = now + CONTROL_PERIOD;
        Timer::PeriodEnd.set(self.period_ends_at)
    }

    /// Whether the end of the control period is so late that the head itself must have been stalled.
    pub(crate) fn head_has_stalled(&self, now: Micros) -> bool {
        now > self.period_ends_at + STALL_THRESHOLD
    }

    /// Whether the timer of the next sweep is set.
    pub(crate) fn is_sweep_set(&self) -> bool {
        self.is_sweep_set
    }

    /// Schedules the next sweep and returns the action that sets its timer.
    pub(crate) fn schedule_sweep(&mut self, now: Micros) -> Action {
        self.is_sweep_set = true;
        Timer::Sweep.set(now + SWEEP_INTERVAL)
    }

    /// Records that the sweep's timer has expired.
    pub(crate) fn on_sweep(&mut self) {
        self.is_sweep_set = false;
    }
}
