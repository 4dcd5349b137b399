//! The program where endpoint lists are pushed: polls need no request, and the agent may fall silent for ever on one.

mod standin;

use serde_json::{Value, json};
use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::thread;
use std::time::{Duration, Instant};

/// Time after a drain was delivered past which the backend gets no new request.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// The platform's configuration of a deployment whose lists are pushed, with the list cached at the start.
fn config_with_pushed_lists(discovery: &Discovery, cached: &[Value]) -> Value {
    let mut config = config(discovery.address);
    config["settings"]["membershipMode"] = json!("automatic");
    config["settings"]["rules"] = json!({"drainGrace": DRAIN_GRACE.as_micros() as u64, "answerSlack": 8000});
    config["known"] = json!({"generation": 1, "reset": true, "instances": cached});
    config
}

/// Sends requests until the grace period is over; the backend gets none after that.
fn assert_drained(program: &Program, backend: &StandIn, delivered_at: Instant) {
    while delivered_at.elapsed() < DRAIN_GRACE {
        program.ask(&get("a0", 1000));
        thread::sleep(Duration::from_millis(5));
    }
    let before = backend.runs("GET");
    for _ in 0..10 {
        program.ask(&get("a0", 1000));
    }
    assert_eq!(backend.runs("GET"), before, "{} got new requests past the grace period", backend.id);
}

#[test]
fn a_pushed_drain_is_obeyed_within_the_grace_period_also_after_a_silence() {
    let start = |id| StandIn::start(id, 3, Duration::ZERO, Fault::None);
    let (first, second) = (start("s-1"), start("s-2"));
    let (before, after) = (vec![first.entry("ready")], vec![first.entry("draining"), second.entry("ready")]);
    let agent = Discovery::start(before.clone());
    let program = Program::start(&config_with_pushed_lists(&agent, &before), None);
    assert!(program.ask(&get("a0", 1000)).0.starts_with("HTTP/1.1 200"));
    assert_eq!(first.runs("GET"), 1);

    agent.set(after);
    assert_drained(&program, &first, Instant::now());
    assert!(second.runs("GET") > 0, "the head serves on from the new list");

    // Silent under a poll that waits: what the agent has on its return counts as delivered from then on.
    agent.silence(true);
    for _ in 0..20 {
        let answer = program.ask(&get("a0", 1000)).0;
        assert!(answer.starts_with("HTTP/1.1 200"), "the head serves on from the last list: {answer}");
        thread::sleep(Duration::from_millis(20));
    }
    agent.set(vec![first.entry("ready"), second.entry("draining")]);
    agent.silence(false);
    assert_drained(&program, &second, Instant::now());
    program.terminate();
    let (success, log) = program.end();
    assert!(success, "{log}");
    assert!(log.matches("discovery: no answer in time").count() <= 1, "once a silence: {log}");
}
