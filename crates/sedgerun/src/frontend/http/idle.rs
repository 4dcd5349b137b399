//! Decides which client connections are idle, stalled or finished, and closes them by aborting their tasks.

use super::REQUEST_TIMEOUT;
use super::connection::ConnectionState;
use super::connections::{Connections, ServedConnection};
use std::time::{Duration, Instant};

/// Idle time after which a connection may be closed in favour of a new client when the limits are reached: a
/// client that connects is about to send a request, an idle one may not be.
pub const MIN_EVICTION_IDLE: Duration = Duration::from_millis(100);
/// Idle time after which the sweep may close a connection while the number of connections is over its
/// threshold.
const SHORT_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time in which a client must read some part of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection stays open after its closing response, so that the client can receive it.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// A request of which no byte has arrived for this long has stalled.
const REQUEST_STALL_TIME: Duration = Duration::from_secs(1);

/// Whether `since` is longer ago than `limit`; `false` for `None`.
fn is_overdue(since: Option<Instant>, limit: Duration) -> bool {
    since.is_some_and(|at| at.elapsed() > limit)
}

impl ConnectionState {
    /// Whether the connection has had no activity for `idle`.
    ///
    /// A partly received request counts as idle once it has stalled, so that a client which stops in the
    /// middle of a request does not hold its connection. A connection whose response a slow client is still
    /// reading is not idle.
    fn is_idle_for(&self, idle: Duration) -> bool {
        let limit = if self.received_since_response() { idle.max(REQUEST_STALL_TIME) } else { idle };
        let idle_time = self.last_activity_at().elapsed();
        !self.request_in_progress() && self.write_pending_since().is_none() && idle_time >= limit
    }

    /// Whether a request or a response has timed out, or `LINGER_TIME` has passed since the closing response.
    fn is_overdue(&self) -> bool {
        let write_pending_since = self.write_pending_since();
        is_overdue(write_pending_since, WRITE_TIMEOUT)
            // After the closing response actix-http keeps reading for as long as the client sends.
            || (write_pending_since.is_none() && is_overdue(self.responses_ended_at(), LINGER_TIME))
            || (!self.request_in_progress() && is_overdue(self.request_started_at(), REQUEST_TIMEOUT))
    }

    /// Whether the connection may be closed in favour of a new one: no part of a request or a response is in
    /// transit.
    pub(super) fn is_evictable(&self) -> bool {
        let is_idle = self.last_activity_at().elapsed() >= MIN_EVICTION_IDLE;
        is_idle
            && !self.request_in_progress()
            && self.write_pending_since().is_none()
            && (!self.has_received() || !self.received_since_response())
    }
}

impl Connections {
    /// Closes up to `max` connections that have been idle for at least `idle`, the longest idle first.
    pub fn close_idle(&self, max: usize, idle: Duration) {
        let open = self.open.borrow();
        let mut candidates: Vec<&ServedConnection> =
            open.values().filter(|served| served.state.is_idle_for(idle)).collect();
        candidates.sort_by_key(|served| served.state.last_activity_at());
        candidates.iter().take(max).for_each(|served| served.task.abort());
    }

    /// Closes connections whose request or response has timed out, and, while more than `max` connections are
    /// open, idle ones.
    pub fn sweep(&self, max: usize) {
        let open = self.open.borrow();
        open.values().filter(|served| served.state.is_overdue()).for_each(|served| served.task.abort());
        let excess = open.len().saturating_sub(max);
        drop(open);
        if excess > 0 {
            self.close_idle(excess, SHORT_IDLE_TIME);
        }
    }
}
