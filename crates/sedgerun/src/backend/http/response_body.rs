//! The body of a backend's response: received whole while there is memory for it, and otherwise passed on in parts as
//! its receiver takes them.

use super::connection::{Connection, RECEIVE_BUFFER_BYTES, ResponseError};
use super::idle_connections::IdleConnections;
use crate::http1::{BodyDecoder, BodyFraming, BodySegment};
use crate::memory_budget::{BodyTooLarge, BudgetError, MemoryBudget, MemoryReservation};
use std::rc::Rc;

/// Bytes of a body that need no reservation: every open request may have so many.
const UNRESERVED_BYTES: usize = RECEIVE_BUFFER_BYTES;
/// The largest announced length of a body that is passed on, in bytes: no client waits for more.
const MAX_ANNOUNCED_BYTES: usize = 64 << 20;

/// Reads a body from its connection. Dropped before the end, it closes the connection.
#[derive(Debug)]
pub struct BodyReader {
    connection: Connection,
    decoder: BodyDecoder,
    /// Bytes at the start of the receive buffer that are data and not consumed yet.
    pending: usize,
    /// Where the connection goes behind the body; `None` if it closes then.
    connections: Option<Rc<IdleConnections>>,
}

impl BodyReader {
    /// A reader for the body behind a head that was just read.
    pub fn new(
        connection: Connection,
        framing: BodyFraming,
        connections: Option<Rc<IdleConnections>>,
    ) -> BodyReader {
        BodyReader { connection, decoder: BodyDecoder::new(framing), pending: 0, connections }
    }

    /// Waits for data; `false` at the end of the body. The data stays until it is consumed.
    ///
    /// # Errors
    /// The connection ends within the body, or its framing is malformed.
    pub async fn wait_for_data(&mut self) -> Result<bool, ResponseError> {
        while self.pending == 0 {
            match self.decoder.segment(self.connection.received.unread())? {
                BodySegment::Framing(bytes) => self.connection.received.consume(bytes),
                BodySegment::Data(bytes) => self.pending = bytes,
                BodySegment::End => return Ok(false),
                BodySegment::Incomplete => {
                    let ensured = self.connection.received.ensure_capacity(RECEIVE_BUFFER_BYTES);
                    ensured.map_err(|_| ResponseError::HeadTooLarge)?;
                    if self.connection.receive().await? == 0 {
                        let is_end = self.decoder.ends_with_connection();
                        return if is_end { Ok(false) } else { Err(ResponseError::UnexpectedEnd) };
                    }
                }
            }
        }
        Ok(true)
    }

    /// The data that has arrived and was not consumed.
    pub fn data(&self) -> &[u8] {
        &self.connection.received.unread()[..self.pending]
    }

    /// Drops the data that [`data`](Self::data) gives.
    pub fn consume_data(&mut self) {
        self.connection.received.consume(std::mem::take(&mut self.pending));
    }

    /// Makes the connection available for other requests, behind the end of the body.
    pub fn finish(self) {
        self.connection.count_response();
        if let Some(connections) = self.connections {
            connections.put(self.connection);
        }
    }
}

/// A body that was received to its end, with the memory reserved for it.
#[derive(Debug)]
pub struct WholeBody {
    /// The body.
    pub bytes: Vec<u8>,
    reservation: MemoryReservation,
}

impl WholeBody {
    /// An empty body whose memory beyond `UNRESERVED_BYTES` is reserved in `budget`.
    pub fn new(budget: &MemoryBudget) -> WholeBody {
        WholeBody { bytes: Vec::new(), reservation: budget.empty_reservation() }
    }

    /// Makes room for a body of this length.
    ///
    /// # Errors
    /// There is no memory for it.
    pub fn reserve(&mut self, length: u64) -> Result<(), BudgetError> {
        let reserved = UNRESERVED_BYTES + self.reservation.bytes();
        let missing = length.saturating_sub(reserved as u64);
        self.reservation.grow(missing)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        self.bytes.reserve_exact(length.saturating_sub(self.bytes.len()));
        Ok(())
    }

    /// Appends data.
    ///
    /// # Errors
    /// There is no memory for it; nothing is appended then.
    pub fn append(&mut self, data: &[u8]) -> Result<(), BudgetError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            // Twice the capacity where there is memory, so that a body of unknown length is seldom moved.
            let doubled = (2 * self.bytes.capacity()).max(length);
            self.reserve(doubled as u64).or_else(|_| self.reserve(length as u64))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// A body of which a part was received. The rest is read as its receiver takes it.
#[derive(Debug)]
pub struct StreamedBody {
    /// The part that was received, which comes first.
    pub received: WholeBody,
    /// Reads the rest.
    pub rest: BodyReader,
    /// The length of the whole body, where its head says so.
    pub length: Option<u64>,
}

/// The body of a backend's response.
#[derive(Debug)]
pub enum HttpResponseBody {
    /// Received to its end.
    Whole(WholeBody),
    /// Too large for the memory that is available; it is still coming in.
    Streamed(Box<StreamedBody>),
}

/// Receives a body to its end, or as far as there is memory in `budget`.
///
/// # Errors
/// The connection ends within the body, its framing is malformed, or it announces more than is ever passed on.
pub async fn receive_body(
    mut reader: BodyReader,
    framing: BodyFraming,
    budget: &MemoryBudget,
) -> Result<HttpResponseBody, ResponseError> {
    let mut body = WholeBody::new(budget);
    let length = match framing {
        BodyFraming::Length(length) => Some(length),
        BodyFraming::Chunked | BodyFraming::UntilClose => None,
    };
    if let Some(bytes) = length.filter(|length| *length > MAX_ANNOUNCED_BYTES as u64) {
        return Err(BodyTooLarge { bytes, max_bytes: MAX_ANNOUNCED_BYTES }.into());
    }
    let mut fits = length.is_none_or(|length| body.reserve(length).is_ok());
    while fits {
        if !reader.wait_for_data().await? {
            reader.finish();
            return Ok(HttpResponseBody::Whole(body));
        }
        fits = body.append(reader.data()).is_ok();
        if fits {
            reader.consume_data();
        }
    }
    Ok(HttpResponseBody::Streamed(Box::new(StreamedBody { received: body, rest: reader, length })))
}
