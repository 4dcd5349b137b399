//! Which client connections are idle, stalled or done, and closing them. Closing a connection aborts its task.

use super::REQUEST_TIMEOUT;
use super::connection::ConnectionState;
use super::connections::{Connections, ServedConnection};
use std::time::{Duration, Instant};

/// A connection that has carried nothing for so long may give way to another where there is no capacity left: that
/// one brings a request for certain.
pub const GIVE_WAY_TIME: Duration = Duration::from_millis(100);
/// Time after which a connection without a request may be closed where connections are short.
const SHORT_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time in which a client must take a part of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a last answer has to get to its client before the connection closes.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);
/// A request of which nothing has come for so long has stalled.
const REQUEST_STALL_TIME: Duration = Duration::from_secs(1);

/// Whether a moment is longer ago than `limit`.
fn is_overdue(since: Option<Instant>, limit: Duration) -> bool {
    since.is_some_and(|at| at.elapsed() > limit)
}

impl ConnectionState {
    /// Whether the connection carries nothing and has carried nothing for `idle`.
    ///
    /// Guards against waiting for a client that has stopped in the middle of a request; and against a close over an
    /// answer that a slow client is still taking.
    fn is_idle_for(&self, idle: Duration) -> bool {
        let limit = if self.received_since_answer() { idle.max(REQUEST_STALL_TIME) } else { idle };
        let quiet = self.last_activity_at().elapsed();
        !self.request_in_progress() && self.write_pending_since().is_none() && quiet >= limit
    }

    /// Whether a request or an answer has begun and does not come to its end, or a last answer has had its time.
    fn is_overdue(&self) -> bool {
        let write_pending_since = self.write_pending_since();
        is_overdue(write_pending_since, WRITE_TIMEOUT)
            // actix-http reads on what comes behind a last answer, for as long as it comes.
            || (write_pending_since.is_none() && is_overdue(self.last_answer_at(), LAST_ANSWER_TIME))
            || (!self.request_in_progress() && is_overdue(self.request_started_at(), REQUEST_TIMEOUT))
    }

    /// Whether the connection may be closed for a new one: no part of a request or an answer is on its way.
    pub(super) fn may_give_way(&self) -> bool {
        let quiet = self.last_activity_at().elapsed() >= GIVE_WAY_TIME;
        quiet
            && !self.request_in_progress()
            && self.write_pending_since().is_none()
            && (!self.has_received() || !self.received_since_answer())
    }
}

impl Connections {
    /// Closes up to `most` connections that carry nothing and have carried nothing for `idle`, the longest
    /// idle first.
    pub fn close_idle(&self, most: usize, idle: Duration) {
        let open = self.open.borrow();
        let mut candidates: Vec<&ServedConnection> =
            open.values().filter(|served| served.state.is_idle_for(idle)).collect();
        candidates.sort_by_key(|served| served.state.last_activity_at());
        candidates.iter().take(most).for_each(|served| served.task.abort());
    }

    /// Closes the connections on which a request has begun and does not come to its end, and where there are
    /// more than `most` the idle ones.
    pub fn sweep(&self, most: usize) {
        let open = self.open.borrow();
        open.values().filter(|served| served.state.is_overdue()).for_each(|served| served.task.abort());
        let excess = open.len().saturating_sub(most);
        drop(open);
        if excess > 0 {
            self.close_idle(excess, SHORT_IDLE_TIME);
        }
    }
}
