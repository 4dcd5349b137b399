//! The output of the dispatcher: effects that its owner must carry out in order.

use sedgerun_policy::{BackendId, Micros, RequestId};
use std::rc::Rc;

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse<R> {
    /// The backend's response.
    Served(R),
    /// No attempt has executed the request, so that a retry is safe. The value is the time that the client
    /// should wait before the retry, in microseconds; 0: none is given.
    Rejected(Micros),
    /// An attempt may have executed the request; its result is unknown.
    Failed,
}

/// An operation that the dispatcher requests from its owner. `P` is the payload that is sent to a backend,
/// `R` the backend's response.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<P, R> {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The number of the attempt within its request, from 0.
        attempt: u8,
        /// The backend to send it to.
        backend: BackendId,
        /// When the attempt times out.
        deadline: Micros,
        /// When the client must have its response, or the beginning of one that is passed on.
        respond_by: Micros,
        /// Backends may take the attempt for a new request if it begins later, though an earlier one may have run. The
        /// clock must show less right before the last byte of the request is written. `None`: no bound.
        begin_before: Option<Micros>,
        /// The payload to send.
        payload: Rc<P>,
    },
    /// Abandon an attempt. The dispatcher has already recorded its end and ignores any later result.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u8,
    },
    /// Give the client its final response. Emitted at most once for each request.
    Respond {
        /// The request.
        id: RequestId,
        /// The final response.
        response: FinalResponse<R>,
    },
    /// Subscribe to changes of the endpoint list.
    Watch,
}
