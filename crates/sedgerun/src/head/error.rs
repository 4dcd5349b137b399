//! Why a head could not start.

use std::io;
use std::net::SocketAddr;

/// Why a head could not start. The texts are read in the log by operators.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// The system does not deliver signals.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// An address of the settings cannot be listened on.
    #[error("{key}: cannot bind {address}: {source}")]
    Bind {
        /// The key of the settings.
        key: &'static str,
        /// The address that it names.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The descriptor that the platform names as the clients' listener is not passed on to the program.
    #[error("LB_ACCEPT_FD {named}: LISTEN_FDS does not hand it on; see deploy/balancer.toml")]
    ListenerNotPassed {
        /// The value of `$LB_ACCEPT_FD`.
        named: String,
    },
    /// The descriptor that the platform names cannot be listened on.
    #[error("LB_ACCEPT_FD {named}: {source}")]
    PassedListener {
        /// The value of `$LB_ACCEPT_FD`.
        named: String,
        /// What the system says.
        source: io::Error,
    },
}
