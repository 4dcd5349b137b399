//! Frames on a connection between heads: the length of a record (4 bytes, little-endian), then the record. On
//! each connection, requests and responses alternate.

use crate::environment::Connection;
use crate::traffic::CountedStream;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::record::{self, RecordType};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Maximum size of the record in a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// A connection to another head whose traffic is counted.
pub type CountedConnection = CountedStream<Connection>;

/// Writes one frame.
///
/// # Errors
/// The value cannot be encoded or is too large, or the connection fails.
pub async fn send<T: Serialize>(
    stream: &mut CountedConnection,
    record_type: RecordType,
    value: &T,
) -> io::Result<()> {
    let record = record::encode(record_type, value).map_err(io::Error::other)?;
    if record.len() > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!(
            "the message of {} bytes is longer than a frame may be",
            record.len()
        )));
    }
    let mut frame = (record.len() as u32).to_le_bytes().to_vec();
    frame.extend(record);
    stream.write_all(&frame).await?;
    stream.traffic().add_message_sent();
    Ok(())
}

/// Reads one frame.
///
/// # Errors
/// The frame is corrupt (`InvalidData`), or the connection fails.
pub async fn receive<T: DeserializeOwned>(
    stream: &mut CountedConnection,
    record_type: RecordType,
) -> io::Result<T> {
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        let reason = format!("a frame of {length} bytes is longer than the maximum of {MAX_FRAME_BYTES}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    let mut record = Vec::new();
    // The buffer grows with the received bytes, so that a forged length does not allocate memory.
    (&mut *stream).take(length as u64).read_to_end(&mut record).await?;
    if record.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    stream.traffic().add_message_received();
    record::decode(record_type, &record)
        .map_err(|corrupt| io::Error::new(io::ErrorKind::InvalidData, corrupt))
}

/// Sends a request and reads its response.
///
/// # Errors
/// As of [`send`] and [`receive`]; after an error the connection must not be used any more.
pub async fn exchange(stream: &mut CountedConnection, request: &PeerRequest) -> io::Result<PeerResponse> {
    send(stream, RecordType::Call, request).await?;
    receive(stream, RecordType::Response).await
}

/// Limits the duration of an operation on a connection.
///
/// # Errors
/// Those of the operation, or `TimedOut` after `timeout`.
pub async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timed_out = |_| Err(io::Error::from(io::ErrorKind::TimedOut));
    tokio::time::timeout(timeout, operation).await.unwrap_or_else(timed_out)
}
