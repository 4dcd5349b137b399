//! HTTP/1.1 messages on a socket, read with httparse: as much as clients, backends and discovery of a test run
//! need.

use bytes::Buf;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest head, and the largest body, bytes.
const MAX_HEAD: usize = 16 * 1024;
const MAX_BODY: usize = 1 << 20;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// The method; of a response, nothing.
    pub method: String,
    /// Path and query; of a response, nothing.
    pub target: String,
    /// The status; of a request, 0.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// A connection with the bytes that were read from it and belong to no message yet.
pub struct HttpConnection<S = TcpStream> {
    stream: S,
    buffered: Vec<u8>,
}

fn malformed<T>(what: &str) -> io::Result<T> {
    Err(io::Error::new(io::ErrorKind::InvalidData, what.to_owned()))
}

impl HttpConnection {
    /// A connection on which nothing came yet.
    pub fn new(stream: TcpStream) -> HttpConnection {
        let _ = stream.set_nodelay(true);
        HttpConnection::over(stream)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> HttpConnection<S> {
    /// A connection over any stream; its socket options are the caller's.
    pub fn over(stream: S) -> HttpConnection<S> {
        HttpConnection { stream, buffered: Vec::new() }
    }

    /// The next message, or none at the end of the connection.
    pub async fn read(&mut self, response: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((head, message, length)) = parse(&self.buffered, response)? {
                if length > MAX_BODY {
                    return malformed("a body too large");
                }
                while self.buffered.len() < head + length {
                    if self.stream.read_buf(&mut self.buffered).await? == 0 {
                        return malformed("a body cut off");
                    }
                }
                let rest = self.buffered.split_off(head + length);
                let body = std::mem::replace(&mut self.buffered, rest).split_off(head);
                return Ok(Some(Message { body, ..message }));
            }
            if self.buffered.len() > MAX_HEAD {
                return malformed("a head too large");
            }
            if self.stream.read_buf(&mut self.buffered).await? == 0 {
                return if self.buffered.is_empty() { Ok(None) } else { malformed("a head cut off") };
            }
        }
    }

    /// Waits until the other side closes, or sends what nobody asked for.
    pub async fn closed(&mut self) {
        let _ = self.stream.read_buf(&mut self.buffered).await;
    }

    /// Writes a message.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a message that lies in several pieces.
    pub async fn write_buffer(&mut self, mut buffer: impl Buf) -> io::Result<()> {
        self.stream.write_all_buf(&mut buffer).await
    }

    /// Answers with a status, a header line and a body.
    pub async fn answer(&mut self, status: &str, header: &str, body: &str) -> io::Result<()> {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{header}\r\n{body}", body.len());
        self.write(text.as_bytes()).await
    }
}

/// A whole head, its length and that of the body behind it.
fn parse(bytes: &[u8], response: bool) -> io::Result<Option<(usize, Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let parsed = if response {
        let mut read = httparse::Response::new(&mut headers);
        let parsed = read.parse(bytes);
        message.status = read.code.unwrap_or(0);
        parsed
    } else {
        let mut read = httparse::Request::new(&mut headers);
        let parsed = read.parse(bytes);
        message.method = read.method.unwrap_or_default().to_owned();
        message.target = read.path.unwrap_or_default().to_owned();
        parsed
    };
    let head = match parsed {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return malformed(&error.to_string()),
    };
    let named = headers.iter().take_while(|header| !header.name.is_empty());
    message.headers = named
        .map(|header| (header.name.to_owned(), String::from_utf8_lossy(header.value).trim().to_owned()))
        .collect();
    let length = message.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    Ok(Some((head, message, length)))
}
