//! Backends that note when the first and the last byte of each attempt come, and read and end each as the test says.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a backend's socket buffers, where it reads no faster than its test says.
const RECEIVE_BUFFER: usize = 16 * 1024;
/// Bytes of one read.
const PART: usize = 8 * 1024;

/// What a backend does with an attempt that it has received whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It answers.
    Answer,
    /// The connection ends so long after the attempt's first byte.
    CloseAt(Duration),
}

/// How a backend treats an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Treatment {
    /// It reads nothing for so long behind the request's head.
    pub pause: Duration,
    /// What it does once the last byte has come.
    pub ending: Ending,
}

impl Treatment {
    /// It reads and answers at once.
    pub const SOUND: Treatment = Treatment { pause: Duration::ZERO, ending: Ending::Answer };
}

/// An attempt as its backend saw it.
#[derive(Clone, Copy, Debug)]
pub struct SeenAttempt {
    pub first_byte_at: Instant,
    /// `None` if it broke off before.
    pub last_byte_at: Option<Instant>,
}

/// The attempts by the id of their request.
type SeenAttempts = HashMap<String, Vec<SeenAttempt>>;
type Treat = dyn Fn(&str, usize) -> Treatment + Send + Sync;

/// Backends that share one record.
#[derive(Clone)]
pub struct AttemptLog {
    seen: Arc<(Mutex<SeenAttempts>, Condvar)>,
    treat: Arc<Treat>,
}

impl AttemptLog {
    /// `treat` is given the request's id and the number of the attempt, from 0, as its head has come.
    pub fn new(treat: impl Fn(&str, usize) -> Treatment + Send + Sync + 'static) -> AttemptLog {
        AttemptLog { seen: Arc::default(), treat: Arc::new(treat) }
    }

    /// Starts a backend whose socket buffers little.
    pub fn start_backend(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).expect("a small buffer");
        let address = listener.local_addr().expect("an address");
        self.serve(listener);
        address
    }

    /// Serves connections from a listener.
    pub fn serve(&self, listener: TcpListener) {
        let log = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                log.serve_stream(stream);
            }
        });
    }

    /// Serves one connection.
    pub fn serve_stream(&self, stream: TcpStream) {
        let log = self.clone();
        thread::spawn(move || log.serve_connection(stream));
    }

    /// The attempts of a request, in the order of their first bytes.
    pub fn attempts(&self, id: &str) -> Vec<SeenAttempt> {
        self.seen.0.lock().expect("a log").get(id).cloned().unwrap_or_default()
    }

    /// Waits until so many attempts of a request have begun to come; whether they have within a time.
    pub fn wait_for(&self, id: &str, attempts: usize, time: Duration) -> bool {
        let (lock, changed) = &*self.seen;
        let seen = lock.lock().expect("a log");
        let has_fewer = |seen: &mut SeenAttempts| seen.get(id).map_or(0, Vec::len) < attempts;
        !changed.wait_timeout_while(seen, time, has_fewer).expect("a log").1.timed_out()
    }

    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::with_capacity(PART, stream);
        loop {
            let (id, length) = read_head(&mut reader)?;
            let first_byte_at = Instant::now();
            let number = self.note_first_byte(&id, first_byte_at);
            let treatment = (self.treat)(&id, number);
            thread::sleep(treatment.pause);
            std::io::copy(&mut Read::by_ref(&mut reader).take(length), &mut std::io::sink())
                .ok()
                .filter(|received| *received == length)?;
            self.note_last_byte(&id, number);
            match treatment.ending {
                Ending::Answer => {
                    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").ok()?;
                }
                Ending::CloseAt(age) => {
                    thread::sleep(age.saturating_sub(first_byte_at.elapsed()));
                    return None;
                }
            }
        }
    }

    fn note_first_byte(&self, id: &str, first_byte_at: Instant) -> usize {
        let (lock, changed) = &*self.seen;
        let mut seen = lock.lock().expect("a log");
        let attempts = seen.entry(id.to_owned()).or_default();
        attempts.push(SeenAttempt { first_byte_at, last_byte_at: None });
        changed.notify_all();
        attempts.len() - 1
    }

    fn note_last_byte(&self, id: &str, number: usize) {
        let mut seen = self.seen.0.lock().expect("a log");
        if let Some(attempts) = seen.get_mut(id) {
            attempts[number].last_byte_at = Some(Instant::now());
        }
    }
}

/// The id and the length of the body of a request; `None` at the connection's end.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, u64)> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some((id, length));
        }
        if let Some(value) = line.strip_prefix("request-id: ") {
            value.clone_into(&mut id);
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().ok()?;
        }
    }
}

/// Stops a process and lets it go on after a time.
pub fn hold_up(process: u32, time: Duration) {
    let signal = |name: &str| {
        let _ = Command::new("kill").arg(name).arg(process.to_string()).status();
    };
    signal("-STOP");
    let stopped_at = Instant::now();
    thread::sleep(time.saturating_sub(stopped_at.elapsed()));
    signal("-CONT");
}
