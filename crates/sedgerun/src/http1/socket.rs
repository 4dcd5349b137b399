//! Reads and writes on a socket that make progress or time out.

use rustix::net::{RecvFlags, Shutdown, recv, shutdown};
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;

/// Size of one read of bytes that are discarded.
const DISCARD_BYTES: usize = 4 * 1024;

/// The peer has closed or reset its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer has disconnected")]
pub struct Disconnected;

/// Writes `head` and then `body`. `on_progress` is called with each number of bytes that the socket has taken; a part
/// must be taken within `stall_time`.
///
/// # Errors
/// The connection has broken, or no byte was taken for `stall_time` (`TimedOut`).
pub async fn write_all(
    stream: &TcpStream,
    mut head: &[u8],
    mut body: &[u8],
    stall_time: Duration,
    mut on_progress: impl FnMut(usize),
) -> io::Result<()> {
    while !head.is_empty() || !body.is_empty() {
        let written = write_some(stream, head, body);
        let written = tokio::time::timeout(stall_time, written)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        on_progress(written);
        let of_head = written.min(head.len());
        head = &head[of_head..];
        body = &body[written - of_head..];
    }
    Ok(())
}

/// Writes as much as the socket takes, at least one byte.
async fn write_some(stream: &TcpStream, head: &[u8], body: &[u8]) -> io::Result<usize> {
    loop {
        match stream.try_write_vectored(&[IoSlice::new(head), IoSlice::new(body)]) {
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
pub fn close_sending(stream: &TcpStream) {
    // Fails where the connection has broken, which its reader notices.
    let _ = shutdown(stream, Shutdown::Write);
}

/// Whether nothing has arrived on a connection, and it is open. Looks at the socket itself, whatever the event loop
/// has noticed so far.
pub fn peer_is_silent(stream: &TcpStream) -> bool {
    let received = recv(stream, &mut [0; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    received.is_err_and(|error| matches!(error, rustix::io::Errno::AGAIN | rustix::io::Errno::INTR))
}
