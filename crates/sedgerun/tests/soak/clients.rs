//! The clients of a run: each sends one request at a time, keeps its connection until it ends, and some leave early.

use crate::backend::body_of;
use crate::heads::Head;
use crate::peers::{ReadResponse, read_response};
use crate::record::Record;
use crate::scenario::{Draw, Scenario};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time past its client's own in which an answer is still one.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time for the test's own threads on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(300);

/// A client.
pub struct Client {
    pub heads: Arc<Vec<Head>>,
    pub record: Arc<Record>,
    pub draw: Draw,
    pub over: Arc<AtomicBool>,
    /// New connections may be closed unread: a crowd fills the descriptors.
    pub is_crowded: bool,
    pub longest_deadline_ms: u64,
}

struct Connection {
    reader: BufReader<TcpStream>,
    /// A request was answered on it before.
    is_kept: bool,
}

/// A request to send.
struct Request {
    id: String,
    text: Vec<u8>,
    timeout: Duration,
    may_repeat: bool,
    answer_bytes: usize,
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
        Some(Connection { reader: BufReader::new(stream), is_kept: false })
    }

    fn draw_request(&mut self) -> Request {
        let id = format!("{:016x}", self.draw.bits());
        let (class, is_write) =
            self.draw.one_of(&[("read", false), ("read", false), ("bulk", false), ("write", true)]);
        let timeout_ms = 150 + self.draw.below(self.longest_deadline_ms.min(1500) - 150);
        let answer_bytes = self.draw.one_of(&[5, 400, 20_000, 20_000, 200_000]);
        let body_bytes = if is_write { self.draw.one_of(&[1, 900, 20_000, 150_000]) } else { 0 };
        let method = if is_write { "PUT" } else { "GET" };
        let length = if is_write { format!("Content-Length: {body_bytes}\r\n") } else { String::new() };
        let head = format!(
            "{method} /{class}/x?bytes={answer_bytes} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nX-Qos-Policy: even\r\n\
             X-Chunk: {id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{length}\
             X-Placement: volume={:016x},units=1,shard={},hosts=1\r\n\r\n",
            1 + self.draw.below(20),
            if is_write { -1 } else { 3 },
        );
        let text = [head.as_bytes(), &vec![b'w'; body_bytes]].concat();
        Request { id, text, timeout: Duration::from_millis(timeout_ms), may_repeat: !is_write, answer_bytes }
    }

    /// Sends a request and closes, or resets, the connection before the answer.
    fn leave(&mut self, mut connection: Connection, request: &Request) {
        let stream = connection.reader.get_mut();
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
    fn judge(&self, request: &Request, answer: &ReadResponse, begun: Instant) -> bool {
        let took = begun.elapsed();
        if took > request.timeout + ANSWER_SLACK + SCHEDULING_SLACK {
            let (id, timeout) = (&request.id, request.timeout);
            self.record.violation(format!("{id}: answered after {took:?} of {timeout:?}"));
        }
        match (answer.status.as_str(), &answer.body) {
            ("200", Some(body)) if *body == body_of(&request.id, request.answer_bytes) => {
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

/// Sends a request on a connection and reads the answer.
fn send(mut connection: Connection, request: &Request) -> (Option<ReadResponse>, Option<Connection>) {
    let wait = request.timeout + ANSWER_SLACK + SCHEDULING_SLACK;
    let _ = connection.reader.get_ref().set_read_timeout(Some(wait));
    let _ = connection.reader.get_ref().set_write_timeout(Some(wait));
    // A head may answer, and close, before it has the whole request.
    let _ = connection.reader.get_mut().write_all(&request.text);
    let answer = read_response(&mut connection.reader);
    connection.is_kept = true;
    (answer, Some(connection))
}
