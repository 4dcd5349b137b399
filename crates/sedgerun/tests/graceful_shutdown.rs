//! Connections that close while something is on its way: a request on an idle connection as the head ends, a response
//! that a slow client is still reading, bytes that nobody reads.

mod standin;

use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get, read_http, write_request};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

fn start_one_backend(sockets: usize) -> (StandIn, Program) {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let entry = node.entry("ready");
    let discovery = Discovery::start(vec![entry.clone()]);
    let mut config = config(discovery.address);
    config["limits"]["sockets"] = json!(sockets);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    (node, Program::start(&config, None))
}

/// The head gets SIGTERM, and would close its idle connections 3.3 s later. It is stopped over that moment, in which
/// requests come on them: each is answered, or was never read and never forwarded.
#[test]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_answered_or_never_forwarded() {
    let (node, program) = start_one_backend(1024);
    let mut idle: Vec<BufReader<TcpStream>> = (0..20)
        .map(|_| {
            let mut stream = TcpStream::connect(program.http).expect("a connection");
            stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
            stream.write_all(get("a0", 1000).as_bytes()).expect("sent");
            let mut reader = BufReader::new(stream);
            read_http(&mut reader).expect("an answer");
            reader
        })
        .collect();
    let before = node.runs("GET");
    program.terminate();
    thread::sleep(Duration::from_millis(3200));
    program.stand_still(true);
    for reader in &mut idle {
        reader.get_mut().write_all(write_request("a0", 1000).as_bytes()).expect("sent");
    }
    thread::sleep(Duration::from_millis(400));
    program.stand_still(false);
    let answered = idle.iter_mut().filter_map(read_http);
    let answered: Vec<_> = answered.map(|(lines, _)| lines[0].clone()).collect();
    let (success, said) = program.end();
    assert!(success, "{said}");
    assert_eq!(node.runs("GET"), before);
    let served = answered.iter().filter(|line| line.starts_with("HTTP/1.1 200")).count() as u64;
    assert_eq!(node.runs("PUT"), served, "forwarded and not answered: {answered:?}");
}

/// A client that reads a large response slowly, with a very small receive buffer.
fn slow_client(program: &Program) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.connect(&program.http.into()).expect("a connection");
    let mut stream: TcpStream = socket.into();
    let head = write_request("a0", 1000).replace("Content-Length: 4", &format!("Content-Length: {BODY}"));
    stream.write_all(head.trim_end_matches("body").as_bytes()).expect("sent");
    stream.write_all(&vec![b'x'; BODY]).expect("sent");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    stream
}

const BODY: usize = 3 << 20;

/// Reads a response, a part every so often; the bytes of its body that came.
fn read_slowly(mut stream: TcpStream) -> usize {
    let mut buffer = vec![0; 256 * 1024];
    let mut total = 0;
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        total += read;
        thread::sleep(Duration::from_millis(5));
        if total >= BODY {
            break;
        }
    }
    total
}

/// Connects so many clients that idle connections are closed for them, again and again.
fn crowd(address: SocketAddr, time: Duration) {
    let (begun, mut crowd) = (Instant::now(), Vec::new());
    while begun.elapsed() < time {
        crowd.extend(TcpStream::connect(address));
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_response_to_a_slow_client_is_not_cut_for_other_clients() {
    let (_node, program) = start_one_backend(128);
    let stream = slow_client(&program);
    thread::sleep(Duration::from_millis(300));
    crowd(program.http, Duration::from_millis(1500));
    assert!(read_slowly(stream) >= BODY, "the response was cut");
}

#[test]
fn a_response_to_a_slow_client_outlives_the_closing_of_idle_connections() {
    let (_node, program) = start_one_backend(1024);
    let stream = slow_client(&program);
    thread::sleep(Duration::from_millis(300));
    program.terminate();
    thread::sleep(Duration::from_millis(3600));
    assert!(read_slowly(stream) >= BODY, "the response was cut");
    assert!(program.end().0);
}

/// More bytes follow the request than anybody reads: the responses are complete, and the connection ends without a
/// reset.
#[test]
fn closing_over_unread_bytes_cuts_no_response() {
    let (_node, program) = start_one_backend(1024);
    for size in [0, 40_000, 400_000] {
        let mut stream = TcpStream::connect(program.http).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
        let behind = [get("a0", 1000).as_bytes(), &vec![b'z'; size]].concat();
        stream.write_all(&[get("a0", 1000).as_bytes(), &behind].concat()).expect("sent");
        let mut text = Vec::new();
        let end = stream.read_to_end(&mut text);
        let text = String::from_utf8_lossy(&text);
        assert!(end.is_ok(), "{size} bytes behind: {end:?} behind {text:?}");
        assert!(text.starts_with("HTTP/1.1 "), "{size} bytes behind: {text:?}");
    }
}
