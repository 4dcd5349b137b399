//! Peers of a head that try its limits: clients that stop, send ahead or read slowly, backends that write or read
//! slowly, and steady clients beside them, whose every request has to get an answer.
#![allow(dead_code, reason = "each test file uses a part")]

mod attempt_log;
mod described_backend;
mod file_backend;
mod flood;

#[allow(unused_imports, reason = "each test file uses a part")]
pub use attempt_log::{AttemptLog, Ending, SeenAttempt, Treatment, hold_up};

#[allow(unused_imports, reason = "each test file uses a part")]
pub use described_backend::{Described, DescribedBackend, Given, write_described};
#[allow(unused_imports, reason = "each test file uses a part")]
pub use file_backend::{DIRECTORY_PERMISSION, Deed, FileBackend, FileTree, ROOT};
#[allow(unused_imports, reason = "each test file uses a part")]
pub use flood::{FloodInput, write_until_closed};

use crate::standin::{Program, get, read_http, write_request};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time between the requests of a steady client.
const STEADY_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a steady client has its answer; its request names a second.
const ANSWER_TIME: Duration = Duration::from_millis(1600);

/// How a backend writes a response, after an optional pause behind its head.
#[derive(Clone, Copy, Debug)]
pub struct ResponsePace {
    /// Bytes of the body.
    pub bytes: usize,
    /// Time from the head to the last byte; the body is written in equal parts.
    pub duration: Duration,
    /// How the end of the body is found.
    pub framing: Framing,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Parts in which a paced body is written.
const PARTS: usize = 10;

/// A backend that answers each request with a body written at a pace. Reads requests at `read_bytes_per_second`;
/// 0: at once.
pub struct PacedBackend {
    pub address: SocketAddr,
    /// Responses that were written to their last byte.
    pub complete: Arc<AtomicU64>,
    /// Responses whose connection was closed before that.
    pub cut: Arc<AtomicU64>,
    /// Requests that were received to their last byte.
    pub received: Arc<AtomicU64>,
}

impl PacedBackend {
    pub fn start(pace: ResponsePace, read_bytes_per_second: usize) -> PacedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        if read_bytes_per_second > 0 {
            let socket = socket2::SockRef::from(&listener);
            socket.set_recv_buffer_size(16 * 1024).expect("a small buffer");
        }
        let address = listener.local_addr().expect("an address");
        let backend =
            PacedBackend { address, complete: Arc::default(), cut: Arc::default(), received: Arc::default() };
        let (complete, cut, received) =
            (Arc::clone(&backend.complete), Arc::clone(&backend.cut), Arc::clone(&backend.received));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let (complete, cut, received) =
                    (Arc::clone(&complete), Arc::clone(&cut), Arc::clone(&received));
                thread::spawn(move || {
                    while read_paced(&stream, read_bytes_per_second).is_some() {
                        received.fetch_add(1, Ordering::SeqCst);
                        let end = if write_paced(&stream, pace).is_ok() { &complete } else { &cut };
                        end.fetch_add(1, Ordering::SeqCst);
                        if pace.framing == Framing::Close {
                            return;
                        }
                    }
                });
            }
        });
        backend
    }

    /// Its entry in discovery's list, at shard 3.
    pub fn entry(&self, id: &str) -> Value {
        json!({"instanceId": id, "hostPort": self.address.to_string(), "zone": "a", "machineType": "m",
            "cell": 3, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    }
}

/// Reads one request, at so many bytes a second.
fn read_paced(mut stream: &TcpStream, bytes_per_second: usize) -> Option<()> {
    if bytes_per_second == 0 {
        return read_http(&mut BufReader::new(stream.try_clone().ok()?)).map(drop);
    }
    let (mut head, mut body_left) = (Vec::new(), None);
    let mut part = [0; 16 * 1024];
    while body_left != Some(0) {
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        thread::sleep(Duration::from_secs_f64(count as f64 / bytes_per_second as f64));
        body_left = match body_left {
            Some(left) => Some(left - count.min(left)),
            None => {
                head.extend_from_slice(&part[..count]);
                length_of_rest(&head)
            }
        };
    }
    Some(())
}

/// How many bytes of a request's body are still to come, once its head is complete.
fn length_of_rest(received: &[u8]) -> Option<usize> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
    Some((end + length).saturating_sub(received.len()))
}

