//! The clients of a run: each sends one request at a time, keeps its connection until it ends, and some leave early.

use crate::backend::body_of;
use crate::heads::Head;
use crate::peers::{Described, Framing, ReadResponse, read_response};
use crate::record::{Got, LARGE_BYTES, Record};
use crate::scenario::{Draw, Scenario};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time past its client's own in which an answer is still one.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time for the test's own threads on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(300);

/// The longest time over which a response is written.
const LONGEST_WRITING: Duration = Duration::from_secs(3);
/// Time between the reads of a slow client, which take up to 8 KiB each.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(5);

/// A client.
pub struct Client {
    pub heads: Arc<Vec<Head>>,
    pub record: Arc<Record>,
    pub draw: Draw,
    pub over: Arc<AtomicBool>,
    /// New connections may be closed unread: a crowd fills the descriptors.
    pub is_crowded: bool,
    pub longest_deadline_ms: u64,
    pub long_of_hundred: u64,
    pub slow_reader_of_hundred: u64,
}

struct Connection {
    reader: BufReader<PacedReader>,
    /// A request was answered on it before.
    is_kept: bool,
}

/// A request to send.
struct Request {
    id: String,
    text: Vec<u8>,
    timeout: Duration,
    may_repeat: bool,
    asked: Described,
    reads_slowly: bool,
}

impl Client {
    pub fn of(
        scenario: &Scenario,
        number: u64,
        heads: &Arc<Vec<Head>>,
        record: &Arc<Record>,
        over: &Arc<AtomicBool>,
    ) -> Client {
        Client {
            heads: Arc::clone(heads),
            record: Arc::clone(record),
            draw: Draw::new(scenario.seed, 1000 + number),
            over: Arc::clone(over),
            is_crowded: scenario.crowd.is_some(),
            longest_deadline_ms: scenario.longest_deadline_ms,
            long_of_hundred: scenario.long_of_hundred,
            slow_reader_of_hundred: scenario.slow_reader_of_hundred,
        }
    }

    pub fn run(mut self) {
        let mut kept = None;
        while !self.over.load(Ordering::SeqCst) {
            let pause = self.draw.milliseconds(5, 60);
            thread::sleep(pause);
            let Some(connection) = kept.take().or_else(|| self.connect()) else { continue };
            let request = self.draw_request();
            self.record.sending(&request.id, request.timeout, request.may_repeat);
            kept = if self.draw.chance(8) {
                self.leave(connection, &request);
                None
            } else {
                self.exchange(connection, &request)
            };
        }
    }

    fn connect(&mut self) -> Option<Connection> {
        let open: Vec<SocketAddr> = self.heads.iter().filter_map(Head::address).collect();
        if open.is_empty() {
            return None;
        }
        let stream = TcpStream::connect(self.draw.one_of(&open)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { reader: BufReader::new(PacedReader::new(stream)), is_kept: false })
    }

    fn draw_request(&mut self) -> Request {
        let id = format!("{:016x}", self.draw.bits());
        let (class, is_write) =
            self.draw.one_of(&[("read", false), ("read", false), ("bulk", false), ("write", true)]);
        let timeout_ms = 150 + self.draw.below(self.longest_deadline_ms.min(1500) - 150);
        let asked = self.draw_response(Duration::from_millis(timeout_ms));
        let reads_slowly = self.draw.chance(self.slow_reader_of_hundred);
        let body_bytes = if is_write { self.draw.one_of(&[1, 900, 20_000, 150_000]) } else { 0 };
        let method = if is_write { "PUT" } else { "GET" };
        let length = if is_write { format!("Content-Length: {body_bytes}\r\n") } else { String::new() };
        let head = format!(
            "{method} /{class}/x?{} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nX-Qos-Policy: even\r\n\
             X-Chunk: {id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{length}\
             X-Placement: volume={:016x},units=1,shard={},hosts=1\r\n\r\n",
            asked.query(),
            1 + self.draw.below(20),
            if is_write { -1 } else { 3 },
        );
        let text = [head.as_bytes(), &vec![b'w'; body_bytes]].concat();
        Request {
            id,
            text,
            timeout: Duration::from_millis(timeout_ms),
            may_repeat: !is_write,
            asked,
            reads_slowly,
        }
    }

    /// The response that a request with this timeout asks for.
    fn draw_response(&mut self, timeout: Duration) -> Described {
        let bytes = self.draw.one_of(&[5, 400, 20_000, 20_000, 60_000, 200_000]);
        let sound = Described { bytes, written_over: Duration::ZERO, lumps: 1, framing: Framing::Length };
        if !self.draw.chance(self.long_of_hundred) {
            return sound;
        }
        let share = self.draw.one_of(&[0.3, 0.8, 1.5, 2.5]);
        Described {
            bytes: self.draw.one_of(&[400, 60_000, 100_000, 212_956, 1_312_316]),
            written_over: timeout.mul_f64(share).min(LONGEST_WRITING),
            lumps: self.draw.one_of(&[1, 4, 10, 100]),
            framing: self.draw.one_of(&[Framing::Length, Framing::Chunked, Framing::Close]),
        }
    }

