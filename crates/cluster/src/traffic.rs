//! Counters of traffic through sockets: payload bytes and complete messages, in each direction.

use serde::{Deserialize, Serialize};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters of one kind of traffic of one head. They are never reset.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_received: AtomicU64,
    bytes_sent: AtomicU64,
    messages_received: AtomicU64,
    messages_sent: AtomicU64,
}

/// Values of the counters at one time. Bytes are those of TCP payloads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTotals {
    /// Bytes received.
    pub bytes_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Complete messages received.
    pub messages_received: u64,
    /// Messages sent.
    pub messages_sent: u64,
}

impl Traffic {
    /// Counts bytes read from a socket.
    pub fn add_bytes_received(&self, bytes: usize) {
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes written to a socket.
    pub fn add_bytes_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts one complete message received.
    pub fn add_message_received(&self) {
        self.messages_received.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one message sent.
    pub fn add_message_sent(&self) {
        self.messages_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// The current values of the counters.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            bytes_received: self.bytes_received.load(Ordering::Relaxed),
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            messages_received: self.messages_received.load(Ordering::Relaxed),
            messages_sent: self.messages_sent.load(Ordering::Relaxed),
        }
    }
}

impl TrafficTotals {
    /// Bytes received and sent.
    pub fn total_bytes(&self) -> u64 {
        self.bytes_received + self.bytes_sent
    }

    /// The sum of two totals.
    pub fn plus(&self, other: &TrafficTotals) -> TrafficTotals {
        TrafficTotals {
            bytes_received: self.bytes_received + other.bytes_received,
            bytes_sent: self.bytes_sent + other.bytes_sent,
            messages_received: self.messages_received + other.messages_received,
            messages_sent: self.messages_sent + other.messages_sent,
        }
    }

    /// Pairs of metric name and value. `names` are those of bytes received, bytes sent, messages received and
    /// messages sent, in this order.
    pub fn as_metrics(&self, names: [&'static str; 4]) -> [(&'static str, u64); 4] {
        let totals = [self.bytes_received, self.bytes_sent, self.messages_received, self.messages_sent];
        std::array::from_fn(|i| (names[i], totals[i]))
    }
}

/// A connection whose payload bytes are counted.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    traffic: Arc<Traffic>,
}

impl<S> CountedStream<S> {
    /// Wraps a connection and counts its payload bytes in `traffic`.
    pub fn new(stream: S, traffic: Arc<Traffic>) -> CountedStream<S> {
        CountedStream { stream, traffic }
    }

    /// The counters in which this connection is counted.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic.add_bytes_received(buffer.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &written {
            self.traffic.add_bytes_sent(*written);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
