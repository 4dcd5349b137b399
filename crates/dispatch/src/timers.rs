//! The dispatcher's timers, ordered by expiry. Timers cannot be removed: one that is no longer needed expires
//! without effect.

use sedgerun_policy::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

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
pub(crate) struct TimerQueue(BinaryHeap<Reverse<(Micros, TimerKind)>>);

impl TimerQueue {
    pub fn set(&mut self, at: Micros, kind: TimerKind) {
        self.0.push(Reverse((at, kind)));
    }

    /// When the next timer expires; `None` if no timer is set.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer that has expired by `now`.
    pub fn pop_expired(&mut self, now: Micros) -> Option<TimerKind> {
        if self.next_expiry()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, kind))| kind)
    }
}
