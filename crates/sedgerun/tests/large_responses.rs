//! Large responses that take their backend longer than their client waits: they are passed on while they come.

mod peers;
mod standin;

use peers::{Described, DescribedBackend, Framing, SteadyClients, TimedResponse, body_byte, timed_exchange};
use serde_json::json;
use standin::{Discovery, Program, config, get};
use std::thread;
use std::time::Duration;

/// What the clients of the tests wait for the first byte.
const WAIT: Duration = Duration::from_millis(600);
/// Time past its client's wait in which a first byte still counts.
const SLACK: Duration = Duration::from_millis(100);

struct Fleet {
    backends: Vec<DescribedBackend>,
    _discovery: Discovery,
    program: Program,
}

fn start(backends: usize, memory_mb: u64) -> Fleet {
    let backends: Vec<DescribedBackend> = (0..backends).map(|_| DescribedBackend::start()).collect();
    let entries: Vec<_> =
        backends.iter().enumerate().map(|(number, backend)| backend.entry(&format!("s-{number}"))).collect();
    let discovery = Discovery::start(entries.clone());
    let mut config = config(discovery.address);
    config["settings"]["classes"][0]["deadline"] = json!(4_000_000);
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
    config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
    let program = Program::start(&config, None);
    Fleet { backends, _discovery: discovery, program }
}

fn request(described: Described, wait: Duration) -> String {
    let wait_ms = wait.as_millis() as u64;
    get("b1", wait_ms).replace("/read/x", &format!("/read/x?{}", described.query()))
}

/// What is wrong with a response; `None` where it came whole, and began in time.
fn fault_of(described: Described, response: Option<TimedResponse>, wait: Duration) -> Option<String> {
    let Some(timed) = response else { return Some(format!("{described:?}: no answer")) };
    let (status, first_byte) = (&timed.response.status, timed.first_byte);
    let times = format!("first byte {first_byte:?}, last byte {:?}", timed.last_byte);
    if status != "200" {
        return Some(format!("{described:?}: {status}, {times}"));
    }
    if first_byte > wait + SLACK {
        return Some(format!("{described:?}: late, {times}"));
    }
    let Some(body) = &timed.response.body else { return Some(format!("{described:?}: cut, {times}")) };
    let is_same = body.len() == described.bytes
        && body.iter().enumerate().all(|(index, byte)| *byte == body_byte(index));
    (!is_same).then(|| format!("{described:?}: another body of {} bytes, {times}", body.len()))
}

/// Guards against a large response that is held back, and cut at the end of its client's wait.
#[test]
fn a_large_response_that_outlasts_its_clients_wait_is_passed_on_whole() {
    let fleet = start(6, 48);
    let mut responses = Vec::new();
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for bytes in [100_000, 212_956, 1_312_316] {
            for (millis, lumps) in [(400, 10), (900, 10), (1600, 10), (3000, 10), (4000, 4)] {
                let written_over = Duration::from_millis(millis);
                responses.push(Described { bytes, written_over, lumps, framing });
            }
        }
    }
    let address = fleet.program.http;
    let faults: Vec<String> = responses
        .chunks(14)
        .flat_map(|responses| {
            let clients = responses.iter().map(|described| {
                let described = *described;
                let text = request(described, WAIT);
                thread::spawn(move || {
                    let response = timed_exchange(address, text.as_bytes(), Duration::from_secs(8));
                    fault_of(described, response, WAIT)
                })
            });
            let clients: Vec<_> = clients.collect();
            clients.into_iter().filter_map(|client| client.join().expect("a client")).collect::<Vec<_>>()
        })
        .collect();
    assert!(faults.is_empty(), "{} of {}: {faults:#?}", faults.len(), responses.len());
}

/// Guards against transfers that count as latency, or hold places of requests, so that other clients are refused.
#[test]
fn other_clients_are_not_refused_for_transfers_that_go_on() {
    let fleet = start(6, 48);
    let steady = SteadyClients::start(fleet.program.http, 10);
    thread::sleep(Duration::from_secs(1));
    let wait = Duration::from_millis(2400);
    let transfers: Vec<_> = (0..6)
        .map(|number| {
            let address = fleet.program.http;
            let written_over = Duration::from_millis(800 + 240 * number);
            let framing = [Framing::Length, Framing::Chunked][number as usize % 2];
            let described = Described { bytes: 300_000, written_over, lumps: 10, framing };
            let text = request(described, wait);
            thread::spawn(move || {
                let response = timed_exchange(address, text.as_bytes(), Duration::from_secs(8));
                fault_of(described, response, wait)
            })
        })
        .collect();
    let faults: Vec<String> =
        transfers.into_iter().filter_map(|transfer| transfer.join().expect("a client")).collect();
    thread::sleep(Duration::from_secs(1));
    let counts = steady.end();
    let (served, refused, lost) = counts.ends();
    assert_eq!((refused, lost), (0, 0), "{served} served; {faults:?}");
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(!fleet.backends.is_empty());
}
