//! A backend connection that delivers only complete responses to awc.
//!
//! awc treats the first head that it receives as the final one, even a 1xx; it accepts as complete a body
//! that is truncated by the end of the connection or has no length; and it returns a connection to the idle
//! pool even if bytes follow the response. Therefore the stream itself reads each response to its end, and
//! then gives awc either the entire response, serialized again, or an error.

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

/// The largest number of bytes read from the connection at once.
const READ_BYTES: usize = 4 * 1024;
/// The response headers that are passed on to awc; all others are dropped.
pub const FORWARDED_HEADERS: [&str; 3] = ["Not-Started", "X-Iops-Used", "X-Rho"];

/// A connection to a backend on which a read yields a complete response or an error.
#[derive(Debug)]
pub struct CompleteResponseStream {
    stream: TcpStream,
    budget: MemoryBudget,
    /// Parses the response to the request in flight; `None` if there is no request in flight.
    reader: Option<ResponseReader>,
    /// Bytes received and not parsed yet.
    received: BytesMut,
    /// The part of a serialized response, head and body, that awc has not read yet.
    unread: Chain<BytesMut, BytesMut>,
    /// Counters of messages and payload bytes; `None` if they are not counted.
    traffic: Option<Arc<Traffic>>,
    /// Held for the lifetime of the connection.
    _descriptor: DescriptorPermit,
}

impl CompleteResponseStream {
    /// Wraps a connection. Response bodies are limited by `budget`; messages and payload bytes are counted in
    /// `traffic` if given.
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

    /// Reads available bytes into `received` and returns their number, which is 0 at the end of the
    /// connection.
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

    /// Reads the response to the request in flight and serializes it once it is complete. Returns at once if
    /// no request is in flight, or if awc has not read all of the previous response.
    fn poll_response(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let (false, Some(reader)) = (self.unread.has_remaining(), &mut self.reader) {
            if let Some(response) = reader.read(&mut self.received)? {
                let has_surplus = !self.received.is_empty() || self.poll_receive(cx).is_ready();
                let closes = has_surplus || !response.head.keep_alive();
                self.unread = serialize_response(response, closes);
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

    /// Copies as much of the serialized response as fits into `buf`.
    fn copy_unread(&mut self, buf: &mut ReadBuf<'_>) {
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

/// Serializes a response with the forwarded headers and a `Content-Length`. `closes` is set if the backend
/// closes the connection or if bytes follow the response: no request is in flight that they could belong to.
fn serialize_response(response: CompleteResponse, closes: bool) -> Chain<BytesMut, BytesMut> {
    let CompleteResponse { head, body } = response;
    let mut text = format!("HTTP/1.1 {}\r\n", head.status.as_u16());
    for name in FORWARDED_HEADERS {
        if let Some(value) = single_value(&head, name) {
            let _ = write!(text, "{name}: {value}\r\n");
        }
    }
    let close = if closes { "Connection: close\r\n" } else { "" };
    let _ = write!(text, "{close}Content-Length: {}\r\n\r\n", body.len());
    BytesMut::from(text.as_bytes()).chain(body)
}

/// The value of a header; `None` if the header is absent, repeated, or not text.
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
            // No request is in flight: any bytes are passed on unchanged, which makes awc drop the
            // connection.
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        }
        this.copy_unread(buf);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CompleteResponseStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        AttemptStarted::mark();
        let starts_request = this.reader.is_none();
        this.reader.get_or_insert_with(|| ResponseReader::new(&this.budget));
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        if let (Some(traffic), Poll::Ready(Ok(written))) = (&this.traffic, &written) {
            traffic.add_bytes_sent(*written);
        }
        if let (Some(traffic), true) = (&this.traffic, starts_request) {
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
