//! The sockets of the program. No other crate of a head reads, writes or accepts on a socket; the linter forbids the
//! types of tokio's sockets elsewhere (`clippy.toml`).
//!
//! A task whose socket is always ready never waits, and on a runtime of one thread no other task runs then. So each
//! socket has a budget of bytes and operations for one turn of the event loop ([`turn`]); an operation past it lets all
//! other tasks run first, whatever the peer sends. Bytes that are read only to be
//! dropped have a bound ([`Stream::discard`]).
//!
//! | module | job |
//! | --- | --- |
//! | `turn` | the budget of one turn |
//! | `stream` | connections: reads, writes with a stall time, discards |
//! | `send_queue` | what was written to a connection and not sent yet |
//! | `async_stream` | the same connections for code that is written against `AsyncRead` and `AsyncWrite` |
//! | `listener` | accepts connections |
//! | `datagrams` | UDP |
#![allow(clippy::disallowed_types, reason = "this crate is where sockets are used")]

mod async_stream;
mod datagrams;
mod listener;
mod send_queue;
mod stream;
pub mod turn;

pub use datagrams::DatagramSocket;
pub use listener::Listener;
pub use stream::{DiscardEnd, ReadBuffer, Stream};
