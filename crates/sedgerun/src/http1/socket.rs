//! Reads and writes on a socket that make progress or time out.

use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Size of one read of bytes that are discarded.
const DISCARD_BYTES: usize = 4 * 1024;
/// Bytes of a body that are sent with its head.
const JOINED_BODY_BYTES: usize = 4 * 1024;

/// The peer has closed or reset its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer has disconnected")]
pub struct Disconnected;

/// Writes `head` and then `body`; a small body goes out with the head. `on_progress` is called with each number of bytes
/// that the socket has taken; a part must be taken within `stall_time`.
///
/// # Errors
/// The connection has broken, or no byte was taken for `stall_time` (`TimedOut`).
pub async fn write_all(
    stream: &TcpStream,
    head: &[u8],
    body: &[u8],
    stall_time: Duration,
    mut on_progress: impl FnMut(usize),
) -> io::Result<()> {
    let (joined, rest) = body.split_at(body.len().min(JOINED_BODY_BYTES));
    if head.is_empty() {
        return write_part(stream, body, stall_time, &mut on_progress).await;
    }
    write_part(stream, &[head, joined].concat(), stall_time, &mut on_progress).await?;
    write_part(stream, rest, stall_time, &mut on_progress).await
}

async fn write_part(
    stream: &TcpStream,
    mut bytes: &[u8],
    stall_time: Duration,
    on_progress: &mut impl FnMut(usize),
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = tokio::time::timeout(stall_time, write_some(stream, bytes)).await;
        let written = written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        on_progress(written);
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Writes as much as the socket takes, at least one byte.
async fn write_some(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads and discards bytes until the peer disconnects; adds their number to `discarded`.
pub async fn discard(stream: &TcpStream, mut on_discarded: impl FnMut(usize)) -> Disconnected {
    loop {
        if stream.readable().await.is_err() {
            return Disconnected;
        }
        match try_discard(stream) {
            Ok(0) => return Disconnected,
            Ok(bytes) => on_discarded(bytes),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            Err(_) => return Disconnected,
        }
    }
}

/// Reads bytes into a buffer that does not outlive the call, so that a waiting task holds none.
fn try_discard(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; DISCARD_BYTES])
}

/// Ends the sending side of a connection; the peer still receives what was written before.
pub async fn close_sending(stream: &mut TcpStream) {
    // Fails where the connection has broken, which its reader notices.
    let _ = stream.shutdown().await;
}

/// Whether nothing has arrived on a connection, and it is open. What has arrived is lost: the connection is of no use
/// then.
pub fn peer_is_silent(stream: &TcpStream) -> bool {
    let received = stream.try_read(&mut [0; 1]);
    received
        .is_err_and(|error| matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted))
}
