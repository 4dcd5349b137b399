//! A connection to one head that is kept for many requests.
//!
//! It belongs to the task that polls or registers at that head, which drops it after an error. It distinguishes heads of
//! earlier versions, which close the connection over requests that they do not know.

use crate::frame::{CountedConnection, exchange, within};
use crate::link::Links;
use crate::types::{PeerRequest, PeerResponse};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A connection that is kept until an error.
pub struct PeerConnection {
    stream: CountedConnection,
    /// Incarnation of the store at the other end.
    incarnation: u64,
    /// The other end has answered a request on this connection.
    has_answered: bool,
}

/// Why a request to a head has failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The other end has closed a new connection over its first request, as a head does that does not know the request.
    #[error("it ended the connection over the call")]
    Hangup,
    /// The connection has failed in another way, or the response did not arrive in time.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn is_hangup(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

impl PeerConnection {
    /// Makes a new connection to a head.
    ///
    /// # Errors
    /// As of [`Links::dial`].
    pub async fn dial(links: &Links, to: SocketAddr) -> io::Result<PeerConnection> {
        let (stream, greeting) = links.dial(to).await?;
        Ok(PeerConnection { stream, incarnation: greeting.incarnation.count, has_answered: false })
    }

    /// Incarnation of the store at the other end.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// Why it has failed; then the connection must not be used any more.
    pub async fn request(
        &mut self,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, RequestError> {
        match within(timeout, exchange(&mut self.stream, request)).await {
            Ok(response) => {
                self.has_answered = true;
                Ok(response)
            }
            Err(error) if !self.has_answered && is_hangup(&error) => Err(RequestError::Hangup),
            Err(error) => Err(RequestError::Io(error)),
        }
    }
}
