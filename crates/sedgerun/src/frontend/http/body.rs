//! Reads a request's body whole, within a memory budget and a deadline.

use super::REQUEST_TIMEOUT;
use super::error::RequestError;
use crate::backend::http::MAX_UNRESERVED_BODY_BYTES;
use crate::backend::{MemoryBudget, MemoryReservation};
use actix_http::{Payload, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// The slowest that a client sends a body, in bytes a second: a body has its length's worth of time at this
/// rate beyond the time for a complete request.
const SLOWEST_BODY_RATE: f64 = 64_000.0;
/// A body of which no part has come for so long has stalled.
const BODY_STALL_TIME: Duration = Duration::from_secs(2);
/// When a client may retry whose body there is no memory for, in seconds.
const NO_MEMORY_RETRY_SECONDS: f64 = 1.0;

/// A complete body.
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    /// What a body over 64 KiB takes of the memory budget.
    pub(super) reservation: Option<MemoryReservation>,
}

/// The largest body that can ever be read, in bytes.
pub(super) fn most_body(budget: &MemoryBudget) -> usize {
    budget.max_body_bytes().max(MAX_UNRESERVED_BODY_BYTES)
}

/// Reads a request's body whole: a body over 64 KiB takes memory of the budget, or is rejected while there is none.
/// The body has its time at the slowest rate that clients send, and no part may be later than 2 s.
///
/// # Errors
/// The body is malformed, too large or overdue, or there is no memory for it now.
pub(super) async fn read_body(
    request: &mut Request,
    content_length: Option<u64>,
    request_started_at: Instant,
    budget: &MemoryBudget,
) -> Result<RequestBody, RequestError> {
    let expected = content_length.map_or(0, |length| length as usize);
    let mut buffer = BodyBuffer::new(budget, expected)?;
    let time_limit = time_limit(expected, most_body(budget));
    let deadline = tokio::time::Instant::from(request_started_at + time_limit);
    let mut payload = request.take_payload();
    while let Some(chunk) = next_chunk(&mut payload, deadline).await? {
        buffer.append(&chunk)?;
    }
    Ok(buffer.finish())
}

/// How long a body may take from its request's first byte, by the length that it is expected to have.
fn time_limit(expected: usize, most: usize) -> Duration {
    let bytes = most.min(expected.max(MAX_UNRESERVED_BODY_BYTES));
    REQUEST_TIMEOUT + Duration::from_secs_f64(bytes as f64 / SLOWEST_BODY_RATE)
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

/// What has come of a body, and the memory that it takes.
struct BodyBuffer<'a> {
    budget: &'a MemoryBudget,
    bytes: BytesMut,
    reservation: Option<MemoryReservation>,
}

impl BodyBuffer<'_> {
    /// A buffer with memory for the length that a body is expected to have.
    fn new(budget: &MemoryBudget, expected: usize) -> Result<BodyBuffer<'_>, RequestError> {
        let reservation =
            if expected > MAX_UNRESERVED_BODY_BYTES { Some(reserve(budget, expected)?) } else { None };
        let bytes = BytesMut::with_capacity(expected.min(MAX_UNRESERVED_BODY_BYTES));
        Ok(BodyBuffer { budget, bytes, reservation })
    }

    /// Adds a part. A body without a length, or longer than it said, takes its memory as it comes.
    fn append(&mut self, chunk: &[u8]) -> Result<(), RequestError> {
        let size = self.bytes.len() + chunk.len();
        let reserved = self.reservation.as_ref().map_or(MAX_UNRESERVED_BODY_BYTES, MemoryReservation::bytes);
        if size > reserved {
            let most = most_body(self.budget);
            if size > most {
                return Err(RequestError::BodyTooLarge { most });
            }
            match &mut self.reservation {
                Some(reservation) => reservation.grow((size - reserved) as u64).map_err(|_| no_memory())?,
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
    budget.reserve(bytes).ok_or_else(no_memory)
}

fn no_memory() -> RequestError {
    RequestError::Rejected { retry_after_seconds: NO_MEMORY_RETRY_SECONDS }
}
