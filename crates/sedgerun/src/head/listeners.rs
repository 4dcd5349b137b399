//! What a head listens on. All of it is bound before the head starts, so that a faulty address ends the start.

use super::HeadError;
use crate::config::Config;
use crate::frontend::http::bind;
use sedgerun_net::{DatagramSocket, Listener};
use std::io;
use std::net::SocketAddr;

/// The sockets of a head that has not started.
pub(super) struct Listeners {
    /// HTTP clients.
    pub http: Listener,
    /// The platform passed the clients' listener on: another process of this head accepts on it too.
    pub http_is_shared: bool,
    /// Operators' commands.
    pub management: Option<Listener>,
    /// 9P clients.
    pub ninep: Option<Listener>,
    /// The admin API.
    pub admin: Option<Listener>,
    /// VRRP advertisements.
    pub vrrp: Option<DatagramSocket>,
}

impl Listeners {
    /// Binds the addresses of the configuration.
    pub async fn bind(config: &Config) -> Result<Listeners, HeadError> {
        let (http, http_is_shared) = match passed_listener()? {
            Some(http) => (http, true),
            None => (listen("listen", config.listen)?, false),
        };
        let operator = &config.operator;
        let admin_address = operator.admin.as_ref().map(|admin| admin.listen);
        Ok(Listeners {
            http,
            http_is_shared,
            management: listen_if_set("mgmt", config.mgmt)?,
            ninep: listen_if_set("ninep.listen", operator.ninep)?,
            admin: listen_if_set("admin.listen", admin_address)?,
            vrrp: bind_vrrp(operator.vrrp.as_ref().map(|vrrp| vrrp.listen)).await?,
        })
    }
}

/// Listens on the address of a key, and logs where.
fn listen(key: &'static str, address: SocketAddr) -> Result<Listener, HeadError> {
    let failed = |source| HeadError::Bind { key, address, source };
    let listener = bind(address).map_err(failed)?;
    tracing::info!("{key}: {}", listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Listens on the address of a key that may be left out.
fn listen_if_set(key: &'static str, address: Option<SocketAddr>) -> Result<Option<Listener>, HeadError> {
    match address {
        Some(address) => listen(key, address).map(Some),
        None => Ok(None),
    }
}

async fn bind_vrrp(address: Option<SocketAddr>) -> Result<Option<DatagramSocket>, HeadError> {
    let Some(address) = address else { return Ok(None) };
    let failed = |source| HeadError::Bind { key: "vrrp.listen", address, source };
    DatagramSocket::bind(address).await.map(Some).map_err(failed)
}

/// The clients' listener that the platform passes on at an upgrade, as `$LB_ACCEPT_FD` names it; `None` where it
/// names none. `run` in the deploy file names it to `listenfd` as `LISTEN_FDS_FIRST_FD` and `LISTEN_FDS`.
fn passed_listener() -> Result<Option<Listener>, HeadError> {
    let Some(named) = std::env::var("LB_ACCEPT_FD").ok().filter(|fd| !fd.is_empty()) else { return Ok(None) };
    let failed = |source: io::Error| HeadError::PassedListener { named: named.clone(), source };
    let mut passed = listenfd::ListenFd::from_env();
    let Some(listener) = passed.take_tcp_listener(0).map_err(failed)? else {
        return Err(HeadError::ListenerNotPassed { named });
    };
    let listener = Listener::from_std(listener).map_err(failed)?;
    tracing::info!("listen: descriptor {named}, {:?}", listener.local_addr());
    Ok(Some(listener))
}
