//! Reads a complete request body within a memory budget and a deadline.

use super::REQUEST_TIMEOUT;
use super::error::RequestError;
use crate::backend::http::MAX_UNRESERVED_BODY_BYTES;
use crate::backend::{MemoryBudget, MemoryReservation};
use actix_http::{Payload, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// The lowest accepted rate of a body, in bytes per second: the time that a body takes at this rate is added
/// to `REQUEST_TIMEOUT`.
const MIN_BODY_BYTES_PER_SECOND: f64 = 64_000.0;
/// A body of which no part has arrived for this long has stalled.
const BODY_STALL_TIME: Duration = Duration::from_secs(2);
/// `Retry-After` in seconds for a request whose body exceeds the memory available at present.
const MEMORY_EXHAUSTED_RETRY_SECONDS: f64 = 1.0;

/// A complete body.
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    /// The memory reserved for a body over 64 KiB; `None` for a smaller one.
    pub(super) reservation: Option<MemoryReservation>,
}

/// The largest body that is accepted, in bytes.
pub(super) fn max_body_bytes(budget: &MemoryBudget) -> usize {
    budget.max_body_bytes().max(MAX_UNRESERVED_BODY_BYTES)
}

/// Reads a complete request body. A body over 64 KiB reserves memory from `budget`, and is rejected if too
/// little is available. The whole body has a deadline at `MIN_BODY_BYTES_PER_SECOND`, and each part must
/// arrive within `BODY_STALL_TIME`.
///
/// # Errors
/// The body is malformed, too large or overdue, or the memory budget is exhausted.
pub(super) async fn read_body(
    request: &mut Request,
    content_length: Option<u64>,
    request_started_at: Instant,
    budget: &MemoryBudget,
) -> Result<RequestBody, RequestError> {
    let expected = content_length.map_or(0, |length| length as usize);
    let mut buffer = BodyBuffer::new(budget, expected)?;
    let time_limit = time_limit(expected, max_body_bytes(budget));
    let deadline = tokio::time::Instant::from(request_started_at + time_limit);
    let mut payload = request.take_payload();
    while let Some(chunk) = next_chunk(&mut payload, deadline).await? {
        buffer.append(&chunk)?;
    }
    Ok(buffer.finish())
}

/// Time limit for a body of the expected length, from the first byte of its request.
fn time_limit(expected: usize, max: usize) -> Duration {
    let bytes = max.min(expected.max(MAX_UNRESERVED_BODY_BYTES));
    REQUEST_TIMEOUT + Duration::from_secs_f64(bytes as f64 / MIN_BODY_BYTES_PER_SECOND)
}

/// The next part of a body; `None` at its end.
async fn next_chunk(
    payload: &mut Payload,
    deadline: tokio::time::Instant,
) -> Result<Option<Bytes>, RequestError> {
    let stall_deadline = tokio::time::Instant::now() + BODY_STALL_TIME;
    match tokio::time::timeout_at(deadline.min(stall_deadline), payload.next()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
        Ok(Some(Err(_))) => Err(RequestError::MalformedBody),
        Err(_) => Err(RequestError::BodyOverdue),
    }
}

/// The received part of a body, and the memory reserved for it.
struct BodyBuffer<'a> {
    budget: &'a MemoryBudget,
    bytes: BytesMut,
    reservation: Option<MemoryReservation>,
}

impl BodyBuffer<'_> {
    /// Creates a buffer and reserves memory for a body of the expected length.
    fn new(budget: &MemoryBudget, expected: usize) -> Result<BodyBuffer<'_>, RequestError> {
        let reservation =
            if expected > MAX_UNRESERVED_BODY_BYTES { Some(reserve(budget, expected)?) } else { None };
        let bytes = BytesMut::with_capacity(expected.min(MAX_UNRESERVED_BODY_BYTES));
        Ok(BodyBuffer { budget, bytes, reservation })
    }

    /// Appends a part. For a body without a `Content-Length`, or longer than it states, the reservation grows
    /// with each part.
    fn append(&mut self, chunk: &[u8]) -> Result<(), RequestError> {
        let size = self.bytes.len() + chunk.len();
        let reserved = self.reservation.as_ref().map_or(MAX_UNRESERVED_BODY_BYTES, MemoryReservation::bytes);
        if size > reserved {
            let max = max_body_bytes(self.budget);
            if size > max {
                return Err(RequestError::BodyTooLarge { max });
            }
            match &mut self.reservation {
                Some(reservation) => {
                    reservation.grow((size - reserved) as u64).map_err(|_| memory_exhausted())?;
                }
                None => self.reservation = Some(reserve(self.budget, size)?),
            }
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    fn finish(self) -> RequestBody {
        RequestBody { bytes: self.bytes.freeze(), reservation: self.reservation }
    }
}

fn reserve(budget: &MemoryBudget, bytes: usize) -> Result<MemoryReservation, RequestError> {
    budget.reserve(bytes).ok_or_else(memory_exhausted)
}

fn memory_exhausted() -> RequestError {
    RequestError::Rejected { retry_after_seconds: MEMORY_EXHAUSTED_RETRY_SECONDS }
}
