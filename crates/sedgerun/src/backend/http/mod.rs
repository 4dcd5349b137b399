//! Attempts over HTTP/1.1, with awc.
//!
//! [`HttpBackend`] owns a client, and with it a pool of connections, for each address. An attempt is one request and
//! one response; there is no retry and no deadline in here, the caller drops the future.

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
use response::{LoadReport, end_of_error, end_of_status, read_body, release_after_rest};
use sedgerun_dispatch::AttemptResult;
use sedgerun_policy::{AttemptEnd, Micros};
use std::cell::RefCell;
use std::net::SocketAddr;

/// The largest body of a request, in bytes, that needs no memory reservation.
pub const MOST_BODY: usize = 64 * 1024;

/// A client's request, to be passed on unchanged.
#[derive(Debug)]
pub struct HttpBackendRequest {
    /// Its `Request-Id`.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers that a backend reads, and their values.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// Keeps the id from being used again for as long as the request, or an attempt of it, is open.
    pub request_id_guard: Option<RequestIdGuard>,
    /// What a body over 64 KiB takes of the memory budget, for as long as the request is open.
    pub body_reservation: Option<MemoryReservation>,
}

/// The HTTP client of the program: one with a pool of connections for each address, so that those to a backend
/// that was removed are closed with it.
pub struct HttpBackend {
    clients: RefCell<ClientPool<Client>>,
    timeouts: ConnectionTimeouts,
    budget: MemoryBudget,
    descriptors: Descriptors,
    /// Descriptors that connections kept to backends leave free.
    spare_descriptors: usize,
}

impl HttpBackend {
    /// A client with these timeouts, and this budget for responses. Where it would leave fewer descriptors than
    /// `spare`, a connection to another backend comes in place of the one that rested longest.
    pub fn new(
        timeouts: ConnectionTimeouts,
        budget: MemoryBudget,
        descriptors: Descriptors,
        spare: usize,
    ) -> HttpBackend {
        HttpBackend { clients: RefCell::default(), timeouts, budget, descriptors, spare_descriptors: spare }
    }

    /// Closes all idle connections. Those in use stay until their attempts end.
    pub fn shed_idle(&self) {
        self.clients.borrow_mut().clear();
    }

    /// Closes the idle connections to an address, and those in use once their attempts end.
    pub fn forget(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(address);
    }

    /// The client of an address.
    fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        if self.descriptors.available() == 0 {
            // Idle connections to other backends give way to one to this.
            clients.retain_only(address);
        }
        if let Some(client) = clients.get(address) {
            return client;
        }
        // Guards against more backends than there are descriptors: were these to run out, all idle connections would
        // be closed at once, time and again, and hardly one be used twice.
        if self.descriptors.available() <= self.spare_descriptors {
            clients.remove_least_recent();
        }
        let client = client(self.timeouts, &self.budget, &self.descriptors, 1, None);
        clients.insert(address, client.clone());
        client
    }

    /// Makes one attempt, and tells the backend that it has `time_left`. Dropping the future closes its connection.
    pub async fn attempt(
        &self,
        address: SocketAddr,
        time_left: Micros,
        request: &HttpBackendRequest,
    ) -> AttemptResult<BackendResponse> {
        // The client stays alive with the attempt, also where the pool gives it up meanwhile.
        let client = self.client(address);
        let awc_request = build_request(&client, address, time_left, request);
        // A write keeps its framing even where its body is empty.
        let sending = if request.body.is_empty() && request.method == Method::GET {
            awc_request.send()
        } else {
            awc_request.send_body(request.body.clone())
        };
        let mut response = match sending.await {
            Ok(response) => response,
            Err(error) => return AttemptResult::without_response(end_of_error(&error)),
        };
        let end = end_of_status(response.status(), response.headers());
        let report = LoadReport::read(response.headers());
        let Some(body) = read_body(&mut response).await else {
            return AttemptResult::without_response(AttemptEnd::Reset);
        };
        release_after_rest(response);
        AttemptResult {
            end,
            response: (end == AttemptEnd::Ok).then_some(BackendResponse::Http(body)),
            volume_usage: report.volume_usage,
            units_elsewhere: report.units_elsewhere,
        }
    }
}

/// The request of an attempt, its body not added yet.
fn build_request(
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
