//! Sets awc up for backends: how a connection is made, and how long it may stand idle.

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

/// The system's error for a program that is out of descriptors.
pub(super) const EMFILE: i32 = 24;
/// The system's error for a machine that is out of descriptors.
pub(super) const ENFILE: i32 = 23;
/// The part of a backend's idle time after which a connection is not used again: a write on one that the backend
/// closes is a reset.
const IDLE_TIME_USED: f64 = 0.6;
/// How long a connection may be used in all.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// The times that a client's connections keep to.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// A connection not made by then is given up.
    pub dial: Duration,
    /// Backends close connections that stood idle for so long.
    pub idle: Duration,
}

/// A client that queues nothing, follows nothing, and has no clock but the caller's. It opens a connection while
/// `least` descriptors are left, and counts payload where `traffic` is given.
pub fn client(
    timeouts: ConnectionTimeouts,
    budget: &MemoryBudget,
    descriptors: &Descriptors,
    least: usize,
    traffic: Option<Arc<Traffic>>,
) -> Client {
    let (budget, descriptors) = (budget.clone(), descriptors.clone());
    // Guards against Nagle's algorithm, which awc leaves on: the last part of a large write would wait for
    // an acknowledgement that the backend delays.
    let connect = TcpConnector::new(Resolver::default()).service();
    type Target = ConnectInfo<Uri>;
    let connect =
        apply_fn::<_, _, _, _, Target, Target, _, _>(connect, move |uri: Target, tcp: &ConnectorService| {
            // Guards against a connection for which there is no descriptor, or only those kept for discovery.
            let permit = (descriptors.available() >= least).then(|| descriptors.acquire());
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
        .limit(0) // awc holds 100 connections by default, and queues what comes past them
        .timeout(timeouts.dial)
        .conn_keep_alive(timeouts.idle.mul_f64(IDLE_TIME_USED))
        .conn_lifetime(CONNECTION_LIFETIME);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}
