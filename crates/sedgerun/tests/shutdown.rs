//! The program at SIGTERM: who is still served, and when it ends.

mod standin;

use sedgerun_protocol_9p::Message;
use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get, operator};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn start(work: Duration) -> (StandIn, Program) {
    let backend = StandIn::start("s-1", 3, work, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), None);
    thread::sleep(Duration::from_millis(100));
    (backend, program)
}

/// A head ended 0.6 s after SIGTERM, and clients that had lost their connections found none until its next start.
#[test]
fn at_sigterm_it_serves_those_that_are_connected_until_shortly_before_the_kill() {
    let backend = StandIn::start("s-1", 3, Duration::from_millis(100), Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let mut settings = config(discovery.address);
    // The longest deadline is that of writes then, 1.2 s: the kill comes after 1.9 s at the least.
    settings["settings"]["classes"][2]["deadline"] = json!(1_000_000);
    let program = Program::start(&settings, Some(&operator(&[&backend])));
    let mut session = standin::Client::attach(program.ninep.expect("9P"), "press");
    let kept = TcpStream::connect(program.http).expect("a connection");
    kept.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    let mut reader = BufReader::new(kept.try_clone().expect("a reader"));
    let mut ask = || {
        (&kept).write_all(get("a0", 1000).as_bytes()).expect("sent");
        let (head, body) = standin::read_http(&mut reader).expect("an answer");
        (head.join("\n").to_lowercase(), body)
    };
    // The list may come a little later than the first request.
    let asked = Instant::now();
    while !ask().0.starts_with("http/1.1 200") {
        assert!(asked.elapsed() < Duration::from_secs(5), "nothing is served");
    }
    program.terminate();
    let begun = Instant::now();
    let mut fid = 1;
    // New clients are served for a while, those that stay for longer.
    assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"));
    while begun.elapsed() < Duration::from_millis(800) {
        let (head, body) = ask();
        assert!(head.starts_with("http/1.1 200") && !head.contains("connection: close"), "{head}");
        assert_eq!(body, b"read\n");
        assert!(matches!(session.walk(fid, &["d0"]), Message::Rwalk { .. }));
        fid += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let (success, log) = program.end();
    assert!(success, "{log}");
    assert!(log.contains("Serving -> Draining") && log.contains("Closing -> Ended"), "{log}");
    assert!(begun.elapsed() < Duration::from_millis(1900), "{:?}", begun.elapsed());
}

#[test]
fn at_sigterm_it_answers_open_requests_and_ends_once_nobody_is_connected() {
    let (_backend, program) = start(Duration::from_millis(100));
    let mut taken = TcpStream::connect(program.http).expect("a connection");
    taken.write_all(get("a0", 1000).as_bytes()).expect("sent");
    thread::sleep(Duration::from_millis(30));
    program.terminate();
    let (begun, mut reader) = (Instant::now(), BufReader::new(taken));
    let (head, body) = standin::read_http(&mut reader).expect("a complete answer");
    assert!(head[0].starts_with("HTTP/1.1 200") && body == b"read\n", "{head:?}");
    drop(reader);
    let (success, log) = program.end();
    assert!(success, "{log}");
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}
