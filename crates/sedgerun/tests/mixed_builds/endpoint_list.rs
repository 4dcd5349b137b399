//! The endpoint list that the platform passes in `LB_CONFIG` under `known` is served from by both builds while discovery
//! does not respond.

use crate::builds::{Build, Direction};
use crate::harness::standin::{Discovery, Fault, Program, StandIn, config, get};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

in_both_directions!(a_cached_endpoint_list_is_served_from);

fn settings(discovery: SocketAddr, known: &Value) -> Value {
    let mut settings = config(discovery);
    settings["mgmt"] = "127.0.0.1:0".into();
    settings["known"] = known.clone();
    settings
}

/// How many entries a head of this build has in rotation, and which backend it sends a read to.
fn served_from(build: Build, settings: &Value, backends: &[StandIn; 3]) -> (String, [u32; 3]) {
    let before = backends.each_ref().map(|backend| backend.runs("GET"));
    let program = Program::start_executable(&build.executable(), settings, None, &[]);
    let (head, _) = program.ask(&get("1", 4000));
    assert!(head.starts_with("HTTP/1.1 200"), "{build:?}: {head}");
    let metrics = program.call("show-stat");
    let rotation: Vec<&str> = metrics
        .lines()
        .filter(|line| line.starts_with("app_registry_entries ") || line.starts_with("app_out_of_rotation "))
        .collect();
    let after = backends.each_ref().map(|backend| backend.runs("GET"));
    let runs = std::array::from_fn(|i| u32::try_from(after[i] - before[i]).expect("a count"));
    (rotation.join(", "), runs)
}

fn a_cached_endpoint_list_is_served_from(direction: Direction) {
    let backends = ["s-1", "s-2", "s-3"].map(|id| StandIn::start(id, 3, Duration::ZERO, Fault::None));
    let discovery = Discovery::start(vec![]);
    discovery.silence(true);
    let entries = [backends[0].entry("draining"), backends[1].entry("ready"), backends[2].entry("draining")];
    let known = json!({"generation": 7, "reset": true, "instances": entries});
    let settings = settings(discovery.address, &known);
    let before = served_from(direction.writer, &settings, &backends);
    let after = served_from(direction.reader, &settings, &backends);
    assert_eq!(before, after);
    assert_eq!(after.1, [0, 1, 0], "only the ready backend serves");
    assert!(after.0.contains("app_registry_entries 3"), "{}", after.0);
}
