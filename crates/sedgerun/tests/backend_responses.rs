//! What backends may answer: recorded in `tests/recorded/answers.txt`, corrupt and complete.

mod standin;

use serde_json::{Value, json};
use standin::{Discovery, Program, config, read_http, write_request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The response that the tests tell from all others.
const OWN: &str = "< HTTP/1.1 200 OK\n< Content-Length: 3\n<\n< own";

/// A backend that answers each request with what its script says, and counts its connections.
struct ScriptedBackend {
    address: SocketAddr,
    script: Arc<Mutex<String>>,
    connections: Arc<AtomicU64>,
}

impl ScriptedBackend {
    fn start() -> ScriptedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (script, connections) = (Arc::new(Mutex::new(OWN.to_owned())), Arc::new(AtomicU64::new(0)));
        let (served_script, count) = (Arc::clone(&script), Arc::clone(&connections));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let script = Arc::clone(&served_script);
                thread::spawn(move || serve(stream, &script));
            }
        });
        ScriptedBackend { address, script, connections }
    }

    fn set_script(&self, script: &str) {
        script.clone_into(&mut self.script.lock().expect("a script"));
    }

    fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Its entry in discovery's list.
    fn entry(&self, id: &str) -> Value {
        json!({"instanceId": id, "hostPort": self.address.to_string(), "zone": "a", "cell": 3,
            "machineType": "m", "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    }
}

/// Answers the requests of one connection until either side ends it.
fn serve(stream: TcpStream, script: &Mutex<String>) {
    let mut writer = stream.try_clone().expect("a clone");
    let mut reader = BufReader::new(stream);
    while read_http(&mut reader).is_some() {
        let script = script.lock().expect("a script").clone();
        if !play(&script, &mut writer) {
            return;
        }
    }
}

/// Plays a script for one request; whether the connection goes on.
fn play(script: &str, writer: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    for line in script.lines() {
        if let Some(text) = line.strip_prefix("<") {
            bytes.extend(if bytes.is_empty() { "" } else { "\r\n" }.bytes());
            bytes.extend(text.strip_prefix(' ').unwrap_or(text).bytes());
        } else if let Some(count) = line.strip_prefix('x') {
            bytes.extend(b"\r\n".iter().chain(&vec![b'x'; count.parse().expect("a number")]));
        } else if line == "close" {
            let _ = writer.write_all(&bytes);
            return false;
        } else if line == "reset" {
            let _ = writer.write_all(&bytes);
            // Both sides have the bytes before the reset, which would discard them otherwise.
            thread::sleep(Duration::from_millis(20));
            let _ = socket2::SockRef::from(&*writer).set_linger(Some(Duration::ZERO));
            return false;
        } else if line == "linger" {
            let _ = writer.write_all(&bytes);
            thread::sleep(Duration::from_millis(1));
            return false;
        } else if line == "later" {
            bytes.extend(b"\r\n");
            let _ = writer.write_all(&std::mem::take(&mut bytes));
            thread::sleep(Duration::from_millis(20));
        } else if line == "endless" {
            let _ = writer.write_all(&bytes);
            while writer.write_all(b"\r\nX-More: and more").is_ok() {}
            return false;
        }
    }
    writer.write_all(&bytes).is_ok()
}

#[test]
fn replaced_backends_leave_no_connections_behind() {
    let backends: Vec<_> = (0..30).map(|_| ScriptedBackend::start()).collect();
    let discovery = Discovery::start(vec![backends[0].entry("s-0")]);
    let program = Program::start(&config(discovery.address), None);
    let mut first = None;
    for (i, backend) in backends.iter().enumerate() {
        discovery.set(vec![backend.entry(&format!("s-{i}"))]);
        while backend.connections() == 0 {
            program.ask(&write_request("a0", 1000));
            thread::sleep(Duration::from_millis(5));
        }
        first.get_or_insert(program.descriptors());
    }
    thread::sleep(Duration::from_millis(100));
    let (first, last) = (first.expect("a backend"), program.descriptors());
    assert!(last <= first + 4, "{first} descriptors at the first backend, {last} at the last");
}

#[test]
fn a_connection_rests_after_a_response_so_that_its_close_is_noticed() {
    let backend = ScriptedBackend::start();
    let program = Program::start(&config(Discovery::start(vec![backend.entry("s-1")]).address), None);
    thread::sleep(Duration::from_millis(100));
    // The backend closes a moment after each response and says nothing of it.
    backend.set_script(&format!("{OWN}\nlinger"));
    for i in 0..40 {
        let (head, _) = program.ask(&write_request("a0", 1000));
        assert!(head.starts_with("HTTP/1.1 200"), "write {i}: {head}");
    }
}

#[test]
fn responses_come_out_complete_or_as_failed_and_never_as_the_next_ones() {
    let backend = ScriptedBackend::start();
    let program = Program::start(&config(Discovery::start(vec![backend.entry("s-1")]).address), None);
    thread::sleep(Duration::from_millis(100));
    let send_write = || {
        // By then a connection has rested, and is used again.
        thread::sleep(Duration::from_millis(50));
        let (head, body) = program.ask(&write_request("a0", 1000));
        let body = if body.len() > 1000 { format!("x{}", body.len()) } else { body };
        format!("{} {}", head.split(' ').nth(1).unwrap_or_default(), body.trim_end())
    };
    let mut played = 0;
    for exchange in include_str!("recorded/answers.txt").split("\n\n").filter(|text| text.starts_with('<')) {
        assert_eq!(send_write(), "200 own");
        let before = backend.connections();
        backend.set_script(exchange);
        let expected = exchange.lines().find_map(|line| line.strip_prefix("= ")).expect("an outcome");
        assert_eq!(send_write(), expected, "{exchange}");
        backend.set_script(OWN);
        // Whatever came, the next request gets a response of its own.
        assert_eq!(send_write(), "200 own", "after {exchange}");
        let dropped = u64::from(exchange.lines().any(|line| line == "dropped"));
        assert_eq!(backend.connections() - before, dropped, "{exchange}");
        played += 1;
    }
    assert!(played >= 20, "only {played} exchanges");
}
