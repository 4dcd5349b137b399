//! A connection to one head for many requests.
//!
//! It is owned by the task that sends polls or registrations to that head, and is dropped after an error. It
//! detects heads of earlier versions, which close the connection when they receive a request that they do not
//! know.

use crate::frame::{CountedConnection, exchange, with_timeout};
use crate::peer_network::PeerNetwork;
use crate::types::{PeerRequest, PeerResponse};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A connection that is used until an error occurs.
pub struct PeerConnection {
    stream: CountedConnection,
    /// Incarnation of the other head's store.
    incarnation: u64,
    /// The other head has responded to a request on this connection.
    has_responded: bool,
}

/// Why a request to a head failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The other head closed a new connection after its first request, as a head does that does not know the
    /// request.
    #[error("it closed the connection after the first request")]
    ClosedByPeer,
    /// The connection has failed in another way, or the response did not arrive in time.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn is_closed_by_peer(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

impl PeerConnection {
    /// Makes a new connection to a head.
    ///
    /// # Errors
    /// As of [`PeerNetwork::dial`].
    pub async fn dial(network: &PeerNetwork, to: SocketAddr) -> io::Result<PeerConnection> {
        let (stream, greeting) = network.dial(to).await?;
        Ok(PeerConnection { stream, incarnation: greeting.incarnation.count, has_responded: false })
    }

    /// Incarnation of the other head's store.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// The connection failed or the response did not arrive in time; the connection must not be used any
    /// more.
    pub async fn request(
        &mut self,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, RequestError> {
        match with_timeout(timeout, exchange(&mut self.stream, request)).await {
            Ok(response) => {
                self.has_responded = true;
                Ok(response)
            }
            Err(error) if !self.has_responded && is_closed_by_peer(&error) => Err(RequestError::ClosedByPeer),
            Err(error) => Err(RequestError::Io(error)),
        }
    }
}
