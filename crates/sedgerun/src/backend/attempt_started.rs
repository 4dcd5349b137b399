//! Notes when an attempt has begun, deep inside the client libraries, for the one who might cancel it.

use std::cell::Cell;
use std::rc::Rc;

/// Whether an attempt has begun: the first byte of its request was given to a connection. An attempt that has not
/// begun can still be cancelled, and has never run.
#[derive(Clone, Debug, Default)]
pub struct AttemptStarted(Rc<Cell<bool>>);

tokio::task_local! {
    /// The attempt that the running task makes.
    static CURRENT_ATTEMPT: AttemptStarted;
}

impl AttemptStarted {
    /// Notes that the attempt of the running task begins now. A task without one, such as that of a call to discovery,
    /// has nothing to note.
    pub fn mark() {
        let _ = CURRENT_ATTEMPT.try_with(|started| started.0.set(true));
    }

    /// Whether the attempt has begun.
    pub fn is_started(&self) -> bool {
        self.0.get()
    }

    /// Runs an attempt, in which [`mark`](Self::mark) notes its begin here.
    pub async fn scope<T>(self, attempt: impl Future<Output = T>) -> T {
        CURRENT_ATTEMPT.scope(self, attempt).await
    }
}
