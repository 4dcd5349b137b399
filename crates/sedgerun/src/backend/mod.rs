//! Backend clients: make attempts at backends, each over the protocol of its request.
//!
//! [`Backends`] owns the clients of both protocols and the names and addresses of the backends. The
//! dispatcher selects the backend of an attempt and decides on retries.

mod attempt_context;
mod backend_names;
mod begin_check;
pub mod http;
pub mod ninep;
pub mod pool;
mod transfer;

pub use attempt_context::{AttemptContext, AttemptProgress, AttemptReport};
pub use backend_names::BackendNames;
pub use begin_check::{BeginCheck, CalledOff};
pub use transfer::Transfer;

use crate::descriptors::Descriptors;
use sedgerun_dispatch::AttemptResult;
use sedgerun_policy::BackendId;
use sedgerun_protocol_9p::Message;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A client's request, which a front end submits to the dispatcher and an attempt sends to a backend.
#[derive(Debug)]
pub enum BackendRequest {
    /// An HTTP request.
    Http(http::HttpBackendRequest),
    /// A 9P operation.
    Ninep(ninep::NinePBackendRequest),
}

impl BackendRequest {
    /// Whether it reaches its backend in one message, and not in several with waits between them.
    pub fn is_one_message(&self) -> bool {
        matches!(self, BackendRequest::Http(_))
    }
}

impl std::fmt::Display for BackendRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BackendRequest::Http(request) => write!(formatter, "request {}", request.id),
            BackendRequest::Ninep(request) => {
                write!(formatter, "9P {} of /{}", request.op.name(), request.path.join("/"))
            }
        }
    }
}

/// A backend's response, in the protocol of the request.
#[derive(Debug)]
pub enum BackendResponse {
    /// The body of a 200.
    Http(http::HttpResponseBody),
    /// The 9P response message.
    Ninep(Message),
}

/// The clients, names and addresses of all backends.
pub struct Backends {
    /// Names and ids of backends.
    pub names: BackendNames,
    /// HTTP addresses by backend.
    pub addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    /// The HTTP client.
    pub http: http::HttpBackend,
    /// The 9P client.
    pub ninep: ninep::NinePBackend,
    descriptors: Descriptors,
}

impl Backends {
    /// Creates the set of backends, with no backend known yet.
    pub fn new(http: http::HttpBackend, ninep: ninep::NinePBackend, descriptors: Descriptors) -> Backends {
        Backends { names: BackendNames::default(), addresses: RefCell::default(), http, ninep, descriptors }
    }

    /// The descriptor limit of the process.
    pub fn descriptors(&self) -> &Descriptors {
        &self.descriptors
    }

    /// Sets or clears a backend's HTTP address. If the address changes, idle connections to the previous one
    /// are closed.
    pub fn set_address(&self, backend: BackendId, address: Option<SocketAddr>) {
        let previous = match address {
            Some(address) => self.addresses.borrow_mut().insert(backend, address),
            None => self.addresses.borrow_mut().remove(&backend),
        };
        if let Some(previous) = previous.filter(|previous| Some(*previous) != address) {
            self.http.remove_client(previous);
        }
    }

    /// Removes a backend. If its name is used again, it gets a new id. 9P backends are listed in the
    /// operator's file and are never removed.
    pub fn remove(&self, backend: BackendId) {
        self.set_address(backend, None);
        self.names.remove(backend);
    }

    /// Makes an attempt; `None` if the backend has no address for the request's protocol.
    pub async fn attempt(
        &self,
        backend: BackendId,
        context: &AttemptContext,
        request: &BackendRequest,
    ) -> Option<AttemptResult<BackendResponse>> {
        match request {
            BackendRequest::Http(request) => {
                let address = self.addresses.borrow().get(&backend).copied()?;
                Some(self.http.attempt(address, context, request).await)
            }
            BackendRequest::Ninep(request) => {
                let address = self.ninep.addresses.borrow().get(&backend).copied()?;
                Some(self.ninep.attempt(backend, address, context, request).await)
            }
        }
    }
}
