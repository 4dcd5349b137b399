//! Builds the responses of the HTTP front end.

use super::body_parts::BodyParts;
use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use bytes::Bytes;

/// A response whose body is one line of text.
pub(super) fn text_line(status: StatusCode, line: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("Content-Type", "text/plain"))
        .body(format!("{line}\n"))
        .map_into_boxed_body()
}

/// A 200 with the body of a backend's response.
pub(super) fn served(body: Bytes) -> Response<BoxBody> {
    Response::build(StatusCode::OK).body(BodyParts(body)).map_into_boxed_body()
}

/// A 503 with `Retry-After`, unless `retry_after_seconds` is 0.
pub(super) fn rejected(retry_after_seconds: f64) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after_seconds > 0.0 {
        response.insert_header(("Retry-After", format!("{retry_after_seconds:.3}")));
    }
    response.body(Bytes::from_static(b"refused\n")).map_into_boxed_body()
}
