//! Heads that keep state for each other, as real processes with faults between them.

mod harness;

use harness::{CALM, CUT, Harness, call, export, exports, put, row, settle};
use sedgerun_testbed::fault_proxy::{LinkFaults, StreamFault};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_leader_lost_with_its_disk_under_load_takes_nothing_along() {
    let mut harness = Harness::begun(3);
    let leader = harness.leader(&[0, 1, 2]);
    let before: Vec<Value> =
        (0..3).map(|head| harness.status(leader)["heads"][head]["store"].clone()).collect();
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    let (settled, over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    thread::scope(|scope| {
        for client in 0..4 {
            let (apis, settled, over) = (&apis, &settled, &over);
            scope.spawn(move || {
                for i in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let name = format!("c{client}-{i}");
                    let from = (client + i) % 3;
                    let turn = [apis[from], apis[(from + 1) % 3], apis[(from + 2) % 3]];
                    settle(&turn, &format!("t{client}"), &name);
                    settled.lock().expect("settled").push((client, name));
                }
            });
        }
        let count = || settled.lock().expect("settled").len();
        while count() < 60 {
            thread::sleep(Duration::from_millis(5));
        }
        harness.lose(leader);
        let then = count();
        while count() < then + 60 {
            thread::sleep(Duration::from_millis(5));
        }
        over.store(true, Ordering::SeqCst);
    });
    let settled = settled.into_inner().expect("settled");
    for head in (0..3).filter(|head| *head != leader) {
        for client in 0..4 {
            let held = exports(apis[head], &format!("t{client}"));
            for (_, name) in settled.iter().filter(|(by, _)| *by == client) {
                assert!(held.contains(name), "{name} was settled, and head {head} does not hold it");
            }
        }
    }
    // The machine comes back with an empty disk under its old name: another store, which takes the place of the
    // one that is gone, by itself, and only once it holds all that the others do.
    harness.up(leader);
    harness.wait_for_voters(&[0, 1, 2]);
    let other = (leader + 1) % 3;
    let status = harness.status(other);
    assert_ne!(status["heads"][leader]["store"], before[leader], "{status}");
    harness.kill(other);
    for client in 0..4 {
        let held = exports(harness.api(leader), &format!("t{client}"));
        for (_, name) in settled.iter().filter(|(by, _)| *by == client) {
            assert!(held.contains(name), "{name} was settled, and the new keeper does not hold it");
        }
    }
}

#[test]
fn an_old_leader_that_was_cut_off_stood_still_or_heard_nothing_promises_nothing() {
    let harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    settle(&apis, "horvat", "press");
    let lost = LinkFaults { backward: StreamFault::Lose, ..CALM };
    let kinds = [
        ("cut", CUT, CUT),
        ("deaf", lost, LinkFaults { forward: StreamFault::Lose, ..CALM }),
        ("still", CALM, CALM),
    ];
    for (kind, from, to) in kinds {
        let leader = harness.leader(&[0, 1, 2]);
        let others: Vec<usize> = (0..3).filter(|head| *head != leader).collect();
        harness.set_faults(leader, from, to);
        if kind == "still" {
            harness.program(leader).stand_still(true);
        } else {
            let begun = Instant::now();
            let said = put(apis[leader], "horvat", &format!("{kind}-alone"), &format!("{kind}-alone"))
                .expect("an answer");
            assert_eq!(said.status, 503, "{kind}: {said:?}");
            assert!(
                begun.elapsed() < Duration::from_millis(1500),
                "{kind}: refused after {:?}",
                begun.elapsed()
            );
        }
        let reached: Vec<SocketAddr> = others.iter().map(|head| apis[*head]).collect();
        settle(&reached, "horvat", kind);
        if kind == "still" {
            harness.program(leader).stand_still(false);
        }
        // What the old leader says after its return, it says at a version that holds the change.
        harness.set_faults(leader, CALM, CALM);
        assert!(exports(apis[leader], "horvat").contains(&kind.to_owned()), "{kind}");
        harness.leader(&[0, 1, 2]);
    }
}

/// A measurement, by command: `cargo test -p sedgerun --test fleet -- --ignored --nocapture leaderless`.
#[test]
#[ignore = "a measurement of some minutes"]
fn leaderless_after_a_kill_and_after_standing_still() {
    let mut harness = Harness::begun(3);
    for still in [false, true] {
        let mut times = Vec::new();
        for strike in 0..100 {
            let leader = harness.leader(&[0, 1, 2]);
            settle(&[harness.api(leader)], "horvat", &format!("before{strike}"));
            (0..3).for_each(|head| harness.synced(head));
            let left = (0..3).filter(|head| *head != leader).map(|head| harness.api(head));
            let left: Vec<SocketAddr> = left.collect();
            let begun = Instant::now();
            if still {
                harness.program(leader).stand_still(true);
            } else {
                harness.kill(leader);
            }
            settle(&left, "horvat", &format!("after{strike}"));
            times.push(begun.elapsed().as_millis());
            if still { harness.program(leader).stand_still(false) } else { harness.up(leader) }
        }
        times.sort_unstable();
        let what = if still { "stood still" } else { "killed" };
        let (median, p99, most) = (times[50], times[98], times[99]);
        println!(
            "leader {what} to the next settled change, 100 strikes: median {median} ms, p99 {p99} ms, most {most} ms"
        );
    }
}

