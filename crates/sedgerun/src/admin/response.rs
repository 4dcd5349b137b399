//! The API's responses.

use http::StatusCode;
use serde_json::{Value, json};

/// A response: its status and its JSON body.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ApiResponse {
    /// The HTTP status.
    pub(super) status: StatusCode,
    /// The body; `Value::Null` for none.
    pub(super) body: Value,
    /// The version of the replicated state at which the response holds, where a fleet holds the tenants.
    pub(super) version: Option<u64>,
}

impl ApiResponse {
    /// A response with a body.
    pub(super) fn new(status: StatusCode, body: Value) -> ApiResponse {
        ApiResponse { status, body, version: None }
    }

    /// The response to a request that succeeded, with this body.
    pub(super) fn ok(body: Value) -> ApiResponse {
        ApiResponse::new(StatusCode::OK, body)
    }

    /// The response to a removal that succeeded.
    pub(super) fn no_content() -> ApiResponse {
        ApiResponse::new(StatusCode::NO_CONTENT, Value::Null)
    }

    /// A response that says what is wrong.
    pub(super) fn error(status: StatusCode, what: impl Into<String>) -> ApiResponse {
        ApiResponse::new(status, json!({"error": what.into()}))
    }

    /// The response to a request that is malformed.
    pub(super) fn bad_request(what: impl Into<String>) -> ApiResponse {
        ApiResponse::error(StatusCode::BAD_REQUEST, what)
    }

    /// The response to a request for what is not there.
    pub(super) fn not_found(what: impl Into<String>) -> ApiResponse {
        ApiResponse::error(StatusCode::NOT_FOUND, what)
    }

    /// The body as it is written: one line, or nothing.
    pub(super) fn text(&self) -> String {
        if self.body.is_null() { String::new() } else { format!("{}\n", self.body) }
    }

    /// The same response, which holds at a version of the replicated state.
    pub(super) fn at_version(mut self, version: u64) -> ApiResponse {
        self.version = Some(version);
        self
    }

    /// The status of a resource that was put in place.
    pub(super) fn put_status(is_new: bool) -> StatusCode {
        if is_new { StatusCode::CREATED } else { StatusCode::OK }
    }
}
