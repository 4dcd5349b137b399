//! A task-local flag that records the start of an attempt. Connections set it from inside the client
//! libraries; the dispatch service reads it to decide whether an attempt can be cancelled as unsent.

use std::cell::Cell;
use std::rc::Rc;

/// Whether an attempt has started, which it does when the first byte of its request is passed to a
/// connection. An attempt that has not started can be cancelled with the certainty that the backend never ran
/// it.
#[derive(Clone, Debug, Default)]
pub struct AttemptStarted(Rc<Cell<bool>>);

tokio::task_local! {
    /// The flag of the attempt that the current task runs.
    static CURRENT_ATTEMPT: AttemptStarted;
}

impl AttemptStarted {
    /// Marks the current task's attempt as started. Does nothing in a task that runs no attempt, such as a
    /// request to discovery.
    pub fn mark() {
        let _ = CURRENT_ATTEMPT.try_with(|started| started.0.set(true));
    }

    /// Whether any part of the attempt has been passed to a connection.
    pub fn is_started(&self) -> bool {
        self.0.get()
    }

    /// Runs an attempt; [`mark`](Self::mark) sets this flag while it runs.
    pub async fn scope<T>(self, attempt: impl Future<Output = T>) -> T {
        CURRENT_ATTEMPT.scope(self, attempt).await
    }
}
