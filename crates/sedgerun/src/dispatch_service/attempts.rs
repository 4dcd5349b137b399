//! The tasks of attempts in flight.

use crate::backend::AttemptStarted;
use sedgerun_policy::{BackendId, RequestId};
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u8,
}

/// The task of an attempt in flight.
pub(super) struct AttemptTask {
    /// Where the attempt goes.
    pub backend: BackendId,
    /// Set once anything of the attempt may have been written.
    pub started: AttemptStarted,
    /// Ends the task.
    pub handle: AbortHandle,
}

impl AttemptTask {
    /// Ends the task where it stands.
    pub fn abort(self) {
        self.handle.abort();
    }
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct AttemptTasks(RefCell<HashMap<AttemptKey, AttemptTask>>);

impl AttemptTasks {
    /// Adds an attempt that has just begun.
    pub fn insert(&self, key: AttemptKey, task: AttemptTask) {
        self.0.borrow_mut().insert(key, task);
    }

    /// Takes an attempt out, if it is in flight.
    pub fn remove(&self, key: AttemptKey) -> Option<AttemptTask> {
        self.0.borrow_mut().remove(&key)
    }

    /// Those of the attempts of which nothing has been written yet.
    pub fn unsent(&self, is_affected: impl Fn(&AttemptKey, &AttemptTask) -> bool) -> Vec<AttemptKey> {
        let tasks = self.0.borrow();
        let unsent = tasks.iter().filter(|(key, task)| !task.started.is_started() && is_affected(key, task));
        unsent.map(|(key, _)| *key).collect()
    }
}
