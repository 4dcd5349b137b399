//! Endpoint lists of many backends, and lists that no head can hold: the first are served from, the second cost bounded
//! memory, one line of the log and ever fewer polls, and the list in force stays.

mod standin;

use serde_json::{Value, json};
use standin::{Discovery, Fault, Program, StandIn, config, get, read_http};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The operators' number of backends in two years.
const OPERATORS_SIZE: usize = 7_400;
/// The number that a head of 192 MB has to hold.
const LARGEST: usize = 20_000;
/// The bound on entries of a head of 192 MB.
const MOST_ENTRIES: usize = 49_152;
/// Time by which a head that starts serves.
const READY_TIME: Duration = Duration::from_secs(20);
/// The most memory that a head of 192 MB may have had, in KiB: the rest is left for requests.
const MOST_MEMORY_KIB: u64 = 96 << 10;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn backend() -> StandIn {
    StandIn::start("s-0", 3, Duration::ZERO, Fault::None)
}

/// So many entries in a hundred shards, all at the address of one backend.
fn entries(backend: &StandIn, count: usize) -> Vec<Value> {
    let entry = |i: usize| {
        let mut entry = backend.entry("ready");
        entry["instanceId"] = json!(format!("s-{i:08x}"));
        entry["cell"] = json!(i % 100);
        entry
    };
    (0..count).map(entry).collect()
}

fn list(entries: &[Value]) -> Value {
    json!({"generation": 1, "reset": true, "instances": entries})
}

/// Sends a long read, whose deadline is 4 s: on a busy machine a head rightly rejects one that it cannot begin in half
/// of that time.
fn request_long_read(program: &Program) -> String {
    program.ask(&get("a0", 4000).replace("GET /read", "GET /bulk")).0
}

fn is_served(program: &Program) -> bool {
    request_long_read(program).starts_with("HTTP/1.1 200")
}

fn assert_served(program: &Program) {
    let answer = request_long_read(program);
    assert!(answer.starts_with("HTTP/1.1 200"), "the list in force stands: {answer}");
}

