//! The client side of the program: makes attempts at backends, each over the protocol that its request came in.
//!
//! [`Backends`] owns the clients of both protocols, the backends' names and their addresses. Which backend an attempt
//! goes to, and whether there is another, is decided elsewhere.

pub mod answer;
mod attempt_started;
mod backend_names;
mod complete_response_stream;
pub mod http;
mod memory_budget;
pub mod ninep;
pub mod pool;
mod response_reader;

pub use attempt_started::AttemptStarted;
pub use backend_names::BackendNames;

use crate::descriptors::Descriptors;
use bytes::Bytes;
use sedgerun_dispatch::AttemptResult;
use sedgerun_policy::{BackendId, Micros};
use sedgerun_protocol_9p::Message;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A client's request, as a front end hands it through the dispatcher.
#[derive(Debug)]
pub enum BackendRequest {
    /// An HTTP request.
    Http(http::HttpBackendRequest),
    /// A 9P operation.
    Ninep(ninep::NinePBackendRequest),
}

/// A backend's response, in the protocol of the request.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendResponse {
    /// The body of a 200.
    Http(Bytes),
    /// The 9P reply.
    Ninep(Message),
}

/// The backends of both protocols.
pub struct Backends {
    /// The numbers of backends.
    pub names: BackendNames,
    /// The HTTP addresses of backends.
    pub addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    /// The HTTP client.
    pub http: http::HttpBackend,
    /// The 9P client.
    pub ninep: ninep::NinePBackend,
    descriptors: Descriptors,
}

impl Backends {
    /// The clients, with no backend known yet.
    pub fn new(http: http::HttpBackend, ninep: ninep::NinePBackend, descriptors: Descriptors) -> Backends {
        Backends { names: BackendNames::default(), addresses: RefCell::default(), http, ninep, descriptors }
    }

    /// The program's descriptors.
    pub fn descriptors(&self) -> &Descriptors {
        &self.descriptors
    }

    /// Sets a backend's HTTP address, where it has one; idle connections to the one it had before are closed.
    pub fn set_address(&self, backend: BackendId, address: Option<SocketAddr>) {
        let previous = match address {
            Some(address) => self.addresses.borrow_mut().insert(backend, address),
            None => self.addresses.borrow_mut().remove(&backend),
        };
        if let Some(previous) = previous.filter(|previous| Some(*previous) != address) {
            self.http.forget(previous);
        }
    }

    /// Forgets a backend that was removed. Its name, should it come back, gets a new number. Backends that speak 9P
    /// stand in the operator's file and are never forgotten.
    pub fn forget(&self, backend: BackendId) {
        self.set_address(backend, None);
        self.names.forget(backend);
    }

    /// Makes an attempt, whose deadline is `time_left` from now; `None` where the backend cannot take this kind of
    /// request.
    pub async fn attempt(
        &self,
        backend: BackendId,
        time_left: Micros,
        request: &BackendRequest,
    ) -> Option<AttemptResult<BackendResponse>> {
        match request {
            BackendRequest::Http(request) => {
                let address = self.addresses.borrow().get(&backend).copied()?;
                Some(self.http.attempt(address, time_left, request).await)
            }
            BackendRequest::Ninep(request) => {
                let address = self.ninep.addresses.borrow().get(&backend).copied()?;
                Some(self.ninep.attempt(backend, address, request).await)
            }
        }
    }
}
