//! Accepts HTTP clients, within the limits on connections and descriptors, and serves each in a task of its
//! own.

use super::HttpFrontend;
use super::body::memory_exhausted;
use super::connection::ConnectionState;
use super::connections::OpenConnection;
use super::response::ResponseBody;
use super::serve::{ClientConnection, DISCARDED_BYTES, LINGER_TIME};
use crate::http1::{ServerConnection, write_message};
use sedgerun_net::{Listener, Stream};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections that wait to be accepted. Past it the system drops a client's first packet, which is sent again a second
/// later.
const BACKLOG: u32 = 1024;
/// Clients that are being refused at once, at the most.
const MAX_REFUSALS: usize = 64;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Binds a listener to `address`.
///
/// # Errors
/// Errors of the operating system, such as an address that is in use.
pub fn bind(address: SocketAddr) -> io::Result<Listener> {
    Listener::bind(address, BACKLOG)
}

impl HttpFrontend {
    /// Accepts connections for as long as the future is polled. A failed accept is retried.
    pub async fn serve(self: Rc<Self>, listener: Listener) {
        loop {
            // Accept fails where descriptors or memory are exhausted, or the client has disconnected already: all are
            // temporary.
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("accepting an HTTP client failed: {error}; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            if self.has_capacity_for_client().await {
                self.serve_connection(stream);
            } else {
                self.refuse(stream);
            }
        }
    }

    /// Whether one more client can be served, after evicting an idle connection if necessary.
    ///
    /// The limits keep descriptors free for backends and discovery. Eviction lets clients with a request
    /// connect while other clients open connections without end or keep idle ones open.
    async fn has_capacity_for_client(&self) -> bool {
        let (limits, count) = (&self.config.resource_limits, self.connections.count());
        let descriptors_short =
            self.dispatch.backends().descriptors().available() <= limits.descriptors_for_backends;
        if !descriptors_short && count < limits.idle_client_threshold {
            return true;
        }
        self.connections.evict_longest_idle().await || (!descriptors_short && count < limits.max_clients)
    }

    /// Refuses a client that no other gives way to: with a 503 while there are descriptors to spare, and otherwise by
    /// closing the connection unread.
    fn refuse(self: &Rc<Self>, stream: Stream) {
        let descriptors = self.dispatch.backends().descriptors();
        let is_short = descriptors.available() <= self.config.resource_limits.descriptors_for_backends;
        if is_short || self.refusals.get() >= MAX_REFUSALS {
            tracing::info!("a new client connection is closed unread: no other gives way to it");
            return;
        }
        tracing::info!("a new client is refused: no other connection gives way to it");
        let (frontend, permit) = (Rc::clone(self), descriptors.acquire());
        self.refusals.set(self.refusals.get() + 1);
        actix_rt::spawn(async move {
            let mut connection = ServerConnection::new(stream, &frontend.head_budget);
            let refusal = memory_exhausted().response();
            if let ResponseBody::Text(text) = &refusal.body {
                let head = refusal.head(refusal.framing(false), true);
                let (stream, text) = (&connection.stream, text.as_bytes());
                let _ = write_message(stream, head.as_bytes(), text, LINGER_TIME, |_| {}).await;
            }
            connection.close(LINGER_TIME, DISCARDED_BYTES).await;
            frontend.refusals.set(frontend.refusals.get() - 1);
            drop(permit);
        });
    }

    /// Serves a client in a task of its own, which ends with the connection.
    fn serve_connection(self: &Rc<Self>, stream: Stream) {
        let state = Rc::new(ConnectionState::new(Instant::now()));
        let permit = self.dispatch.backends().descriptors().acquire();
        let number = self.connections.next_number();
        let open_connection = OpenConnection::new(Rc::clone(self), number);
        let connection = ClientConnection::new(Rc::clone(self), number, stream, Rc::clone(&state), permit);
        let task = actix_rt::spawn(async move {
            let _open_connection = open_connection;
            connection.serve().await;
        });
        self.connections.insert(number, state, task.abort_handle());
    }
}
