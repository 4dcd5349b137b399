//! The program under a real limit on descriptors, with clients that fill it while discovery is away.

mod standin;

use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT: usize = 96;
/// Time from a drain's announcement until it is in force: its grace period and the protocol's slack.
const DRAIN_GRACE: Duration = Duration::from_millis(6000 + 250 + 50);

/// A backend that accepts connections and requests, and answers nothing.
fn start_silent_backend() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let accepting = listener.try_clone().expect("a clone");
    thread::spawn(move || {
        let mut open = Vec::new();
        open.extend(accepting.incoming().flatten());
    });
    (listener, address)
}

/// Sets the system's limit on the descriptors of a running program.
fn limit_descriptors(program: &Program, most: usize) {
    let mut command = Command::new("prlimit");
    command.arg(format!("--pid={}", program.id())).arg(format!("--nofile={most}:{most}"));
    assert!(command.status().expect("prlimit").success());
}

/// A long read at a shard.
fn bulk(shard: u32) -> String {
    get("a0", 4000).replace("GET /read", "GET /bulk").replace("shard=3", &format!("shard={shard}"))
}

/// Twenty backends of shard 3 answer nothing, forty clients send requests there again and again, eighty more are idle,
/// and discovery is silent. When it is back it is polled, the backend of shard 4 that drains gets nothing new, and the
/// new one there answers.
#[test]
fn discovery_and_backends_are_reached_however_many_clients_there_are() {
    let start = |id| StandIn::start(id, 4, Duration::ZERO, Fault::None);
    let (old, new) = (start("s-old"), start("s-new"));
    let silent_backends: Vec<_> = (0..20).map(|_| start_silent_backend()).collect();
    let mut known: Vec<_> = (0..20)
        .map(|i| {
            json!({"instanceId": format!("s-{i}"), "hostPort": silent_backends[i].1, "zone": "a", "machineType": "m", "cell": 3,
                "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
        })
        .collect();
    let later = [&known[..], &[old.entry("draining"), new.entry("ready")]].concat();
    known.push(old.entry("ready"));
    let discovery = Discovery::start(known.clone());
    discovery.silence(true);
    let mut config = config(discovery.address);
    config["limits"]["sockets"] = json!(LIMIT);
    config["known"] = json!({"generation": 1, "reset": true, "instances": known});
    let program = Program::start(&config, None);
    limit_descriptors(&program, LIMIT);
    let (http, over) = (program.http, Arc::new(AtomicBool::new(false)));
    let senders: Vec<_> = (0..40)
        .map(|_| {
            let over = Arc::clone(&over);
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    if let Ok(mut stream) = TcpStream::connect(http) {
                        let _ = stream.write_all(bulk(3).as_bytes());
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                        let _ = std::io::Read::read(&mut stream, &mut [0; 64]);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let idle: Vec<_> = (0..80).filter_map(|_| TcpStream::connect(http).ok()).collect();
    let (begun, mut most) = (Instant::now(), 0);
    while begun.elapsed() < Duration::from_secs(3) {
        most = most.max(program.descriptors());
        thread::sleep(Duration::from_millis(10));
    }
    assert!(most > LIMIT * 2 / 3, "the clients hold {most} descriptors: the test shows nothing");
    discovery.set(later);
    discovery.silence(false);
    let back = Instant::now();
    while back.elapsed() < DRAIN_GRACE {
        most = most.max(program.descriptors());
        thread::sleep(Duration::from_millis(10));
    }
    assert!(most + 4 <= LIMIT, "no descriptor is reserved: {most} of {LIMIT}");
    let before = old.runs("GET");
    let ask = |request: &str| {
        let mut stream = TcpStream::connect(http).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        standin::read_http(&mut std::io::BufReader::new(stream)).map(|(lines, _)| lines[0].clone())
    };
    // Some may be rejected in the crowd, and are sent again.
    let (mut served, begun) = (0, Instant::now());
    while served < 20 && begun.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(10));
        served += usize::from(ask(&bulk(4)).is_some_and(|line| line.starts_with("HTTP/1.1 200")));
    }
    over.store(true, Ordering::SeqCst);
    assert!(served >= 20, "{served} requests at a healthy backend are served in 10 s");
    assert_eq!(old.runs("GET"), before, "a new request at a backend that drains");
    assert!(new.runs("GET") >= 20);
    drop(idle);
    senders.into_iter().for_each(|sender| sender.join().expect("a client"));
}

/// Idle clients fill the head, and more come at once than it has descriptors in reserve: each takes the place of one,
/// and none takes a descriptor more.
#[test]
fn a_burst_of_clients_takes_no_more_descriptors_than_idle_ones_free() {
    const BURST: usize = 40;
    const BURSTS: usize = 10;
    let discovery = Discovery::start(vec![]);
    let mut config = config(discovery.address);
    config["limits"]["sockets"] = json!(LIMIT);
    let program = Program::start(&config, None);
    let mut idle: Vec<_> = (0..LIMIT).filter_map(|_| TcpStream::connect(program.http).ok()).collect();
    let mut most = 0;
    for _ in 0..BURSTS {
        // All of them have been idle for long enough to be closed for others.
        thread::sleep(Duration::from_millis(200));
        assert!(program.descriptors() > LIMIT / 2, "{}: the test shows nothing", program.descriptors());
        program.stand_still(true);
        let burst: Vec<_> = (0..BURST).filter_map(|_| TcpStream::connect(program.http).ok()).collect();
        assert_eq!(burst.len(), BURST);
        program.stand_still(false);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(200) {
            most = most.max(program.descriptors());
        }
        idle.extend(burst);
    }
    assert!(most + 4 <= LIMIT, "no descriptor is reserved: {most} of {LIMIT}");
}
