//! Reads a complete request body within a memory budget and a deadline.

use super::REQUEST_TIMEOUT;
use super::close_reason::CloseReason;
use super::connection::ConnectionState;
use super::error::RequestError;
use crate::http1::{BodyDecoder, BodyFraming, ReceiveError, ServerConnection};
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use std::time::{Duration, Instant};

/// Bytes of a body that need no reservation: every connection may have so many.
pub const UNRESERVED_BODY_BYTES: usize = 4 * 1024;
/// Bytes of a body for which no more time is given than for the head.
const BODY_BYTES_WITHOUT_EXTRA_TIME: usize = 64 * 1024;
/// The lowest accepted rate of a body, in bytes per second: the time that a body takes at this rate is added
/// to `REQUEST_TIMEOUT`.
const MIN_BODY_BYTES_PER_SECOND: f64 = 64_000.0;
/// A body of which no part has arrived for this long has stalled.
const BODY_STALL_TIME: Duration = Duration::from_secs(2);
/// `Retry-After` in seconds for a request that exceeds the memory available at present.
pub(super) const MEMORY_EXHAUSTED_RETRY_SECONDS: f64 = 1.0;

/// Why a body was not read.
#[derive(Debug)]
pub(super) enum BodyFailure {
    /// The request gets this response.
    Refused(RequestError),
    /// The connection ends without one.
    Closed(CloseReason),
}

impl From<RequestError> for BodyFailure {
    fn from(error: RequestError) -> BodyFailure {
        BodyFailure::Refused(error)
    }
}

/// A request's body, as far as it was received.
#[derive(Debug)]
pub(super) struct RequestBody {
    pub(super) bytes: Vec<u8>,
    /// The memory reserved beyond [`UNRESERVED_BODY_BYTES`].
    pub(super) reservation: MemoryReservation,
    max_bytes: usize,
}

impl RequestBody {
    /// Reads a complete body. One over [`UNRESERVED_BODY_BYTES`] reserves memory from `budget`, and is rejected if too
    /// little is available. The whole body has a deadline at `MIN_BODY_BYTES_PER_SECOND`, and each part must
    /// arrive within `BODY_STALL_TIME`.
    pub(super) async fn read(
        connection: &mut ServerConnection,
        state: &ConnectionState,
        framing: BodyFraming,
        request_started_at: Instant,
        budget: &MemoryBudget,
    ) -> Result<RequestBody, BodyFailure> {
        let expected = match framing {
            BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        let mut body = RequestBody::with_capacity(expected, budget)?;
        let deadline = request_started_at + time_limit(expected, body.max_bytes);
        if let BodyFraming::Length(_) = framing {
            body.read_length(connection, state, expected, deadline).await?;
            return Ok(body);
        }
        let mut decoder = BodyDecoder::new(framing);
        loop {
            let data = connection.body_data(&mut decoder).map_err(|_| RequestError::MalformedBody)?;
            let Some(data) = data else { return Ok(body) };
            body.append(data)?;
            let length = data.len();
            connection.received.consume(length);
            if length == 0 {
                within_limits(connection.receive(), deadline).await?;
                state.record_received();
            }
        }
    }

    /// Reads a body of this length, for which there is room.
    async fn read_length(
        &mut self,
        connection: &mut ServerConnection,
        state: &ConnectionState,
        length: usize,
        deadline: Instant,
    ) -> Result<(), BodyFailure> {
        let received = connection.received.unread();
        let mut filled = received.len().min(length);
        self.bytes.extend_from_slice(&received[..filled]);
        connection.received.consume(filled);
        self.bytes.resize(length, 0);
        while filled < length {
            let part_end = length.min(filled + sedgerun_net::turn::MAX_BYTES);
            let part = &mut self.bytes[filled..part_end];
            filled += within_limits(connection.receive_into(part), deadline).await?;
            state.record_received();
        }
        Ok(())
    }

    fn with_capacity(expected: usize, budget: &MemoryBudget) -> Result<RequestBody, RequestError> {
        let max_bytes = budget.max_body_bytes();
        let mut body = RequestBody { bytes: Vec::new(), reservation: budget.empty_reservation(), max_bytes };
        body.reserve(expected)?;
        Ok(body)
    }

    /// Makes room for a body of this length.
    fn reserve(&mut self, length: usize) -> Result<(), RequestError> {
        if length > self.max_bytes {
            return Err(RequestError::BodyTooLarge { max: self.max_bytes });
        }
        let missing = length.saturating_sub(UNRESERVED_BODY_BYTES + self.reservation.bytes());
        self.reservation.grow(missing as u64).map_err(|_| memory_exhausted())?;
        self.bytes.reserve_exact(length.saturating_sub(self.bytes.len()));
        Ok(())
    }

    /// Appends a part. For a body without a `Content-Length` the reservation doubles where there is memory, so that a
    /// large body is seldom moved.
    fn append(&mut self, data: &[u8]) -> Result<(), RequestError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).clamp(length, self.max_bytes.max(length));
            self.reserve(doubled).or_else(|_| self.reserve(length))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Time limit for a body of the expected length, from the first byte of its request.
fn time_limit(expected: usize, max: usize) -> Duration {
    let bytes = max.min(expected.max(BODY_BYTES_WITHOUT_EXTRA_TIME));
    REQUEST_TIMEOUT + Duration::from_secs_f64(bytes as f64 / MIN_BODY_BYTES_PER_SECOND)
}

/// Waits for the next part of a body.
async fn within_limits<T>(
    receiving: impl Future<Output = Result<T, ReceiveError>>,
    deadline: Instant,
) -> Result<T, BodyFailure> {
    let stall_deadline = Instant::now() + BODY_STALL_TIME;
    match tokio::time::timeout_at(deadline.min(stall_deadline).into(), receiving).await {
        Ok(Ok(received)) => Ok(received),
        Ok(Err(ReceiveError::Disconnected)) => Err(BodyFailure::Closed(CloseReason::ClientClosed)),
        Ok(Err(_)) => Err(RequestError::MalformedBody.into()),
        Err(_) => Err(RequestError::BodyOverdue.into()),
    }
}

/// The refusal of a request for which there is no memory now.
pub(super) fn memory_exhausted() -> RequestError {
    RequestError::Rejected { retry_after_seconds: MEMORY_EXHAUSTED_RETRY_SECONDS }
}