/// The byte at a position of each paced body.
pub fn body_byte(index: usize) -> u8 {
    (index % 251) as u8
}

fn write_paced(stream: &TcpStream, pace: ResponsePace) -> std::io::Result<()> {
    let ResponsePace { bytes, duration, framing } = pace;
    let lumps = if duration.is_zero() { 1 } else { PARTS };
    let body: Vec<u8> = (0..bytes).map(body_byte).collect();
    write_described(stream, Described { bytes, written_over: duration, lumps, framing }, &body, |_| {})
}

/// A response that a client has read: its status, and its body if that came to its end.
#[derive(Debug)]
pub struct ReadResponse {
    pub status: String,
    pub body: Option<Vec<u8>>,
    /// The connection closes behind it.
    pub closes: bool,
}

/// Sends a request and reads the response to its end; `None` where the connection ends without any.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<ReadResponse> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    read_response(&mut BufReader::new(stream))
}

/// A response with the times of its first and its last byte, counted from the request.
#[derive(Debug)]
pub struct TimedResponse {
    pub response: ReadResponse,
    pub first_byte: Duration,
    pub last_byte: Duration,
}

/// As [`exchange`], with the times.
pub fn timed_exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<TimedResponse> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let begun = Instant::now();
    stream.write_all(request).ok()?;
    stream.peek(&mut [0]).ok()?;
    let first_byte = begun.elapsed();
    let response = read_response(&mut BufReader::new(stream))?;
    Some(TimedResponse { response, first_byte, last_byte: begun.elapsed() })
}

/// Reads a response in any framing.
pub fn read_response(reader: &mut BufReader<impl Read>) -> Option<ReadResponse> {
    use std::io::BufRead;
    let (mut status, mut length, mut chunked, mut closes) = (String::new(), None, false, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if status.is_empty() {
            status = line.split(' ').nth(1)?.to_owned();
        } else if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse::<usize>().ok();
        } else if line.starts_with("transfer-encoding:") {
            chunked = true;
        } else if line == "connection: close" {
            closes = true;
        }
    }
    let body = if chunked { read_chunks(reader) } else { read_exact(reader, length.unwrap_or(0)) };
    Some(ReadResponse { status, body, closes })
}

fn read_exact(reader: &mut impl Read, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok().map(|()| body)
}

fn read_chunks(reader: &mut BufReader<impl Read>) -> Option<Vec<u8>> {
    use std::io::BufRead;
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = read_exact(reader, length + 2)?;
        chunk.truncate(length);
        if length == 0 {
            return Some(body);
        }
        body.extend(chunk);
    }
}

/// What became of the requests of steady clients.
#[derive(Debug, Default)]
pub struct SteadyCounts {
    pub served: AtomicU64,
    /// Answered, but not with a 200.
    pub refused: AtomicU64,
    /// Never answered: the connection ended, or the answer came too late.
    pub lost: AtomicU64,
    /// How long each answer took.
    latencies: Mutex<Vec<Duration>>,
}

impl SteadyCounts {
    /// The numbers served, refused and lost.
    pub fn ends(&self) -> (u64, u64, u64) {
        let [served, refused, lost] =
            [&self.served, &self.refused, &self.lost].map(|count| count.load(Ordering::SeqCst));
        (served, refused, lost)
    }

    /// The time within which so many answers of a hundred came.
    pub fn percentile(&self, of_hundred: usize) -> Duration {
        let mut latencies = self.latencies.lock().expect("latencies").clone();
        latencies.sort_unstable();
        let index = latencies.len() * of_hundred / 100;
        latencies.get(index).or(latencies.last()).copied().unwrap_or(Duration::MAX)
    }
}

