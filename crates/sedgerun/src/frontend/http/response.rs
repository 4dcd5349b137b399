//! The responses of the HTTP front end, and their heads.

use crate::backend::http::{HttpResponseBody, StreamedBody, WholeBody};
use http::StatusCode;
use std::fmt::Write;

/// A response.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: StatusCode,
    /// Seconds after which the client may retry; `None` where it is not told.
    pub(super) retry_after_seconds: Option<f64>,
    pub(super) body: ResponseBody,
}

/// The body of a response.
#[derive(Debug)]
pub(super) enum ResponseBody {
    /// Plain text of this head.
    Text(String),
    /// A backend's response, received to its end.
    Whole(WholeBody),
    /// A backend's response that is still coming in.
    Streamed(Box<StreamedBody>),
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseFraming {
    /// By `Content-Length`.
    Length(u64),
    /// By an empty chunk.
    Chunked,
    /// By the end of the connection, for clients of HTTP/1.0.
    UntilClose,
}

impl Response {
    /// A response without a body.
    pub(super) fn empty(status: StatusCode) -> Response {
        Response { status, retry_after_seconds: None, body: ResponseBody::Text(String::new()) }
    }

    /// A response whose body is one line of text.
    pub(super) fn text_line(status: StatusCode, line: &str) -> Response {
        Response { body: ResponseBody::Text(format!("{line}\n")), ..Response::empty(status) }
    }

    /// A 200 with the body of a backend's response.
    pub(super) fn served(body: HttpResponseBody) -> Response {
        let body = match body {
            HttpResponseBody::Whole(body) => ResponseBody::Whole(body),
            HttpResponseBody::Streamed(body) => ResponseBody::Streamed(body),
        };
        Response { body, ..Response::empty(StatusCode::OK) }
    }

    /// A 503 with `Retry-After`, unless `retry_after_seconds` is 0.
    pub(super) fn rejected(retry_after_seconds: f64) -> Response {
        let retry_after_seconds = (retry_after_seconds > 0.0).then_some(retry_after_seconds);
        let body = ResponseBody::Text("refused\n".to_owned());
        Response { status: StatusCode::SERVICE_UNAVAILABLE, retry_after_seconds, body }
    }

    /// How the end of the body is marked for a client of HTTP/1.0 or HTTP/1.1.
    pub(super) fn framing(&self, is_http_1_0: bool) -> ResponseFraming {
        let unknown_length = if is_http_1_0 { ResponseFraming::UntilClose } else { ResponseFraming::Chunked };
        match &self.body {
            ResponseBody::Text(text) => ResponseFraming::Length(text.len() as u64),
            ResponseBody::Whole(body) => ResponseFraming::Length(body.bytes.len() as u64),
            ResponseBody::Streamed(body) => body.length.map_or(unknown_length, ResponseFraming::Length),
        }
    }

    /// The response's head; `closes` says that the connection closes behind the response.
    pub(super) fn head(&self, framing: ResponseFraming, closes: bool) -> String {
        let reason = self.status.canonical_reason().unwrap_or_default();
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status.as_str());
        if let ResponseBody::Text(text) = &self.body
            && !text.is_empty()
        {
            head.push_str("Content-Type: text/plain\r\n");
        }
        if let Some(seconds) = self.retry_after_seconds {
            let _ = write!(head, "Retry-After: {seconds:.3}\r\n");
        }
        let _ = match framing {
            ResponseFraming::Length(length) => write!(head, "Content-Length: {length}\r\n"),
            ResponseFraming::Chunked => write!(head, "Transfer-Encoding: chunked\r\n"),
            ResponseFraming::UntilClose => Ok(()),
        };
        if closes {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        head
    }
}
