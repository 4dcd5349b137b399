//! Attempts over 9P. All attempts at a backend share one connection; each uses its own tags and fids.
//!
//! An attempt walks from the backend's root and so needs no state of earlier attempts. After it has opened a
//! file, the fid is cached under the client's handle, and later attempts at the same backend reuse it. Where a path is
//! walked anew, it must lead to the file that the client's fid refers to ([`FileIdentity`]).

mod connection;
mod fids;
mod file_identity;
mod files;
mod frame_writer;
mod in_flight;
mod operation;
mod request;
mod roots;

pub use file_identity::FileIdentity;
pub use request::{FileOperation, NinePBackendRequest};

use super::{AttemptContext, BackendResponse};
use crate::descriptors::Descriptors;
use crate::memory_budget::MemoryBudget;
use connection::{AttemptConnection, CallError, Connection, ConnectionLost};
use operation::{Operation, OperationError};
use sedgerun_dispatch::{AttemptResult, AttemptStage};
use sedgerun_policy::{AttemptEnd, BackendId};
use sedgerun_protocol_9p::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;

/// The error for a client whose file another one has replaced.
const STALE_FILE: &str = "stale file handle: another file has its name";

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
    /// Operations that were refused, as their path led to another file.
    replaced_files: Cell<u64>,
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
            replaced_files: Cell::new(0),
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
        let message = match Operation::new(&connection, request).run().await {
            Ok(message) => message,
            Err(OperationError::FileReplaced(error)) => {
                tracing::info!(
                    "9P {} of /{} at {address}: {error}",
                    request.op.name(),
                    request.path.join("/")
                );
                self.replaced_files.set(self.replaced_files.get() + 1);
                Message::Rerror { ename: STALE_FILE.into() }
            }
            Err(OperationError::Call(CallError::ConnectionLost(_))) if may_have_run() => {
                return AttemptResult::without_response(AttemptEnd::Reset);
            }
            // The connection was lost before a message with an effect was sent: the operation never ran.
            Err(OperationError::Call(CallError::ConnectionLost(_))) => {
                return AttemptResult::without_response(AttemptEnd::ConnectFailed);
            }
            Err(OperationError::Call(CallError::CalledOff(error))) => {
                tracing::info!("9P {} at {address}: not sent: {error}", request.op.name());
                return AttemptResult::without_response(AttemptEnd::CancelledUnsent);
            }
        };
        AttemptResult {
            response: Some(BackendResponse::Ninep(message)),
            ..AttemptResult::without_response(AttemptEnd::Ok)
        }
    }

    /// The operations that were refused, as their path led to another file than the client's.
    pub fn replaced_files(&self) -> u64 {
        self.replaced_files.get()
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
