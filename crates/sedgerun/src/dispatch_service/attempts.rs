//! The tasks of attempts in flight.

use crate::backend::AttemptProgress;
use sedgerun_policy::{BackendId, RequestId};
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u8,
}

/// The task of an attempt in flight.
pub(super) struct AttemptTask {
    /// The attempt's backend.
    pub backend: BackendId,
    /// Tells whether any part of the request may have been written.
    pub progress: AttemptProgress,
    /// Aborts the task.
    pub handle: AbortHandle,
}

impl AttemptTask {
    pub fn abort(self) {
        self.handle.abort();
    }
}

/// The tasks of all attempts in flight.
#[derive(Default)]
pub(super) struct AttemptTasks(RefCell<HashMap<AttemptKey, AttemptTask>>);

impl AttemptTasks {
    /// Adds an attempt that has just been spawned.
    pub fn insert(&self, key: AttemptKey, task: AttemptTask) {
        self.0.borrow_mut().insert(key, task);
    }

    /// Removes and returns an attempt; `None` if it is not in flight.
    pub fn remove(&self, key: AttemptKey) -> Option<AttemptTask> {
        self.0.borrow_mut().remove(&key)
    }

    /// The attempts that match `is_affected` and of which nothing has been written yet.
    pub fn unsent(&self, is_affected: impl Fn(&AttemptKey, &AttemptTask) -> bool) -> Vec<AttemptKey> {
        let tasks = self.0.borrow();
        let unsent = tasks.iter().filter(|(key, task)| !task.progress.is_started() && is_affected(key, task));
        unsent.map(|(key, _)| *key).collect()
    }
}
