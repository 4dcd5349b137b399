//! Responses that a backend writes slowly: they go on until the client's own time is over.

mod peers;
mod standin;

use peers::{Framing, PacedBackend, ResponsePace, body_byte, exchange};
use serde_json::json;
use standin::{Discovery, Program, config, get};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn start(backend: &PacedBackend) -> (Discovery, Program) {
    let entry = backend.entry("s-1");
    let discovery = Discovery::start(vec![entry.clone()]);
    let mut config = config(discovery.address);
    config["limits"]["memory_mb"] = json!(32);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    let program = Program::start(&config, None);
    (discovery, program)
}

/// A long read whose client waits for 2.4 s; the latency objective of its class is 1.2 s. Or a short one, with 0.2 s.
fn read(class: &str, timeout_ms: u64) -> String {
    get("b1", timeout_ms).replace("GET /read", &format!("GET /{class}"))
}

fn assert_served_whole(pace: ResponsePace, class: &str, timeout_ms: u64) {
    let backend = PacedBackend::start(pace, 0);
    let (_discovery, program) = start(&backend);
    let response = exchange(program.http, read(class, timeout_ms).as_bytes(), Duration::from_secs(6));
    let response = response.expect("an answer");
    let cut = backend.cut.load(Ordering::SeqCst);
    assert_eq!((response.status.as_str(), cut), ("200", 0), "{pace:?}");
    let body = response.body.expect("a complete body");
    assert!(body.len() == pace.bytes, "{pace:?}: {} bytes", body.len());
    assert!(body.iter().enumerate().all(|(index, byte)| *byte == body_byte(index)), "{pace:?}: another body");
}

/// Guards against the timeout of an attempt that runs on while its response is coming in.
#[test]
fn a_response_that_a_backend_is_still_writing_is_not_cut_at_the_latency_objective() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for bytes in [60_000, 200_000, 700_000, 1_600_000] {
            let pace = ResponsePace { bytes, duration: Duration::from_millis(600), framing };
            assert_served_whole(pace, "read", 1000);
        }
        let pace = ResponsePace { bytes: 700_000, duration: Duration::from_millis(1800), framing };
        assert_served_whole(pace, "bulk", 2400);
    }
}
