//! Records: the format of everything that is written to disk or sent to another head, with a type, a format
//! version and a checksum.
//!
//! A record is its type (1 byte), the format version (1 byte), the CRC-32 of type, version and body (4 bytes,
//! little-endian), then the body as encoded by postcard. The numbers of the types and the order of the fields
//! and variants of the encoded values must not change: stored data and heads of other versions rely on them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error of the serializer.
pub use postcard::Error as EncodeError;

/// The format version that this program writes, and the only one that it reads.
pub const FORMAT_VERSION: u8 = 2;
/// Length of a record's header, in bytes.
pub const HEADER_BYTES: usize = 6;

/// The type of a record's body. [`decode`] rejects a record of another type than the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordType {
    /// The identity of a store.
    Identity = 1,
    /// A vote in an election.
    Vote = 2,
    /// An entry of the Raft log.
    Entry = 3,
    /// A position in the Raft log.
    Position = 4,
    /// The metadata of a snapshot.
    SnapshotMetadata = 5,
    /// The state in a snapshot.
    Snapshot = 6,
    /// A greeting, or the response to one, in the handshake between heads.
    Greeting = 7,
    /// A request from one head to another.
    Call = 8,
    /// The response to a request.
    Response = 9,
    /// The watermarks that a head remembers of other stores.
    Watermarks = 10,
    /// The view of a follower.
    View = 11,
    /// A backup of the whole state.
    Backup = 12,
}

/// Why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CorruptRecord {
    /// It is shorter than a record's header.
    #[error("truncated record")]
    Truncated,
    /// The checksum does not match: the record was written only in part, or altered.
    #[error("checksum differs")]
    Checksum,
    /// It has this format version, which this program does not read.
    #[error("format {0}; this program reads {supported}", supported = FORMAT_VERSION)]
    Format(u8),
    /// It has this type, which is not the expected one.
    #[error("unexpected record type {0}")]
    RecordType(u8),
    /// The checksum matches, but the body does not decode to the expected value.
    #[error("malformed record body")]
    Body,
}

fn checksum(record_type: u8, format: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[record_type, format]);
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a value as a record.
///
/// # Errors
/// The serializer rejects the value.
pub fn encode<T: Serialize>(record_type: RecordType, value: &T) -> Result<Vec<u8>, EncodeError> {
    let mut record = postcard::to_extend(value, vec![0; HEADER_BYTES])?;
    let sum = checksum(record_type as u8, FORMAT_VERSION, &record[HEADER_BYTES..]);
    (record[0], record[1]) = (record_type as u8, FORMAT_VERSION);
    record[2..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(record)
}

/// Decodes a record of the given type.
///
/// # Errors
/// The record is corrupt, or of another type or format version.
pub fn decode<T: DeserializeOwned>(record_type: RecordType, record: &[u8]) -> Result<T, CorruptRecord> {
    let &[found, format, a, b, c, d, ref body @ ..] = record else { return Err(CorruptRecord::Truncated) };
    if checksum(found, format, body) != u32::from_le_bytes([a, b, c, d]) {
        return Err(CorruptRecord::Checksum);
    }
    if format != FORMAT_VERSION {
        return Err(CorruptRecord::Format(format));
    }
    if found != record_type as u8 {
        return Err(CorruptRecord::RecordType(found));
    }
    // Remaining bytes mean that the body was encoded from another Rust type whose encoding begins alike.
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(CorruptRecord::Body),
    }
}
