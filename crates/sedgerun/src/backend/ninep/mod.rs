//! Attempts over 9P. All attempts at a backend share one connection; each uses its own tags and fids.
//!
//! An attempt walks from the backend's root and so needs no state of earlier attempts. After it has opened a
//! file, the fid is cached under the client's handle, and later attempts at the same backend reuse it.

mod connection;
mod fids;
mod files;
mod frame_writer;
mod in_flight;
mod operation;
mod request;
mod roots;

pub use request::{FileOperation, NinePBackendRequest};

use super::{AttemptContext, BackendResponse};
use crate::descriptors::Descriptors;
use crate::memory_budget::MemoryBudget;
use connection::{AttemptConnection, CallError, Connection, ConnectionLost};
use operation::Operation;
use sedgerun_dispatch::{AttemptResult, AttemptStage};
use sedgerun_policy::{AttemptEnd, BackendId};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;

/// A backend's connection; `None` before it is first opened. The lock is held while the connection is opened.
type SharedConnection = Rc<Mutex<Option<Rc<Connection>>>>;

/// The 9P client for all backends.
pub struct NinePBackend {
    /// 9P addresses by backend.
    pub addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    connections: RefCell<HashMap<BackendId, SharedConnection>>,
    connect_timeout: Duration,
    descriptors: Descriptors,
    /// The memory for attached roots at all backends.
    root_memory: MemoryBudget,
}

impl NinePBackend {
    /// Creates a client with no backend known yet. `connect_timeout` limits opening a connection, including
    /// version negotiation; `root_bytes` limits the memory for attached roots at all backends.
    pub fn new(connect_timeout: Duration, descriptors: Descriptors, root_bytes: usize) -> NinePBackend {
        NinePBackend {
            addresses: RefCell::default(),
            connections: RefCell::default(),
            connect_timeout,
            descriptors,
            root_memory: MemoryBudget::new(root_bytes, root_bytes),
        }
    }

    /// The connection to a backend, which is opened if there is no usable one. Concurrent attempts wait for
    /// the attempt that opens it.
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
            old.close(&"a Tflush had no response");
        }
        let opening = Connection::open(address, self.descriptors.acquire(), self.root_memory.clone());
        let connection = tokio::time::timeout(self.connect_timeout, opening)
            .await
            .map_err(|_| AttemptEnd::ConnectTimeout)?
            .map_err(|ConnectionLost| AttemptEnd::ConnectFailed)?;
        *current = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// Makes one attempt. Dropping the future sends a `Tflush` for the message in flight.
    pub async fn attempt(
        &self,
        backend: BackendId,
        address: SocketAddr,
        context: &AttemptContext,
        request: &NinePBackendRequest,
    ) -> AttemptResult<BackendResponse> {
        let connection = match self.connection(backend, address).await {
            Ok(connection) => connection,
            Err(end) => return AttemptResult::without_response(end),
        };
        context.progress.advance(AttemptStage::AwaitingResponse);
        let connection = AttemptConnection::new(connection, context);
        let may_have_run = || request.op.has_effect() && context.begin_check.has_begun();
        match Operation::new(&connection, request).run().await {
            Ok(message) => AttemptResult {
                response: Some(BackendResponse::Ninep(message)),
                ..AttemptResult::without_response(AttemptEnd::Ok)
            },
            Err(CallError::ConnectionLost(_)) if may_have_run() => {
                AttemptResult::without_response(AttemptEnd::Reset)
            }
            // The connection was lost before a message with an effect was sent: the operation never ran.
            Err(CallError::ConnectionLost(_)) => AttemptResult::without_response(AttemptEnd::ConnectFailed),
            Err(CallError::CalledOff(error)) => {
                tracing::info!("9P {} at {address}: not sent: {error}", request.op.name());
                AttemptResult::without_response(AttemptEnd::CancelledUnsent)
            }
        }
    }

    /// Releases the fids cached for a client's file, which the client has closed. Each backend receives the
    /// `Tclunk` with its next attempt.
    pub fn release(&self, handle: u64) {
        for shared in self.connections.borrow().values() {
            let Ok(current) = shared.try_lock() else { continue };
            if let Some(connection) = current.as_ref() {
                connection.fids.borrow_mut().release(handle);
            }
        }
    }
}
