//! A client's socket as actix-http reads and writes it. It records the connection's activity, discards bytes
//! received while a response is pending, and keeps reading after the last response, so that closing does not
//! reset the connection.

use super::connection::ConnectionState;
use crate::descriptors::DescriptorPermit;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::net::TcpStream;

/// Size of one read of bytes to discard.
const DISCARD_READ_BYTES: usize = 4 * 1024;
/// The most bytes that are discarded before the task yields to others.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// The most bytes that are delivered to actix-http before it must process them: well below the 128 KiB that
/// it buffers.
const MAX_DELIVERED_BYTES: usize = 16 * 1024;

/// A client's socket that records its activity and whether the client has disconnected.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    connection: Rc<ConnectionState>,
    /// Bytes delivered since actix-http last processed its buffer.
    delivered_bytes: usize,
    _descriptor: DescriptorPermit,
}

impl ClientStream {
    /// Wraps a socket so that it records its activity in `connection`; holds the descriptor's permit.
    pub(super) fn new(
        stream: TcpStream,
        connection: Rc<ConnectionState>,
        descriptor: DescriptorPermit,
    ) -> ClientStream {
        ClientStream { stream, connection, delivered_bytes: 0, _descriptor: descriptor }
    }

    /// The connection state that the stream records its activity in.
    pub(super) fn connection(&self) -> Rc<ConnectionState> {
        Rc::clone(&self.connection)
    }

    /// Reads and discards bytes until the client closes its side.
    fn discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_READ_BYTES];
        let mut left = MAX_DISCARDED_BYTES;
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.record_discarded();
            left = left.saturating_sub(buf.filled().len());
            if left == 0 {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
    }

    /// Reads available bytes into the buffer of actix-http.
    fn deliver(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        self.delivered_bytes = if polled.is_pending() { 0 } else { self.delivered_bytes + received };
        if received > 0 {
            self.connection.record_received();
        }
        polled
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // actix-http stops reading once it has buffered 128 KiB of unprocessed bytes, and would then not
        // detect that the client of a pending request has disconnected. So bytes are discarded while a
        // response is pending, and after the closing response.
        let awaiting_response = self.connection.awaiting_response();
        if awaiting_response || self.connection.responses_ended_at().is_some() {
            let polled = self.discard(cx);
            self.connection.set_client_disconnected(awaiting_response && polled.is_ready());
            return polled;
        }
        // The discarded bytes were at least part of a request, so the stream ends here: the connection closes
        // after the responses to earlier requests.
        if self.connection.has_discarded() {
            return Poll::Ready(Ok(()));
        }
        // Limits the bytes delivered at once, so that actix-http processes its buffer before it is full.
        if self.delivered_bytes >= MAX_DELIVERED_BYTES {
            self.delivered_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.deliver(cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let now = Instant::now();
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.connection.record_write(now, polled.is_ready());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.record_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Closing a socket with unread bytes resets the connection, which can lose a response in transit. So
        // bytes that arrive now are discarded; they get no response. The sweep closes the connection if the
        // client does not.
        self.connection.end_responses();
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        self.discard(cx)
    }
}
