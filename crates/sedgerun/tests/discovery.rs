//! Discovery that falls silent, refuses, resets, breaks off or sends corrupt responses: whatever becomes of a poll, a
//! drain counts as delivered 6 s after discovery had it and could be reached, and that backend gets no new request then.

mod standin;

use serde_json::{Value, json};
use standin::{Fault, Program, StandIn, config, get, read_http};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What discovery has counts as delivered so much later; the grace period and the protocol's slack come on top.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(250 + 50);

/// The fault injected into a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    /// It is taken and never answered.
    Silent,
    /// It is taken, half of the answer comes, and nothing more.
    HalfSilent,
    /// Its connection is closed at once.
    Closed,
    /// It is turned away.
    Rejected,
    /// The list breaks off, and the connection ends.
    BrokenOff,
    /// The answer is not HTTP.
    Garbage,
    /// The list is cut, in an answer that is whole.
    Cut,
    /// The list never ends.
    Endless,
}

struct ServiceState {
    /// Polls that still fail; the drain is there as soon as the last of them has.
    faults_left: u32,
    fault: InjectedFault,
    /// The lists before and after.
    lists: [Vec<Value>; 2],
    drained: Option<Instant>,
    /// Polls, and those for the full list among them, since the drain.
    polls: (u32, u32),
    indented: bool,
}

/// A discovery whose next polls fail, with the drain of a backend right behind the last of them.
#[derive(Clone)]
struct FaultyDiscovery {
    address: SocketAddr,
    service: Arc<Mutex<ServiceState>>,
}

impl FaultyDiscovery {
    fn start(lists: [Vec<Value>; 2], fault: InjectedFault, faults_left: u32) -> FaultyDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let service =
            ServiceState { faults_left, fault, lists, drained: None, polls: (0, 0), indented: false };
        let faulty = FaultyDiscovery { address, service: Arc::new(Mutex::new(service)) };
        let each = faulty.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let each = each.clone();
                thread::spawn(move || each.serve(stream));
            }
        });
        faulty
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let (lines, _) = read_http(&mut reader)?;
            let waits = lines[0].contains("since=2&");
            let (fault, body) = {
                let mut service = self.service.lock().expect("a service");
                let fault = (service.faults_left > 0).then_some(service.fault);
                if fault.is_some() {
                    service.faults_left -= 1;
                    if service.faults_left == 0 {
                        service.drained = Some(Instant::now());
                    }
                } else {
                    service.polls.0 += 1;
                    service.polls.1 += u32::from(!lines[0].contains("since="));
                }
                let drained = service.drained.is_some() && fault.is_none();
                let list = json!({"generation": 1 + u64::from(drained), "reset": true,
                    "instances": service.lists[usize::from(drained)]});
                let text = if service.indented {
                    serde_json::to_string_pretty(&list)
                } else {
                    serde_json::to_string(&list)
                };
                (fault, text.expect("a list"))
            };
            let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let half = &whole.as_bytes()[..whole.len() - body.len() / 2];
            match fault {
                None if waits => {
                    // Nothing newer comes any more.
                    while read_http(&mut reader).is_some() {}
                    return None;
                }
                None => writer.write_all(whole.as_bytes()).ok()?,
                Some(InjectedFault::Silent) => while read_http(&mut reader).is_some() {},
                Some(InjectedFault::HalfSilent) => {
                    writer.write_all(half).ok()?;
                    while read_http(&mut reader).is_some() {}
                }
                Some(InjectedFault::Closed) => return None,
                Some(InjectedFault::Rejected) => {
                    writer.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ok()?;
                }
                Some(InjectedFault::BrokenOff) => {
                    writer.write_all(half).ok()?;
                    return None;
                }
                Some(InjectedFault::Garbage) => {
                    writer.write_all(b"\x16\x03\x01 no HTTP at all\r\n\r\n").ok()?;
                    return None;
                }
                Some(InjectedFault::Cut) => {
                    let body = &body[..body.len() / 2];
                    let cut = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    writer.write_all(cut.as_bytes()).ok()?;
                }
                Some(InjectedFault::Endless) => {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    writer.write_all(head.as_bytes()).ok()?;
                    let chunk = format!("8000\r\n{}\r\n", " ".repeat(0x8000));
                    while writer.write_all(chunk.as_bytes()).is_ok() {}
                    return None;
                }
            }
        }
    }

    fn drained(&self) -> Option<Instant> {
        self.service.lock().expect("a service").drained
    }
}

/// Two backends of one shard, the first of which drains in the later list.
fn backends() -> ([StandIn; 2], [Vec<Value>; 2]) {
    let start = |id| StandIn::start(id, 3, Duration::ZERO, Fault::None);
    let (draining, staying) = (start("s-leaving"), start("s-staying"));
    let lists = ["ready", "draining"].map(|state| vec![draining.entry(state), staying.entry("ready")]);
    ([draining, staying], lists)
}

/// One head of a fleet of so many, which knows the first list.
fn head(discovery: &FaultyDiscovery, heads: u32) -> Program {
    let mut config = config(discovery.address);
    config["settings"]["balancers"] = json!(heads);
    let list = discovery.service.lock().expect("a service").lists[0].clone();
    config["known"] = json!({"generation": 1, "reset": true, "instances": list});
    Program::start(&config, None)
}

