//! The memory that large responses leave behind at the connections that have received them.

mod standin;

use serde_json::json;
use standin::{Discovery, Program, config, get, read_http};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
const BODY_BYTES: usize = 1 << 20;
/// Connections that together would keep more than the memory of a head, if each kept a buffer for one response.
const CONNECTIONS: usize = 60;

/// A backend that answers each request with the same large body.
fn start_backend(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let body = body.clone();
            thread::spawn(move || answer(&stream, &body));
        }
    });
    address
}

fn answer(mut stream: &TcpStream, body: &[u8]) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        read_http(&mut reader)?;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    }
}

/// Guards against connections that keep a write buffer as large as the largest response that they have received.
#[test]
fn connections_that_received_large_responses_do_not_take_a_head_over_its_limit() {
    let body: Vec<u8> = (0..BODY_BYTES).map(|index| (index % 251) as u8).collect();
    let backend = start_backend(body.clone());
    let entry = json!({"instanceId": "s-1", "hostPort": backend.to_string(), "zone": "a", "machineType": "m",
        "cell": 3, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0});
    let discovery = Discovery::start(vec![entry]);
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    let program = Program::start(&config, None);
    thread::sleep(Duration::from_millis(200));
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(program.http).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        stream.write_all(get("b1", 1000).as_bytes()).expect("sent");
        let mut reader = BufReader::new(stream);
        let (lines, received) = read_http(&mut reader).expect("a response");
        assert!(lines[0].starts_with("HTTP/1.1 200"), "connection {number}: {lines:?}");
        assert!(received == body, "connection {number}: the body differs");
        connections.push(reader);
    }
    let peak = program.peak_memory_kib();
    assert!(peak <= MEMORY_MB * 1024, "the head held {peak} KiB with {CONNECTIONS} connections");
}
