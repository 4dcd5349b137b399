//! Finds the end of a body, and separates its data from its framing. Does no I/O and holds no data.

use httparse::Status;
use thiserror::Error;

/// The longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// The most trailers.
const MAX_TRAILERS: usize = 64;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// It has so many bytes.
    Length(u64),
    /// It comes in chunks; the last one is empty.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// Its lengths are malformed, repeated or contradict each other.
    #[error("the body has no length or ambiguous lengths")]
    AmbiguousLength,
    /// Its chunks are malformed.
    #[error("malformed chunk")]
    MalformedChunk,
}

/// What the received bytes begin with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodySegment {
    /// So many bytes of framing, which are to be dropped.
    Framing(usize),
    /// So many bytes of data.
    Data(usize),
    /// Too little to say.
    Incomplete,
    /// The body has ended before them.
    End,
}

/// The state of a body that is being received.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder(State);

#[derive(Clone, Copy, Debug)]
enum State {
    /// So many bytes are left of a body of known length.
    Length(u64),
    /// All that comes is data.
    UntilClose,
    /// A chunk's size comes next.
    ChunkSize,
    /// So many bytes are left of a chunk.
    ChunkData(u64),
    /// The end of line behind a chunk's data comes next.
    ChunkEnd,
    /// A trailer, or the empty line that ends the body, comes next; so many trailers were there.
    Trailer(usize),
    Ended,
}

impl BodyDecoder {
    /// The state before the first byte of a body.
    pub fn new(framing: BodyFraming) -> BodyDecoder {
        BodyDecoder(match framing {
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::UntilClose => State::UntilClose,
        })
    }

    /// Whether the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.0, State::UntilClose)
    }

    /// What these received bytes begin with. The caller consumes the bytes that it is told of, and asks again.
    ///
    /// # Errors
    /// The chunks are malformed.
    pub fn segment(&mut self, received: &[u8]) -> Result<BodySegment, BodyError> {
        match self.0 {
            State::Ended | State::Length(0) => Ok(BodySegment::End),
            _ if received.is_empty() => Ok(BodySegment::Incomplete),
            State::UntilClose => Ok(BodySegment::Data(received.len())),
            State::Length(left) => {
                let (taken, left) = take(received, left);
                self.0 = State::Length(left);
                Ok(BodySegment::Data(taken))
            }
            State::ChunkData(left) => {
                let (taken, left) = take(received, left);
                self.0 = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                Ok(BodySegment::Data(taken))
            }
            State::ChunkSize => self.chunk_size(received),
            State::ChunkEnd => self.chunk_end(received),
            State::Trailer(count) => self.trailer(received, count),
        }
    }

    fn chunk_size(&mut self, received: &[u8]) -> Result<BodySegment, BodyError> {
        match httparse::parse_chunk_size(received) {
            Ok(Status::Complete((length, 0))) => {
                self.0 = State::Trailer(0);
                Ok(BodySegment::Framing(length))
            }
            Ok(Status::Complete((length, size))) => {
                self.0 = State::ChunkData(size);
                Ok(BodySegment::Framing(length))
            }
            Ok(Status::Partial) if received.len() < MAX_LINE_BYTES => Ok(BodySegment::Incomplete),
            _ => Err(BodyError::MalformedChunk),
        }
    }

    fn chunk_end(&mut self, received: &[u8]) -> Result<BodySegment, BodyError> {
        match received {
            [b'\r', b'\n', ..] => {
                self.0 = State::ChunkSize;
                Ok(BodySegment::Framing(2))
            }
            [b'\r'] => Ok(BodySegment::Incomplete),
            _ => Err(BodyError::MalformedChunk),
        }
    }

    fn trailer(&mut self, received: &[u8], count: usize) -> Result<BodySegment, BodyError> {
        let line_end = received.windows(2).take(MAX_LINE_BYTES).position(|pair| pair == b"\r\n");
        match line_end {
            Some(0) => {
                self.0 = State::Ended;
                Ok(BodySegment::Framing(2))
            }
            Some(at) if count < MAX_TRAILERS => {
                self.0 = State::Trailer(count + 1);
                Ok(BodySegment::Framing(at + 2))
            }
            None if received.len() < MAX_LINE_BYTES => Ok(BodySegment::Incomplete),
            _ => Err(BodyError::MalformedChunk),
        }
    }
}

/// How many of the received bytes belong to a part of which so many are left, and how many are left then.
fn take(received: &[u8], left: u64) -> (usize, u64) {
    let taken = usize::try_from(left).unwrap_or(usize::MAX).min(received.len());
    (taken, left - taken as u64)
}