#[test]
fn an_older_copy_of_a_disk_makes_no_majority() {
    let mut harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    let leader = harness.leader(&[0, 1, 2]);
    let (old, other) = ((leader + 1) % 3, (leader + 2) % 3);
    settle(&apis, "horvat", "before");
    harness.kill(old);
    let copy = harness.dirs[old].with_extension("copy");
    let copied = |from: &std::path::Path, to: &std::path::Path| {
        std::fs::create_dir_all(to).expect("a folder");
        std::fs::copy(from.join("fleet.redb"), to.join("fleet.redb")).expect("a copy");
    };
    copied(&harness.dirs[old], &copy);
    harness.up(old);
    assert_eq!(harness.leader(&[0, 1, 2]), leader);
    // Settled at the leader and the one whose disk will be put back, and not known to the third.
    harness.set_faults(other, CUT, CUT);
    for i in 0..5 {
        settle(&[apis[leader]], "horvat", &format!("after{i}"));
    }
    harness.lose(old);
    copied(&copy, &harness.dirs[old]);
    harness.up(old);
    let begun = Instant::now();
    while !harness.status(leader)["heads"][old]["trouble"]
        .as_str()
        .is_some_and(|said| said.contains("older copy"))
    {
        assert!(begun.elapsed() < Duration::from_secs(10), "{}", harness.status(leader));
    }
    // The third and the old copy are two of three: were the copy counted, they would go on without the changes.
    harness.set_faults(other, CALM, CALM);
    harness.set_faults(leader, CUT, CUT);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        let said = put(apis[other], "horvat", "wrong", "wrong").expect("an answer");
        assert_eq!(said.status, 503, "{said:?}");
    }
    harness.set_faults(leader, CALM, CALM);
    let held = exports(apis[other], "horvat");
    for i in 0..5 {
        assert!(held.contains(&format!("after{i}")), "{held:?}");
    }
}

/// Found by the model: a leader counts itself, and nobody remembered what for.
#[test]
fn an_older_copy_of_the_leaders_own_disk_makes_no_majority() {
    let mut harness = Harness::begun(3);
    let leader = harness.leader(&[0, 1, 2]);
    let (with, without) = ((leader + 1) % 3, (leader + 2) % 3);
    settle(&[harness.api(leader)], "horvat", "before");
    (0..3).for_each(|head| harness.synced(head));
    // Copied while it leads, as careless backups are.
    let (file, copy) = (harness.dirs[leader].join("fleet.redb"), harness.dirs[leader].with_extension("copy"));
    std::fs::copy(&file, &copy).expect("a copy");
    harness.set_faults(without, CUT, CUT);
    for i in 0..5 {
        settle(&[harness.api(leader)], "horvat", &format!("after{i}"));
    }
    // The one that acknowledged them hears of the leader's last position with the next heartbeat.
    thread::sleep(Duration::from_millis(400));
    harness.kill(leader);
    std::fs::copy(&copy, &file).expect("the copy");
    harness.up(leader);
    harness.until("the older copy is found out", || {
        let trouble = row(&harness.status(with), leader)["trouble"].clone();
        trouble.as_str().is_some_and(|said| said.contains("older copy")).then_some(())
    });
    harness.set_faults(without, CALM, CALM);
    harness.set_faults(with, CUT, CUT);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        let said = put(harness.api(without), "horvat", "wrong", "wrong").expect("an answer");
        assert_eq!(said.status, 503, "{said:?}");
    }
    harness.set_faults(with, CALM, CALM);
    let held = exports(harness.api(without), "horvat");
    assert!((0..5).all(|i| held.contains(&format!("after{i}"))), "{held:?}");
}

