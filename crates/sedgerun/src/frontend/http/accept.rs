//! Accepts HTTP clients, within the limits on connections and descriptors, and serves each in a task of its
//! own.

use super::connection::ConnectionState;
use super::connections::OpenConnection;
use super::stream::ClientStream;
use super::{HttpFrontend, REQUEST_TIMEOUT};
use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Time after which an idle client connection is closed. Clients reuse connections, and a close that races
/// with a request costs the client a new connection; but some clients keep connections open without using
/// them again.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(30);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Binds a listener to `address`.
///
/// # Errors
/// Errors of the operating system, such as an address that is in use.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

impl HttpFrontend {
    /// Accepts connections for as long as the future is polled.
    ///
    /// # Errors
    /// The HTTP service cannot be built. A failed accept is retried.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let frontend = Rc::clone(&self);
        let service = fn_service(move |request: Request| {
            let frontend = Rc::clone(&frontend);
            async move { Ok::<_, Infallible>(frontend.respond(request).await) }
        });
        let factory = HttpService::<ClientStream, _, _>::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIME))
            .client_request_timeout(REQUEST_TIMEOUT)
            // Treats a half-closed connection as closed, so that no request is served for a disconnected
            // client.
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &ClientStream, data| {
                data.insert(stream.connection());
            })
            .h1(service);
        let handler = factory.new_service(()).await.map_err(|()| io::Error::other("no HTTP service"))?;
        let handler = Rc::new(handler);
        loop {
            // Accept fails where descriptors are exhausted or the client has disconnected already: both are
            // temporary.
            let Ok((stream, peer)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            if self.has_capacity_for_client().await {
                self.serve_connection(Rc::clone(&handler), stream, peer);
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

    /// Serves a client in a task of its own, which ends with the connection.
    fn serve_connection<S>(self: &Rc<Self>, handler: Rc<S>, stream: TcpStream, peer: SocketAddr)
    where
        S: Service<(ClientStream, Option<SocketAddr>)> + 'static,
    {
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(ConnectionState::new(Instant::now()));
        let permit = self.dispatch.backends().descriptors().acquire();
        let stream = ClientStream::new(stream, Rc::clone(&connection), permit);
        let number = self.connections.next_number();
        let open_connection = OpenConnection::new(Rc::clone(self), number);
        let served = Rc::clone(&connection);
        let task = actix_rt::spawn(async move {
            let _open_connection = open_connection;
            // The result is ignored: where a connection ends in an error, nothing is left to send to its
            // client.
            let mut serving = pin!(handler.call((stream, Some(peer))));
            // Ends the task in the same poll that detects the disconnect. actix-http would drop the request
            // only in a later poll, and an attempt for the disconnected client could be sent in between.
            let until_disconnected = poll_fn(|cx| match serving.as_mut().poll(cx) {
                Poll::Pending if !served.client_disconnected() => Poll::Pending,
                _ => Poll::Ready(()),
            });
            until_disconnected.await;
        });
        self.connections.insert(number, connection, task.abort_handle());
    }
}
