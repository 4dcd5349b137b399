//! Writes messages to a connection.

use sedgerun_net::Stream;
use std::io;
use std::time::Duration;

/// Bytes of a body that are sent with its head.
pub const JOINED_BODY_BYTES: usize = 4 * 1024;

/// Writes `head` and then `body`; a small body goes out with the head. `on_progress` is called with each number of bytes
/// that the socket has taken; a part must be taken within `stall_time`.
///
/// # Errors
/// The connection has broken, or no byte was taken for `stall_time` (`TimedOut`).
pub async fn write_message(
    stream: &Stream,
    head: &[u8],
    body: &[u8],
    stall_time: Duration,
    mut on_progress: impl FnMut(usize),
) -> io::Result<()> {
    if head.is_empty() {
        return stream.write_all(body, stall_time, on_progress).await;
    }
    let (joined, rest) = body.split_at(body.len().min(JOINED_BODY_BYTES));
    stream.write_all(&[head, joined].concat(), stall_time, &mut on_progress).await?;
    stream.write_all(rest, stall_time, on_progress).await
}
