//! The body of a backend's response: received whole while there is memory for it, and otherwise passed on in parts as
//! its receiver takes them.

use super::connection::{Connection, RECEIVE_BUFFER_BYTES, ResponseError};
use super::idle_connections::IdleConnections;
use crate::backend::{AttemptContext, Transfer};
use crate::http1::{BodyDecoder, BodyError, BodyFraming, BodySegment};
use crate::memory_budget::{BodyTooLarge, BudgetError, MemoryBudget, MemoryReservation};
use sedgerun_dispatch::AttemptStage;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes of a body that need no reservation: every open request may have so many.
const UNRESERVED_BYTES: usize = RECEIVE_BUFFER_BYTES;
/// A body over so many bytes is timed by its first byte, and passed on while it comes.
const LARGE_BYTES: u64 = 64 * 1024;
/// Time for which a large body is held back. One that breaks off in it can be tried again.
const RETRY_WINDOW: Duration = Duration::from_millis(25);
/// Time before the client must have its response at which a body without a length is passed on.
const PASS_ON_MARGIN: Duration = Duration::from_millis(100);
/// The largest announced length of a body that is passed on, in bytes: no client waits for more.
const MAX_ANNOUNCED_BYTES: usize = 64 << 20;

/// Reads a body from its connection. Dropped before the end, it closes the connection.
#[derive(Debug)]
pub struct BodyReader {
    connection: Connection,
    decoder: BodyDecoder,
    /// Bytes at the start of the receive buffer that are data and not consumed yet.
    pending: usize,
    /// The connection has ended, which is the end of a body without a length.
    has_connection_ended: bool,
    /// Where the connection goes behind the body; `None` if it closes then.
    connections: Option<Rc<IdleConnections>>,
}

/// What the received bytes of a body begin with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedBody {
    /// Data.
    Data,
    /// The body has ended.
    Ended,
    /// More has to be received.
    Incomplete,
}

impl BodyReader {
    /// A reader for the body behind a head that was just read.
    pub fn new(
        connection: Connection,
        framing: BodyFraming,
        connections: Option<Rc<IdleConnections>>,
    ) -> BodyReader {
        BodyReader {
            connection,
            decoder: BodyDecoder::new(framing),
            pending: 0,
            has_connection_ended: false,
            connections,
        }
    }

    /// What the received bytes say, without waiting. Data stays until it is consumed.
    ///
    /// # Errors
    /// The framing is malformed.
    pub fn buffered(&mut self) -> Result<BufferedBody, ResponseError> {
        if self.pending > 0 {
            return Ok(BufferedBody::Data);
        }
        let (pending, end) = self.gather();
        self.pending = pending;
        match end {
            _ if pending > 0 => Ok(BufferedBody::Data),
            Ok(BodySegment::End) => Ok(BufferedBody::Ended),
            Ok(_) if self.has_connection_ended => Ok(BufferedBody::Ended),
            Ok(_) => Ok(BufferedBody::Incomplete),
            Err(error) => Err(error.into()),
        }
    }

    /// Moves the data among the received bytes together, and drops the framing between; the length of the data, and what
    /// ends it.
    fn gather(&mut self) -> (usize, Result<BodySegment, BodyError>) {
        let unread = self.connection.received.unread_mut();
        let (mut data_end, mut position) = (0, 0);
        let end = loop {
            match self.decoder.segment(&unread[position..]) {
                Ok(BodySegment::Framing(bytes)) => position += bytes,
                Ok(BodySegment::Data(bytes)) => {
                    if position > data_end {
                        unread.copy_within(position..position + bytes, data_end);
                    }
                    data_end += bytes;
                    position += bytes;
                }
                end => break end,
            }
        };
        let dropped = position - data_end;
        if dropped > 0 {
            unread.copy_within(..data_end, dropped);
        }
        self.connection.received.consume(dropped);
        (data_end, end)
    }

    /// Waits until more bytes have arrived, or the connection has ended behind a body that ends with it.
    ///
    /// # Errors
    /// The connection ends within the body.
    pub async fn receive(&mut self) -> Result<(), ResponseError> {
        let ensured = self.connection.received.ensure_capacity(RECEIVE_BUFFER_BYTES);
        ensured.map_err(|_| ResponseError::HeadTooLarge)?;
        if self.connection.receive().await? == 0 {
            if !self.decoder.ends_with_connection() {
                return Err(ResponseError::UnexpectedEnd);
            }
            self.has_connection_ended = true;
        }
        Ok(())
    }

