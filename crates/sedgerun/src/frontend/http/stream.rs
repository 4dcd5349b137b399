//! A client's socket as actix-http reads and writes it. It records the connection's activity, withholds what comes
//! while an answer is awaited, and reads on behind a last answer, so that no close resets the connection.

use super::connection::ConnectionState;
use crate::descriptors::DescriptorPermit;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::net::TcpStream;

/// Bytes that are read at once of what is discarded.
const DISCARD_READ_BYTES: usize = 4 * 1024;
/// The most bytes that are discarded before other tasks are polled.
const MOST_DISCARDED_BYTES: usize = 256 * 1024;
/// The most bytes that are passed on to actix-http at once: far under the 128 KiB that it reads ahead.
const MOST_PASSED_BYTES: usize = 16 * 1024;

/// A client's socket that records its activity, and when its client has disconnected.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    connection: Rc<ConnectionState>,
    /// Bytes passed on since actix-http last processed what it has.
    passed_bytes: usize,
    _descriptor: DescriptorPermit,
}

impl ClientStream {
    /// A stream that records its activity in `connection`, and holds its descriptor's permit.
    pub(super) fn new(
        stream: TcpStream,
        connection: Rc<ConnectionState>,
        descriptor: DescriptorPermit,
    ) -> ClientStream {
        ClientStream { stream, connection, passed_bytes: 0, _descriptor: descriptor }
    }

    /// The connection that its activity is recorded in.
    pub(super) fn connection(&self) -> Rc<ConnectionState> {
        Rc::clone(&self.connection)
    }

    /// Reads and discards what comes, up to the connection's end.
    fn discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_READ_BYTES];
        let mut left = MOST_DISCARDED_BYTES;
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.record_discarded();
            left = left.saturating_sub(buf.filled().len());
            if left == 0 {
                // Other tasks are polled in between.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
    }

    /// Reads what there is for actix-http.
    fn pass_on(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        self.passed_bytes = if polled.is_pending() { 0 } else { self.passed_bytes + received };
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
        // Guards against a client that sends ahead and leaves: behind 128 KiB that it has no use for, actix-http
        // reads no more, and would not notice that the client has disconnected while its request waits. So it gets
        // nothing then; nor behind a last answer.
        let awaiting_answer = self.connection.awaiting_answer();
        if awaiting_answer || self.connection.last_answer_at().is_some() {
            let polled = self.discard(cx);
            self.connection.set_client_disconnected(awaiting_answer && polled.is_ready());
            return polled;
        }
        // What was discarded was a request, or a part of one: behind the answers to what came before it the
        // connection ends.
        if self.connection.has_discarded() {
            return Poll::Ready(Ok(()));
        }
        // And it gets no more at once than leaves room in its buffer, so that it processes what it has in between.
        if self.passed_bytes >= MOST_PASSED_BYTES {
            self.passed_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.pass_on(cx, buf)
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
        // Guards against a close over bytes that nobody has read: it resets the connection, and an answer on its
        // way is lost with it. What comes now comes behind the last answer, or gets no answer; the sweep ends
        // the wait for a client that stays.
        self.connection.end_answers();
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        self.discard(cx)
    }
}
