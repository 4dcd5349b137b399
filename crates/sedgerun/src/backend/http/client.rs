//! Configures awc: how connections are opened, and how long they may be idle or used.

use crate::backend::complete_response_stream::CompleteResponseStream;
use crate::backend::memory_budget::MemoryBudget;
use crate::descriptors::Descriptors;
use actix_http::Uri;
use actix_rt::net::TcpStream;
use actix_service::{Service, apply_fn};
use actix_tls::connect::{
    ConnectError as TcpConnectError, ConnectInfo, Connection, Connector as TcpConnector, ConnectorService,
    Resolver,
};
use awc::{Client, Connector};
use sedgerun_cluster::traffic::Traffic;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// `errno` when the process has reached its limit of file descriptors.
pub(super) const EMFILE: i32 = 24;
/// `errno` when the system has reached its limit of open files.
pub(super) const ENFILE: i32 = 23;
/// The fraction of a backend's idle timeout for which an idle connection may be reused. A request written
/// while the backend closes the connection would be reset.
const USABLE_IDLE_FRACTION: f64 = 0.6;
/// The maximum age of a connection.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Timeouts of a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Timeout for opening a connection.
    pub dial: Duration,
    /// Time after which backends close an idle connection.
    pub idle: Duration,
}

/// Creates a client without a request queue, redirects or a request timeout; the caller enforces deadlines.
/// It opens a connection only while at least `min_descriptors` are available, and counts payload in `traffic`
/// if given.
pub fn client(
    timeouts: ConnectionTimeouts,
    budget: &MemoryBudget,
    descriptors: &Descriptors,
    min_descriptors: usize,
    traffic: Option<Arc<Traffic>>,
) -> Client {
    let (budget, descriptors) = (budget.clone(), descriptors.clone());
    // awc leaves Nagle's algorithm on. The connector disables it, because the last segment of a large write
    // would otherwise wait for an acknowledgement that the backend delays.
    let connect = TcpConnector::new(Resolver::default()).service();
    type Target = ConnectInfo<Uri>;
    let connect =
        apply_fn::<_, _, _, _, Target, Target, _, _>(connect, move |uri: Target, tcp: &ConnectorService| {
            // Fails with `EMFILE` if no descriptor is available, or only those reserved for discovery.
            let permit = (descriptors.available() >= min_descriptors).then(|| descriptors.acquire());
            let connecting = permit.map(|permit| (permit, tcp.call(uri)));
            let (budget, traffic) = (budget.clone(), traffic.clone());
            async move {
                let (permit, connecting) =
                    connecting.ok_or_else(|| TcpConnectError::Io(io::Error::from_raw_os_error(EMFILE)))?;
                let connection: Connection<Uri, TcpStream> = connecting.await?;
                let _ = connection.io_ref().set_nodelay(true);
                let (stream, uri) = connection.into_parts();
                Ok(Connection::new(uri, CompleteResponseStream::new(stream, budget, permit, traffic)))
            }
        });
    let connector = Connector::new()
        .connector(connect)
        .limit(0) // no limit: awc would open 100 connections by default and queue further requests
        .timeout(timeouts.dial)
        .conn_keep_alive(timeouts.idle.mul_f64(USABLE_IDLE_FRACTION))
        .conn_lifetime(CONNECTION_LIFETIME);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}
