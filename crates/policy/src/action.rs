//! What a controller wants done.

use crate::{BackendId, Micros, RequestId};

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; the attempts of a request count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When the attempt times out.
        timeout_at: Micros,
    },
    /// Final answer: rejected, and safe to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before that; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Ask for [`Event::Timer`](crate::Event::Timer) at a time.
    SetTimer {
        /// When.
        at: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Check the health of a backend.
    CheckHealth {
        /// The backend.
        backend: BackendId,
    },
    /// Open a watch on the endpoint list.
    Watch,
}
