//! One client that sends small or unsound requests at full speed, under ever new names, and clients that send many at
//! once and leave: others get their answers in time, and nothing is forwarded for those that have left.

mod peers;
mod standin;

use peers::{SteadyClients, ahead, assert_within_memory, crowd, read_response, reset};
use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const FLOOD_TIME: Duration = Duration::from_secs(3);
static NAMES: AtomicU64 = AtomicU64::new(1);

fn start(work: Duration) -> (Vec<StandIn>, Discovery, Program) {
    let backends: Vec<StandIn> =
        (0..4).map(|number| StandIn::start(&format!("s-{number}"), 3, work, Fault::None)).collect();
    let entries: Vec<_> = backends.iter().map(|backend| backend.entry("ready")).collect();
    let discovery = Discovery::start(entries.clone());
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
    config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
    let program = Program::start(&config, None);
    (backends, discovery, program)
}

/// Sends one request after the other on one connection until it closes, again and again; one in fifty is unsound.
fn flood(address: SocketAddr, over: &AtomicBool) -> u64 {
    let mut sent = 0;
    while !over.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(address) else { continue };
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(Duration::from_secs(2))));
        let mut connection = BufReader::new(stream);
        while !over.load(Ordering::SeqCst) {
            let name = NAMES.fetch_add(1, Ordering::SeqCst);
            let request = get(&format!("{name:x}"), 1000);
            let request =
                if name.is_multiple_of(50) { request.replace("X-Chunk", "X-Chunks") } else { request };
            if connection.get_mut().write_all(request.as_bytes()).is_err() {
                break;
            }
            sent += 1;
            if read_response(&mut connection).is_none_or(|response| response.closes) {
                break;
            }
        }
    }
    sent
}

/// Guards against a client at full speed that keeps others waiting, or makes a head remember without end.
#[test]
fn a_client_at_full_speed_under_new_names_costs_no_other_its_answer() {
    let (_backends, _discovery, program) = start(Duration::ZERO);
    let steady = SteadyClients::start(program.http, 10);
    let over = Arc::new(AtomicBool::new(false));
    let flooders: Vec<_> = (0..2)
        .map(|_| {
            let (address, over) = (program.http, Arc::clone(&over));
            thread::spawn(move || flood(address, &over))
        })
        .collect();
    thread::sleep(FLOOD_TIME);
    over.store(true, Ordering::SeqCst);
    let sent: u64 = flooders.into_iter().map(|flooder| flooder.join().expect("a flooder")).sum();
    let counts = steady.end();
    let (served, refused, lost) = (
        counts.served.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.lost.load(Ordering::SeqCst),
    );
    assert!(sent > 1000, "{sent} requests are no flood");
    assert_eq!((refused, lost), (0, 0), "steady clients: {served} served; {sent} sent by the flood");
    // Ten clients that wait 50 ms between requests, less what a busy machine takes.
    assert!(served > 200, "steady clients: {served} served; {sent} sent by the flood");
    assert_within_memory(&program, MEMORY_MB, "flood");
}

/// Guards against requests that are forwarded from the bytes of a client that has left, or before its turn.
#[test]
fn requests_sent_ahead_by_clients_that_leave_are_not_forwarded() {
    const CLIENTS: usize = 100;
    let (backends, _discovery, program) = start(Duration::from_millis(4));
    let runs = || backends.iter().map(|backend| backend.runs("GET")).sum::<u64>();
    let clients = crowd(program.http, CLIENTS, |_| ahead(60));
    thread::sleep(Duration::from_millis(100));
    reset(clients);
    // What was sent by then may still be waiting at the backends, which serve one after the other.
    thread::sleep(Duration::from_millis(400));
    let settled = runs();
    assert!(settled <= CLIENTS as u64, "{settled} requests of {CLIENTS} clients were forwarded");
    thread::sleep(Duration::from_millis(800));
    assert_eq!(runs(), settled, "requests were forwarded after their clients had left");
    let begun = Instant::now();
    while !program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200") {
        assert!(begun.elapsed() < Duration::from_secs(3), "nobody is served");
    }
}