/// Clients that each send a small read at an interval, on a connection that they keep or on a new one each time.
pub struct SteadyClients {
    pub counts: Arc<SteadyCounts>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SteadyClients {
    pub fn start(address: SocketAddr, clients: usize) -> SteadyClients {
        SteadyClients::run(address, clients, true)
    }

    /// Clients that make a new connection for each request.
    pub fn start_fresh(address: SocketAddr, clients: usize) -> SteadyClients {
        SteadyClients::run(address, clients, false)
    }

    fn run(address: SocketAddr, clients: usize, keep: bool) -> SteadyClients {
        let (counts, over) = (Arc::<SteadyCounts>::default(), Arc::<AtomicBool>::default());
        let threads = (0..clients).map(|_| {
            let (counts, over) = (Arc::clone(&counts), Arc::clone(&over));
            thread::spawn(move || run_steady(address, keep, &counts, &over))
        });
        let threads = threads.collect();
        SteadyClients { counts, over, threads }
    }

    /// Ends the clients; what became of their requests.
    pub fn end(self) -> Arc<SteadyCounts> {
        self.over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a client"));
        self.counts
    }
}

fn run_steady(address: SocketAddr, keep: bool, counts: &SteadyCounts, over: &AtomicBool) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    while !over.load(Ordering::SeqCst) {
        thread::sleep(STEADY_INTERVAL);
        let is_kept = kept.is_some();
        let connection = kept.take().or_else(|| connect(address));
        let Some(mut connection) = connection else {
            counts.lost.fetch_add(1, Ordering::SeqCst);
            continue;
        };
        let request = get("b1", 1000);
        let begun = Instant::now();
        let sent = connection.get_mut().write_all(request.as_bytes());
        let response = sent.ok().and_then(|()| read_response(&mut connection));
        counts.latencies.lock().expect("latencies").push(begun.elapsed());
        let Some(response) = response else {
            // The close of a kept connection may cross a request; the client sends it once more then.
            let again = is_kept.then(|| exchange(address, request.as_bytes(), ANSWER_TIME)).flatten();
            count(counts, again.as_ref());
            continue;
        };
        count(counts, Some(&response));
        kept = (keep && !response.closes && response.body.is_some()).then_some(connection);
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIME)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

fn count(counts: &SteadyCounts, response: Option<&ReadResponse>) {
    let counter = match response {
        Some(response) if response.status == "200" && response.body.is_some() => &counts.served,
        Some(response) if response.body.is_some() => &counts.refused,
        _ => &counts.lost,
    };
    counter.fetch_add(1, Ordering::SeqCst);
}

/// Connects so many clients, and writes to each what `sent` gives.
pub fn crowd(address: SocketAddr, clients: usize, sent: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
    let client = |number| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
        // A head that closes the connection has answered; what is left is not sent.
        let _ = stream.write_all(&sent(number));
        Some(stream)
    };
    (0..clients).filter_map(client).collect()
}

/// A request that stops inside its head, in one long field.
pub fn half_head(bytes: usize) -> Vec<u8> {
    let head = get("b1", 1000);
    let head = head.trim_end_matches("\r\n");
    format!("{head}\r\nX-Long: {}", "a".repeat(bytes)).into_bytes()
}

/// A request with many short fields whose body stops before its end.
pub fn half_body(fields: usize, length: usize, sent: usize) -> Vec<u8> {
    let many: String = (0..fields).map(|field| format!("\r\nX-{field}: {field}")).collect();
    let head =
        write_request("b1", 1000).replace("Content-Length: 4", &format!("Content-Length: {length}{many}"));
    [head.trim_end_matches("body").as_bytes(), &vec![b'x'; sent]].concat()
}

/// So many requests at once.
pub fn ahead(requests: usize) -> Vec<u8> {
    (0..requests).map(|_| get("b1", 1000)).collect::<String>().into_bytes()
}

/// Makes the close of connections a reset.
pub fn reset(streams: Vec<TcpStream>) {
    for stream in &streams {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Asserts that a head has stayed within its memory.
pub fn assert_within_memory(program: &Program, memory_mb: u64, what: &str) {
    let peak = program.peak_memory_kib();
    assert!(peak <= memory_mb * 1024, "{what}: the head held {peak} KiB of {}", memory_mb * 1024);
}
