//! Writes messages to a connection.

use sedgerun_net::Stream;
use std::io::{self, IoSlice};
use std::time::Duration;

/// Writes `head` and then `body`, together where the socket takes them. `on_progress` is called with each number of bytes
/// that the socket has taken; a part must be taken within `stall_time`.
///
/// # Errors
/// The connection has broken, or no byte was taken for `stall_time` (`TimedOut`).
pub async fn write_message(
    stream: &Stream,
    head: &[u8],
    body: &[u8],
    stall_time: Duration,
    on_progress: impl FnMut(usize),
) -> io::Result<()> {
    stream.write_all_parts(&mut [IoSlice::new(head), IoSlice::new(body)], stall_time, on_progress).await
}
