//! Peers that write at full speed, whatever the head says: no other client is refused, late or slow for them, and the
//! head takes a bounded number of bytes from each connection.

mod peers;
mod standin;

use peers::{FloodInput, SteadyClients, ahead, assert_within_memory, write_until_closed};
use sedgerun_protocol_9p::{MAX_MESSAGE_SIZE, Message, NO_TAG, VERSION};
use serde_json::{Value, json};
use standin::{Discovery, Fault, Program, StandIn, config, get, operator, read_http};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 48;
const FLOODERS: usize = 3;
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// The 99th percentile of the times of answers to clients beside the flood.
const LATENCY_BOUND: Duration = Duration::from_millis(50);
/// Bytes that the head may take from a connection beyond the body that it makes use of: a head, what it drops, and the
/// system's buffers of both sides.
const TAKEN_BOUND: u64 = 16 << 20;
/// The largest body that the head accepts: an eighth of its memory.
const LARGEST_BODY: u64 = (MEMORY_MB << 20) / 8;

/// Held by the test that runs: the flooders of one take the machine from another's clients.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What the flooders did.
#[derive(Debug, Default)]
struct Flood {
    bytes: AtomicU64,
    /// The most bytes that one connection took.
    most_bytes: AtomicU64,
    connections: AtomicU64,
}

/// Writes without reading, and connects again once the connection is closed.
fn flood(address: SocketAddr, input: &FloodInput, over: &AtomicBool, flood: &Flood) {
    while !over.load(Ordering::SeqCst) {
        let Some(taken) = write_until_closed(address, input, over) else { continue };
        flood.connections.fetch_add(1, Ordering::SeqCst);
        flood.bytes.fetch_add(taken, Ordering::SeqCst);
        flood.most_bytes.fetch_max(taken, Ordering::SeqCst);
    }
}

/// A head with all its front ends, beside backends that serve both protocols.
struct Head {
    _backends: Vec<StandIn>,
    _discovery: Discovery,
    program: Program,
    _turn: MutexGuard<'static, ()>,
}

impl Head {
    /// A head whose list has these backends too.
    fn start(also_listed: Vec<Value>) -> Head {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let backends: Vec<StandIn> = (0..6)
            .map(|number| StandIn::start(&format!("s-{number}"), 3, Duration::ZERO, Fault::None))
            .collect();
        let mut entries: Vec<_> = backends.iter().map(|backend| backend.entry("ready")).collect();
        entries.extend(also_listed);
        let discovery = Discovery::start(entries.clone());
        let mut config = config(discovery.address);
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
        config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
        config["mgmt"] = "127.0.0.1:0".into();
        let operator = operator(&[&backends[0]]);
        let operator = format!("{operator}\nadmin.listen=127.0.0.1:0\nadmin.token=0123456789abcdef");
        let program = Program::start(&config, Some(&operator));
        Head { _backends: backends, _discovery: discovery, program, _turn: turn }
    }
}

/// Runs three flooders of an address of the head beside ten steady clients; what they cost the others beyond the bounds.
/// The head makes use of up to `used` bytes of a connection.
fn faults_beside(
    what: &str,
    address: impl Fn(&Program) -> SocketAddr,
    input: FloodInput,
    used: u64,
) -> Vec<String> {
    let head = Head::start(Vec::new());
    let address = address(&head.program);
    let steady = SteadyClients::start(head.program.http, 10);
    let (over, counts, input) = (Arc::<AtomicBool>::default(), Arc::<Flood>::default(), Arc::new(input));
    let flooders: Vec<_> = (0..FLOODERS)
        .map(|_| {
            let input = Arc::clone(&input);
            let (over, counts) = (Arc::clone(&over), Arc::clone(&counts));
            thread::spawn(move || flood(address, &input, &over, &counts))
        })
        .collect();
    thread::sleep(FLOOD_TIME);
    let faults = faults_of(what, &head.program, steady);
    over.store(true, Ordering::SeqCst);
    flooders.into_iter().for_each(|flooder| flooder.join().expect("a flooder"));
    println!("{what}: {counts:?}");
    let is_bounded = counts.most_bytes.load(Ordering::SeqCst) <= TAKEN_BOUND + used;
    faults.into_iter().chain((!is_bounded).then(|| format!("{what}: {counts:?}"))).collect()
}

