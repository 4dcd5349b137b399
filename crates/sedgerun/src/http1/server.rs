//! A server's side of a connection: receives the heads and bodies of requests within a bound.

use super::{BodyDecoder, BodyError, BodySegment, HeadError, ReceiveBuffer, parse_request};
use crate::memory_budget::MemoryBudget;
use sedgerun_net::{DiscardEnd, Stream};
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Bytes that a connection receives at once; it has so many while a request is received, and none while it is idle.
pub const REQUEST_BUFFER_BYTES: usize = 2 * 1024;
/// The largest request head, in bytes.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 * 1024;

/// Why no request was received.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The client has closed its connection, or it has broken.
    #[error("the client has disconnected")]
    Disconnected,
    /// The head is larger than any that is accepted, or has too many fields.
    #[error("the request's head is too large")]
    HeadTooLarge,
    /// There is no memory for the head now.
    #[error("no memory for the request's head")]
    MemoryExhausted,
    /// The bytes do not begin a request.
    #[error("malformed request")]
    MalformedHead,
    /// The body's framing is malformed.
    #[error(transparent)]
    MalformedBody(#[from] BodyError),
}

impl From<io::Error> for ReceiveError {
    fn from(_: io::Error) -> ReceiveError {
        ReceiveError::Disconnected
    }
}

impl From<HeadError> for ReceiveError {
    fn from(error: HeadError) -> ReceiveError {
        match error {
            HeadError::TooManyFields => ReceiveError::HeadTooLarge,
            HeadError::Malformed(_) => ReceiveError::MalformedHead,
        }
    }
}

/// A connection from a client.
#[derive(Debug)]
pub struct ServerConnection {
    /// The socket.
    pub stream: Stream,
    /// What was received and not consumed.
    pub received: ReceiveBuffer,
}

impl ServerConnection {
    /// A connection whose heads beyond [`REQUEST_BUFFER_BYTES`] are reserved in `head_budget`.
    pub fn new(stream: Stream, head_budget: &MemoryBudget) -> ServerConnection {
        ServerConnection { stream, received: ReceiveBuffer::new(REQUEST_BUFFER_BYTES, head_budget) }
    }

    /// Receives more bytes.
    ///
    /// # Errors
    /// The client has disconnected, or the buffer is full.
    pub async fn receive(&mut self) -> Result<(), ReceiveError> {
        if self.received.ensure_capacity(MAX_REQUEST_HEAD_BYTES).is_err() {
            let is_full = self.received.unread().len() >= MAX_REQUEST_HEAD_BYTES;
            return Err(if is_full { ReceiveError::HeadTooLarge } else { ReceiveError::MemoryExhausted });
        }
        match self.received.fill(&self.stream).await? {
            0 => Err(ReceiveError::Disconnected),
            _ => Ok(()),
        }
    }

    /// Receives bytes that are behind those in the buffer, which is empty; how many.
    ///
    /// # Errors
    /// The client has disconnected.
    pub async fn receive_into(&mut self, mut buffer: &mut [u8]) -> Result<usize, ReceiveError> {
        match self.stream.read(&mut buffer).await? {
            0 => Err(ReceiveError::Disconnected),
            bytes => Ok(bytes),
        }
    }

    /// Ends the sending side and waits for the client to close its own. Closing a socket with unread bytes resets the
    /// connection, which can lose a response in transit; so up to `discarded_bytes` that arrive now are read and
    /// dropped. The connection can be closed after `linger_time`.
    pub async fn close(&mut self, linger_time: Duration, mut discarded_bytes: usize) {
        self.stream.close_sending().await;
        let closed_by = tokio::time::Instant::now() + linger_time;
        let discarded = tokio::time::timeout_at(closed_by, self.stream.discard(&mut discarded_bytes)).await;
        if discarded == Ok(DiscardEnd::LimitReached) {
            tokio::time::sleep_until(closed_by).await;
        }
    }

    /// Whether the received bytes begin with a complete head, which [`parse_request`] reads then.
    ///
    /// # Errors
    /// They do not begin a request, or its head is too large.
    pub fn has_head(&self) -> Result<bool, ReceiveError> {
        let parsed = parse_request(self.received.unread())?;
        if parsed.is_none() && self.received.unread().len() >= MAX_REQUEST_HEAD_BYTES {
            return Err(ReceiveError::HeadTooLarge);
        }
        Ok(parsed.is_some())
    }

    /// The data at the front of what was received, after any framing; `None` at the end of the body, and empty while
    /// more has to be received.
    ///
    /// # Errors
    /// The framing is malformed.
    pub fn body_data(&mut self, decoder: &mut BodyDecoder) -> Result<Option<&[u8]>, ReceiveError> {
        loop {
            match decoder.segment(self.received.unread())? {
                BodySegment::Framing(bytes) => self.received.consume(bytes),
                BodySegment::Data(bytes) => return Ok(Some(&self.received.unread()[..bytes])),
                BodySegment::Incomplete => return Ok(Some(&[])),
                BodySegment::End => return Ok(None),
            }
        }
    }
}