/// Sends requests until the drain has counted as delivered for its grace period; the backend gets none after that.
fn assert_drain_obeyed(fault: InjectedFault, faults: u32, heads: u32) -> (Program, FaultyDiscovery) {
    let ([draining, staying], lists) = backends();
    let discovery = FaultyDiscovery::start(lists, fault, faults);
    let program = head(&discovery, heads);
    let begun = Instant::now();
    loop {
        let answer = program.ask(&get("a0", 1000)).0;
        assert!(answer.starts_with("HTTP/1.1 200"), "the head serves on: {answer}");
        thread::sleep(Duration::from_millis(5));
        if discovery.drained().is_some_and(|at| at.elapsed() > DELIVERY_DEADLINE + GRACE) {
            break;
        }
        assert!(begun.elapsed() < Duration::from_secs(60), "{fault:?}: not polled often enough");
    }
    let before = (draining.runs("GET"), staying.runs("GET"));
    for _ in 0..20 {
        assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(
        draining.runs("GET"),
        before.0,
        "{fault:?}: new requests past the time in which a drain is delivered"
    );
    assert_eq!(staying.runs("GET"), before.1 + 20);
    assert!(before.0 > 0, "the backend had requests while it was ready");
    (program, discovery)
}

/// The first poll falls silent as it begins, and the backend drains that moment.
#[test]
fn a_drain_behind_a_poll_that_fell_silent_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::Silent, 1, 1);
}

#[test]
fn a_drain_behind_half_a_response_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::HalfSilent, 1, 1);
}

/// The backoff of a large fleet is at its longest when the backend drains.
#[test]
fn a_drain_behind_polls_that_timed_out_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::Silent, 3, 300);
}

#[test]
fn a_drain_behind_closed_connections_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::Closed, 3, 300);
}

#[test]
fn a_drain_behind_polls_that_were_rejected_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::Rejected, 3, 300);
}

#[test]
fn a_drain_behind_a_list_that_breaks_off_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::BrokenOff, 3, 300);
}

#[test]
fn a_drain_behind_garbage_is_known_in_time() {
    assert_drain_obeyed(InjectedFault::Garbage, 3, 300);
}

/// A list that is cut, or never ends, costs bounded memory, and the full list is requested behind it.
#[test]
fn behind_a_cut_or_endless_list_the_full_one_is_requested() {
    for fault in [InjectedFault::Cut, InjectedFault::Endless] {
        let (program, discovery) = assert_drain_obeyed(fault, 2, 300);
        let polls = discovery.service.lock().expect("a service").polls;
        assert!(polls.1 >= 1, "{fault:?}: {polls:?}");
        let peak_kib = program.peak_memory_kib();
        assert!(peak_kib < 64 << 10, "{fault:?}: {peak_kib} kB");
    }
}

/// An indented list is a list.
#[test]
fn an_indented_list_is_read() {
    let (_backends, lists) = backends();
    let discovery = FaultyDiscovery::start(lists, InjectedFault::Rejected, 1);
    discovery.service.lock().expect("a service").indented = true;
    let program = head(&discovery, 1);
    let begun = Instant::now();
    while discovery.service.lock().expect("a service").polls.0 < 2 {
        assert!(begun.elapsed() < DELIVERY_DEADLINE, "no second poll behind an indented list");
        thread::sleep(Duration::from_millis(10));
    }
    program.terminate();
    assert!(!program.end().1.contains("malformed"));
}

/// Heads whose polls were all answered at once and then fell silent poll again spread over most of a second.
#[test]
fn polls_behind_polls_that_fell_silent_together_are_spread() {
    let (_backends, lists) = backends();
    let mut starts = Vec::new();
    let heads: Vec<_> = (0..20u64)
        .map(|seed| {
            let discovery = FaultyDiscovery::start(lists.clone(), InjectedFault::Silent, 1);
            let mut config = config(discovery.address);
            config["seed"] = json!(format!("{seed:x}"));
            config["known"] = json!({"generation": 1, "reset": true, "instances": lists[0]});
            (Program::start(&config, None), discovery)
        })
        .collect();
    let begun = Instant::now();
    let mut waiting: Vec<_> = heads.iter().map(|(_, discovery)| discovery).collect();
    while !waiting.is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(10), "{} heads never poll again", waiting.len());
        waiting.retain(|discovery| {
            let service = discovery.service.lock().expect("a service");
            let again = service.polls.0 > 0;
            if again {
                starts.push(service.drained.expect("a poll").elapsed());
            }
            !again
        });
        thread::sleep(Duration::from_millis(5));
    }
    let (first, last) = (starts.iter().min().expect("a head"), starts.iter().max().expect("a head"));
    assert!(*last < DELIVERY_DEADLINE, "{last:?}");
    assert!(*last - *first > Duration::from_millis(700), "all between {first:?} and {last:?}");
}

/// Processes that are killed and started again while discovery is silent, or ends every poll: each answers
/// `/healthz` and serves from its cached list, well before the 10 s in which nine of ten have to.
#[test]
fn restarted_processes_are_ready_while_discovery_is_down_or_overloaded() {
    for fault in [InjectedFault::Silent, InjectedFault::Closed, InjectedFault::Rejected] {
        let (_backends, lists) = backends();
        let discovery = FaultyDiscovery::start(lists, fault, u32::MAX);
        for _ in 0..10 {
            drop(head(&discovery, 300));
            let begun = Instant::now();
            let program = head(&discovery, 300);
            let ready = program.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").0;
            assert!(ready.starts_with("HTTP/1.1 200"), "{fault:?}: {ready}");
            assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"), "{fault:?}");
            assert!(begun.elapsed() < Duration::from_secs(10), "{fault:?}: {:?}", begun.elapsed());
        }
    }
}
