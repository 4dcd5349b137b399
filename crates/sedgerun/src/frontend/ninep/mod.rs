//! The 9P2000 front end: sessions of clients. Fids live here and keep their paths, so that no backend has to outlive
//! them; whatever needs a backend goes through the dispatcher, with a deadline.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts clients within the limits, and runs each session in a task |
//! | `session` | one session: its message size, replies, version and reset |
//! | `reader` | reads a client's messages and starts their operations |
//! | `in_flight` | the operations of a session by their tags, and flushing them |
//! | `fids` | the fids of a session |
//! | `operations` | what each message does |
//! | `walk`, `open` | walking to files; opening and creating them |
//! | `submission` | takes an operation to a backend, through the dispatcher |
//! | `error` | errors that clients read |
//!
//! All of it runs on one thread: a session is owned by its task, and shared with its operations by `Rc`.

mod accept;
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
use session::Session;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// Time in which a client must begin its session, and send a complete message from its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2200);

/// The 9P front end of one program.
pub struct NinePFrontend {
    dispatch: Rc<DispatchService>,
    config: Rc<Config>,
    tenants: Rc<RefCell<TenantRegistry>>,
    sessions: RefCell<BTreeMap<u64, ServedSession>>,
    next_session: Cell<u64>,
    next_handle: Cell<u64>,
    /// Permits for operations, until their replies are queued, of all clients.
    operation_permits: Arc<Semaphore>,
}

/// A session and the task that serves it.
struct ServedSession {
    session: Rc<Session>,
    task: AbortHandle,
}

impl NinePFrontend {
    /// A front end that submits to this dispatch service what clients want of these tenants' exports.
    pub fn new(
        dispatch: Rc<DispatchService>,
        config: Rc<Config>,
        tenants: Rc<RefCell<TenantRegistry>>,
    ) -> Rc<NinePFrontend> {
        let operation_permits = Arc::new(Semaphore::new(config.resource_limits.max_open_requests));
        Rc::new(NinePFrontend {
            dispatch,
            config,
            tenants,
            sessions: RefCell::default(),
            next_session: Cell::new(0),
            next_handle: Cell::new(0),
            operation_permits,
        })
    }

    /// Sessions that are open.
    pub fn count(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// Sessions at addresses that may pass to another head.
    pub fn shared(&self) -> usize {
        self.sessions.borrow().values().filter(|served| served.session.is_shared()).count()
    }

    /// Ends the sessions that have nothing in flight, all or only those at shared addresses.
    pub fn close_idle(&self, all: bool) {
        let sessions = self.sessions.borrow();
        let closing =
            |served: &&ServedSession| (all || served.session.is_shared()) && served.session.is_idle();
        sessions.values().filter(closing).for_each(|served| served.task.abort());
    }

    /// A handle under which backends keep a client's open file.
    fn new_handle(&self) -> u64 {
        self.next_handle.replace(self.next_handle.get() + 1)
    }

    /// Tells the backends that a client's open file is closed.
    fn release_handle(&self, handle: u64) {
        self.dispatch.backends().ninep.release(handle);
    }

    /// Drops all that a session has: its operations, and its fids.
    fn reset(&self, session: &Session) {
        session.operations.abort_all();
        for fid in session.fids.take_all() {
            self.release_handle(fid.handle);
        }
    }
}