/// What the steady clients of a head have suffered beyond the bounds.
fn faults_of(what: &str, program: &Program, steady: SteadyClients) -> Vec<String> {
    let steady = steady.end();
    assert_within_memory(program, MEMORY_MB, what);
    let (served, refused, lost) = steady.ends();
    let p99 = steady.percentile(99);
    let figures = format!("{what}: {served} served, {refused} refused, {lost} lost, p99 {p99:?}");
    println!("{figures}");
    let is_sound = served > 0 && refused == 0 && lost == 0 && p99 <= LATENCY_BOUND;
    if is_sound { Vec::new() } else { vec![figures] }
}

/// Guards against a connection that the head reads, or answers, without end while all others wait.
#[test]
fn three_clients_at_full_speed_delay_no_other_client() {
    let sent_ahead = FloodInput { first: Vec::new(), repeated: ahead(60) };
    let kinds = [
        ("empty lines", FloodInput::empty_lines(), 0),
        ("unsound heads", FloodInput::unsound_heads(), 0),
        ("chunks of one byte", FloodInput::tiny_chunks(), 6 * LARGEST_BODY),
        ("an endless head", FloodInput::endless_head(), 0),
        ("health checks", FloodInput::health_checks(), 0),
        ("requests sent ahead", sent_ahead, 0),
    ];
    let faults: Vec<String> = kinds
        .into_iter()
        .flat_map(|(what, input, used)| faults_beside(what, |program| program.http, input, used))
        .collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The same over 9P and at the operators' addresses.
#[test]
fn peers_at_full_speed_on_other_front_ends_delay_no_http_client() {
    let version = Message::Tversion { msize: MAX_MESSAGE_SIZE, version: VERSION.into() }.encode(NO_TAG);
    let clunk = Message::Tclunk { fid: 7 }.encode(1);
    let ninep = |program: &Program| program.ninep.expect("9P");
    let mgmt = |program: &Program| program.mgmt.expect("mgmt");
    let admin = |program: &Program| program.admin.expect("an API");
    let get = b"GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n";
    let faults = [
        faults_beside("9P versions", ninep, FloodInput::of(&version), 0),
        faults_beside("9P messages", ninep, FloodInput::behind(&version, &clunk), 0),
        faults_beside("9P garbage", ninep, FloodInput::of(b"x"), 0),
        faults_beside("commands", mgmt, FloodInput::of(b"show-stat\n"), 0),
        faults_beside("an endless command", mgmt, FloodInput::of(b"x"), 0),
        faults_beside("API requests", admin, FloodInput::of(get), 0),
    ];
    let faults = faults.concat();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A backend that answers with the same bytes again and again, for as long as the head takes them.
fn start_flooding_backend(first: &'static [u8], then: &'static [u8]) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::<AtomicU64>::default();
    let shared = Arc::clone(&written);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let written = Arc::clone(&shared);
            thread::spawn(move || {
                let then = then.repeat(16 * 1024 / then.len());
                let _ = stream.read(&mut [0; 4096]);
                let mut result = stream.write_all(first);
                while result.is_ok() {
                    result = stream.write_all(&then);
                    written.fetch_add(then.len() as u64, Ordering::SeqCst);
                }
            });
        }
    });
    (address, written)
}

