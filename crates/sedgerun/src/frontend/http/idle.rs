//! Decides which client connections are idle or stalled, and closes them by aborting their tasks.

use super::close_reason::CloseReason;
use super::connection::{ConnectionState, Phase};
use super::connections::{Connections, ServedConnection};
use std::time::Duration;

/// Idle time after which a connection may be closed in favour of a new client when the limits are reached: a
/// client that connects is about to send a request, an idle one may not be.
pub const MIN_EVICTION_IDLE: Duration = Duration::from_millis(100);
/// Idle time after which the sweep may close a connection while the number of connections is over its
/// threshold.
const SHORT_IDLE_TIME: Duration = Duration::from_secs(2);
/// A request head of which no byte has arrived for this long has stalled.
const REQUEST_STALL_TIME: Duration = Duration::from_secs(1);

impl ConnectionState {
    /// Whether the connection has had no activity for `idle`.
    ///
    /// A partly received head counts as idle once it has stalled, so that a client which stops in the middle of a
    /// request does not hold its connection. A connection whose response a slow client is still reading is not idle.
    fn is_idle_for(&self, idle: Duration) -> bool {
        let limit = match self.phase() {
            Phase::Idle => idle,
            Phase::ReceivingHead => idle.max(REQUEST_STALL_TIME),
            Phase::ReceivingBody | Phase::AwaitingResponse | Phase::SendingResponse | Phase::Lingering => {
                return false;
            }
        };
        self.last_activity_at().elapsed() >= limit
    }

    /// Whether the connection may be closed in favour of a new one.
    pub(super) fn is_evictable(&self) -> bool {
        self.is_idle_for(MIN_EVICTION_IDLE)
    }
}

impl Connections {
    /// Closes up to `max` connections that have been idle for at least `idle`, the longest idle first.
    pub fn close_idle(&self, max: usize, idle: Duration) {
        let open = self.open.borrow();
        let mut candidates: Vec<(&u64, &ServedConnection)> =
            open.iter().filter(|(_, served)| served.state.is_idle_for(idle)).collect();
        candidates.sort_by_key(|(_, served)| served.state.last_activity_at());
        for (number, served) in candidates.into_iter().take(max) {
            CloseReason::Evicted.log(*number, None);
            served.task.abort();
        }
    }

    /// Closes idle connections while more than `max` connections are open.
    pub fn sweep(&self, max: usize) {
        let excess = self.count().saturating_sub(max);
        if excess > 0 {
            self.close_idle(excess, SHORT_IDLE_TIME);
        }
    }
}
