//! Attempts over HTTP/1.1.
//!
//! [`HttpBackend`] keeps the idle connections of each address. An attempt is one request and one response. This module
//! neither retries nor enforces deadlines: the caller drops the future to cancel an attempt.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | one connection: opens it, writes requests and reads the heads of responses |
//! | `idle_connections` | the connections to one address that wait for their next request |
//! | `response_body` | receives a body whole, or passes it on in parts where there is no memory for it |
//! | `outcome` | how an attempt ended |

mod connection;
mod idle_connections;
mod outcome;
mod response_body;

pub use connection::{
    Connection, ConnectionResources, ConnectionTimeouts, MAX_HEAD_BYTES, OpenError, RECEIVE_BUFFER_BYTES,
    ResponseError, ResponseSummary, SendError,
};
pub use idle_connections::IdleConnections;
pub use response_body::{BodyReader, BufferedBody, HttpResponseBody, StreamedBody, WholeBody, receive_body};

use super::pool::ClientPool;
use super::{AttemptContext, BackendResponse};
use crate::descriptors::Descriptors;
use crate::http1::BodyFraming;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::request_ids::RequestIdGuard;
use http::Method;
use outcome::{LoadReport, attempt_end_of_open_error, attempt_end_of_response, attempt_end_of_send_error};
use sedgerun_dispatch::{AttemptResult, AttemptStage};
use sedgerun_policy::AttemptEnd;
use std::cell::RefCell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A request body over so many bytes may still be in the system's buffers long after it was written.
const LARGE_BODY_BYTES: usize = 64 * 1024;
/// The largest body of an error response that is read so that its connection can be reused, in bytes.
const MAX_DISCARDED_BODY_BYTES: u64 = 64 * 1024;
/// Time in which the rest of such a body must arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// A client's request, which is forwarded unchanged.
#[derive(Debug)]
pub struct HttpBackendRequest {
    /// Its `Request-Id`.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub target: String,
    /// Names and values of the headers that backends read.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Prevents reuse of the id while the request or any of its attempts is open.
    pub request_id_guard: Option<RequestIdGuard>,
    /// The memory reserved for the request, held while it or any of its attempts is open.
    pub reservations: Vec<MemoryReservation>,
}

/// The HTTP client for all backends. It keeps the idle connections of each address apart, so that removing a backend
/// also closes its connections.
pub struct HttpBackend {
    clients: RefCell<ClientPool<Rc<IdleConnections>>>,
    timeouts: ConnectionTimeouts,
    /// The memory for response bodies.
    body_budget: MemoryBudget,
    resources: ConnectionResources,
    /// If no more descriptors than this are available, connections to a new address replace the least recently used.
    spare_descriptors: usize,
}

impl HttpBackend {
    /// Creates a client; `body_budget` limits the memory for response bodies and `head_budget` that for their heads.
    /// Once no more than `spare_descriptors` are available, the idle connections to the least recently used address
    /// close for those to a new one.
    pub fn new(
        timeouts: ConnectionTimeouts,
        body_budget: MemoryBudget,
        head_budget: MemoryBudget,
        descriptors: Descriptors,
        spare_descriptors: usize,
    ) -> HttpBackend {
        let resources = ConnectionResources { descriptors, min_descriptors: 1, head_budget, traffic: None };
        HttpBackend { clients: RefCell::default(), timeouts, body_budget, resources, spare_descriptors }
    }

    /// Closes all idle connections. Connections in use close when their attempts end.
    pub fn close_idle_connections(&self) {
        self.clients.borrow_mut().clear();
    }

    /// Closes the idle connections that cannot be used any more.
    pub fn close_unusable_connections(&self) {
        self.clients.borrow().iter().for_each(|connections| connections.close_unusable());
    }

    /// Removes the connections of an address: idle ones close now, those in use when their attempts end.
    pub fn remove_client(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(address);
    }

    /// The connections of an address.
    fn connections(&self, address: SocketAddr) -> Rc<IdleConnections> {
        let mut clients = self.clients.borrow_mut();
        let available = self.resources.descriptors.available();
        if available == 0 {
            // Closes the idle connections to other backends to free descriptors for this one.
            clients.retain_only(address);
        }
        if let Some(connections) = clients.get(address) {
            return connections;
        }
        // With more backends than descriptors, closing those of one address at a time keeps most connections reusable.
        // If the descriptors ran out, all idle connections would be closed at once, again and again, and hardly any
        // reused.
        if available <= self.spare_descriptors {
            clients.remove_least_recent();
        }
        let connections = IdleConnections::new(self.timeouts.idle);
        clients.insert(address, Rc::clone(&connections));
        connections
    }