#[test]
fn a_keeper_that_was_cut_off_does_not_end_the_leaders_term_when_it_returns() {
    let harness = Harness::begun(3);
    let leader = harness.leader(&[0, 1, 2]);
    let term = row(&harness.status(leader), leader)["term"].clone();
    for kind in ["cut", "still"] {
        let away = (leader + 1) % 3;
        if kind == "cut" {
            harness.set_faults(away, CUT, CUT);
        } else {
            harness.program(away).stand_still(true);
        }
        thread::sleep(Duration::from_secs(3));
        settle(&[harness.api(leader)], "horvat", kind);
        if kind == "cut" {
            harness.set_faults(away, CALM, CALM);
        } else {
            harness.program(away).stand_still(false);
        }
        assert!(exports(harness.api(away), "horvat").contains(&kind.to_owned()));
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(row(&harness.status(leader), leader)["role"], "leader", "{kind}");
        assert_eq!(row(&harness.status(leader), leader)["term"], term, "{kind}");
    }
}

#[test]
fn a_leader_with_a_slow_disk_sends_only_what_it_has_synced() {
    let mut harness = Harness::laid(3, 3);
    harness.variables[0] = vec![("FAILPOINTS".to_owned(), "a slow disk=sleep(250)".to_owned())];
    harness.begin();
    // The one that begins the fleet leads first.
    assert_eq!(harness.leader(&[0, 1, 2]), 0);
    let before = row(&harness.status(1), 1)["last"].as_u64();
    let api = harness.api(0);
    let begun = Instant::now();
    let client = thread::spawn(move || put(api, "horvat", "press", "press"));
    harness.until("the entry is at a follower", || {
        (row(&harness.status(1), 1)["last"].as_u64() > before).then_some(())
    });
    assert!(begun.elapsed() >= Duration::from_millis(250), "it was sent after {:?}", begun.elapsed());
    client.join().expect("a client");
}

#[test]
fn voters_with_slow_disks_elect_another_leader() {
    let mut harness = Harness::laid(3, 3);
    // A vote takes two syncs, its own and that of whoever gives it: longer than the 150 to 300 ms to a retry.
    for variables in &mut harness.variables {
        *variables = vec![("FAILPOINTS".to_owned(), "a slow disk=sleep(200)".to_owned())];
    }
    harness.begin();
    let leader = harness.leader(&[0, 1, 2]);
    harness.kill(leader);
    let left: Vec<usize> = (0..3).filter(|head| *head != leader).collect();
    let next = harness.leader(&left);
    settle(&[harness.api(next)], "horvat", "press");
}

#[test]
fn a_leader_started_again_stands_for_election_anew() {
    let mut harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    settle(&apis, "horvat", "before");
    let leader = harness.leader(&[0, 1, 2]);
    let term = harness.status(leader)["heads"][leader]["term"].as_u64();
    harness.kill(leader);
    harness.up(leader);
    let again = harness.leader(&[0, 1, 2]);
    assert!(harness.status(again)["heads"][again]["term"].as_u64() > term, "it goes on in term {term:?}");
    assert_eq!(exports(harness.api(again), "horvat"), ["before"]);
}

#[test]
fn without_a_majority_reads_go_on_and_changes_are_refused_within_a_second() {
    let mut harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    let version = settle(&apis, "horvat", "press").version.expect("a version");
    // Read at any head what was written at another.
    for at in &apis {
        let said = call(*at, "GET /v1/tenants/horvat", &format!("Fleet-At-Least: {version}\r\n"), "");
        let said = said.expect("an answer");
        assert_eq!((said.status, &said.body["exports"][0]["name"]), (200, &"press".into()));
    }
    harness.kill(1);
    harness.kill(2);
    let begun = Instant::now();
    let said = put(apis[0], "horvat", "proofs", "proofs").expect("an answer");
    assert_eq!(said.status, 503, "{said:?}");
    assert!(begun.elapsed() < Duration::from_millis(1300), "{:?}", begun.elapsed());
    // Started again without a majority, it serves from its disk and says at which version.
    harness.kill(0);
    harness.up(0);
    let said = call(harness.api(0), "GET /v1/tenants/horvat", "", "").expect("an answer");
    assert_eq!((said.status, said.version), (200, Some(version)), "{said:?}");
    assert_eq!(
        call(harness.api(0), "GET /v1/tenants/horvat", "Fleet-Read: latest\r\n", "")
            .expect("an answer")
            .status,
        503
    );
    // With one more there is a majority; what was refused did not happen, or happens once.
    harness.up(1);
    let apis = [harness.api(0), harness.api(1)];
    settle(&apis, "horvat", "proofs");
    assert_eq!(exports(apis[1], "horvat"), ["press", "proofs"]);
}

