//! A backend that answers each request as its query describes, and remembers what it gave of each answer.

use super::{Framing, body_byte};
use crate::standin::read_http;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An answer that a request asks for in its query.
#[derive(Clone, Copy, Debug)]
pub struct Described {
    /// Bytes of the body.
    pub bytes: usize,
    /// Time from the head, which is written at once, to the last byte.
    pub written_over: Duration,
    /// Equal parts in which the body is written, each behind its share of the time.
    pub lumps: usize,
    /// How the end of the body is found.
    pub framing: Framing,
}

impl Described {
    /// The query that asks for it.
    pub fn query(&self) -> String {
        let framing = match self.framing {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        };
        let over = self.written_over.as_millis();
        format!("bytes={}&over={over}&lumps={}&framing={framing}", self.bytes, self.lumps)
    }

    /// The answer that the first line of a request asks for; a small one without a query.
    pub fn of_request_line(line: &str) -> Described {
        let target = line.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut described =
            Described { bytes: 5, written_over: Duration::ZERO, lumps: 1, framing: Framing::Length };
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            let number = value.parse().unwrap_or(0);
            match name {
                "bytes" => described.bytes = number,
                "over" => described.written_over = Duration::from_millis(number as u64),
                "lumps" => described.lumps = number.max(1),
                "framing" => {
                    described.framing = match value {
                        "chunked" => Framing::Chunked,
                        "close" => Framing::Close,
                        _ => Framing::Length,
                    }
                }
                _ => {}
            }
        }
        described
    }
}

/// What a backend has given of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Given {
    /// When it began.
    pub began_at: Instant,
    /// Bytes of the body that its socket has taken.
    pub bytes: usize,
    /// When its connection was found closed before the last byte.
    pub cut_at: Option<Instant>,
}

/// A backend on loopback.
pub struct DescribedBackend {
    pub address: SocketAddr,
    given: Arc<Mutex<HashMap<String, Given>>>,
}

impl DescribedBackend {
    pub fn start() -> DescribedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let given: Arc<Mutex<HashMap<String, Given>>> = Arc::default();
        let shared = Arc::clone(&given);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let given = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &given));
            }
        });
        DescribedBackend { address, given }
    }

    /// Its entry in discovery's list, at shard 3.
    pub fn entry(&self, id: &str) -> Value {
        json!({"instanceId": id, "hostPort": self.address.to_string(), "zone": "a", "machineType": "m",
            "cell": 3, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    }

    /// What it has given to a request, in its last attempt.
    pub fn given(&self, id: &str) -> Option<Given> {
        self.given.lock().expect("a record").get(id).copied()
    }
}

fn serve(stream: TcpStream, given: &Mutex<HashMap<String, Given>>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (lines, _) = read_http(&mut reader)?;
        let described = Described::of_request_line(lines.first()?);
        let id = lines.iter().find_map(|line| line.strip_prefix("Request-Id: "))?.to_owned();
        let answer = Given { began_at: Instant::now(), bytes: 0, cut_at: None };
        given.lock().expect("a record").insert(id.clone(), answer);
        let on_given = |bytes: usize| {
            if let Some(answer) = given.lock().expect("a record").get_mut(&id) {
                answer.bytes += bytes;
            }
        };
        let body: Vec<u8> = (0..described.bytes).map(body_byte).collect();
        if write_described(&stream, described, &body, on_given).is_err() {
            if let Some(answer) = given.lock().expect("a record").get_mut(&id) {
                answer.cut_at = Some(Instant::now());
            }
            return None;
        }
        if described.framing == Framing::Close {
            return None;
        }
    }
}

/// Writes a response with this body; `on_given` is called with the length of each part of it.
pub fn write_described(
    mut stream: &TcpStream,
    described: Described,
    body: &[u8],
    mut on_given: impl FnMut(usize),
) -> std::io::Result<()> {
    let framing = match described.framing {
        Framing::Length => format!("Content-Length: {}\r\n", described.bytes),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Close => String::new(),
    };
    let mut head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n").into_bytes();
    let pause = described.written_over / described.lumps as u32;
    if !pause.is_zero() {
        stream.write_all(&std::mem::take(&mut head))?;
    }
    for part in body.chunks(described.bytes.div_ceil(described.lumps).max(1)) {
        thread::sleep(pause);
        let mut wire = std::mem::take(&mut head);
        if described.framing == Framing::Chunked {
            wire.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            wire.extend_from_slice(part);
            wire.extend_from_slice(b"\r\n");
        } else {
            wire.extend_from_slice(part);
        }
        stream.write_all(&wire)?;
        on_given(part.len());
    }
    if described.framing == Framing::Chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
