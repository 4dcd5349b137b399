//! Parses one complete HTTP/1.1 response out of the bytes of a backend's connection, or says why it cannot be used.
//!
//! It does no I/O: its owner hands it the bytes that came. The body is held within a [`MemoryReservation`].

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

/// The largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most informational (1xx) heads that may come in front of a response.
const MAX_INFORMATIONAL_HEADS: usize = 16;
/// The status of an informational head that ends HTTP on its connection.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A response all of which has come.
#[derive(Debug)]
pub(super) struct CompleteResponse {
    pub(super) head: ResponseHead,
    pub(super) body: BytesMut,
}

/// Why a response cannot be used. The request has run, and its connection is of no further use.
#[derive(Debug, Error)]
enum InvalidResponse {
    #[error("a head that cannot be read")]
    MalformedHead(#[source] ParseError),
    #[error("an endless head")]
    EndlessHead,
    /// The head switches protocols, or is one informational head too many.
    #[error("not an answer")]
    NoFinalHead,
    #[error("a body without one length")]
    AmbiguousLength,
    #[error("a body that cannot be read")]
    MalformedBody(#[source] PayloadError),
}

impl From<InvalidResponse> for io::Error {
    fn from(error: InvalidResponse) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Reads one response: first its heads, the informational ones included, then its body.
pub(super) struct ResponseReader {
    /// What the body takes up.
    reservation: MemoryReservation,
    informational_heads: usize,
    head_codec: ClientCodec,
    /// The final head and the body behind it, once the head has come.
    body: Option<PartialBody>,
}

/// A body that is being read, with the head that it belongs to.
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
    /// A reader of the next response, whose body takes its memory from a budget.
    pub(super) fn new(budget: &MemoryBudget) -> ResponseReader {
        ResponseReader {
            reservation: budget.empty_reservation(),
            informational_heads: 0,
            head_codec: ClientCodec::default(),
            body: None,
        }
    }

    /// Consumes what has come; the response once it is complete, `None` while more has to come.
    ///
    /// # Errors
    ///
    /// Of the kind `InvalidData`: the response cannot be used, or there is no memory for its body.
    pub(super) fn read(&mut self, received: &mut BytesMut) -> io::Result<Option<CompleteResponse>> {
        if self.body.is_none() {
            let Some(head) = self.read_final_head(received)? else { return Ok(None) };
            self.reservation.grow(announced_length(&head)?.unwrap_or(0))?;
            if self.head_codec.message_type() == MessageType::None {
                return Ok(Some(CompleteResponse { head, body: BytesMut::new() }));
            }
            let codec = std::mem::take(&mut self.head_codec).into_payload_codec();
            // A body of a known length, which has been reserved, never has to grow.
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

    /// The head of the response itself, behind any informational ones; `None` while more has to come.
    fn read_final_head(&mut self, received: &mut BytesMut) -> Result<Option<ResponseHead>, InvalidResponse> {
        loop {
            let head = self.head_codec.decode(received).map_err(InvalidResponse::MalformedHead)?;
            let Some(head) = head else {
                let endless = received.len() > MAX_HEAD_BYTES;
                return if endless { Err(InvalidResponse::EndlessHead) } else { Ok(None) };
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

    /// Collects what has come of the body; whether that is all of it.
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

/// The length that a head announces for its body, in bytes; `None` for a chunked one.
fn announced_length(head: &ResponseHead) -> Result<Option<u64>, InvalidResponse> {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    // Guards against bodies that only the connection's end would delimit, and against two lengths that differ:
    // neither can be told from a part.
    if length.is_some() == is_chunked {
        return Err(InvalidResponse::AmbiguousLength);
    }
    Ok(length)
}
