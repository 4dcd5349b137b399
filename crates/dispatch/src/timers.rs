//! The dispatcher's timers, ordered by expiry. One that is no longer needed is cancelled, so that their number follows
//! that of the open requests and not that of past ones.

use sedgerun_policy::{Micros, RequestId};
use std::collections::BTreeSet;

/// The purpose of a timer. Timers with the same expiry run in the order of the variants, then of their
/// fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A timer that the controller has set, with its token.
    Controller(u64),
    /// The timeout of an attempt.
    AttemptTimeout(RequestId, u8),
    /// The time by which a request must get its final response.
    RequestDeadline(RequestId),
}

/// The timers that have not expired.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue(BTreeSet<(Micros, TimerKind)>);

impl TimerQueue {
    pub fn set(&mut self, at: Micros, kind: TimerKind) {
        self.0.insert((at, kind));
    }

    /// Removes a timer that was set to this time.
    pub fn cancel(&mut self, at: Micros, kind: TimerKind) {
        self.0.remove(&(at, kind));
    }

    /// When the next timer expires; `None` if no timer is set.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer that has expired by `now`.
    pub fn pop_expired(&mut self, now: Micros) -> Option<TimerKind> {
        if self.next_expiry()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, kind)| kind)
    }
}
