//! Large responses that take their backend longer than their client waits: they are passed on while they come.

mod peers;
mod standin;

use peers::{Described, DescribedBackend, Framing, SteadyClients, TimedResponse, body_byte, timed_exchange};
use serde_json::json;
use standin::{Discovery, Program, config, get};
use std::io::{Read, Write};
use std::net::TcpStream;
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
    config["mgmt"] = "127.0.0.1:0".into();
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

fn steady(bytes: usize, written_over: Duration, framing: Framing) -> Described {
    Described { bytes, written_over, lumps: 10, framing }
}

/// Begins some transfers, does something beside them, and returns what is wrong with them.
fn faults_beside(fleet: &Fleet, responses: &[Described], event: impl FnOnce(&Program)) -> Vec<String> {
    let clients: Vec<_> = responses
        .iter()
        .map(|described| {
            let (described, address) = (*described, fleet.program.http);
            thread::spawn(move || {
                let text = request(described, WAIT);
                let response = timed_exchange(address, text.as_bytes(), Duration::from_secs(12));
                fault_of(described, response, WAIT)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    event(&fleet.program);
    clients.into_iter().filter_map(|client| client.join().expect("a client")).collect()
}

/// Guards against transfers that are cut as a head is told to end; SIGKILL comes 3.7 s later at the earliest.
#[test]
fn transfers_go_on_in_a_drain_and_behind_sigterm() {
    let responses = [Framing::Length, Framing::Chunked, Framing::Close]
        .map(|framing| steady(300_000, Duration::from_millis(3000), framing));
    let drained = start(3, 48);
    let faults = faults_beside(&drained, &responses, |program| {
        assert_eq!(program.call("drain"), "YES drained\n");
    });
    assert!(faults.is_empty(), "drained: {faults:#?}");
    let ended = start(3, 48);
    let faults = faults_beside(&ended, &responses, Program::terminate);
    assert!(faults.is_empty(), "behind SIGTERM: {faults:#?}");
    assert!(ended.program.end().0, "the head ends once all is passed on");
}

/// Guards against a transfer that depends on the memory there is.
#[test]
fn many_large_transfers_at_once_come_whole_within_the_memory() {
    const MEMORY_MB: u64 = 32;
    let fleet = start(6, MEMORY_MB);
    let kinds = [Framing::Length, Framing::Chunked, Framing::Close].into_iter().cycle();
    let responses: Vec<Described> =
        kinds.take(60).map(|framing| steady(1_312_316, Duration::from_millis(2000), framing)).collect();
    let faults = faults_beside(&fleet, &responses, |_| {});
    assert!(faults.is_empty(), "{} of {}: {faults:#?}", faults.len(), responses.len());
    peers::assert_within_memory(&fleet.program, MEMORY_MB, "transfers");
}

/// A response of up to 64 KiB is timed by its last byte: it is answered within its client's wait, whatever comes.
#[test]
fn a_small_response_that_outlasts_its_clients_wait_is_answered_in_time() {
    let fleet = start(2, 48);
    let described = steady(60_000, Duration::from_millis(1500), Framing::Length);
    let text = request(described, WAIT);
    let timed = timed_exchange(fleet.program.http, text.as_bytes(), Duration::from_secs(8));
    let timed = timed.expect("an answer");
    assert_ne!(timed.response.status, "200");
    assert!(timed.last_byte < WAIT + SLACK, "{:?}", timed.last_byte);
}

/// Only a backend that stands still for the stated 10 s ends a transfer; its client sees that it is not complete.
#[test]
fn a_backend_that_stands_still_ends_its_transfer_after_the_stated_time() {
    let fleet = start(1, 48);
    let described = Described {
        bytes: 200_000,
        written_over: Duration::from_secs(28),
        lumps: 2,
        framing: Framing::Length,
    };
    let text = request(described, WAIT);
    let timed = timed_exchange(fleet.program.http, text.as_bytes(), Duration::from_secs(20));
    let timed = timed.expect("the beginning of an answer");
    assert_eq!((timed.response.status.as_str(), timed.response.body), ("200", None));
    assert!(timed.first_byte < WAIT, "{:?}", timed.first_byte);
    let stalled = timed.last_byte;
    assert!((Duration::from_secs(9)..Duration::from_secs(12)).contains(&stalled), "{stalled:?}");
}

/// Guards against chunks sent to a client of HTTP/1.0, which does not know them.
#[test]
fn a_transfer_without_a_length_to_a_client_of_http_1_0_ends_with_its_connection() {
    let fleet = start(1, 48);
    let described = steady(200_000, Duration::from_millis(900), Framing::Chunked);
    let text = request(described, WAIT).replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = TcpStream::connect(fleet.program.http).expect("a connection");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("the end of the connection");
    let head_end = response.windows(4).position(|window| window == b"\r\n\r\n").expect("a head") + 4;
    let head = String::from_utf8_lossy(&response[..head_end]).to_lowercase();
    assert!(!head.contains("transfer-encoding"), "{head}");
    let body = &response[head_end..];
    assert_eq!(body.len(), described.bytes);
    assert!(body.iter().enumerate().all(|(index, byte)| *byte == body_byte(index)));
}
