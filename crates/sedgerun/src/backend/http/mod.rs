//! Attempts over HTTP/1.1, with awc.
//!
//! [`HttpBackend`] owns one client, with its own connection pool, for each address. An attempt is one request
//! and one response. This module neither retries nor enforces deadlines: the caller drops the future to
//! cancel an attempt.

mod client;
mod response;

pub use client::{ConnectionTimeouts, client};
pub use response::content_length;

use super::BackendResponse;
use super::memory_budget::{MemoryBudget, MemoryReservation};
use super::pool::ClientPool;
use crate::descriptors::Descriptors;
use crate::request_ids::RequestIdGuard;
use actix_http::Method;
use awc::{Client, ClientRequest};
use bytes::Bytes;
use response::{LoadReport, attempt_end_of_error, attempt_end_of_status, read_body, release_after_delay};
use sedgerun_dispatch::AttemptResult;
use sedgerun_policy::{AttemptEnd, Micros};
use std::cell::RefCell;
use std::net::SocketAddr;

/// The largest request body, in bytes, that needs no memory reservation.
pub const MAX_UNRESERVED_BODY_BYTES: usize = 64 * 1024;

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
    pub body: Bytes,
    /// Prevents reuse of the id while the request or any of its attempts is open.
    pub request_id_guard: Option<RequestIdGuard>,
    /// The reservation in the memory budget for a body over 64 KiB, held while the request is open.
    pub body_reservation: Option<MemoryReservation>,
}

/// The HTTP client for all backends. It keeps a client with its own connection pool for each address, so that
/// removing a backend also closes its connections.
pub struct HttpBackend {
    clients: RefCell<ClientPool<Client>>,
    timeouts: ConnectionTimeouts,
    budget: MemoryBudget,
    descriptors: Descriptors,
    /// If no more descriptors than this are available, a client for a new address replaces the least recently
    /// used.
    spare_descriptors: usize,
}

impl HttpBackend {
    /// Creates a client; `budget` limits the memory for response bodies. Once no more than
    /// `spare_descriptors` are available, the client for a new address replaces the least recently used one,
    /// whose idle connections close.
    pub fn new(
        timeouts: ConnectionTimeouts,
        budget: MemoryBudget,
        descriptors: Descriptors,
        spare_descriptors: usize,
    ) -> HttpBackend {
        HttpBackend { clients: RefCell::default(), timeouts, budget, descriptors, spare_descriptors }
    }

    /// Closes all idle connections. Connections in use close when their attempts end.
    pub fn close_idle_connections(&self) {
        self.clients.borrow_mut().clear();
    }

    /// Removes the client of an address: idle connections close now, connections in use when their attempts
    /// end.
    pub fn remove_client(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(address);
    }

    /// The client of an address, created on first use.
    fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        if self.descriptors.available() == 0 {
            // Closes the idle connections to other backends to free descriptors for this one.
            clients.retain_only(address);
        }
        if let Some(client) = clients.get(address) {
            return client;
        }
        // With more backends than descriptors, removing one client at a time keeps most connections reusable.
        // If the descriptors ran out, all idle connections would be closed at once, again and again, and
        // hardly any reused.
        if self.descriptors.available() <= self.spare_descriptors {
            clients.remove_least_recent();
        }
        let client = client(self.timeouts, &self.budget, &self.descriptors, 1, None);
        clients.insert(address, client.clone());
        client
    }

    /// Makes one attempt and sends `time_left` to the backend as `Request-Timeout-Ms`. Dropping the future
    /// closes the attempt's connection.
    pub async fn attempt(
        &self,
        address: SocketAddr,
        time_left: Micros,
        request: &HttpBackendRequest,
    ) -> AttemptResult<BackendResponse> {
        // Holds the client until the attempt ends, even if the pool removes it in the meantime.
        let client = self.client(address);
        let awc_request = build_awc_request(&client, address, time_left, request);
        // A write has a `Content-Length` even if its body is empty.
        let sending = if request.body.is_empty() && request.method == Method::GET {
            awc_request.send()
        } else {
            awc_request.send_body(request.body.clone())
        };
        let mut response = match sending.await {
            Ok(response) => response,
            Err(error) => return AttemptResult::without_response(attempt_end_of_error(&error)),
        };
        let end = attempt_end_of_status(response.status(), response.headers());
        let report = LoadReport::read(response.headers());
        let Some(body) = read_body(&mut response).await else {
            return AttemptResult::without_response(AttemptEnd::Reset);
        };
        release_after_delay(response);
        AttemptResult {
            end,
            response: (end == AttemptEnd::Ok).then_some(BackendResponse::Http(body)),
            volume_usage: report.volume_usage,
            units_elsewhere: report.units_elsewhere,
        }
    }
}

/// Builds the request of an attempt without its body.
fn build_awc_request(
    client: &Client,
    address: SocketAddr,
    time_left: Micros,
    request: &HttpBackendRequest,
) -> ClientRequest {
    let url = format!("http://{address}{}", request.target);
    let mut awc_request = client
        .request(request.method.clone(), url)
        .insert_header(("Request-Id", request.id.as_str()))
        .insert_header(("Request-Timeout-Ms", (time_left / 1000).max(1).to_string()));
    for (name, value) in &request.headers {
        awc_request = awc_request.insert_header((*name, value.as_str()));
    }
    awc_request
}
