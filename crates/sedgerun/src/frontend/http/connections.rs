//! The open client connections of the HTTP front end, and which of them gives way to a new one. `idle` adds closing those
//! that are idle or stalled.

use super::HttpFrontend;
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

/// The open client connections. A connection is in here from its accept to the end of its task.
#[derive(Debug, Default)]
pub struct Connections {
    pub(super) open: RefCell<BTreeMap<u64, ServedConnection>>,
    next_number: Cell<u64>,
}

impl Connections {
    /// How many are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// The number of a new connection.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Adds a connection under its number.
    pub(super) fn insert(&self, number: u64, state: Rc<ConnectionState>, task: AbortHandle) {
        self.open.borrow_mut().insert(number, ServedConnection { state, task });
    }

    /// Makes place for one more: closes the connection that has sent nothing for the longest, or else the one that has
    /// been idle for the longest. Whether one was closed, once its descriptor is free.
    pub(super) async fn give_way(&self) -> bool {
        let Some(task) = self.remove_longest_idle() else { return false };
        task.abort();
        // Guards against a burst: an aborted task drops its socket only when it is next polled, and until then
        // each new client would take a descriptor more than there are to give.
        while !task.is_finished() {
            tokio::task::yield_now().await;
        }
        true
    }

    /// Removes the connection that is to give way from the open ones: its task.
    fn remove_longest_idle(&self) -> Option<AbortHandle> {
        let mut open = self.open.borrow_mut();
        let candidates = open.iter().filter(|(_, served)| served.state.may_give_way());
        let longest_idle = candidates
            .min_by_key(|(_, served)| (served.state.has_received(), served.state.last_activity_at()));
        let number = longest_idle.map(|(number, _)| *number)?;
        open.remove(&number).map(|served| served.task)
    }
}

/// A connection's place among the open ones, for as long as its task lives.
pub(super) struct OpenConnection {
    frontend: Rc<HttpFrontend>,
    number: u64,
}

impl OpenConnection {
    /// The place of the connection with this number.
    pub(super) fn new(frontend: Rc<HttpFrontend>, number: u64) -> OpenConnection {
        OpenConnection { frontend, number }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.frontend.connections.open.borrow_mut().remove(&self.number);
    }
}
