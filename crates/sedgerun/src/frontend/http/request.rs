//! Parses and validates a request's line and headers.
//!
//! Everything that a backend parses is validated here: a backend closes its connection on a malformed
//! request, which fails the other requests on that connection too.

use super::body::RequestBody;
use super::error::{Excerpt, RequestError};
use super::placement::{Placement, parse_hexadecimal};
use crate::backend::http::HttpBackendRequest;
use crate::config::Config;
use crate::http1::{BodyFraming, FieldError, Fields, REQUEST_BUFFER_BYTES, RequestHead};
use crate::memory_budget::MemoryReservation;
use crate::request_ids::RequestIdGuard;
use http::{Method, Uri};
use sedgerun_dispatch::RequestSpec;
use sedgerun_policy::Micros;

pub(super) const REQUEST_ID: &str = "Request-Id";
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
    /// How the end of the body is found.
    pub(super) framing: BodyFraming,
}

impl ParsedRequest {
    /// Parses a request whose body may have up to `max_body_bytes` bytes.
    ///
    /// # Errors
    /// The first check that the request fails.
    pub(super) fn read(
        request: &RequestHead<'_>,
        framing: BodyFraming,
        config: &Config,
        max_body_bytes: usize,
    ) -> Result<ParsedRequest, RequestError> {
        let headers = &request.fields;
        let id = header_text(headers, REQUEST_ID)?;
        let numeric_id = parse_hexadecimal(id).ok_or_else(|| malformed(REQUEST_ID, id))?;
        let uri: Uri = request.target.parse().map_err(|_| RequestError::MalformedTarget)?;
        let class_name = class_name(uri.path());
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
        let method = read_method(request.method, class_name, config.class_changes_data.get(class).copied())?;
        let target = read_target(&uri, headers)?;
        check_length(framing, max_body_bytes)?;
        let mut forwarded_headers = vec![
            (QOS_POLICY, plan_name.to_owned()),
            (CHUNK, chunk.to_owned()),
            (PLACEMENT, placement_text.to_owned()),
        ];
        forwarded_headers.extend(read_optional_headers(headers)?);
        Ok(ParsedRequest {
            id: id.to_owned(),
            numeric_id,
            method,
            target,
            headers: forwarded_headers,
            class,
            plan,
            key,
            // Limited to the timeout of the class, so that no request is queued indefinitely.
            timeout: timeout.min(config.settings.classes[class].timeout),
            placement,
            framing,
        })
    }

    /// The memory to reserve for the request's head: what it takes up beyond the buffer that each connection has.
    pub(super) fn reserved_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(_, value)| value.len()).sum::<usize>();
        (self.target.len() + headers).saturating_sub(REQUEST_BUFFER_BYTES)
    }

    /// Converts the request into its specification for the dispatcher and the request to send to a backend.
    pub(super) fn into_backend_request(
        self,
        deadline: Micros,
        body: RequestBody,
        head_memory: MemoryReservation,
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
            reservations: vec![body.reservation, head_memory],
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
fn header_text<'a>(headers: &Fields<'a>, name: &'static str) -> Result<&'a str, RequestError> {
    headers.single(name).map_err(|error| match error {
        FieldError::Missing => RequestError::MissingHeader(name),
        FieldError::Repeated => RequestError::RepeatedHeader(name),
        FieldError::NotText => RequestError::NonTextHeader(name),
    })
}

/// Parses the client's timeout.
fn read_timeout(headers: &Fields<'_>) -> Result<Micros, RequestError> {
    let text = header_text(headers, TIMEOUT)?;
    let timeout_ms: Option<u64> = text.parse().ok();
    let timeout_ms = timeout_ms.filter(|timeout_ms| (1..=MAX_TIMEOUT_MS).contains(timeout_ms));
    timeout_ms.map(|timeout_ms| timeout_ms * 1000).ok_or_else(|| malformed(TIMEOUT, text))
}

/// The method, if a class allows it. `writes` states whether the class changes data; `None` if not configured, which
/// allows both GET and PUT.
fn read_method(method: &str, class_name: &str, writes: Option<bool>) -> Result<Method, RequestError> {
    match method {
        "GET" if writes != Some(true) => Ok(Method::GET),
        "PUT" if writes != Some(false) => Ok(Method::PUT),
        _ => {
            let method = Excerpt::of(method);
            Err(RequestError::MethodNotAllowed { method, class: class_name.to_owned() })
        }
    }
}

/// The path and query of a request. Absolute targets and protocol upgrades are rejected.
fn read_target(uri: &Uri, headers: &Fields<'_>) -> Result<String, RequestError> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    if uri.authority().is_some() || !target.starts_with('/') || headers.contains("Upgrade") {
        return Err(RequestError::MalformedTarget);
    }
    Ok(target.to_owned())
}

/// Checks the length that a request states against the largest body that is accepted.
fn check_length(framing: BodyFraming, max_body_bytes: usize) -> Result<(), RequestError> {
    if matches!(framing, BodyFraming::Length(length) if length > max_body_bytes as u64) {
        return Err(RequestError::BodyTooLarge { max: max_body_bytes });
    }
    Ok(())
}

/// The optional headers that are present in a request.
fn read_optional_headers(headers: &Fields<'_>) -> Result<Vec<(&'static str, String)>, RequestError> {
    let present = OPTIONAL_HEADERS.into_iter().filter(|name| headers.contains(name));
    present.map(|name| Ok((name, header_text(headers, name)?.to_owned()))).collect()
}
