//! The memory of a head under peers that make it hold as much as they can, at the least memory and the most
//! descriptors that the operators name, with steady clients beside them.

mod peers;
mod standin;

use peers::{
    Framing, PacedBackend, ResponsePace, SteadyClients, ahead, assert_within_memory, crowd, half_body,
    half_head, reset,
};
use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that the operators name.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
const CLIENTS: usize = 400;
const STEADY_CLIENTS: usize = 10;

struct Head {
    program: Program,
    _discovery: Discovery,
    _backends: Vec<StandIn>,
}

fn start(memory_mb: u64) -> Head {
    let backends: Vec<StandIn> =
        (0..6).map(|number| StandIn::start(&format!("s-{number}"), 3, Duration::ZERO, Fault::None)).collect();
    let entries: Vec<_> = backends.iter().map(|backend| backend.entry("ready")).collect();
    let discovery = Discovery::start(entries.clone());
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS});
    config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
    Head { program: Program::start(&config, None), _discovery: discovery, _backends: backends }
}

/// Runs peers beside steady clients, which must all be answered, and checks the head's memory.
fn run_beside_steady_clients(memory_mb: u64, what: &str, peers: impl FnOnce(&Program)) {
    let head = start(memory_mb);
    let steady = SteadyClients::start(head.program.http, STEADY_CLIENTS);
    thread::sleep(Duration::from_millis(300));
    peers(&head.program);
    let counts = steady.end();
    let (served, lost) = (counts.served.load(Ordering::SeqCst), counts.lost.load(Ordering::SeqCst));
    assert_eq!(lost, 0, "{what}: steady clients without an answer, {served} served");
    assert!(served > 0, "{what}: no steady client was served");
    assert_within_memory(&head.program, memory_mb, what);
}

/// Guards against buffers of clients that are bounded by their number and not by the head's memory.
#[test]
fn peers_that_stop_or_send_ahead_do_not_take_a_head_over_its_limit() {
    run_beside_steady_clients(MEMORY_MB, "heads of 124 KiB that stop", |program| {
        let clients = crowd(program.http, CLIENTS, |_| half_head(124 * 1024));
        thread::sleep(Duration::from_secs(3));
        drop(clients);
    });
    run_beside_steady_clients(MEMORY_MB, "bodies that stop", |program| {
        let clients = crowd(program.http, CLIENTS, |_| half_body(80, 60_000, 59_000));
        thread::sleep(Duration::from_secs(3));
        drop(clients);
    });
    run_beside_steady_clients(MEMORY_MB, "requests sent ahead, then a reset", |program| {
        let clients = crowd(program.http, CLIENTS, |_| ahead(60));
        thread::sleep(Duration::from_millis(200));
        reset(clients);
        thread::sleep(Duration::from_millis(500));
    });
}

/// Reads a response at some 64 KB a second with a small receive buffer; whether it came to its end.
fn read_slowly(program: &Program, bytes: usize) -> Option<bool> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(4096).ok()?;
    socket.connect(&program.http.into()).ok()?;
    let mut stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    stream.write_all(get("b1", 1000).as_bytes()).ok()?;
    let (mut part, mut text) = ([0; 6400], Vec::new());
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(5) {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(read) => text.extend_from_slice(&part[..read]),
        }
        if !text.starts_with(b"HTTP/1.1 200") {
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    Some(text.len() >= bytes || begun.elapsed() >= Duration::from_secs(5))
}

/// Guards against responses that are held whole for each client that reads slowly: the head holds a part, and the
/// backend waits. None is cut.
#[test]
fn slow_readers_of_large_responses_do_not_take_a_head_over_its_limit() {
    const BYTES: usize = 1 << 20;
    let pace = ResponsePace { bytes: BYTES, duration: Duration::ZERO, framing: Framing::Length };
    let backends: Vec<PacedBackend> = (0..6).map(|_| PacedBackend::start(pace, 0)).collect();
    let entries: Vec<_> =
        backends.iter().enumerate().map(|(number, backend)| backend.entry(&format!("s-{number}"))).collect();
    let discovery = Discovery::start(entries.clone());
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
    let program = Program::start(&config, None);
    let results: Vec<Option<bool>> = thread::scope(|scope| {
        let readers: Vec<_> =
            (0..CLIENTS / 2).map(|_| scope.spawn(|| read_slowly(&program, BYTES))).collect();
        readers.into_iter().map(|reader| reader.join().expect("a reader")).collect()
    });
    assert_within_memory(&program, MEMORY_MB, "slow readers");
    let begun = results.iter().flatten().count();
    assert!(begun > 0, "no response began");
    let cut = results.iter().flatten().filter(|is_sound| !**is_sound).count();
    assert_eq!(cut, 0, "responses were cut, {begun} began");
}

/// Guards against new connections that are closed unread while there are descriptors: past the bound on clients that
/// follows from the memory, each gets its refusal.
#[test]
fn clients_past_the_bound_are_refused_with_an_answer() {
    let head = start(MEMORY_MB);
    // Bodies that go on keep their connections from giving way.
    let holding = crowd(head.program.http, 460, |_| half_body(1, 3000, 100));
    thread::sleep(Duration::from_millis(300));
    let answers: Vec<String> = (0..20).map(|_| head.program.ask(&get("b1", 1000)).0).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 503")), "{answers:?}");
    drop(holding);
    let begun = Instant::now();
    while !head.program.ask(&get("b1", 1000)).0.starts_with("HTTP/1.1 200") {
        assert!(begun.elapsed() < Duration::from_secs(4), "nobody is served afterwards");
        thread::sleep(Duration::from_millis(20));
    }
}
