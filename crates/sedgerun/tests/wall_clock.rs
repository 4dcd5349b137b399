//! Wall clocks that are stepped, of all machines or of the head's alone: a backend that has just started gets no more
//! than it bears, and its slow start ends in its time. Deadlines and timeouts are spans of real time.

mod peers;
mod shim;
mod standin;

use serde_json::{Value, json};
use shim::Shim;
use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a backend that has just started bears in a window, in requests.
const SAFE_REQUESTS: f64 = 6.0;
const WINDOW: Duration = Duration::from_millis(1500);
const SLOW_START: Duration = Duration::from_secs(3);
/// The largest step of a clock, in seconds.
const HOUR: i64 = 3600;

/// Beyond what is safe, so much is put down to chance: under 30 requests 3 times the root, and 3.
fn budget() -> u64 {
    (SAFE_REQUESTS + 3.0 * SAFE_REQUESTS.sqrt() + 3.0) as u64
}

fn entry(backend: &StandIn, started_at_ms: i64) -> Value {
    let mut entry = backend.entry("ready");
    entry["startedAtMs"] = json!(started_at_ms);
    entry
}

/// Requests that a backend of its own shard gets in its first window, and in one after its slow start. The head's wall
/// clock was stepped before the backend started, and the clock by which its start is told.
fn requests_in_windows(step_of_head: i64, step_of_others: i64) -> (u64, u64) {
    let (old, new) = (
        StandIn::start("s-old", 3, Duration::ZERO, Fault::None),
        StandIn::start("s-new", 4, Duration::from_millis(1), Fault::None),
    );
    let discovery = Discovery::start(vec![entry(&old, 0)]);
    let mut config = config(discovery.address);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry(&old, 0)]});
    let settings = &mut config["settings"];
    settings["rules"]["startCapacity"] = json!(0.15);
    settings["rules"]["warmWithin"] = json!(SLOW_START.as_micros() as u64);
    settings["rules"]["tipMultiple"] = json!(3.0);
    settings["rules"]["fall"] = json!(WINDOW.as_micros() as u64);
    settings["specifics"]["coldUnits"] = json!(SAFE_REQUESTS);
    let shim = Shim::new(1);
    let environment = shim.environment();
    let environment: Vec<(&str, &str)> =
        environment.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let program = Program::start_with(&config, None, &environment);
    thread::sleep(Duration::from_millis(200));
    shim.step_clock(step_of_head);
    let (http, over) = (program.http, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let over = Arc::clone(&over);
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    Program::ask_at(http, &get("a0", 1000).replace("shard=3", "shard=4"));
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as i64;
    discovery.set(vec![entry(&old, 0), entry(&new, now + step_of_others * 1000)]);
    let begun = Instant::now();
    thread::sleep(WINDOW);
    let first = new.runs("GET");
    thread::sleep((SLOW_START + Duration::from_millis(700)).saturating_sub(begun.elapsed()));
    let before = new.runs("GET");
    thread::sleep(WINDOW);
    let last = new.runs("GET") - before;
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    (first, last)
}

/// Guards against start times that are compared with a clock that was anchored before a step.
#[test]
fn a_backend_that_starts_after_a_step_of_the_clock_has_its_slow_start() {
    let cases =
        [(0, 0), (HOUR, HOUR), (-HOUR, -HOUR), (HOUR, 0), (-HOUR, 0), (5, 5), (-5, -5), (5, 0), (-5, 0)];
    let runs: Vec<_> = cases
        .map(|(head, others)| thread::spawn(move || requests_in_windows(head, others)))
        .into_iter()
        .map(|run| run.join().expect("a run"))
        .collect();
    for ((head, others), (first, last)) in cases.into_iter().zip(runs) {
        let what = format!("head {head} s, others {others} s: {first} requests, then {last}");
        assert!(first <= budget(), "too many for a backend that has just started, {what}");
        assert!(last > 2 * budget(), "the slow start does not end, {what}");
    }
}

/// Guards against deadlines by the wall clock: a request that no backend answers is answered in its time.
#[test]
fn a_step_of_the_clock_moves_no_deadline() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let mut entry = entry(&backend, 0);
    entry["hostPort"] = json!(silent.local_addr().expect("an address").to_string());
    let discovery = Discovery::start(vec![entry.clone()]);
    let mut config = config(discovery.address);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    for step in [HOUR, -HOUR, 5, -5] {
        let shim = Shim::new(2);
        let environment = shim.environment();
        let environment: Vec<(&str, &str)> =
            environment.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let program = Program::start_with(&config, None, &environment);
        let took = thread::scope(|scope| {
            let asked = scope.spawn(|| {
                let begun = Instant::now();
                program.ask(&get("a0", 900));
                begun.elapsed()
            });
            thread::sleep(Duration::from_millis(50));
            shim.step_clock(step);
            asked.join().expect("a client")
        });
        let in_time = Duration::from_millis(150)..Duration::from_millis(1400);
        assert!(in_time.contains(&took), "step of {step} s: answered after {took:?}");
    }
}
