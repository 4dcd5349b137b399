//! The dispatcher's timers in the order of their time. A timer is never taken back: one that is no longer wanted
//! expires and does nothing.

use sedgerun_policy::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer is for. Timers of one time expire in the order of the variants, then of their fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The controller's own, by its token.
    Controller(u64),
    /// An attempt times out.
    AttemptTimeout(RequestId, u8),
    /// The last moment for a request's final answer.
    RequestDeadline(RequestId),
}

/// Timers that have not expired.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue(BinaryHeap<Reverse<(Micros, TimerKind)>>);

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, kind: TimerKind) {
        self.0.push(Reverse((at, kind)));
    }

    /// When the next timer expires.
    pub fn next_at(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next timer that has expired by now.
    pub fn pop_expired(&mut self, now: Micros) -> Option<TimerKind> {
        if self.next_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, kind))| kind)
    }
}
