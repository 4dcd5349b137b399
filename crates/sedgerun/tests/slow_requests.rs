//! Requests that a backend reads slowly: they go on until the client's own time is over, and each has its final answer
//! in time.

mod peers;
mod standin;

use peers::{Framing, PacedBackend, ResponsePace, exchange};
use serde_json::json;
use standin::{Discovery, Program, config, write_request};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time past the client's own in which an answer still counts.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

fn start(backend: &PacedBackend) -> (Discovery, Program) {
    let entry = backend.entry("s-1");
    let discovery = Discovery::start(vec![entry.clone()]);
    let mut config = config(discovery.address);
    config["limits"]["memory_mb"] = json!(48);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    let program = Program::start(&config, None);
    (discovery, program)
}

/// The backend reads at a rate at which the request never ends. It never ran, so the client is told to try again.
#[test]
fn a_request_that_a_backend_reads_too_slowly_is_refused_within_the_time_of_its_client() {
    let pace = ResponsePace { bytes: 5, duration: Duration::ZERO, framing: Framing::Length };
    let backend = PacedBackend::start(pace, 100_000);
    let (_discovery, program) = start(&backend);
    let size = 4_000_000;
    let head = write_request("b1", 1000).replace("Content-Length: 4", &format!("Content-Length: {size}"));
    let request = [head.trim_end_matches("body").as_bytes(), &vec![b'x'; size]].concat();
    let begun = Instant::now();
    let response = exchange(program.http, &request, Duration::from_secs(6)).expect("an answer");
    let took = begun.elapsed();
    assert_eq!(response.status, "503", "after {took:?}");
    assert!(took < Duration::from_secs(1) + ANSWER_SLACK, "{took:?}");
    assert!(took > Duration::from_millis(700), "cut while the backend was reading, after {took:?}");
    assert_eq!(backend.received.load(Ordering::SeqCst), 0);
}

/// The backend reads slowly and is done in time.
#[test]
fn a_request_that_a_backend_reads_slowly_is_served_if_it_ends_in_time() {
    let pace = ResponsePace { bytes: 5, duration: Duration::ZERO, framing: Framing::Length };
    let backend = PacedBackend::start(pace, 8_000_000);
    let (_discovery, program) = start(&backend);
    let size = 4_000_000;
    let head = write_request("b1", 1200).replace("Content-Length: 4", &format!("Content-Length: {size}"));
    let request = [head.trim_end_matches("body").as_bytes(), &vec![b'x'; size]].concat();
    let response = exchange(program.http, &request, Duration::from_secs(6)).expect("an answer");
    assert_eq!(response.status, "200");
    assert_eq!(backend.received.load(Ordering::SeqCst), 1);
}
