//! Why the connection of a client ended.

use std::fmt;

/// Why the connection of a client ended. The texts stand in the log, where operators look for the cause of a close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed or reset it.
    ClientClosed,
    /// The client left while its request waited for a response; no attempt begins for it any more.
    ClientLeft,
    /// No byte of a first request came in time.
    NoRequest,
    /// It was idle for longer than connections are kept.
    Idle,
    /// The response said that it closes.
    Answered,
    /// The client did not read its response.
    ResponseNotRead,
    /// The backend's response broke off after a part of it was passed on.
    BackendResponseBroken,
    /// The backend's response was not complete by the client's deadline, after a part of it was passed on.
    BackendResponseOverdue,
}

impl CloseReason {
    /// Whether a response was cut that the client was still owed.
    pub(super) fn cuts_response(self) -> bool {
        matches!(
            self,
            CloseReason::ResponseNotRead
                | CloseReason::BackendResponseBroken
                | CloseReason::BackendResponseOverdue
        )
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::ClientClosed => "the client closed it",
            CloseReason::ClientLeft => "the client left while its request waited",
            CloseReason::NoRequest => "no request came in time",
            CloseReason::Idle => "it was idle",
            CloseReason::Answered => "the last response is sent",
            CloseReason::ResponseNotRead => "the client did not read its response",
            CloseReason::BackendResponseBroken => "the backend's response broke off",
            CloseReason::BackendResponseOverdue => "the backend's response was not complete in time",
        })
    }
}
