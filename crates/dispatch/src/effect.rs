//! What comes out of the dispatcher: effects that its owner carries out, in their order.

use sedgerun_policy::{BackendId, Micros, RequestId};
use std::rc::Rc;

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<R> {
    /// Served, with the backend's response.
    Served(R),
    /// Rejected: no attempt has run, so a retry is safe, after this long (us).
    Rejected(Micros),
    /// Failed: an attempt may have run; nothing is promised.
    Failed,
}

/// What the dispatcher wants done; `J` is the job that is sent, `R` the response that comes back.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<J, R> {
    /// Begin an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u8,
        /// Where to.
        backend: BackendId,
        /// When it times out.
        until: Micros,
        /// What to send.
        job: Rc<J>,
    },
    /// Abandon an attempt; its end is already counted.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// The one final answer of a request.
    Final {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: FinalAnswer<R>,
    },
    /// Subscribe to changes of the endpoint list.
    Watch,
}