/// Guards against a backend whose endless answer the head reads while all others wait. Its clients read all of it.
#[test]
fn backends_with_endless_answers_delay_no_other_client() {
    let kinds: [(&str, &[u8], &[u8]); 5] = [
        ("chunks of one byte", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
        ("a body to the close", b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
        ("informational heads", b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        ("an error's body", b"HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
        ("answers nobody asked for", b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ];
    let mut faults = Vec::new();
    for (what, first, then) in kinds {
        let (address, written) = start_flooding_backend(first, then);
        let entry = json!({"instanceId": "s-flood", "hostPort": address.to_string(), "zone": "a",
            "machineType": "m", "cell": 5, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0});
        let head = Head::start(vec![entry]);
        let steady = SteadyClients::start(head.program.http, 10);
        let over = Arc::<AtomicBool>::default();
        let readers: Vec<_> = (0..FLOODERS)
            .map(|_| {
                let (address, over) = (head.program.http, Arc::clone(&over));
                thread::spawn(move || read_endless_answers(address, &over))
            })
            .collect();
        thread::sleep(FLOOD_TIME);
        faults.extend(faults_of(what, &head.program, steady));
        over.store(true, Ordering::SeqCst);
        readers.into_iter().for_each(|reader| reader.join().expect("a reader"));
        assert!(written.load(Ordering::SeqCst) > 0, "{what}: the backend was not asked");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Asks for what only the flooding backend has, and reads the answer for as long as it goes on.
fn read_endless_answers(address: SocketAddr, over: &AtomicBool) {
    let mut buffer = vec![0; 64 * 1024];
    while !over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = get("b2", 400).replace("shard=3", "shard=5");
        let mut result = stream.write(request.as_bytes());
        while !over.load(Ordering::SeqCst) && result.is_ok_and(|bytes| bytes > 0) {
            result = stream.read(&mut buffer);
        }
    }
}

/// A discovery that answers each call at once with these entries, as a newer generation; and the number of calls.
fn start_changing_discovery(entries: Vec<Value>) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let calls = Arc::<AtomicU64>::default();
    let counted = Arc::clone(&calls);
    let entries = Arc::new(entries);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (calls, entries) = (Arc::clone(&counted), Arc::clone(&entries));
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                while read_http(&mut reader).is_some() {
                    let generation = 2 + calls.fetch_add(1, Ordering::SeqCst);
                    let list =
                        json!({"generation": generation, "reset": true, "instances": *entries}).to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    let _ = stream.write_all(&[head.as_bytes(), list.as_bytes()].concat());
                }
            });
        }
    });
    (address, calls)
}

/// Guards against a discovery that answers each call at once with a changed list, which the head reads without a pause.
#[test]
fn a_discovery_that_changes_without_end_delays_no_client() {
    const ENTRIES: usize = 1000;
    const CALLS_BOUND: u64 = 60;
    let backend = StandIn::start("s-0", 3, Duration::ZERO, Fault::None);
    let mut entries = vec![backend.entry("ready")];
    entries.extend((0..ENTRIES).map(|number| {
        json!({"instanceId": format!("s-other-{number}"), "hostPort": "127.0.0.1:9", "zone": "a",
            "machineType": "m", "cell": 9, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    }));
    let (address, calls) = start_changing_discovery(entries);
    let mut config = config(address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
    config["known"] = json!({"generation": 1, "reset": true, "instances": [backend.entry("ready")]});
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Program::start(&config, None);
    let steady = SteadyClients::start(program.http, 10);
    thread::sleep(FLOOD_TIME);
    let calls = calls.load(Ordering::SeqCst);
    let faults = faults_of("changing lists", &program, steady);
    assert!(faults.is_empty(), "{faults:#?}, {calls} calls");
    let calls_a_second = calls / FLOOD_TIME.as_secs();
    assert!((10..=CALLS_BOUND).contains(&calls_a_second), "{calls_a_second} calls a second");
}

/// Guards against a test that floods nobody.
#[test]
fn a_flooder_is_answered() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), None);
    let mut stream = TcpStream::connect(program.http).expect("a connection");
    stream.write_all(b"x\r\n\r\n").expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    assert!(answer.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&answer));
}
