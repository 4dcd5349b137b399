//! A client of one head's administration API, with one call at a time on one connection.

use super::default_names::default_names;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The bearer token of the heads of a harness.
pub const TOKEN: &str = "known-to-the-harness-alone";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Headers of an answer that are read.
const MAX_HEADERS: usize = 32;
/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Calls one head's administration API.
pub struct AdminClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

/// An answer of the API.
struct AdminAnswer {
    status: u16,
    body: Value,
    closes: bool,
}

impl AdminClient {
    /// A client that has not connected yet.
    pub fn new(address: SocketAddr) -> AdminClient {
        AdminClient { address, stream: None }
    }

    /// A call; its status and body, or none where there is no answer.
    pub fn call(&mut self, request: &str, headers: &str, body: &str) -> Option<(u16, Value)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok()?,
        };
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        let text = format!(
            "{request} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TOKEN}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut received = Vec::new();
        let mut chunk = [0; READ_BYTES];
        loop {
            if let Some(answer) = parse_answer(&received)? {
                self.stream = Some(stream).filter(|_| !answer.closes);
                return Some((answer.status, answer.body));
            }
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                length => received.extend_from_slice(&chunk[..length]),
            }
        }
    }

    /// Puts an export in place, under an idempotency key; whether that is settled.
    pub fn put(&mut self, tenant: &str, export: &str, key: &str) -> bool {
        self.put_export(tenant, export, key).is_some_and(|(status, _)| status < 300)
    }

    /// Puts an export in place, under an idempotency key; the version that is settled.
    pub fn put_version(&mut self, tenant: &str, export: &str, key: &str) -> Option<u64> {
        let (_, body) = self.put_export(tenant, export, key).filter(|(status, _)| *status < 300)?;
        body["version"].as_u64()
    }

    fn put_export(&mut self, tenant: &str, export: &str, key: &str) -> Option<(u16, Value)> {
        let body = r#"{"volume":"b1","plan":"PLAN","shard":3,"readClass":"READ","writeClass":"WRITE","largeClass":"READ"}"#;
        let names = default_names();
        let body = body
            .replace("PLAN", &names.plan)
            .replace("READ", &names.read_class)
            .replace("WRITE", &names.write_class);
        let request = format!("PUT /v1/tenants/{tenant}/exports/{export}");
        self.call(&request, &format!("Idempotency-Key: {key}\r\n"), &body)
    }

    /// The exports of a tenant, as settled by now.
    pub fn exports(&mut self, tenant: &str) -> Option<Vec<String>> {
        let (status, body) = self.call(&format!("GET /v1/tenants/{tenant}"), "Fleet-Read: latest\r\n", "")?;
        let listed = body["exports"].as_array().filter(|_| status == 200)?;
        Some(listed.iter().filter_map(|export| Some(export["name"].as_str()?.to_owned())).collect())
    }
}

/// The answer in what was received, once it is complete; the outer none where it has no status.
fn parse_answer(received: &[u8]) -> Option<Option<AdminAnswer>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = answer.parse(received) else { return Some(None) };
    let status = answer.code?;
    let header = |name: &str| {
        let found = answer.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok()
    };
    let length: usize = header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let closes = header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let Some(body) = received.get(head..head + length) else { return Some(None) };
    let body = serde_json::from_slice(body).unwrap_or_default();
    Some(Some(AdminAnswer { status, body, closes }))
}
