//! The platform's HTTP/1.1 front end, on actix-http: reads a request, submits it to the dispatcher, writes the answer.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts clients within the limits on connections and descriptors, and runs each in a task |
//! | `connection` | what is known of one connection: when it was last active, what it waits for |
//! | `stream` | the client's socket, which keeps that knowledge up to date and reads past unwanted bytes |
//! | `connections` | the open connections, and which of them gives way to a new one |
//! | `idle` | which connections are idle, stalled or done, and closing them |
//! | `handler` | one request from its arrival to its response |
//! | `request`, `placement` | reads and checks a request's line and headers |
//! | `body` | reads a request's body within a memory budget and a deadline |
//! | `error`, `response` | what is wrong with a request, and responses |
//!
//! All of it runs on one thread: state is shared by `Rc` and `Cell`, and owned by the connection's task.

mod accept;
mod body;
mod connection;
mod connections;
mod error;
mod handler;
mod idle;
mod placement;
mod request;
mod response;
mod stream;

pub use accept::bind;
pub use connections::Connections;
pub use idle::GIVE_WAY_TIME;

use crate::backend::MemoryBudget;
use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::request_ids::RequestIds;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a client must send a complete request, from its first byte or from connecting. A client that does
/// not is owed an error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);

/// The HTTP front end of one program.
pub struct HttpFrontend {
    dispatch: Rc<DispatchService>,
    config: Rc<Config>,
    ids: Rc<RequestIds>,
    /// Its client connections.
    pub connections: Connections,
    /// The program is closing: each answer closes its connection.
    pub is_closing: Cell<bool>,
    /// Operators have drained this head: `/healthz` answers 503, and each answer closes its connection.
    pub is_drained: Cell<bool>,
    /// Memory for the bodies of requests over 64 KiB.
    body_budget: MemoryBudget,
}

impl HttpFrontend {
    /// A front end that submits its requests to this dispatch service.
    pub fn new(dispatch: Rc<DispatchService>, config: Rc<Config>) -> Rc<HttpFrontend> {
        let body_budget = MemoryBudget::new(
            config.resource_limits.request_body_bytes,
            config.resource_limits.request_body_bytes,
        );
        Rc::new(HttpFrontend {
            dispatch,
            config,
            ids: Rc::default(),
            connections: Connections::default(),
            is_closing: Cell::new(false),
            is_drained: Cell::new(false),
            body_budget,
        })
    }
}
