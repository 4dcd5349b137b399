//! The program at SIGHUP: a new discovery, a file that cannot be used, and SIGTERM on top of it.

mod standin;

use sedgerun_protocol_9p::Message;
use standin::{Client, Discovery, Fault, Program, StandIn, config, get, operator};
use std::thread;
use std::time::{Duration, Instant};

/// What a new discovery has counts as delivered this long after the program was switched to it.
const SWITCH_PERIOD: Duration = Duration::from_secs(4);

/// Sends requests until a backend has run one more read, and fails after the time in which what a new discovery has
/// counts as delivered.
fn assert_reached(program: &Program, backend: &StandIn) {
    let (before, begun) = (backend.runs("GET"), Instant::now());
    while backend.runs("GET") == before {
        assert!(begun.elapsed() < SWITCH_PERIOD, "{} gets no request", backend.id);
        program.ask(&get("a0", 1000));
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn sighup_switches_to_another_discovery_with_generations_of_its_own() {
    let (old, new) = (
        StandIn::start("s-old", 3, Duration::ZERO, Fault::None),
        StandIn::start("s-new", 3, Duration::ZERO, Fault::None),
    );
    let (first, second) =
        (Discovery::start(vec![old.entry("ready")]), Discovery::start(vec![new.entry("ready")]));
    for _ in 0..5 {
        first.set(vec![old.entry("ready")]);
    }
    let program = Program::start(&config(first.address), Some(&operator(&[&old, &new])));
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    assert_reached(&program, &old);
    program.reload(&config(second.address).to_string());
    assert_reached(&program, &new);
    // The backend that the new discovery does not list gets no more requests, and sessions over 9P go on.
    let (http, ninep) = (old.runs("GET"), old.runs("Twalk"));
    for _ in 0..10 {
        assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"));
    }
    assert!(matches!(client.walk(1, &["d0"]), Message::Rwalk { .. }));
    assert_eq!((old.runs("GET"), old.runs("Twalk")), (http, ninep));
    assert!(new.runs("Twalk") > 0);
    // Its updates are delivered, too.
    second.set(vec![old.entry("ready"), new.entry("gone")]);
    assert_reached(&program, &old);
    // A file that cannot be used changes nothing, and says why.
    program.reload(&config(first.address).to_string().replace("\"seed\":\"2a\"", "\"seed\":\"zz\""));
    second.set(vec![old.entry("gone"), new.entry("ready")]);
    assert_reached(&program, &new);
    // The end may come during a reload.
    program.reload(&config(first.address).to_string());
    program.terminate();
    drop(client);
    let (success, log) = program.end();
    assert!(success, "{log}");
    assert!(log.contains("SIGHUP: seed is not hexadecimal"), "{log}");
}
