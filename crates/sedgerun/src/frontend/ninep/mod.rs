//! The 9P2000 front end: client sessions. Fids and their paths are kept in the session, so that a fid stays
//! valid when a backend is removed; operations on files are submitted to the dispatcher with a deadline.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts clients within the limits, and runs each session in a task |
//! | `session` | one session and its operations: message size, version and the queue of replies |
//! | `reader` | reads a client's messages and starts their operations |
//! | `in_flight` | the operations of a session by tag, and flushing them |
//! | `fids` | the fids of a session |
//! | `operations` | carries out each type of message |
//! | `walk`, `open` | walking to files; opening and creating them |
//! | `submission` | submits an operation to the dispatcher |
//! | `error` | errors that are sent to clients |
//! | `close_reason` | why a session ended |
//!
//! The front end runs on one thread: a session is owned by its task, and shared with its operations by `Rc`.

mod accept;
mod close_reason;
mod error;
mod fids;
mod in_flight;
mod open;
mod operations;
mod reader;
mod session;
mod submission;
mod walk;

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::tenants::TenantRegistry;
use fids::FidLimits;
use session::Session;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// Time in which a client must begin its session with a `Tversion`, and in which it must send the rest of a
/// message after its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2200);

/// Bytes of a unit of message memory.
const KIB: usize = 1024;

/// The 9P front end of this head.
pub struct NinePFrontend {
    dispatch: Rc<DispatchService>,
    config: Rc<Config>,
    tenants: Rc<RefCell<TenantRegistry>>,
    sessions: RefCell<BTreeMap<u64, ServedSession>>,
    next_session: Cell<u64>,
    next_handle: Cell<u64>,
    /// Permits for operations of all clients; an operation holds one until its reply is queued.
    operation_permits: Arc<Semaphore>,
    /// Memory for the messages of operations of all clients, in KiB; an operation holds its part until its reply is
    /// written.
    message_memory: Arc<Semaphore>,
}

/// A session and the task that serves it.
struct ServedSession {
    session: Rc<Session>,
    task: AbortHandle,
}

impl NinePFrontend {
    /// Creates a front end for the exports of `tenants` that submits its requests to `dispatch`.
    pub fn new(
        dispatch: Rc<DispatchService>,
        config: Rc<Config>,
        tenants: Rc<RefCell<TenantRegistry>>,
    ) -> Rc<NinePFrontend> {
        let operation_permits = Arc::new(Semaphore::new(config.resource_limits.max_open_requests));
        let message_memory = Arc::new(Semaphore::new(config.resource_limits.ninep_message_bytes / KIB));
        Rc::new(NinePFrontend {
            dispatch,
            config,
            tenants,
            sessions: RefCell::default(),
            next_session: Cell::new(0),
            next_handle: Cell::new(0),
            operation_permits,
            message_memory,
        })
    }

    /// The number of open sessions.
    pub fn count(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// The number of open sessions at addresses that another head may take over.
    pub fn shared_count(&self) -> usize {
        self.sessions.borrow().values().filter(|served| served.session.is_shared()).count()
    }

    /// Ends sessions that have nothing in flight: all of them, or only those at shared addresses.
    pub fn close_idle(&self, all: bool) {
        let sessions = self.sessions.borrow();
        let closing =
            |served: &&ServedSession| (all || served.session.is_shared()) && served.session.is_idle();
        sessions.values().filter(closing).for_each(|served| served.task.abort());
    }

    /// The limits on the fids of one session.
    fn fid_limits(&self) -> FidLimits {
        let limits = &self.config.resource_limits;
        FidLimits { count: limits.ninep_fids, bytes: limits.ninep_fid_bytes }
    }

    /// Allocates a handle that identifies a client's open file at backends.
    fn new_handle(&self) -> u64 {
        self.next_handle.replace(self.next_handle.get() + 1)
    }

    /// Closes a client's open file at the backends.
    fn release_handle(&self, handle: u64) {
        self.dispatch.backends().ninep.release(handle);
    }

    /// Aborts all operations of a session and releases all its fids.
    fn reset(&self, session: &Session) {
        session.operations.abort_all();
        for fid in session.fids.take_all() {
            self.release_handle(fid.handle);
        }
    }
}
