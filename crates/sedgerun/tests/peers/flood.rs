//! Clients that write at full speed without reading.

use crate::standin::{get, write_request};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Bytes of one write.
const WRITE_BYTES: usize = 16 * 1024;
/// Time after which a blocked write is tried again, so that the flood ends with its run.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// The input that a client sends: `first` once on each connection, and then `repeated` without end.
#[derive(Clone, Debug)]
pub struct FloodInput {
    pub first: Vec<u8>,
    pub repeated: Vec<u8>,
}

impl FloodInput {
    /// The same text again and again.
    pub fn of(text: &[u8]) -> FloodInput {
        FloodInput { first: Vec::new(), repeated: text.repeat((WRITE_BYTES / text.len()).max(1)) }
    }

    /// The same text again and again, behind another one.
    pub fn behind(first: &[u8], text: &[u8]) -> FloodInput {
        FloodInput { first: first.to_vec(), ..FloodInput::of(text) }
    }

    pub fn empty_lines() -> FloodInput {
        FloodInput::of(b"\r\n")
    }

    pub fn unsound_heads() -> FloodInput {
        FloodInput::of(b"x\r\n\r\n")
    }

    /// A body in chunks of one byte.
    pub fn tiny_chunks() -> FloodInput {
        let head = write_request("b1", 1000).replace("Content-Length: 4", "Transfer-Encoding: chunked");
        FloodInput::behind(head.trim_end_matches("body").as_bytes(), b"1\r\nx\r\n")
    }

    pub fn endless_head() -> FloodInput {
        FloodInput::behind(get("b1", 1000).trim_end_matches("\r\n").as_bytes(), b"\r\nX-Field: a")
    }

    pub fn health_checks() -> FloodInput {
        FloodInput::of(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
    }
}

/// Writes on one connection without reading, until it is closed or the run is over; the bytes that it took. `None` where
/// no connection is made.
pub fn write_until_closed(address: SocketAddr, input: &FloodInput, over: &AtomicBool) -> Option<u64> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let mut taken = 0;
    let mut next = input.first.as_slice();
    while !over.load(Ordering::SeqCst) {
        if next.is_empty() {
            next = &input.repeated;
        }
        match stream.write(next) {
            Ok(bytes) => {
                taken += bytes as u64;
                next = &next[bytes..];
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    Some(taken)
}
