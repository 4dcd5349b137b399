//! A request of the API.

use crate::http1::RequestHead;
use http::Method;

/// The header fields that the API reads.
const FIELDS: [&str; 6] =
    ["Authorization", "Idempotency-Key", "If-Match", "If-None-Match", "Fleet-Read", "Fleet-At-Least"];

/// What a request's head says.
#[derive(Clone, Debug)]
pub(super) struct ApiRequest {
    method: Method,
    path: String,
    /// The values of [`FIELDS`]; of a field that is there more than once, the first.
    fields: [Option<Vec<u8>>; FIELDS.len()],
}

impl ApiRequest {
    /// What a head says; `None` for a method that no request has.
    pub(super) fn of(head: &RequestHead<'_>) -> Option<ApiRequest> {
        let method = Method::from_bytes(head.method.as_bytes()).ok()?;
        let path = head.target.split('?').next().unwrap_or_default().to_owned();
        let fields = FIELDS.map(|name| head.fields.values(name).next().map(<[u8]>::to_vec));
        Some(ApiRequest { method, path, fields })
    }

    /// The method.
    pub(super) fn method(&self) -> &Method {
        &self.method
    }

    /// The path.
    pub(super) fn path(&self) -> &str {
        &self.path
    }

    /// The value of a field, which is one of [`FIELDS`]; empty if it is not text.
    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.bytes(name).map(|value| std::str::from_utf8(value).unwrap_or_default())
    }

    /// The value of a field, which is one of [`FIELDS`].
    pub(super) fn bytes(&self, name: &str) -> Option<&[u8]> {
        let index = FIELDS.iter().position(|field| *field == name)?;
        self.fields[index].as_deref()
    }
}
