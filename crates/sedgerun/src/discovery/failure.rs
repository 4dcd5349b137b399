//! How a poll of discovery fails.

use super::list::{ListError, SizeUnit, TooLarge};
use crate::backend::http::{OpenError, ResponseError};

/// How a poll failed. The texts stand in the log.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollFailure {
    /// The connection was refused or broke: discovery, or the path to it, said so.
    #[error("call failed: {0}")]
    Connection(#[source] ResponseError),
    /// No connection was made.
    #[error("call failed: {0}")]
    NoConnection(#[from] OpenError),
    /// Discovery answered with this status instead of a list.
    #[error("call failed: answered {0}")]
    Status(u16),
    /// No response, or only a part of it, came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The response is not HTTP.
    #[error("malformed list: {0}")]
    MalformedResponse(#[source] ResponseError),
    /// The response broke off within its body.
    #[error("malformed list: answer broke off: {0}")]
    TruncatedBody(#[source] ResponseError),
    /// The response's body is not an endpoint list.
    #[error("malformed list: {0}")]
    MalformedList(#[source] ListError),
    /// The list exceeds what this head can hold.
    #[error(transparent)]
    TooLarge(TooLarge),
}

impl PollFailure {
    /// Whether a response came whose list cannot be used; a further poll for the same changes would bring it again.
    pub(super) fn is_unusable_list(&self) -> bool {
        match self {
            PollFailure::Connection(_)
            | PollFailure::NoConnection(_)
            | PollFailure::Status(_)
            | PollFailure::TimedOut => false,
            PollFailure::MalformedResponse(_)
            | PollFailure::TruncatedBody(_)
            | PollFailure::MalformedList(_)
            | PollFailure::TooLarge(_) => true,
        }
    }
}

impl From<ResponseError> for PollFailure {
    /// An error before the body: of the connection, or of what came over it. A corrupt response proves that discovery
    /// answered.
    fn from(error: ResponseError) -> PollFailure {
        match error {
            ResponseError::Connection(_) | ResponseError::UnexpectedEnd => PollFailure::Connection(error),
            _ => PollFailure::MalformedResponse(error),
        }
    }
}

impl PollFailure {
    /// The failure of a response's body.
    pub(super) fn of_body(error: ResponseError) -> PollFailure {
        match error {
            ResponseError::BodyTooLarge(too_large) => PollFailure::TooLarge(TooLarge {
                size: too_large.bytes,
                limit: too_large.max_bytes,
                unit: SizeUnit::Bytes,
            }),
            ResponseError::MalformedBody(_) => PollFailure::MalformedResponse(error),
            _ => PollFailure::TruncatedBody(error),
        }
    }
}

impl From<ListError> for PollFailure {
    fn from(error: ListError) -> PollFailure {
        match error {
            ListError::TooLarge(too_large) => PollFailure::TooLarge(too_large),
            error => PollFailure::MalformedList(error),
        }
    }
}
