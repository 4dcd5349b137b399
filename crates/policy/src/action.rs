//! The actions that a controller requests from its head.

use crate::{BackendId, Micros, RequestId};

/// An action for the head to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request. The attempts of a request are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// When the attempt times out.
        timeout_at: Micros,
    },
    /// Give the client its final response: rejected, and safe to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Micros,
    },
    /// Give the client its final response: failed. The request may have run, and is not known to be safe to
    /// retry.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u8,
    },
    /// Send [`Event::Timer`](crate::Event::Timer) at a time.
    SetTimer {
        /// When the timer expires.
        at: Micros,
        /// Identifies the timer; returned in the event.
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
