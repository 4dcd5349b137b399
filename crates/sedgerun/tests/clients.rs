//! Clients that do not keep to the protocol: each gets an error or a close in time, and others are served.

mod standin;

use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get, read_http, write_request};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn start(work: Duration, sockets: u64) -> (StandIn, Program) {
    let backend = StandIn::start("s-1", 3, work, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let mut config = config(discovery.address);
    *config.pointer_mut("/limits/sockets").expect("a key") = json!(sockets);
    let program = Program::start(&config, None);
    thread::sleep(Duration::from_millis(100));
    (backend, program)
}

fn connect(program: &Program, sent: &str) -> TcpStream {
    let mut stream = TcpStream::connect(program.http).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    stream.write_all(sent.as_bytes()).expect("sent");
    stream
}

/// All that a client is sent until its connection is closed, and how long that took.
fn read_until_closed(mut stream: TcpStream) -> (String, Duration) {
    let begun = Instant::now();
    let mut text = Vec::new();
    // A reset is a close, too.
    let end = stream.read_to_end(&mut text);
    let timed_out = end.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!timed_out, "the connection stays open");
    (String::from_utf8_lossy(&text).into_owned(), begun.elapsed())
}

#[test]
fn an_incomplete_request_gets_an_error_or_a_close_within_three_seconds() {
    let (backend, program) = start(Duration::ZERO, 1024);
    let complete = write_request("a0", 1000);
    let chunked = complete.replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let cases = [
        String::new(),
        complete[..60].to_owned(),
        complete.replace("Content-Length: 4", "Content-Length: 400"),
        chunked.replace("\r\n\r\nbody", "\r\n\r\n4\r\nbo"),
    ];
    let streams: Vec<TcpStream> = cases.iter().map(|sent| connect(&program, sent)).collect();
    // The second request of a connection is due as soon as the first.
    let mut second = connect(&program, &get("a0", 1000));
    let mut reader = BufReader::new(second.try_clone().expect("a clone"));
    read_http(&mut reader).expect("an answer");
    second.write_all(&complete.as_bytes()[..60]).expect("sent");
    let waiting: Vec<_> =
        streams.into_iter().map(|stream| thread::spawn(move || read_until_closed(stream))).collect();
    for (waiting, case) in waiting.into_iter().zip(&cases) {
        let (text, took) = waiting.join().expect("a client");
        assert!(took < Duration::from_secs(3), "{case:?} took {took:?}");
        assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{case:?} got {text:?}");
    }
    assert!(read_until_closed(second).1 < Duration::from_secs(3));
    assert_eq!(backend.runs("PUT"), 0);
}

#[test]
fn a_body_over_the_limit_is_rejected_by_its_length() {
    let (backend, program) = start(Duration::ZERO, 1024);
    let huge = write_request("a0", 1000).replace("Content-Length: 4", "Content-Length: 62914560");
    let (text, took) = read_until_closed(connect(&program, &huge));
    assert!(text.starts_with("HTTP/1.1 413") && took < Duration::from_secs(1), "{text} after {took:?}");
    // One that tells no length is cut off at the limit.
    let head = write_request("a0", 1000).replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let mut stream = connect(&program, &head.replace("\r\n\r\nbody", "\r\n\r\n"));
    let chunk = [&b"10000\r\n"[..], &[b'x'; 65_536], b"\r\n"].concat();
    while stream.write_all(&chunk).is_ok() {}
    assert_eq!(backend.runs("PUT"), 0);
}

#[test]
fn a_request_id_that_is_open_or_was_a_moment_ago_is_not_forwarded_again() {
    let (backend, program) = start(Duration::from_millis(200), 1024);
    let request = write_request("a0", 1000);
    let first = connect(&program, &request);
    thread::sleep(Duration::from_millis(50));
    assert!(program.ask(&request).0.starts_with("HTTP/1.1 409"));
    // A client that leaves does not free the id: its attempt is still out.
    let abandoned = write_request("a0", 1000);
    drop(connect(&program, &abandoned));
    thread::sleep(Duration::from_millis(50));
    assert!(program.ask(&abandoned).0.starts_with("HTTP/1.1 409"));
    let mut answer = String::new();
    BufReader::new(first).read_line_of(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(program.ask(&request).0.starts_with("HTTP/1.1 409"));
    assert!(backend.runs("PUT") <= 2);
}

trait ReadLine {
    fn read_line_of(self, line: &mut String);
}

impl ReadLine for BufReader<TcpStream> {
    fn read_line_of(mut self, line: &mut String) {
        std::io::BufRead::read_line(&mut self, line).expect("a line");
    }
}

#[test]
fn requests_sent_ahead_of_an_answer_end_their_connection() {
    let (backend, program) = start(Duration::from_millis(50), 1024);
    let many: String = (0..200).map(|_| get("a0", 1000)).collect();
    let (text, took) = read_until_closed(connect(&program, &many));
    assert!(took < Duration::from_secs(3), "{took:?}");
    assert!(text.contains("HTTP/1.1 400") && text.matches("HTTP/1.1").count() == 2, "{text}");
    assert_eq!(backend.runs("GET"), 1);
}

#[test]
fn many_silent_clients_do_not_shut_out_others() {
    let (_backend, program) = start(Duration::ZERO, 128);
    // Three times as many as the program may hold at all.
    let crowd: Vec<TcpStream> =
        (0..400).map(|_| TcpStream::connect(program.http).expect("a connection")).collect();
    thread::sleep(Duration::from_millis(400));
    let begun = Instant::now();
    for _ in 0..20 {
        assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"));
    }
    assert!(begun.elapsed() < Duration::from_millis(400), "{:?}", begun.elapsed());
    drop(crowd);
}

#[test]
fn idle_clients_are_closed_where_connections_are_short() {
    let (_backend, program) = start(Duration::ZERO, 96);
    let stay: Vec<TcpStream> = (0..40)
        .map(|_| {
            let stream = connect(&program, &get("a0", 1000));
            read_http(&mut BufReader::new(stream.try_clone().expect("a clone"))).expect("an answer");
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(3000));
    let closed = stay.iter().filter(|stream| {
        let mut stream: &TcpStream = stream;
        stream.set_read_timeout(Some(Duration::from_millis(1))).expect("a timeout");
        matches!(stream.read(&mut [0; 1]), Ok(0))
    });
    // Half of the third that is theirs stays free for those that ask.
    assert_eq!(closed.count(), 24);
}

#[test]
fn a_large_body_sent_slowly_in_small_parts_is_forwarded_complete() {
    let (backend, program) = start(Duration::ZERO, 1024);
    let size = 300_000;
    let head = write_request("a0", 20_000).replace("Content-Length: 4", &format!("Content-Length: {size}"));
    let mut stream = connect(&program, head.trim_end_matches("body"));
    // 3 s in all, beyond the 2.2 s that a complete request of 64 KiB has, and no part later than 2 s.
    for _ in 0..30 {
        stream.write_all(&[b'x'; 10_000]).expect("sent");
        thread::sleep(Duration::from_millis(100));
    }
    let (lines, _) = standin::read_http(&mut std::io::BufReader::new(stream)).expect("an answer");
    assert!(lines[0].starts_with("HTTP/1.1 200"), "{lines:?}");
    assert_eq!(backend.runs("PUT"), 1);
}
