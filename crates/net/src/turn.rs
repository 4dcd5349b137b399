//! The budget of a socket for one turn of the event loop.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};

/// Bytes that a socket may transfer in a turn before other tasks run. The last operation may go over it.
pub const MAX_BYTES: usize = 32 * 1024;
/// Operations on a socket in a turn before other tasks run.
pub const MAX_OPERATIONS: u32 = 8;

/// What a socket has used of its current turn. A turn ends when the task waits for the socket, or when the budget is used
/// up and other tasks have run.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    bytes: AtomicUsize,
    operations: AtomicU32,
}

impl Turn {
    /// Counts one operation that transferred so many bytes.
    pub(crate) fn spend(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.operations.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the budget is used up.
    pub(crate) fn is_over(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) >= MAX_BYTES
            || self.operations.load(Ordering::Relaxed) >= MAX_OPERATIONS
    }

    /// Begins a new turn: the task is about to wait, or has waited.
    pub(crate) fn restart(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.operations.store(0, Ordering::Relaxed);
    }

    /// Waits for a socket; a new turn begins if it is not ready.
    pub(crate) async fn wait_for<T>(&self, ready: impl Future<Output = T>) -> T {
        let mut ready = std::pin::pin!(ready);
        std::future::poll_fn(|context| {
            let polled = ready.as_mut().poll(context);
            if polled.is_pending() {
                self.restart();
            }
            polled
        })
        .await
    }

    /// Lets all other tasks run if the budget is used up.
    pub(crate) async fn yield_if_over(&self) {
        if self.is_over() {
            tokio::task::yield_now().await;
            self.restart();
        }
    }
}
