//! Disks of a fleet that fail for a while or keep half of a write: what was promised stays, and changes go on without a
//! new start.

mod harness;
mod shim;

use harness::{Harness, exports, put, settle};
use shim::{Call, Shim, errno};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const HEADS: usize = 3;
/// Time for which disks fail: longer than an election, shorter than a voter stops by itself.
const FAULT_TIME: Duration = Duration::from_secs(3);

/// A fleet whose heads each have a shim for their system calls.
fn begin(seed: u64) -> (Harness, Vec<Shim>) {
    let mut harness = Harness::laid(HEADS, HEADS);
    let shims: Vec<Shim> = (0..HEADS).map(|head| Shim::new(seed * 10 + head as u64)).collect();
    for (variables, shim) in harness.variables.iter_mut().zip(&shims) {
        variables.extend(shim.environment().map(|(name, value)| (name.to_owned(), value)));
    }
    harness.begin();
    (harness, shims)
}

fn apis(harness: &Harness) -> Vec<SocketAddr> {
    (0..HEADS).map(|head| harness.api(head)).collect()
}

/// Changes at a head until a time is over; the names of those that were promised.
fn change_until(at: SocketAddr, prefix: &str, time: Duration) -> Vec<String> {
    let (begun, mut promised) = (Instant::now(), Vec::new());
    for number in 0.. {
        if begun.elapsed() > time {
            break;
        }
        let name = format!("{prefix}{number}");
        if put(at, "horvat", &name, &name).is_some_and(|said| said.status < 300) {
            promised.push(name);
        }
        thread::sleep(Duration::from_millis(20));
    }
    promised
}

fn assert_kept(harness: &Harness, promised: &[String], what: &str) {
    let kept = exports(harness.api(0), "horvat");
    let lost: Vec<&String> = promised.iter().filter(|name| !kept.contains(name)).collect();
    assert!(lost.is_empty(), "{what}: promised and lost: {lost:?} of {}", promised.len());
}

/// Guards against voters that stop for good at the first write that fails.
#[test]
fn a_fleet_goes_on_behind_disks_that_fail_for_a_while() {
    for (seed, call, error) in [(1, Call::FileWrite, errno::ENOSPC), (2, Call::FileSync, errno::EIO)] {
        let what = format!("{call:?}, error {error}");
        let (harness, shims) = begin(seed);
        settle(&apis(&harness), "horvat", "before");
        shims.iter().for_each(|shim| shim.fail(call, error, 1000));
        let mut promised = change_until(harness.api(0), "during", FAULT_TIME);
        promised.push("before".to_owned());
        let injected: i64 = shims.iter().map(Shim::faults).sum();
        shims.iter().for_each(Shim::heal);
        assert!(injected > 0, "{what}: no fault was injected");
        let healed = Instant::now();
        settle(&apis(&harness), "horvat", "after");
        assert!(healed.elapsed() < Duration::from_secs(12), "{what}: {:?}", healed.elapsed());
        promised.push("after".to_owned());
        assert_kept(&harness, &promised, &what);
        for head in 0..HEADS {
            let row = harness.own(head);
            assert_ne!(row["role"], "stopped", "{what}: {row}");
        }
    }
}

/// Guards against a store that cannot be opened, or has lost what was promised, behind a kill within a write.
#[test]
fn a_kill_within_a_write_loses_nothing_promised() {
    let (mut harness, shims) = begin(3);
    let mut promised = Vec::new();
    for round in 0..4 {
        let victim = round % HEADS;
        shims[victim].fail(Call::HalfWrite, 0, 60);
        let asked = (victim + 1) % HEADS;
        promised.extend(change_until(harness.api(asked), &format!("r{round}-"), Duration::from_millis(1500)));
        assert!(shims[victim].faults() > 0, "round {round}: the process was not killed");
        shims[victim].heal();
        harness.kill(victim);
        harness.up(victim);
        let name = format!("up{round}");
        settle(&[harness.api(victim)], "horvat", &name);
        promised.push(name);
        assert_kept(&harness, &promised, &format!("round {round}"));
    }
}