/// Waits until a head serves.
fn wait_until_served(program: &Program) {
    let begun = Instant::now();
    while !is_served(program) {
        assert!(begun.elapsed() < READY_TIME, "nothing is served");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Ends a program; what it logged.
fn log_of(program: Program) -> String {
    program.terminate();
    let (success, log) = program.end();
    assert!(success, "{log}");
    log
}

/// Starts a head with an empty list, whose discovery lists so many backends.
fn start_before(count: usize) -> Program {
    let backend = backend();
    let discovery = Discovery::start(entries(&backend, count));
    let program = Program::start(&config(discovery.address), None);
    wait_until_served(&program);
    program
}

#[test]
fn a_head_without_a_cached_list_serves_from_the_operators_number_of_backends() {
    let log = log_of(start_before(OPERATORS_SIZE));
    assert!(!log.contains("discovery: "), "{log}");
}

#[test]
fn a_head_of_192_mb_holds_20_000_backends() {
    let program = start_before(LARGEST);
    let peak = program.peak_memory_kib();
    assert!(peak < MOST_MEMORY_KIB, "{peak} KiB");
    let log = log_of(program);
    assert!(!log.contains("discovery: "), "{log}");
}

/// While discovery is silent.
#[test]
fn a_cached_list_of_the_operators_size_is_served_from() {
    let backend = backend();
    let discovery = Discovery::start(vec![]);
    discovery.silence(true);
    let mut config = config(discovery.address);
    config["known"] = list(&entries(&backend, OPERATORS_SIZE));
    let program = Program::start(&config, None);
    assert_served(&program);
    let log = log_of(program);
    assert!(!log.contains("known: "), "{log}");
}

/// A discovery whose polls are each answered by one function, and counted.
struct ScriptedDiscovery {
    address: SocketAddr,
    polls: Arc<AtomicU32>,
}

impl ScriptedDiscovery {
    /// `answer` gets the first line of a poll; its error ends the connection.
    fn start(
        answer: impl Fn(&str, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (polls, answer) = (Arc::<AtomicU32>::default(), Arc::new(answer));
        let counted = Arc::clone(&polls);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (polls, answer) = (Arc::clone(&counted), Arc::clone(&answer));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some((lines, _)) = read_http(&mut reader) {
                        polls.fetch_add(1, Ordering::SeqCst);
                        if answer(&lines[0], &mut stream).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedDiscovery { address, polls }
    }

    /// One that answers each call with the same text and, where it is given, a tail without end.
    fn endless(text: &'static str, tail: &'static str) -> ScriptedDiscovery {
        ScriptedDiscovery::start(move |_, stream| {
            stream.write_all(HEAD)?;
            write_chunk(stream, text)?;
            let tail = tail.repeat(1024);
            loop {
                write_chunk(stream, &tail)?;
            }
        })
    }

    fn polls(&self) -> u32 {
        self.polls.load(Ordering::SeqCst)
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn write_whole(stream: &mut TcpStream, body: &Value) -> io::Result<()> {
    let body = body.to_string();
    stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// A head that was started with one backend, whose lists are polled or pushed.
fn head_with_one(backend: &StandIn, discovery: SocketAddr, pushed: bool) -> Program {
    let mut config = config(discovery);
    config["known"] = list(&[backend.entry("ready")]);
    // Older than what discovery has.
    config["known"]["generation"] = json!(0);
    if pushed {
        config["settings"]["membershipMode"] = json!("automatic");
        // A quarter of it is the time in which an answer has to come.
        config["settings"]["rules"]["drainGrace"] = json!(4_000_000);
    }
    Program::start(&config, None)
}

/// Serves for so long, and checks what a list that is too large costs in memory and lines.
fn assert_list_stays(program: Program, time: Duration, expected: &str) {
    let begun = Instant::now();
    while begun.elapsed() < time {
        assert_served(&program);
        thread::sleep(Duration::from_millis(20));
    }
    let peak = program.peak_memory_kib();
    assert!(peak < MOST_MEMORY_KIB, "{peak} KiB");
    let log = log_of(program);
    // Where processors are short, a poll may time out before its answer has been read.
    let of_a_list = |line: &&str| line.contains("discovery: ") && !line.contains("no answer in time");
    let lines: Vec<_> = log.lines().filter(of_a_list).collect();
    assert_eq!(lines.len(), 1, "one line: {log}");
    assert!(lines[0].contains("ERROR") && lines[0].contains(expected), "{log}");
}

#[test]
fn an_endless_list_costs_bounded_memory_one_line_and_few_polls() {
    let backend = backend();
    let discovery = ScriptedDiscovery::endless(
        r#"{"generation":2,"reset":true,"instances":[{"instanceId":"a","lifecycle":"gone"}"#,
        r#",{"instanceId":"a","lifecycle":"gone"}"#,
    );
    let program = head_with_one(&backend, discovery.address, false);
    assert_list_stays(
        program,
        Duration::from_secs(8),
        "bytes or more, over the 12582912 that limits.memory_mb allows",
    );
    assert!((1..=4).contains(&discovery.polls()), "{} polls", discovery.polls());
}

#[test]
fn an_endless_string_costs_bounded_memory_one_line_and_few_polls() {
    let backend = backend();
    let discovery = ScriptedDiscovery::endless(
        r#"{"generation":2,"reset":true,"instances":[{"instanceId":""#,
        r"\u0061aaaaaaaaa",
    );
    let program = head_with_one(&backend, discovery.address, false);
    assert_list_stays(
        program,
        Duration::from_secs(8),
        "bytes or more, over the 12582912 that limits.memory_mb allows",
    );
    assert!((1..=4).contains(&discovery.polls()), "{} polls", discovery.polls());
}

/// An agent is otherwise polled again at once.
#[test]
fn an_agent_with_an_endless_list_is_polled_at_growing_intervals() {
    let backend = backend();
    let discovery = ScriptedDiscovery::endless(r#"{"generation":2,"reset":true,"instances":["#, "        ");
    let program = head_with_one(&backend, discovery.address, true);
    assert_list_stays(
        program,
        Duration::from_secs(5),
        "bytes or more, over the 12582912 that limits.memory_mb allows",
    );
    assert!((3..=9).contains(&discovery.polls()), "{} polls", discovery.polls());
}

/// A length that is announced, and is too large, is an error before any of the body comes.
#[test]
fn a_list_that_announces_too_many_bytes_is_not_waited_for() {
    let backend = backend();
    let discovery = ScriptedDiscovery::start(|_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{")?;
        thread::sleep(Duration::from_secs(60));
        Ok(())
    });
    let program = head_with_one(&backend, discovery.address, false);
    assert_list_stays(program, Duration::from_secs(1), "99999999999 bytes or more, over the 12582912 that");
}

#[test]
fn too_many_small_entries_are_one_clear_error() {
    let backend = backend();
    let gone = json!({"instanceId": "a", "lifecycle": "gone"});
    let discovery = Discovery::start(vec![gone; MOST_ENTRIES + 1000]);
    let program = head_with_one(&backend, discovery.address, false);
    assert_list_stays(
        program,
        Duration::from_secs(2),
        "50152 entries or more, over the 49152 that limits.memory_mb allows; the list in force stands",
    );
}

#[test]
fn a_list_that_fits_again_is_used() {
    let (old, new) = (backend(), backend());
    let gone = json!({"instanceId": "a", "lifecycle": "gone"});
    let discovery = Discovery::start(vec![gone; MOST_ENTRIES + 1]);
    let program = head_with_one(&old, discovery.address, false);
    thread::sleep(Duration::from_millis(500));
    assert_served(&program);
    assert_eq!((old.runs("GET"), new.runs("GET")), (1, 0));
    discovery.set(vec![new.entry("ready")]);
    let begun = Instant::now();
    while new.runs("GET") == 0 {
        assert_served(&program);
        assert!(begun.elapsed() < Duration::from_secs(10), "the new list is not used");
        thread::sleep(Duration::from_millis(50));
    }
    let log = log_of(program);
    assert_eq!(log.matches("the list is too large").count(), 1, "{log}");
    assert_eq!(log.matches("the list can be held again: 1 entries").count(), 1, "{log}");
}

/// Changes by which the list would outgrow the bound, each small by itself.
#[test]
fn changes_that_make_the_list_too_large_are_refused() {
    let backend = backend();
    let known = entries(&backend, 4_000);
    let more: Vec<_> = entries(&backend, 4_200).split_off(4_000);
    let whole = list(&known);
    let discovery = ScriptedDiscovery::start(move |line, stream| {
        if line.contains("since=1&") {
            return write_whole(stream, &json!({"generation": 2, "reset": false, "instances": more}));
        }
        write_whole(stream, &whole)
    });
    let mut config = config(discovery.address);
    config["limits"]["memory_mb"] = json!(16);
    config["known"] = list(&known);
    let program = Program::start(&config, None);
    thread::sleep(Duration::from_secs(1));
    assert_served(&program);
    let log = log_of(program);
    assert!(log.contains("4200 entries or more, over the 4096 that limits.memory_mb allows"), "{log}");
}

/// Guards against a timeout of the whole exchange, which cuts a list that discovery is still writing, again and again.
#[test]
fn a_list_that_is_written_slowly_is_read_to_its_end() {
    const PARTS: usize = 30;
    const PART_INTERVAL: Duration = Duration::from_millis(80);
    let backend = backend();
    let text = list(&entries(&backend, 50)).to_string();
    let discovery = ScriptedDiscovery::start(move |_, stream| {
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()).as_bytes())?;
        for part in text.as_bytes().chunks(text.len().div_ceil(PARTS)) {
            thread::sleep(PART_INTERVAL);
            stream.write_all(part)?;
        }
        Ok(())
    });
    let program = Program::start(&config(discovery.address), None);
    wait_until_served(&program);
    assert!(discovery.polls() <= 3, "{} polls: the list was cut", discovery.polls());
}
