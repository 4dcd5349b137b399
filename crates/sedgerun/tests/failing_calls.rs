//! System calls that fail for a while, in the ways that Linux documents: every request has its answer, no process ends,
//! and all is served again afterwards.

mod peers;
mod shim;
mod standin;

use peers::{SteadyClients, assert_within_memory};
use serde_json::json;
use shim::{Call, Shim, errno};
use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
/// Time for which calls fail.
const FAULT_TIME: Duration = Duration::from_millis(1200);

struct Head {
    program: Program,
    shim: Shim,
    _discovery: Discovery,
    _backends: Vec<StandIn>,
}

fn start(seed: u64) -> Head {
    let backends: Vec<StandIn> =
        (0..3).map(|i| StandIn::start(&format!("s-{i}"), 3, Duration::ZERO, Fault::None)).collect();
    let entries: Vec<_> = backends.iter().map(|backend| backend.entry("ready")).collect();
    let discovery = Discovery::start(entries.clone());
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256});
    config["known"] = json!({"generation": 1, "reset": true, "instances": entries});
    // Connections to backends are made anew for most attempts.
    config["settings"]["limits"]["connIdle"] = json!(30_000);
    let shim = Shim::new(seed);
    let environment = shim.environment();
    let environment: Vec<(&str, &str)> =
        environment.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let program = Program::start_with(&config, None, &environment);
    Head { program, shim, _discovery: discovery, _backends: backends }
}

/// Faults beside steady clients: none of these may be left without an answer.
fn every_request_is_answered_with(what: &str, seed: u64, faults: &[(Call, i64, i64)]) {
    let head = start(seed);
    let steady = SteadyClients::start_fresh(head.program.http, 6);
    thread::sleep(Duration::from_millis(300));
    for (call, value, of_thousand) in faults {
        head.shim.fail(*call, *value, *of_thousand);
    }
    thread::sleep(FAULT_TIME);
    let injected = head.shim.faults();
    head.shim.heal();
    thread::sleep(Duration::from_millis(1200));
    let counts = steady.end();
    let (served, lost) = (counts.served.load(Ordering::SeqCst), counts.lost.load(Ordering::SeqCst));
    assert!(injected > 0, "{what}: no fault was injected");
    assert_eq!(lost, 0, "{what}: without an answer, {served} served, {injected} faults");
    let (head_line, _) = head.program.ask(&get("b1", 1000));
    assert!(head_line.starts_with("HTTP/1.1 200"), "{what}: not served afterwards: {head_line}");
    assert_within_memory(&head.program, MEMORY_MB, what);
}

#[test]
fn every_request_is_answered_while_accepts_fail() {
    for (seed, error) in
        [(1, errno::ECONNABORTED), (2, errno::ENFILE), (3, errno::ENOBUFS), (4, errno::EMFILE)]
    {
        every_request_is_answered_with(&format!("accept: {error}"), seed, &[(Call::Accept, error, 700)]);
    }
}

#[test]
fn every_request_is_answered_while_connections_cannot_be_made() {
    for (seed, error) in [
        (5, errno::EADDRNOTAVAIL),
        (6, errno::ENETUNREACH),
        (7, errno::ENOBUFS),
        (8, errno::EHOSTUNREACH),
        (9, errno::ETIMEDOUT),
    ] {
        let faults = [(Call::Connect, error, 800), (Call::Socket, errno::ENFILE, 300)];
        every_request_is_answered_with(&format!("connect: {error}"), seed, &faults);
    }
}

#[test]
fn every_request_is_answered_while_waits_are_interrupted_and_transfers_are_short() {
    let faults = [(Call::Wait, 0, 500), (Call::ShortRead, 7, 500), (Call::ShortWrite, 5, 500)];
    every_request_is_answered_with("interrupted and short", 10, &faults);
}

/// Guards against a ban that was answered YES and is gone with the process, as its folder could not be written just
/// then.
#[test]
fn a_ban_that_could_not_be_written_at_once_is_handed_over_later() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let mut config = config(discovery.address);
    config["mgmt"] = json!("127.0.0.1:0");
    config["known"] = json!({"generation": 1, "reset": true, "instances": [backend.entry("ready")]});
    let folder = std::env::temp_dir().join(format!("sedgerun-bans-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let shim = Shim::new(11);
    let [preload, control] = shim.environment();
    let folder_text = folder.to_str().expect("a path");
    let environment =
        [(preload.0, preload.1.as_str()), (control.0, control.1.as_str()), ("TMPDIR", folder_text)];
    let program = Program::start_with(&config, None, &environment);
    shim.fail(Call::FileWrite, errno::ENOSPC, 1000);
    assert!(program.call("disable-server s-1").starts_with("YES"));
    thread::sleep(Duration::from_millis(300));
    let faults = shim.faults();
    shim.heal();
    thread::sleep(Duration::from_millis(400));
    let handed_over = std::fs::read_to_string(folder.join("sedgerun-bans")).unwrap_or_default();
    assert!(faults > 0, "no fault was injected");
    assert_eq!(handed_over, "sedgerun bans 1\ns-1\nend 1\n");
    drop(program);
    let _ = std::fs::remove_dir_all(folder);
}
