//! The tasks of attempts in flight.

use crate::backend::{AttemptProgress, BackendRequest, BeginCheck};
use sedgerun_policy::{BackendId, Micros, RequestId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u8,
}

/// Why attempts that have not begun are called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallOffReason {
    #[error("its client has disconnected")]
    Disconnected,
    #[error("its client has cancelled it")]
    CancelledByClient,
    #[error("its backend takes no requests any more")]
    BackendLeaving,
}

/// The task of an attempt in flight.
pub(super) struct AttemptTask {
    /// The attempt's request.
    pub request: Rc<BackendRequest>,
    /// The attempt's backend.
    pub backend: BackendId,
    /// Tells whether any part of the request may have been written.
    pub progress: AttemptProgress,
    /// Whether the attempt may still begin.
    pub begin_check: BeginCheck,
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

    /// Makes the attempts that match `is_affected` begin before a time.
    pub fn limit(&self, begin_before: Micros, is_affected: impl Fn(&AttemptTask) -> bool) {
        let tasks = self.0.borrow();
        tasks.values().filter(|task| is_affected(task)).for_each(|task| task.begin_check.limit(begin_before));
    }

    /// Calls off the attempts that match `is_affected` and have not begun, and returns them.
    pub fn call_off(&self, is_affected: impl Fn(&AttemptKey, &AttemptTask) -> bool) -> Vec<AttemptKey> {
        let tasks = self.0.borrow();
        let affected = tasks.iter().filter(|(key, task)| is_affected(key, task));
        affected.filter(|(_, task)| task.begin_check.cancel()).map(|(key, _)| *key).collect()
    }
}
