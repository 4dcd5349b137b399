//! Parses one complete HTTP/1.1 response from the bytes of a backend connection, or returns why it is
//! invalid.
//!
//! The parser does no I/O: its owner passes it the received bytes. A [`MemoryReservation`] accounts for the
//! body.

use super::memory_budget::{MemoryBudget, MemoryReservation};
use actix_codec::Decoder;
use actix_http::ResponseHead;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header;
use bytes::BytesMut;
use std::fmt;
use std::io;
use thiserror::Error;

/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most informational (1xx) heads accepted before the final head.
const MAX_INFORMATIONAL_HEADS: usize = 16;
/// The informational status after which the connection no longer carries HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A response that has been received to its end.
#[derive(Debug)]
pub(super) struct CompleteResponse {
    pub(super) head: ResponseHead,
    pub(super) body: BytesMut,
}

/// Why a response is invalid. The backend has run the request, and the connection cannot be reused.
#[derive(Debug, Error)]
enum InvalidResponse {
    #[error("malformed response head")]
    MalformedHead(#[source] ParseError),
    #[error("response head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The head switches protocols, or exceeds the limit of informational heads.
    #[error("no final response head")]
    NoFinalHead,
    #[error("response body has no length or ambiguous lengths")]
    AmbiguousLength,
    #[error("malformed response body")]
    MalformedBody(#[source] PayloadError),
}

impl From<InvalidResponse> for io::Error {
    fn from(error: InvalidResponse) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Parses one response: any informational heads, the final head, then the body.
pub(super) struct ResponseReader {
    /// Memory reserved for the body.
    reservation: MemoryReservation,
    informational_heads: usize,
    head_codec: ClientCodec,
    /// The final head and the body received so far; `None` until the final head has been received.
    body: Option<PartialBody>,
}

/// A partially received body with its head.
struct PartialBody {
    head: ResponseHead,
    codec: ClientPayloadCodec,
    received: BytesMut,
}

impl fmt::Debug for ResponseReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stage = if self.body.is_some() { "body" } else { "head" };
        f.debug_struct("ResponseReader").field("stage", &stage).finish_non_exhaustive()
    }
}

impl ResponseReader {
    /// A reader for the next response, whose body is reserved in `budget`.
    pub(super) fn new(budget: &MemoryBudget) -> ResponseReader {
        ResponseReader {
            reservation: budget.empty_reservation(),
            informational_heads: 0,
            head_codec: ClientCodec::default(),
            body: None,
        }
    }

    /// Consumes received bytes. Returns the response once it is complete, and `None` while bytes are missing.
    ///
    /// # Errors
    ///
    /// An error of the kind `InvalidData` if the response is invalid or there is no memory for its body.
    pub(super) fn read(&mut self, received: &mut BytesMut) -> io::Result<Option<CompleteResponse>> {
        if self.body.is_none() {
            let Some(head) = self.read_final_head(received)? else { return Ok(None) };
            self.reservation.grow(announced_length(&head)?.unwrap_or(0))?;
            if self.head_codec.message_type() == MessageType::None {
                return Ok(Some(CompleteResponse { head, body: BytesMut::new() }));
            }
            let codec = std::mem::take(&mut self.head_codec).into_payload_codec();
            // A body of known length has been reserved in full, so the buffer never grows.
            let body = BytesMut::with_capacity(self.reservation.bytes());
            self.body = Some(PartialBody { head, codec, received: body });
        }
        if !self.read_body(received)? {
            return Ok(None);
        }
        Ok(self
            .body
            .take()
            .map(|PartialBody { head, received, .. }| CompleteResponse { head, body: received }))
    }

    /// Reads up to the final head and skips informational ones; `None` while bytes are missing.
    fn read_final_head(&mut self, received: &mut BytesMut) -> Result<Option<ResponseHead>, InvalidResponse> {
        loop {
            let head = self.head_codec.decode(received).map_err(InvalidResponse::MalformedHead)?;
            let Some(head) = head else {
                let too_large = received.len() > MAX_HEAD_BYTES;
                return if too_large { Err(InvalidResponse::HeadTooLarge) } else { Ok(None) };
            };
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
            self.informational_heads += 1;
            if head.status.as_u16() == SWITCHING_PROTOCOLS
                || self.informational_heads > MAX_INFORMATIONAL_HEADS
            {
                return Err(InvalidResponse::NoFinalHead);
            }
            self.head_codec = ClientCodec::default();
        }
    }

    /// Appends received bytes to the body and returns whether the body is complete.
    fn read_body(&mut self, received: &mut BytesMut) -> io::Result<bool> {
        let Some(body) = &mut self.body else { return Ok(false) };
        loop {
            match body.codec.decode(received).map_err(InvalidResponse::MalformedBody)? {
                None => return Ok(false),
                Some(None) => return Ok(true),
                Some(Some(chunk)) => {
                    let size = body.received.len() + chunk.len();
                    if size > self.reservation.bytes() {
                        self.reservation.grow((size - self.reservation.bytes()) as u64)?;
                    }
                    body.received.extend_from_slice(&chunk);
                }
            }
        }
    }
}

/// The `Content-Length` of a response in bytes; `None` if the body is chunked.
fn announced_length(head: &ResponseHead) -> Result<Option<u64>, InvalidResponse> {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    // Rejects a body that only the end of the connection would delimit, and one with both a `Content-Length`
    // and chunked encoding: neither can be distinguished from a truncated body.
    if length.is_some() == is_chunked {
        return Err(InvalidResponse::AmbiguousLength);
    }
    Ok(length)
}
