//! A backend's connection on which awc sees only complete responses.
//!
//! awc takes the first head that comes for the response, be it a 1xx; it takes a body that the connection's end cuts
//! off, or that has no length, for a complete one; and it puts a connection with bytes behind the response back among
//! the idle ones. So a response is read to its end here, on the connection itself, and awc is given all of it, framed
//! anew, or an error.

use super::AttemptStarted;
use super::memory_budget::MemoryBudget;
use super::response_reader::{CompleteResponse, ResponseReader};
use crate::descriptors::DescriptorPermit;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::ResponseHead;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::buf::Chain;
use bytes::{Buf, BytesMut};
use sedgerun_cluster::traffic::Traffic;
use std::fmt::Write;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// The most that is read off the connection at once, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// The headers of a response that are read, and so passed on to awc.
pub const READ_HEADERS: [&str; 3] = ["Not-Started", "X-Iops-Used", "X-Rho"];

/// A connection to a backend on which responses come complete or not at all.
#[derive(Debug)]
pub struct CompleteResponseStream {
    stream: TcpStream,
    budget: MemoryBudget,
    /// Reads the response that is awaited, if one is.
    reader: Option<ResponseReader>,
    /// What has come and is not parsed yet.
    received: BytesMut,
    /// What is left to hand on of a response: its head and its body.
    unread: Chain<BytesMut, BytesMut>,
    /// Where its payload is counted, if anywhere.
    traffic: Option<Arc<Traffic>>,
    /// Held for as long as the connection.
    _descriptor: DescriptorPermit,
}

impl CompleteResponseStream {
    /// Reads responses whose bodies fit the budget; the payload is counted where `traffic` is given.
    pub fn new(
        stream: TcpStream,
        budget: MemoryBudget,
        descriptor: DescriptorPermit,
        traffic: Option<Arc<Traffic>>,
    ) -> CompleteResponseStream {
        CompleteResponseStream {
            stream,
            budget,
            reader: None,
            received: BytesMut::new(),
            unread: BytesMut::new().chain(BytesMut::new()),
            traffic,
            _descriptor: descriptor,
        }
    }

    /// Reads what is there, and says how many bytes that were; 0 at the connection's end.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
        self.received.extend_from_slice(buf.filled());
        if let Some(traffic) = &self.traffic {
            traffic.add_bytes_received(buf.filled().len());
        }
        Poll::Ready(Ok(buf.filled().len()))
    }

    /// Reads the response that is awaited, and frames it once it is complete. Ready at once where none is awaited,
    /// or one is being handed on.
    fn poll_response(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let (false, Some(reader)) = (self.unread.has_remaining(), &mut self.reader) {
            if let Some(response) = reader.read(&mut self.received)? {
                let has_surplus = !self.received.is_empty() || self.poll_receive(cx).is_ready();
                let closes = has_surplus || !response.head.keep_alive();
                self.unread = frame(response, closes);
                self.reader = None;
                if let Some(traffic) = &self.traffic {
                    traffic.add_message_received();
                }
                break;
            }
            if ready!(self.poll_receive(cx))? == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Hands on as much of a framed response as fits.
    fn hand_on(&mut self, buf: &mut ReadBuf<'_>) {
        while self.unread.has_remaining() && buf.remaining() > 0 {
            let part = self.unread.chunk().len().min(buf.remaining());
            buf.put_slice(&self.unread.chunk()[..part]);
            self.unread.advance(part);
        }
        if !self.unread.has_remaining() {
            self.unread = BytesMut::new().chain(BytesMut::new());
            self.received = BytesMut::new();
        }
    }
}

/// Frames a response anew. One with anything behind it closes its connection: what is there is no beginning of the
/// next.
fn frame(response: CompleteResponse, closes: bool) -> Chain<BytesMut, BytesMut> {
    let CompleteResponse { head, body } = response;
    let mut text = format!("HTTP/1.1 {}\r\n", head.status.as_u16());
    for name in READ_HEADERS {
        if let Some(value) = single_value(&head, name) {
            let _ = write!(text, "{name}: {value}\r\n");
        }
    }
    let close = if closes { "Connection: close\r\n" } else { "" };
    let _ = write!(text, "{close}Content-Length: {}\r\n\r\n", body.len());
    BytesMut::from(text.as_bytes()).chain(body)
}

/// The value of a header that stands once and is text.
fn single_value<'a>(head: &'a ResponseHead, name: &str) -> Option<&'a str> {
    let mut values = head.headers.get_all(name);
    match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().ok(),
        _ => None,
    }
}

impl AsyncRead for CompleteResponseStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_response(cx))?;
        if !this.unread.has_remaining() {
            // No response is awaited: whatever comes is passed on as it is, and tells awc to drop the connection.
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        }
        this.hand_on(buf);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CompleteResponseStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        AttemptStarted::mark();
        let begins_request = this.reader.is_none();
        this.reader.get_or_insert_with(|| ResponseReader::new(&this.budget));
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        if let (Some(traffic), Poll::Ready(Ok(written))) = (&this.traffic, &written) {
            traffic.add_bytes_sent(*written);
        }
        if let (Some(traffic), true) = (&this.traffic, begins_request) {
            traffic.add_message_sent();
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for CompleteResponseStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
