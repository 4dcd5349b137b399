//! The open client connections of the HTTP front end, and evicting one in favour of a new client. `idle` adds
//! closing idle and stalled connections.

use super::HttpFrontend;
use super::close_reason::CloseReason;
use super::connection::ConnectionState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// A connection and the task that serves it.
#[derive(Debug)]
pub(super) struct ServedConnection {
    pub(super) state: Rc<ConnectionState>,
    pub(super) task: AbortHandle,
}

/// The open client connections. A connection is listed from its accept until its task ends or it is evicted.
#[derive(Debug, Default)]
pub struct Connections {
    pub(super) open: RefCell<BTreeMap<u64, ServedConnection>>,
    next_number: Cell<u64>,
}

impl Connections {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Allocates the number that identifies a new connection.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Adds a connection under its number.
    pub(super) fn insert(&self, number: u64, state: Rc<ConnectionState>, task: AbortHandle) {
        self.open.borrow_mut().insert(number, ServedConnection { state, task });
    }

    /// Closes one idle connection to make room for a new one: preferably one that has never sent a byte, and
    /// among equals the longest idle. Returns whether one was closed, after its descriptor has been released.
    pub(super) async fn evict_longest_idle(&self) -> bool {
        let Some(task) = self.remove_longest_idle() else { return false };
        task.abort();
        // An aborted task drops its socket only when it is next polled. Without this wait, a burst of new
        // clients would exceed the descriptor limit.
        while !task.is_finished() {
            tokio::task::yield_now().await;
        }
        true
    }

    /// Removes the connection to evict from the open ones and returns its task.
    fn remove_longest_idle(&self) -> Option<AbortHandle> {
        let mut open = self.open.borrow_mut();
        let candidates = open.iter().filter(|(_, served)| served.state.is_evictable());
        let longest_idle = candidates
            .min_by_key(|(_, served)| (served.state.has_received(), served.state.last_activity_at()));
        let number = longest_idle.map(|(number, _)| *number)?;
        CloseReason::Evicted.log(number, None);
        open.remove(&number).map(|served| served.task)
    }
}

/// Removes a connection from the open ones when its task ends.
pub(super) struct OpenConnection {
    frontend: Rc<HttpFrontend>,
    number: u64,
}

impl OpenConnection {
    /// A guard for the connection with this number.
    pub(super) fn new(frontend: Rc<HttpFrontend>, number: u64) -> OpenConnection {
        OpenConnection { frontend, number }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.frontend.connections.open.borrow_mut().remove(&self.number);
    }
}
