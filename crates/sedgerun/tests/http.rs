//! The program over HTTP: recorded exchanges, bad configuration, clients that disconnect, forwarded headers.

mod standin;

use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get, write_request};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

fn start(work: Duration) -> (StandIn, Program) {
    let backend = StandIn::start("s-1", 3, work, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), None);
    thread::sleep(Duration::from_millis(100));
    (backend, program)
}

/// Plays `tests/recorded/http.txt`: what follows `>` lines is sent, what follows `<` is the status and body.
#[test]
fn recorded_exchanges_come_out_as_recorded() {
    let (backend, program) = start(Duration::ZERO);
    let text = include_str!("recorded/http.txt");
    let mut played = 0;
    for exchange in
        text.split("\n\n").filter(|exchange| exchange.contains("\n> ") || exchange.starts_with("> "))
    {
        let part = |mark: &str| -> Vec<String> {
            exchange.lines().filter_map(|line| line.strip_prefix(mark)).map(str::to_owned).collect()
        };
        let (sent, expected) = (part("> "), part("< "));
        let body = sent.iter().find_map(|line| line.strip_prefix("body ")).unwrap_or_default();
        let body =
            body.strip_prefix("x").and_then(|n| n.parse().ok()).map_or(body.to_owned(), |n| "x".repeat(n));
        let mut request: Vec<String> =
            sent.iter().filter(|line| !line.starts_with("body ")).cloned().collect();
        request.push("Host: h".into());
        if !body.is_empty() {
            request.push(format!("Content-Length: {}", body.len()));
        }
        let (head, answer) = program.ask(&format!("{}\r\n\r\n{body}", request.join("\r\n")));
        let status = head.lines().next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
        assert_eq!([status, answer.trim_end()].join(" ").trim(), expected.join("\n"), "{exchange}");
        played += 1;
    }
    assert!(played >= 10, "only {played} exchanges");
    // Method, path, query and id reach the backend as they came.
    assert_eq!(backend.runs("GET /read/proof?page=2 HTTP/1.1 9b1f03aa5c7e2d41"), 1);
    assert_eq!(backend.runs("PUT /write/order HTTP/1.1 9b1f03aa5c7e2d42"), 1);
}

#[test]
fn bad_configuration_names_the_faulty_key() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
    let changed = |pointer: &str, value: serde_json::Value| {
        let mut config = good.clone();
        *config.pointer_mut(pointer).expect("a key") = value;
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), None, "malformed JSON"),
        (changed("/listen", json!("here")), None, "listen"),
        (changed("/seed", json!("zz")), None, "seed"),
        (changed("/limits/sockets", json!(-1)), None, "limits.sockets"),
        (changed("/settings/classes/1/goalTime", json!("soon")), None, "classes.1.goalTime"),
        (changed("/settings/limits/maxOpen", json!(0)), None, "limits.maxOpen"),
        (good.to_string(), Some("ninep.listen=there"), "ninep.listen"),
        (good.to_string(), Some("nine.listen=127.0.0.1:0"), "nine.listen"),
        (good.to_string(), Some("boxes.count=1\nboxes.0.id=s"), "boxes.0.address"),
        (
            good.to_string(),
            Some("exports.count=1\nexports.0.volume=a\nexports.0.plan=even\nexports.0.writeClass=read"),
            "exports.0.writeClass",
        ),
    ];
    for (config, operator, key) in cases {
        let output = Program::launch(&config, operator).wait_with_output().expect("an end");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && log.contains(key), "{key}: {log}");
    }
}

#[test]
fn a_client_that_disconnects_cancels_its_request() {
    let (backend, program) = start(Duration::from_millis(100));
    // The backend serves one at a time; the first concurrency limit lets a few be in flight, and the rest are queued at the head.
    let clients: Vec<TcpStream> = (0..30)
        .map(|_| {
            let mut stream = TcpStream::connect(program.http).expect("a connection");
            let request = get("a0", 4000).replace("/read/x", "/bulk/x");
            stream.write_all(request.as_bytes()).expect("sent");
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    drop(clients);
    thread::sleep(Duration::from_millis(1500));
    assert!((1..=6).contains(&backend.runs("GET")), "{} ran for nobody", backend.runs("GET"));
}

#[test]
fn a_malformed_endpoint_list_is_ignored_and_the_last_one_stays() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), None);
    thread::sleep(Duration::from_millis(200));
    discovery.set(vec![json!({"instanceId": "s-1", "lifecycle": "asleep"})]);
    thread::sleep(Duration::from_millis(200));
    assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"));
    program.terminate();
    let (_, log) = program.end();
    assert!(log.contains("malformed list: instances.0.lifecycle"), "{log}");
}

/// What tells a backend that a request is a repeat is forwarded unchanged, with reads and writes.
#[test]
fn the_idempotency_key_of_a_request_is_forwarded() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let mut entry = backend.entry("ready");
    entry["hostPort"] = serde_json::json!(listener.local_addr().expect("an address").to_string());
    let discovery = Discovery::start(vec![entry.clone()]);
    let mut config = config(discovery.address);
    config["known"] = serde_json::json!({"generation": 1, "reset": true, "instances": [entry]});
    let program = Program::start(&config, None);
    for request in [get("a0", 1000), write_request("a0", 1000)] {
        let keyed = request.replace("Host: h", "Host: h\r\nIdempotency-Key: 9071cb4b238780c1");
        let (mut client, asked) = (std::net::TcpStream::connect(program.http).expect("a connection"), keyed);
        std::io::Write::write_all(&mut client, asked.as_bytes()).expect("sent");
        let (mut stream, _) = listener.accept().expect("an attempt");
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a clone"));
        let (lines, _) = standin::read_http(&mut reader).expect("a request");
        // One connection for each, and none that is to be tried again.
        let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        std::io::Write::write_all(&mut stream, answer).expect("answered");
        standin::read_http(&mut std::io::BufReader::new(client)).expect("an answer");
        let key = lines.iter().find(|line| line.to_ascii_lowercase().starts_with("idempotency-key:"));
        assert!(key.is_some_and(|key| key.ends_with("9071cb4b238780c1")), "{lines:?}");
    }
}
