//! Why a request gets no answer of a backend, and the response that says so. The texts are read by clients.

use super::response::{rejected, text_line};
use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use std::fmt;
use thiserror::Error;

/// The most characters of what a client sent that an error repeats.
const MOST_EXCERPT_CHARACTERS: usize = 64;

/// What a client sent, quoted and cut short for an error.
#[derive(Debug)]
pub(super) struct Excerpt(String);

impl Excerpt {
    /// An excerpt of a text.
    pub(super) fn of(text: &str) -> Excerpt {
        Excerpt(text.chars().take(MOST_EXCERPT_CHARACTERS).collect())
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0)
    }
}

/// Why a request is not answered with what a backend said.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// A header that each request has is not there.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header that a request has once is there again.
    #[error("{0} is repeated")]
    RepeatedHeader(&'static str),
    /// A header's value is not text.
    #[error("malformed {0}")]
    NonTextHeader(&'static str),
    /// A header's value has another form than it should, or is out of its bounds.
    #[error("malformed {name} {value}")]
    MalformedHeader { name: &'static str, value: Excerpt },
    /// The path names no class.
    #[error("unknown class {0}")]
    UnknownClass(Excerpt),
    /// `X-Qos-Policy` names no plan.
    #[error("unknown plan {0}")]
    UnknownPlan(Excerpt),
    /// The class has no such method.
    #[error("no {method} {class}")]
    MethodNotAllowed { method: Excerpt, class: String },
    /// The target is not a path, or the request asks for another protocol.
    #[error("malformed target")]
    MalformedTarget,
    /// The body is larger than any can be, in bytes.
    #[error("body over {most} bytes")]
    BodyTooLarge { most: usize },
    /// The body cannot be read.
    #[error("malformed body")]
    MalformedBody,
    /// The body, or a part of it, has not come in time.
    #[error("the body is late")]
    BodyOverdue,
    /// A GET has a body.
    #[error("a read has no body")]
    ReadWithBody,
    /// A request was sent before the answer to the last one.
    #[error("one request at a time on a connection")]
    SentAhead,
    /// The id is that of another request that is open, or was a moment ago.
    #[error("Request-Id is in use")]
    DuplicateRequestId,
    /// The request is shed; the client may retry after so many seconds.
    #[error("refused")]
    Rejected { retry_after_seconds: f64 },
    /// The attempts have failed; one may have run.
    #[error("failed")]
    Failed,
}

impl RequestError {
    /// The status that the error is answered with.
    fn status(&self) -> StatusCode {
        match self {
            RequestError::MissingHeader(_)
            | RequestError::RepeatedHeader(_)
            | RequestError::NonTextHeader(_)
            | RequestError::MalformedHeader { .. }
            | RequestError::UnknownClass(_)
            | RequestError::UnknownPlan(_)
            | RequestError::MalformedTarget
            | RequestError::MalformedBody
            | RequestError::ReadWithBody
            | RequestError::SentAhead => StatusCode::BAD_REQUEST,
            RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyOverdue => StatusCode::REQUEST_TIMEOUT,
            RequestError::DuplicateRequestId => StatusCode::CONFLICT,
            RequestError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Failed => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The response that tells the client.
    pub(super) fn response(&self) -> Response<BoxBody> {
        match self {
            RequestError::Rejected { retry_after_seconds } => rejected(*retry_after_seconds),
            error => text_line(error.status(), &error.to_string()),
        }
    }
}