    /// Sends a request and closes, or resets, the connection before the answer.
    fn leave(&mut self, mut connection: Connection, request: &Request) {
        let stream = &mut connection.reader.get_mut().stream;
        if stream.write_all(&request.text).is_err() {
            return;
        }
        thread::sleep(self.draw.milliseconds(0, 40));
        if self.draw.chance(50) {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        drop(connection);
        self.record.left(&request.id);
        self.record.count("left");
    }

    /// Sends a request and reads the answer; the connection, if it goes on.
    fn exchange(&mut self, connection: Connection, request: &Request) -> Option<Connection> {
        let is_kept = connection.is_kept;
        let begun = Instant::now();
        let (answer, connection) = send(connection, request);
        if let Some(answer) = answer {
            let goes_on = self.judge(request, &answer, begun);
            return connection.filter(|_| goes_on);
        }
        if is_kept {
            self.send_again(request, begun);
        } else if self.is_crowded {
            self.record.count("closed unread");
        } else if begun.elapsed() > request.timeout {
            self.record.violation(format!("{}: no answer within {:?}", request.id, begun.elapsed()));
        } else {
            let took = begun.elapsed();
            self.record.violation(format!("{}: a new connection was closed after {took:?}", request.id));
        }
        None
    }

    /// The close of a kept connection may have crossed the request: the client sends it once more.
    fn send_again(&mut self, request: &Request, begun: Instant) {
        if begun.elapsed() > request.timeout {
            self.record.violation(format!("{}: no answer within {:?}", request.id, begun.elapsed()));
            return;
        }
        self.record.count("sent again");
        let Some(connection) = self.connect() else { return };
        let begun = Instant::now();
        match send(connection, request).0 {
            Some(answer) => drop(self.judge(request, &answer, begun)),
            None if self.is_crowded => self.record.count("closed unread"),
            None => self.record.violation(format!("{}: sent again and not answered", request.id)),
        }
    }

    /// Checks an answer; whether its connection goes on.
    fn judge(&self, request: &Request, answer: &TimedAnswer, begun: Instant) -> bool {
        let got = answer.got;
        let is_timed_by_first_byte =
            request.asked.bytes > LARGE_BYTES || self.record.outlasts_wait_without_length(&request.id);
        let due = if is_timed_by_first_byte { got.first_byte_at } else { got.last_byte_at };
        let took = due.saturating_duration_since(begun);
        self.record.got(&request.id, got);
        let answer = &answer.response;
        if took > request.timeout + ANSWER_SLACK + SCHEDULING_SLACK {
            let (id, timeout, asked) = (&request.id, request.timeout, request.asked);
            let (status, times) = (&answer.status, self.record.times(id));
            self.record
                .violation(format!("{id}: {status} after {took:?} of {timeout:?}: {asked:?}: {times}"));
        }
        match (answer.status.as_str(), &answer.body) {
            ("200", Some(body)) if *body == body_of(&request.id, request.asked.bytes) => {
                self.record.count("served");
            }
            ("200", Some(_)) => self.record.violation(format!("{}: another answer", request.id)),
            // The client can tell that it is not whole.
            ("200", None) => self.record.count("cut"),
            ("503", _) => self.record.count("refused"),
            ("500", _) => self.record.count("failed"),
            ("409", _) => self.record.count("in use"),
            (status, _) => self.record.violation(format!("{}: answered with {status}", request.id)),
        }
        answer.body.is_some() && !answer.closes
    }
}

/// A response with its times.
struct TimedAnswer {
    response: ReadResponse,
    got: Got,
}

/// Reads from a connection, with pauses where its client is slow, and notes when the first byte came.
struct PacedReader {
    stream: TcpStream,
    reads_slowly: bool,
    first_byte_at: Option<Instant>,
}

impl PacedReader {
    fn new(stream: TcpStream) -> PacedReader {
        PacedReader { stream, reads_slowly: false, first_byte_at: None }
    }
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.reads_slowly && self.first_byte_at.is_some() {
            thread::sleep(SLOW_READ_PAUSE);
        }
        let bytes = self.stream.read(buffer)?;
        self.first_byte_at.get_or_insert_with(Instant::now);
        Ok(bytes)
    }
}

/// Sends a request on a connection and reads the answer.
fn send(mut connection: Connection, request: &Request) -> (Option<TimedAnswer>, Option<Connection>) {
    let wait = request.timeout + ANSWER_SLACK + SCHEDULING_SLACK + request.asked.written_over;
    let reader = connection.reader.get_mut();
    let _ = reader.stream.set_read_timeout(Some(wait));
    let _ = reader.stream.set_write_timeout(Some(wait));
    (reader.reads_slowly, reader.first_byte_at) = (request.reads_slowly, None);
    // A head may answer, and close, before it has the whole request.
    let _ = reader.stream.write_all(&request.text);
    let response = read_response(&mut connection.reader);
    connection.is_kept = true;
    let Some(response) = response else { return (None, Some(connection)) };
    let last_byte_at = Instant::now();
    let got = Got {
        is_served: response.status == "200",
        is_whole: response.body.is_some(),
        first_byte_at: connection.reader.get_ref().first_byte_at.unwrap_or(last_byte_at),
        last_byte_at,
        reads_slowly: request.reads_slowly,
    };
    (Some(TimedAnswer { response, got }), Some(connection))
}
