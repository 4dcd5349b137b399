//! Sockets as a whole: real heads over HTTP and 9P, a cold box and a head that is killed; no rule breaks, and
//! service is the simulator's.

use sedgerun_testbed::experiment::simulate;
use sedgerun_testbed::scenario::Scenario;
use sedgerun_testbed::sockets::play;
use std::path::Path;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_sedgerun-testbed"))
}

#[test]
fn a_short_incident_on_sockets_keeps_the_rules_over_both_fronts() {
    let scenario = Scenario::read(
        "(scenario short (seconds 5) (heads 2) (boxes 4) (load 0.6) (clients (ninep 0.3))
           (box (restart-s 0.3)) (registry (lag-s 0.1 0.3))
           (at 1 (cold (boxes 1))) (between 1.5 2.5 (drain (boxes 2))) (at 2 (kill (heads 0) (for-s 0.3)))
           (between 2.5 3 (silent (boxes 3))) (at 2 (replace (boxes 0) (after-s 0.2))))",
    );
    let scenario = scenario.unwrap_or_else(|faults| panic!("{faults}"));
    let result = play(&scenario, 1, program(), &|_| ()).expect("a result");
    assert_eq!(result["broken"], 0, "{}", result["told"]);
    let due = simulate(&scenario, 1, None).expect("a result")["requests"].as_u64();
    assert_eq!(result["requests"].as_u64(), due, "every request of the morning came to an end");
    let last = |slot: usize| {
        result["boxes"][slot]
            .as_array()
            .expect("a list")
            .iter()
            .skip(4)
            .filter_map(serde_json::value::Value::as_u64)
    };
    assert!((0..4).all(|slot| last(slot).sum::<u64>() > 0), "all are back at work: {}", result["boxes"]);
    // What drains is heard: the box that does for a second gets next to nothing while it does.
    let drained = result["boxes"][2][2].as_u64().expect("a count");
    assert!(drained < 40, "{drained} attempts in the second behind the drain: {}", result["boxes"][2]);
    let served = result["fates"]["in time"].as_u64().expect("a count");
    assert!(served > due.expect("a count") / 3, "{}", result["fates"]);
}