    /// Makes one attempt, and tells the backend the time that is left when its request is written. Dropping the future
    /// closes the attempt's connection.
    pub async fn attempt(
        &self,
        address: SocketAddr,
        context: &AttemptContext,
        request: &HttpBackendRequest,
    ) -> AttemptResult<BackendResponse> {
        // Holds the connections until the attempt ends, even if their address is removed in the meantime.
        let connections = self.connections(address);
        let connection = match connections.take() {
            Some(connection) => connection,
            None => match Connection::open(address, self.timeouts.dial, &self.resources).await {
                Ok(connection) => connection,
                Err(error) => {
                    tracing::info!("request {}: no connection to {address}: {error}", request.id);
                    return AttemptResult::without_response(attempt_end_of_open_error(&error));
                }
            },
        };
        match self.exchange(connection, connections, context, request, address).await {
            Ok(result) => result,
            Err(end) => AttemptResult::without_response(end),
        }
    }

    /// Writes a request to a connection and reads its response.
    async fn exchange(
        &self,
        mut connection: Connection,
        connections: Rc<IdleConnections>,
        context: &AttemptContext,
        request: &HttpBackendRequest,
        address: SocketAddr,
    ) -> Result<AttemptResult<BackendResponse>, AttemptEnd> {
        let sent = send_request(&mut connection, context, request, address).await;
        sent.map_err(|error| {
            tracing::info!("request {}: not written to {address}: {error}", request.id);
            attempt_end_of_send_error(&error)
        })?;
        let is_large = request.body.len() > LARGE_BODY_BYTES;
        let stage = if is_large { AttemptStage::BackendReading } else { AttemptStage::AwaitingResponse };
        context.progress.advance(stage);
        let response = self.receive(connection, connections, context).await;
        response.map_err(|error| {
            tracing::info!("request {}: response of {address}: {error}", request.id);
            AttemptEnd::Reset
        })
    }

    async fn receive(
        &self,
        mut connection: Connection,
        connections: Rc<IdleConnections>,
        context: &AttemptContext,
    ) -> Result<AttemptResult<BackendResponse>, ResponseError> {
        let on_partial = || context.progress.advance(AttemptStage::ReceivingResponse);
        let summary = connection.read_head(on_partial).await?;
        if context.begin_check.acknowledgement_timeout().is_some() {
            connection.clear_acknowledgement_timeout();
        }
        let end = attempt_end_of_response(&summary);
        let report = LoadReport::of(&summary);
        let reader = BodyReader::new(connection, summary.framing, summary.keep_alive.then_some(connections));
        let body = if end == AttemptEnd::Ok {
            Some(receive_body(reader, summary.framing, &self.body_budget, context).await?)
        } else {
            discard_body(reader, summary.framing);
            None
        };
        Ok(AttemptResult {
            end,
            transfer_continues: matches!(body, Some(HttpResponseBody::Streamed(_))),
            response: body.map(BackendResponse::Http),
            volume_usage: report.volume_usage,
            units_elsewhere: report.units_elsewhere,
        })
    }
}

/// Writes an attempt's request, unless the attempt may not begin any more.
async fn send_request(
    connection: &mut Connection,
    context: &AttemptContext,
    request: &HttpBackendRequest,
    address: SocketAddr,
) -> Result<(), SendError> {
    let check = &context.begin_check;
    check.heed_news().await;
    check.ask()?;
    let time_left = context.time_left();
    let head = request_head(request, address, time_left / 1000);
    context.progress.advance(AttemptStage::Sending);
    let stall_time = Duration::from_micros(time_left.max(1));
    let sending = connection.send_attempt(head.as_bytes(), &request.body, stall_time, check);
    let begin_before = context.clock.instant(check.begin_before());
    let sent = tokio::time::timeout_at(begin_before.into(), sending).await;
    sent.unwrap_or_else(|_| Err(check.call_off().into()))
}

/// Reads a body that nobody needs to its end, so that its connection can be reused; closes the connection of a large
/// or slow one.
fn discard_body(mut reader: BodyReader, framing: BodyFraming) {
    if matches!(framing, BodyFraming::Length(length) if length > MAX_DISCARDED_BODY_BYTES) {
        return;
    }
    actix_rt::spawn(async move {
        let discarding = async {
            let mut left = MAX_DISCARDED_BODY_BYTES;
            while let Ok(has_data) = reader.wait_for_data().await {
                if !has_data {
                    return reader.finish();
                }
                let Some(rest) = left.checked_sub(reader.data().len() as u64) else { return };
                left = rest;
                reader.consume_data();
            }
        };
        // A body that is late closes its connection.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
    });
}

/// The head of an attempt's request.
fn request_head(request: &HttpBackendRequest, address: SocketAddr, timeout_ms: u64) -> String {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\nRequest-Id: {}\r\nRequest-Timeout-Ms: {}\r\n",
        request.method,
        request.target,
        request.id,
        timeout_ms.max(1)
    );
    for (name, value) in &request.headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    // A write has a `Content-Length` even if its body is empty.
    if !request.body.is_empty() || request.method != Method::GET {
        let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
    }
    head.push_str("\r\n");
    head
}
