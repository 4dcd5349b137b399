//! How a poll of discovery fails.

use super::list::{ListError, SizeUnit, TooLarge};
use crate::backend::BodyTooLarge;
use actix_http::error::ParseError;
use awc::error::{PayloadError, SendRequestError};
use std::io::ErrorKind;

/// How a poll failed. The texts stand in the log.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollFailure {
    /// The connection was refused or broke: discovery, or the path to it, said so.
    #[error("call failed: {0}")]
    Connection(#[source] SendRequestError),
    /// Discovery answered with this status instead of a list.
    #[error("call failed: answered {0}")]
    Status(u16),
    /// No response, or only a part of it, came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The response is not HTTP.
    #[error("malformed list: {0}")]
    MalformedResponse(#[source] SendRequestError),
    /// The response broke off within its body.
    #[error("malformed list: answer broke off: {0}")]
    TruncatedBody(#[source] PayloadError),
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
            PollFailure::Connection(_) | PollFailure::Status(_) | PollFailure::TimedOut => false,
            PollFailure::MalformedResponse(_)
            | PollFailure::TruncatedBody(_)
            | PollFailure::MalformedList(_)
            | PollFailure::TooLarge(_) => true,
        }
    }
}

impl From<SendRequestError> for PollFailure {
    /// An error of the connection, or of what came over it: a corrupt response proves that discovery answered.
    fn from(error: SendRequestError) -> PollFailure {
        let SendRequestError::Response(cause) = &error else {
            return PollFailure::Connection(error);
        };
        let ParseError::Io(cause) = cause else {
            return PollFailure::MalformedResponse(error);
        };
        if cause.kind() != ErrorKind::InvalidData {
            return PollFailure::Connection(error);
        }
        match cause.get_ref().and_then(|cause| cause.downcast_ref()) {
            Some(BodyTooLarge { bytes: size, max_bytes: most }) => {
                PollFailure::TooLarge(TooLarge { size: *size, limit: *most, unit: SizeUnit::Bytes })
            }
            None => PollFailure::MalformedResponse(error),
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
