//! Errors of a request that is not served, and their responses. The texts are sent to clients.

use super::close_reason::RequestLabel;
use super::response::Response;
use crate::logging::info_by_kind;
use http::StatusCode;
use std::fmt;
use thiserror::Error;

/// The most characters of a client's input that an error quotes.
const MAX_EXCERPT_CHARACTERS: usize = 64;

/// A client's input, quoted and truncated for an error.
#[derive(Debug)]
pub(super) struct Excerpt(String);

impl Excerpt {
    /// An excerpt of a text.
    pub(super) fn of(text: &str) -> Excerpt {
        Excerpt(text.chars().take(MAX_EXCERPT_CHARACTERS).collect())
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0)
    }
}

/// Why a request is not served.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// A required header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header that may occur only once is repeated.
    #[error("{0} is repeated")]
    RepeatedHeader(&'static str),
    /// A header's value is not text.
    #[error("malformed {0}")]
    NonTextHeader(&'static str),
    /// A header's value is malformed or out of range.
    #[error("malformed {name} {value}")]
    MalformedHeader { name: &'static str, value: Excerpt },
    /// The path does not name a configured class.
    #[error("unknown class {0}")]
    UnknownClass(Excerpt),
    /// `X-Qos-Policy` does not name a configured plan.
    #[error("unknown plan {0}")]
    UnknownPlan(Excerpt),
    /// The class does not allow the method.
    #[error("no {method} {class}")]
    MethodNotAllowed { method: Excerpt, class: String },
    /// The target is not a path, or the request upgrades to another protocol.
    #[error("malformed target")]
    MalformedTarget,
    /// The body is larger than `max` bytes.
    #[error("body over {max} bytes")]
    BodyTooLarge { max: usize },
    /// The body's framing is malformed.
    #[error("malformed body")]
    MalformedBody,
    /// The body, or the next part of it, has not arrived in time.
    #[error("the body is late")]
    BodyOverdue,
    /// A GET has a body.
    #[error("a read has no body")]
    ReadWithBody,
    /// A request was sent before the response to the previous one (pipelined).
    #[error("one request at a time on a connection")]
    Pipelined,
    /// The id belongs to another request that is open or has ended recently.
    #[error("Request-Id is in use")]
    DuplicateRequestId,
    /// The request is shed; the client may retry after `retry_after_seconds`.
    #[error("refused")]
    Rejected { retry_after_seconds: f64 },
    /// The attempts have failed; a backend may have executed one.
    #[error("failed")]
    Failed,
    /// The head is larger than any that is accepted, or has too many fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The bytes do not begin a request.
    #[error("malformed head")]
    MalformedHead,
    /// The head is not complete in time.
    #[error("the head is late")]
    HeadOverdue,
}

impl RequestError {
    /// The status of the error's response.
    pub(super) fn status(&self) -> StatusCode {
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
            | RequestError::MalformedHead
            | RequestError::Pipelined => StatusCode::BAD_REQUEST,
            RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyOverdue | RequestError::HeadOverdue => StatusCode::REQUEST_TIMEOUT,
            RequestError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RequestError::DuplicateRequestId => StatusCode::CONFLICT,
            RequestError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Failed => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Logs that a request is not served.
    pub(super) fn log(&self, connection: u64, request_id: Option<u64>) {
        let request = RequestLabel(request_id);
        info_by_kind!(
            self,
            [
                RequestError::MissingHeader(_),
                RequestError::RepeatedHeader(_),
                RequestError::NonTextHeader(_),
                RequestError::MalformedHeader { .. },
                RequestError::UnknownClass(_),
                RequestError::UnknownPlan(_),
                RequestError::MethodNotAllowed { .. },
                RequestError::MalformedTarget,
                RequestError::BodyTooLarge { .. },
                RequestError::MalformedBody,
                RequestError::BodyOverdue,
                RequestError::ReadWithBody,
                RequestError::Pipelined,
                RequestError::DuplicateRequestId,
                RequestError::Rejected { .. },
                RequestError::Failed,
                RequestError::HeadTooLarge,
                RequestError::MalformedHead,
                RequestError::HeadOverdue,
            ],
            format_args!("client connection {connection}, {request}: {}, {self}", self.status().as_u16())
        );
    }

    /// The response for the client.
    pub(super) fn response(&self) -> Response {
        match self {
            RequestError::Rejected { retry_after_seconds } => Response::rejected(*retry_after_seconds),
            RequestError::HeadTooLarge | RequestError::MalformedHead | RequestError::HeadOverdue => {
                Response::empty(self.status())
            }
            error => Response::text_line(error.status(), &error.to_string()),
        }
    }
}
