//! Why the connection of a client ended.

use crate::logging::info_by_kind;
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
    /// The client has not read any part of its response for some time.
    ResponseNotRead,
    /// The client closed it within a response.
    ClientLeftResponse,
    /// The backend's response broke off after a part of it was passed on.
    BackendResponseBroken,
    /// The backend has not sent any part of its response for some time, after a part of it was passed on.
    BackendResponseStalled,
    /// It was idle, and closed in favour of others or of a shutdown.
    Evicted,
}

impl CloseReason {
    /// Logs the end of a connection. `request_id` is that of the last request, where there was one.
    pub(super) fn log(self, connection: u64, request_id: Option<u64>) {
        let request = RequestLabel(request_id);
        info_by_kind!(
            self,
            [
                CloseReason::ClientClosed,
                CloseReason::ClientLeft,
                CloseReason::NoRequest,
                CloseReason::Idle,
                CloseReason::Answered,
                CloseReason::ResponseNotRead,
                CloseReason::ClientLeftResponse,
                CloseReason::BackendResponseBroken,
                CloseReason::BackendResponseStalled,
                CloseReason::Evicted,
            ],
            format_args!("client connection {connection} closed, {request}: {self}")
        );
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
            CloseReason::ResponseNotRead => "response cut, the client has stopped reading it",
            CloseReason::ClientLeftResponse => "the client closed it within its response",
            CloseReason::BackendResponseBroken => "response cut, the backend's connection broke off",
            CloseReason::BackendResponseStalled => "response cut, the backend has stopped sending it",
            CloseReason::Evicted => "it was idle, and gave way",
        })
    }
}

/// A request in a line of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestLabel(pub(super) Option<u64>);

impl fmt::Display for RequestLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(id) => write!(formatter, "request {id:016x}"),
            None => formatter.write_str("no request"),
        }
    }
}