    /// Waits for data; `false` at the end of the body. The data stays until it is consumed.
    ///
    /// # Errors
    /// The connection ends within the body, or its framing is malformed.
    pub async fn wait_for_data(&mut self) -> Result<bool, ResponseError> {
        loop {
            match self.buffered()? {
                BufferedBody::Data => return Ok(true),
                BufferedBody::Ended => return Ok(false),
                BufferedBody::Incomplete => self.receive().await?,
            }
        }
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

    /// Frees the memory beyond what was received.
    fn release_unused(&mut self) {
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.len().saturating_sub(UNRESERVED_BYTES));
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

/// A body of which a part was received. The rest is read as its receiver takes it; `transfer` reports progress and end.
#[derive(Debug)]
pub struct StreamedBody {
    /// The part that was received, which comes first.
    pub received: WholeBody,
    /// Reads the rest.
    pub rest: BodyReader,
    /// The length of the whole body, where its head says so.
    pub length: Option<u64>,
    /// Reports how the rest gets on.
    pub transfer: Transfer,
}

/// The body of a backend's response.
#[derive(Debug)]
pub enum HttpResponseBody {
    /// Received to its end.
    Whole(WholeBody),
    /// Still coming in: it is large and takes its time, or is too large for the memory that is available.
    Streamed(Box<StreamedBody>),
}

/// Receives a body to its end; or a part of it, where the rest is passed on as it comes. That is a body over
/// `LARGE_BYTES` that is not complete within `RETRY_WINDOW`, one without a length that is not complete shortly before
/// the client must have its response, and one for which `budget` has no memory.
///
/// # Errors
/// The connection ends within the body, its framing is malformed, or it announces more than is ever passed on.
pub async fn receive_body(
    mut reader: BodyReader,
    framing: BodyFraming,
    budget: &MemoryBudget,
    context: &AttemptContext,
) -> Result<HttpResponseBody, ResponseError> {
    let length = match framing {
        BodyFraming::Length(length) => Some(length),
        BodyFraming::Chunked | BodyFraming::UntilClose => None,
    };
    if let Some(bytes) = length.filter(|length| *length > MAX_ANNOUNCED_BYTES as u64) {
        return Err(BodyTooLarge { bytes, max_bytes: MAX_ANNOUNCED_BYTES }.into());
    }
    let mut body = WholeBody::new(budget);
    let mut fits = length.is_none_or(|length| body.reserve(length).is_ok());
    let mut times = None;
    while fits {
        match reader.buffered()? {
            BufferedBody::Ended => {
                reader.finish();
                return Ok(HttpResponseBody::Whole(body));
            }
            BufferedBody::Data => {
                fits = body.append(reader.data()).is_ok();
                if fits {
                    reader.consume_data();
                }
            }
            BufferedBody::Incomplete => {
                let times = *times.get_or_insert_with(|| PassOnTimes::new(context));
                context.progress.advance(AttemptStage::ReceivingResponse);
                let pass_on_at = times.of(length, body.bytes.len() as u64);
                if !receive_until(&mut reader, pass_on_at).await? {
                    break;
                }
            }
        }
    }
    body.release_unused();
    let transfer = Transfer::new(context.progress.clone());
    Ok(HttpResponseBody::Streamed(Box::new(StreamedBody { received: body, rest: reader, length, transfer })))
}

/// When a body that is not complete yet begins to be passed on.
#[derive(Clone, Copy, Debug)]
struct PassOnTimes {
    /// The end of the time in which a large one is held back.
    large: Instant,
    /// Shortly before the client must have its response.
    unknown_length: Instant,
}

impl PassOnTimes {
    /// The times of a body for whose rest its attempt begins to wait now.
    fn new(context: &AttemptContext) -> PassOnTimes {
        let now = Instant::now();
        let time_left = Duration::from_micros(context.respond_by.saturating_sub(context.clock.now()));
        let margin = PASS_ON_MARGIN.min(time_left / 4);
        PassOnTimes { large: now + RETRY_WINDOW, unknown_length: now + time_left - margin }
    }

    /// The time of a body with this length, of which so many bytes have come; `None` if it is never passed on before
    /// it is complete.
    fn of(&self, length: Option<u64>, received: u64) -> Option<Instant> {
        let is_large = length.unwrap_or(received) > LARGE_BYTES;
        match length {
            _ if is_large => Some(self.large),
            None => Some(self.unknown_length),
            Some(_) => None,
        }
    }
}

/// Receives more of a body; `false` if none has arrived by the time at which it is to be passed on.
async fn receive_until(reader: &mut BodyReader, pass_on_at: Option<Instant>) -> Result<bool, ResponseError> {
    let Some(pass_on_at) = pass_on_at else {
        return reader.receive().await.map(|()| true);
    };
    tokio::select! {
        biased;
        () = tokio::time::sleep_until(pass_on_at.into()) => Ok(false),
        received = reader.receive() => received.map(|()| true),
    }
}
