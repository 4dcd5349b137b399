//! HTTP/1.1 messages over a plain socket.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message: its first line and its fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> Option<Head> {
        let mut head = Head::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Some(head);
            }
            if head.first_line.is_empty() {
                head.first_line = line.to_owned();
            } else if let Some((name, value)) = line.split_once(':') {
                head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// The value of a field; empty where there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value.as_str())
    }

    /// The length of the body.
    pub fn content_length(&self) -> usize {
        self.field("content-length").parse().unwrap_or(0)
    }

    /// The status of a response; 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Writes a response with a body.
pub fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a head.
    pub fn connect(address: SocketAddr, wait: Duration) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, wait)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, head: &str, body: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }

    /// Receives the status of a response and its body, which has a length; `None` where none comes.
    pub fn receive(&mut self) -> Option<(u16, Vec<u8>, bool)> {
        let head = Head::read(&mut self.reader)?;
        let mut body = vec![0; head.content_length()];
        self.reader.read_exact(&mut body).ok()?;
        Some((head.status(), body, head.field("connection").eq_ignore_ascii_case("close")))
    }
}
