//! Attempts over 9P: one connection a backend, shared by its attempts, each with tags and fids of its own.
//!
//! An attempt walks from the backend's root, so that it needs nothing that an earlier one left there. A fid that
//! it has opened is parked under the client's handle, and the next attempt at the same backend takes it up.

mod connection;
mod fids;
mod files;
mod in_flight;
mod operation;
mod request;

pub use request::{FileOperation, NinePBackendRequest};

use super::{AttemptStarted, BackendResponse};
use crate::descriptors::Descriptors;
use connection::{Connection, ConnectionLost};
use operation::Operation;
use sedgerun_dispatch::AttemptResult;
use sedgerun_policy::{AttemptEnd, BackendId};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;

/// A backend's connection, once there is one; locked while it is being made.
type SharedConnection = Rc<Mutex<Option<Rc<Connection>>>>;

/// The 9P client of the program.
pub struct NinePBackend {
    /// The 9P addresses of backends.
    pub addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    connections: RefCell<HashMap<BackendId, SharedConnection>>,
    connect_timeout: Duration,
    descriptors: Descriptors,
}

impl NinePBackend {
    /// A client that knows no backend yet. A connection not made within `connect_timeout` is given up.
    pub fn new(connect_timeout: Duration, descriptors: Descriptors) -> NinePBackend {
        NinePBackend {
            addresses: RefCell::default(),
            connections: RefCell::default(),
            connect_timeout,
            descriptors,
        }
    }

    /// The connection to a backend. Attempts that find none wait for the one that makes it.
    async fn connection(
        &self,
        backend: BackendId,
        address: SocketAddr,
    ) -> Result<Rc<Connection>, AttemptEnd> {
        let shared = Rc::clone(self.connections.borrow_mut().entry(backend).or_default());
        let mut current = shared.lock().await;
        if let Some(connection) = current.as_ref().filter(|connection| connection.is_usable()) {
            return Ok(Rc::clone(connection));
        }
        if let Some(old) = current.take() {
            old.close();
        }
        let opening = Connection::open(address, self.descriptors.acquire());
        let connection = tokio::time::timeout(self.connect_timeout, opening)
            .await
            .map_err(|_| AttemptEnd::ConnectTimeout)?
            .map_err(|ConnectionLost| AttemptEnd::ConnectFailed)?;
        *current = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// Makes one attempt. Dropping the future flushes what it has in flight.
    pub async fn attempt(
        &self,
        backend: BackendId,
        address: SocketAddr,
        request: &NinePBackendRequest,
    ) -> AttemptResult<BackendResponse> {
        let connection = match self.connection(backend, address).await {
            Ok(connection) => connection,
            Err(end) => return AttemptResult::without_response(end),
        };
        AttemptStarted::mark();
        let mut operation = Operation::new(&connection, request);
        match operation.run().await {
            Ok(message) => AttemptResult {
                response: Some(BackendResponse::Ninep(message)),
                ..AttemptResult::without_response(AttemptEnd::Ok)
            },
            // Broken off before the message that takes effect has left: it never ran.
            Err(ConnectionLost) if !operation.effect_sent() => {
                AttemptResult::without_response(AttemptEnd::ConnectFailed)
            }
            Err(ConnectionLost) => AttemptResult::without_response(AttemptEnd::Reset),
        }
    }

    /// A client's open file is closed: the backends are notified with their next attempts.
    pub fn release(&self, handle: u64) {
        for shared in self.connections.borrow().values() {
            let Ok(current) = shared.try_lock() else { continue };
            if let Some(connection) = current.as_ref() {
                connection.fids.borrow_mut().release(handle);
            }
        }
    }
}
