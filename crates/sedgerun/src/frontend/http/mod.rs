//! The platform's HTTP/1.1 front end: reads a request, submits it to the dispatcher, and writes the response.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts clients within the limits on connections and descriptors, and runs each in a task |
//! | `serve` | serves one connection: receives requests, and writes or passes on responses |
//! | `connection` | the state of one connection: its phase and its last activity |
//! | `connections` | the open connections, and evicting one of them in favour of a new client |
//! | `idle` | decides which connections are idle or stalled, and closes them |
//! | `close_reason` | why a connection ended |
//! | `handler` | handles one request from its arrival to its response |
//! | `request`, `placement` | parse and validate a request's line and headers |
//! | `body` | reads a request's body within a memory budget and a deadline |
//! | `error`, `response` | errors of a request, and the responses that the front end builds |
//!
//! The front end runs on one thread: state is shared by `Rc` and `Cell`, and owned by the connection's task.

mod accept;
mod body;
mod close_reason;
mod connection;
mod connections;
mod error;
mod handler;
mod idle;
mod placement;
mod request;
mod response;
mod serve;

pub use accept::bind;
pub use body::UNRESERVED_BODY_BYTES;
pub use connections::Connections;
pub use idle::MIN_EVICTION_IDLE;

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::memory_budget::MemoryBudget;
use crate::request_ids::RequestIds;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a client must send a complete request, from its first byte or, for the first request, from
/// connecting. It leaves time to send an error or to close the connection within the 3 s that clients are
/// promised.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);

/// The HTTP front end of this head.
pub struct HttpFrontend {
    dispatch: Rc<DispatchService>,
    config: Rc<Config>,
    ids: Rc<RequestIds>,
    /// The open client connections.
    pub connections: Connections,
    /// Clients that are being refused.
    refusals: Cell<usize>,
    /// The head is shutting down: each response closes its connection.
    pub is_closing: Cell<bool>,
    /// An operator has drained this head: `/healthz` responds with 503, and each response closes its
    /// connection.
    pub is_drained: Cell<bool>,
    /// Memory for request bodies, beyond what every connection may have.
    body_budget: MemoryBudget,
    /// Memory for request heads, beyond what every connection may have.
    head_budget: MemoryBudget,
}

impl HttpFrontend {
    /// Creates a front end that submits its requests to `dispatch` and guards against duplicates with `ids`.
    pub fn new(dispatch: Rc<DispatchService>, config: Rc<Config>, ids: Rc<RequestIds>) -> Rc<HttpFrontend> {
        let limits = &config.resource_limits;
        let body_budget = MemoryBudget::new(limits.request_body_bytes, limits.request_body_bytes);
        let head_budget = MemoryBudget::new(limits.request_head_bytes, limits.request_head_bytes);
        Rc::new(HttpFrontend {
            dispatch,
            config,
            ids,
            connections: Connections::default(),
            refusals: Cell::new(0),
            is_closing: Cell::new(false),
            is_drained: Cell::new(false),
            body_budget,
            head_budget,
        })
    }
}
