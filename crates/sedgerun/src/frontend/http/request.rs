//! Parses and validates a request's line and headers.
//!
//! Everything that a backend parses is validated here: a backend closes its connection on a malformed
//! request, which fails the other requests on that connection too.

use super::body::RequestBody;
use super::error::{Excerpt, RequestError};
use super::placement::{Placement, parse_hexadecimal};
use crate::backend::http::HttpBackendRequest;
use crate::config::Config;
use crate::request_ids::RequestIdGuard;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request};
use sedgerun_dispatch::RequestSpec;
use sedgerun_policy::Micros;

const REQUEST_ID: &str = "Request-Id";
const QOS_POLICY: &str = "X-Qos-Policy";
const CHUNK: &str = "X-Chunk";
const TIMEOUT: &str = "Request-Timeout-Ms";
const PLACEMENT: &str = "X-Placement";
/// Headers that are forwarded if a request has them. Backends need `Idempotency-Key` to recognise a repeated
/// request.
const OPTIONAL_HEADERS: [&str; 3] = ["Client-Retry", "Content-Type", "Idempotency-Key"];
/// The longest timeout that a client can request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A validated request without its body.
pub(super) struct ParsedRequest {
    id: String,
    /// The `Request-Id` as a number.
    pub(super) numeric_id: u64,
    pub(super) method: Method,
    /// Path and query.
    target: String,
    /// The headers that are forwarded to a backend.
    headers: Vec<(&'static str, String)>,
    class: usize,
    plan: usize,
    key: u64,
    /// The client's timeout, limited to that of its class, from the last byte of the request.
    pub(super) timeout: Micros,
    placement: Placement,
    /// `Content-Length` in bytes; `None` if it is missing or malformed.
    pub(super) content_length: Option<u64>,
}

impl ParsedRequest {
    /// Parses a request whose body may have up to `max_body_bytes` bytes.
    ///
    /// # Errors
    /// The first check that the request fails.
    pub(super) fn read(
        request: &Request,
        config: &Config,
        max_body_bytes: usize,
    ) -> Result<ParsedRequest, RequestError> {
        let headers = request.headers();
        let id = header_text(headers, REQUEST_ID)?;
        let numeric_id = parse_hexadecimal(id).ok_or_else(|| malformed(REQUEST_ID, id))?;
        let class_name = class_name(request.path());
        let class =
            config.class(class_name).ok_or_else(|| RequestError::UnknownClass(Excerpt::of(class_name)))?;
        let plan_name = header_text(headers, QOS_POLICY)?;
        let plan = config.plan(plan_name).ok_or_else(|| RequestError::UnknownPlan(Excerpt::of(plan_name)))?;
        let chunk = header_text(headers, CHUNK)?;
        let key = parse_hexadecimal(chunk).ok_or_else(|| malformed(CHUNK, chunk))?;
        let timeout = read_timeout(headers)?;
        let placement_text = header_text(headers, PLACEMENT)?;
        let placement = Placement::parse(placement_text, config.settings.max_units)
            .ok_or_else(|| malformed(PLACEMENT, placement_text))?;
        check_method(request.method(), class_name, config.class_changes_data.get(class).copied())?;
        let target = read_target(request)?;
        let content_length = read_content_length(headers, max_body_bytes)?;
        let mut forwarded_headers = vec![
            (QOS_POLICY, plan_name.to_owned()),
            (CHUNK, chunk.to_owned()),
            (PLACEMENT, placement_text.to_owned()),
        ];
        forwarded_headers.extend(read_optional_headers(headers)?);
        Ok(ParsedRequest {
            id: id.to_owned(),
            numeric_id,
            method: request.method().clone(),
            target,
            headers: forwarded_headers,
            class,
            plan,
            key,
            // Limited to the timeout of the class, so that no request is queued indefinitely.
            timeout: timeout.min(config.settings.classes[class].timeout),
            placement,
            content_length,
        })
    }

    /// Converts the request into its specification for the dispatcher and the request to send to a backend.
    pub(super) fn into_backend_request(
        self,
        deadline: Micros,
        body: RequestBody,
        id_guard: RequestIdGuard,
    ) -> (RequestSpec, HttpBackendRequest) {
        let spec = RequestSpec {
            class: self.class,
            plan: self.plan,
            key: self.key,
            deadline,
            volume: self.placement.volume,
            units: self.placement.units,
            shard: self.placement.shard,
            volume_heads: self.placement.heads,
        };
        let backend_request = HttpBackendRequest {
            id: self.id,
            method: self.method,
            target: self.target,
            headers: self.headers,
            body: body.bytes,
            request_id_guard: Some(id_guard),
            body_reservation: body.reservation,
        };
        (spec, backend_request)
    }
}

/// The class name in a path: its first segment.
pub(super) fn class_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

fn malformed(name: &'static str, value: &str) -> RequestError {
    RequestError::MalformedHeader { name, value: Excerpt::of(value) }
}

/// The value of a header that must occur exactly once.
fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name);
    let value = values.next().ok_or(RequestError::MissingHeader(name))?;
    if values.next().is_some() {
        return Err(RequestError::RepeatedHeader(name));
    }
    value.to_str().map(str::trim).map_err(|_| RequestError::NonTextHeader(name))
}

/// Parses the client's timeout.
fn read_timeout(headers: &HeaderMap) -> Result<Micros, RequestError> {
    let text = header_text(headers, TIMEOUT)?;
    let timeout_ms: Option<u64> = text.parse().ok();
    let timeout_ms = timeout_ms.filter(|timeout_ms| (1..=MAX_TIMEOUT_MS).contains(timeout_ms));
    timeout_ms.map(|timeout_ms| timeout_ms * 1000).ok_or_else(|| malformed(TIMEOUT, text))
}

/// Checks that a class allows a method. `writes` states whether the class changes data; `None` if not
/// configured, which allows both GET and PUT.
fn check_method(method: &Method, class_name: &str, writes: Option<bool>) -> Result<(), RequestError> {
    let is_allowed = match *method {
        Method::GET => writes != Some(true),
        Method::PUT => writes != Some(false),
        _ => false,
    };
    if is_allowed {
        return Ok(());
    }
    let method = Excerpt::of(method.as_str());
    Err(RequestError::MethodNotAllowed { method, class: class_name.to_owned() })
}

/// The path and query of a request. Absolute targets and protocol upgrades are rejected.
fn read_target(request: &Request) -> Result<String, RequestError> {
    let uri = request.uri();
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    if uri.authority().is_some() || !target.starts_with('/') || request.headers().contains_key("Upgrade") {
        return Err(RequestError::MalformedTarget);
    }
    Ok(target.to_owned())
}

/// Parses `Content-Length` and checks it against the largest body that is accepted. A missing or malformed
/// value is `None`.
fn read_content_length(headers: &HeaderMap, max_body_bytes: usize) -> Result<Option<u64>, RequestError> {
    let length: Option<u64> =
        headers.get("Content-Length").and_then(|value| value.to_str().ok()?.trim().parse().ok());
    if length.is_some_and(|length| length > max_body_bytes as u64) {
        return Err(RequestError::BodyTooLarge { max: max_body_bytes });
    }
    Ok(length)
}

/// The optional headers that are present in a request.
fn read_optional_headers(headers: &HeaderMap) -> Result<Vec<(&'static str, String)>, RequestError> {
    let present = OPTIONAL_HEADERS.into_iter().filter(|name| headers.contains_key(*name));
    present.map(|name| Ok((name, header_text(headers, name)?.to_owned()))).collect()
}
