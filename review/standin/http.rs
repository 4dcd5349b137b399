//! Messages of HTTP/1.1 with a `Content-Length`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the connection's end, or where it breaks before the message is whole.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first()?.clone();
    let headers: Vec<(String, String)> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage { first, headers, body })
}

/// A client's connection.
pub struct HttpClient {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr, timeout: Duration) -> Option<HttpClient> {
        let writer = TcpStream::connect(address).ok()?;
        writer.set_nodelay(true).ok()?;
        writer.set_read_timeout(Some(timeout)).ok()?;
        let reader = BufReader::new(writer.try_clone().ok()?);
        Some(HttpClient { writer, reader })
    }

    /// Sends a request and reads its answer; `None` where none comes.
    pub fn call(&mut self, request: &[u8]) -> Option<HttpMessage> {
        self.writer.write_all(request).ok()?;
        read_message(&mut self.reader)
    }
}

/// One request on a connection of its own.
pub fn call_once(address: SocketAddr, request: &str, timeout: Duration) -> Option<HttpMessage> {
    HttpClient::connect(address, timeout)?.call(request.as_bytes())
}