#[test]
fn a_change_repeated_at_another_head_happens_once() {
    let harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    let first = put(apis[0], "horvat", "press", "k1").expect("an answer");
    assert_eq!(first.status, 201, "{first:?}");
    assert_eq!(call(apis[1], "DELETE /v1/tenants/horvat", "", "").expect("an answer").status, 204);
    let again = put(apis[2], "horvat", "press", "k1").expect("an answer");
    assert_eq!((again.status, again.version), (201, first.version), "{again:?}");
    assert_eq!(
        call(apis[2], "GET /v1/tenants/horvat", "Fleet-Read: latest\r\n", "").expect("an answer").status,
        404
    );
    let other = call(apis[2], "PUT /v1/tenants/novak/exports/maps", "Idempotency-Key: k1\r\n", &export("b2"));
    assert_eq!(other.expect("an answer").status, 422);
    // Compare-and-set by the tenant's version.
    let made = call(apis[0], "PUT /v1/tenants/novak", "If-None-Match: *\r\n", r#"{"exports":[]}"#)
        .expect("an answer");
    let version = made.version.expect("a version");
    let stale = format!("If-Match: \"{}\"\r\n", version + 1);
    assert_eq!(call(apis[1], "DELETE /v1/tenants/novak", &stale, "").expect("an answer").status, 412);
    let right = format!("If-Match: \"{version}\"\r\n");
    assert_eq!(call(apis[1], "DELETE /v1/tenants/novak", &right, "").expect("an answer").status, 204);
    assert_eq!(call(apis[1], "DELETE /v1/tenants/novak", "", "").expect("an answer").status, 404);
}

#[test]
fn garbled_frames_end_connections_and_change_nothing() {
    let harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    let leader = harness.leader(&[0, 1, 2]);
    let other = (leader + 1) % 3;
    harness.links[leader][other].set_faults(LinkFaults { forward: StreamFault::Corrupt, ..CALM });
    for i in 0..20 {
        settle(&apis, "horvat", &format!("e{i}"));
    }
    let begun = Instant::now();
    while harness.links[leader][other].affected() < 5 {
        assert!(begun.elapsed() < Duration::from_secs(10), "nothing was garbled");
        thread::sleep(Duration::from_millis(20));
    }
    harness.links[leader][other].set_faults(CALM);
    assert_eq!(exports(apis[other], "horvat").len(), 20);
    let status = harness.status(leader);
    assert!(status["heads"][other]["refused"].as_u64() > Some(0), "{status}");
}

#[test]
fn a_corrupt_store_ends_the_start_with_status_2_and_its_place() {
    let mut harness = Harness::begun(3);
    let apis: Vec<SocketAddr> = (0..3).map(|head| harness.api(head)).collect();
    settle(&apis, "a-name-to-be-found", "press");
    harness.synced(1);
    harness.kill(1);
    let file = harness.dirs[1].join("fleet.redb");
    let mut bytes = std::fs::read(&file).expect("a store");
    let name = b"a-name-to-be-found";
    let at: Vec<usize> = (0..bytes.len() - name.len()).filter(|at| bytes[*at..].starts_with(name)).collect();
    assert!(!at.is_empty());
    at.iter().for_each(|at| bytes[*at] ^= 1);
    std::fs::write(&file, &bytes).expect("a store");
    let (config, operator) = harness.files(1);
    let mut child = harness::standin::Program::launch(&config.to_string(), Some(&operator));
    let begun = Instant::now();
    while child.try_wait().expect("a state").is_none() && begun.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(20));
    }
    let _ = child.kill();
    let ended = child.wait_with_output().expect("an end");
    let said = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(2), "{said}");
    assert!(said.contains("fleet.redb"), "{said}");
    // The others go on, and a missing store is a new one.
    harness.lose(1);
    harness.up(1);
    settle(&[apis[0], apis[2]], "horvat", "proofs");
}

#[test]
fn without_the_form_there_is_nothing_of_it_and_a_faulty_one_is_said() {
    let harness = Harness::start(1);
    let (config, operator) = harness.files(0);
    let plain = operator.split("(fleet").next().expect("forms");
    let program = harness::standin::Program::start(&config, Some(plain));
    assert_eq!(program.fleet, None);
    assert!(!program.threads().iter().any(|name| name.starts_with("fleet")), "{:?}", program.threads());
    assert!(harness.program(0).threads().iter().any(|name| name.starts_with("fleet")));
    let even = operator.replace("(keepers", "(keepers \"n9=127.0.0.1:1\"");
    let faults = [
        (operator.replace("known to the rig alone", "short"), "fleet.secret is shorter than 16"),
        (even, "fleet.keepers names 2: an odd number keeps"),
        (operator.replace("(dir ", "(drawer "), "fleet.drawer is unknown"),
        (operator.replace("n0=", "n0"), "fleet.keepers is malformed"),
    ];
    for (operator, fault) in faults {
        let child = harness::standin::Program::launch(&config.to_string(), Some(&operator));
        let ended = child.wait_with_output().expect("an end");
        let said = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success() && said.contains(fault), "{fault}: {said}");
    }
}
