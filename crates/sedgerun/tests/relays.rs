//! Relays as real processes, with faults between them: deaths, cuts, a whole zone at once, earlier versions.

mod harness;
mod old_head;

use harness::standin::Program;
use harness::{CALM, CUT, Harness, call, row, settle};
use old_head::{OldFollower, OldVoter};
use sedgerun_replication::follow::LegacyUpdateResponse;
use sedgerun_testbed::fault_proxy::{LinkFaults, StreamFault};
use serde_json::Value;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

/// Within this a change is in force at every head that can be reached.
const IN_FORCE: Duration = Duration::from_secs(7);
const VOTERS: usize = 3;

fn form(relay: bool, region: &str) -> String {
    let relay = if relay { " (relay \"yes\")" } else { "" };
    format!("{relay} (region \"{region}\")")
}

/// Three voters in region `r1`, then relays and heads, each in its region; the fleet has begun and all have heard of it.
fn begun(relays: &[&str], heads: &[&str]) -> Harness {
    let mut harness = laid(relays, heads);
    harness.begin();
    settle(&[harness.api(0)], "horvat", "first");
    for head in 0..harness.heads.len() {
        assert!(holds_within(&harness, head, "first", Duration::from_secs(30)), "{:#}", harness.status(0));
    }
    harness
}

fn laid(relays: &[&str], heads: &[&str]) -> Harness {
    let mut harness = Harness::laid(VOTERS, VOTERS + relays.len() + heads.len());
    let voters = (0..VOTERS).map(|_| form(false, "r1"));
    let relays = relays.iter().map(|region| form(true, region));
    let heads = heads.iter().map(|region| form(false, region));
    harness.forms = voters.chain(relays).chain(heads).collect();
    harness
}

/// Whether a head's own front works with an export by then.
fn holds_within(harness: &Harness, head: usize, name: &str, within: Duration) -> bool {
    let begun = Instant::now();
    loop {
        let said = call(harness.api(head), "GET /v1/tenants/horvat", "", "");
        let listed = said.and_then(|said| said.body["exports"].as_array().cloned()).unwrap_or_default();
        if listed.iter().any(|export| export["name"] == name) {
            return true;
        }
        if begun.elapsed() > within {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until all of these hold an export, and says how long that took.
fn in_force(harness: &Harness, heads: &[usize], name: &str) -> Duration {
    let begun = Instant::now();
    for head in heads {
        let left = (2 * IN_FORCE).saturating_sub(begun.elapsed());
        assert!(
            holds_within(harness, *head, name, left),
            "n{head} never holds {name}: {:#}",
            harness.own(*head)
        );
    }
    begun.elapsed()
}

fn upstream(harness: &Harness, head: usize) -> Option<usize> {
    harness.own(head)["upstream"].as_str()?.strip_prefix('n')?.parse().ok()
}

/// Waits until all of these follow one of those relays; which one, each.
fn attached(harness: &Harness, heads: Range<usize>, relays: &[usize]) -> Vec<usize> {
    heads
        .map(|head| {
            harness.until(&format!("n{head} follows a relay"), || {
                upstream(harness, head).filter(|upstream| relays.contains(upstream))
            })
        })
        .collect()
}

fn relay_rows(harness: &Harness) -> Vec<Value> {
    harness.status(0)["relays"].as_array().cloned().unwrap_or_default()
}

#[test]
fn a_relay_killed_in_the_middle_of_a_change_keeps_it_from_nobody() {
    let mut harness = begun(&["r1", "r1"], &["r1"; 6]);
    let (relays, heads) = ([3, 4], 5..11);
    let upstreams = attached(&harness, heads.clone(), &relays);
    let relay = upstreams[0];
    // The change reaches the relay, and its answers to its heads are held on their way.
    let held = LinkFaults { backward: StreamFault::Stall, ..CALM };
    heads.clone().for_each(|head| harness.links[head][relay].set_faults(held));
    let version = settle(&[harness.api(0)], "horvat", "mid-change").version;
    assert!(holds_within(&harness, relay, "mid-change", IN_FORCE));
    assert!(version.is_some());
    harness.kill(relay);
    heads.clone().for_each(|head| harness.links[head][relay].set_faults(CALM));
    let took = in_force(&harness, &heads.clone().collect::<Vec<_>>(), "mid-change");
    assert!(took <= IN_FORCE, "in force after {took:?}");
    let other = relays[usize::from(relay == relays[0])];
    attached(&harness, heads, &[other]);
    // The voters forget the dead one, and take it in again when it returns.
    harness.until("the lease expires", || (relay_rows(&harness).len() == 1).then_some(()));
    harness.up(relay);
    harness.until("the lease is granted again", || (relay_rows(&harness).len() == 2).then_some(()));
}

#[test]
fn a_region_cut_off_serves_what_it_held_says_its_age_and_catches_up() {
    let harness = begun(&["r1", "r2"], &["r1", "r1", "r2", "r2", "r2"]);
    let (relay, region) = (4, 7..10);
    attached(&harness, region.clone(), &[relay]);
    attached(&harness, 5..7, &[3]);
    let inside: Vec<usize> = [relay].into_iter().chain(region.clone()).collect();
    let set = |faults: LinkFaults| {
        for (from, to) in (0..10).flat_map(|from| (0..10).map(move |to| (from, to))) {
            if inside.contains(&from) != inside.contains(&to) {
                harness.links[from][to].set_faults(faults);
            }
        }
    };
    set(CUT);
    settle(&[harness.api(0)], "horvat", "meanwhile");
    assert!(in_force(&harness, &[5, 6], "meanwhile") <= IN_FORCE);
    for head in region.clone() {
        harness.until("it says that what it holds is old", || {
            harness.own(head)["age"].as_u64().filter(|age| *age > 8000)
        });
    }
    for head in region.clone() {
        assert!(holds_within(&harness, head, "first", Duration::ZERO), "n{head} serves no more");
        assert!(!holds_within(&harness, head, "meanwhile", Duration::ZERO));
        let own = harness.own(head);
        assert_eq!((&own["upstream"], &own["role"]), (&"n4".into(), &"follower".into()), "{own:#}");
    }
    set(CALM);
    let took = in_force(&harness, &region.clone().collect::<Vec<_>>(), "meanwhile");
    assert!(took <= IN_FORCE, "in force after {took:?}");
    for head in region {
        harness.until("it is up to date", || harness.own(head)["age"].as_u64().filter(|age| *age < 5000));
    }
}

#[test]
fn all_heads_of_a_zone_started_at_once_spread_over_the_relays() {
    let mut harness = laid(&["r1", "r1"], &["r1"; 12]);
    let heads = 5..17;
    (0..5).for_each(|head| harness.up(head));
    let begun = harness.ask(0, &["begin"]);
    assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
    settle(&[harness.api(0)], "horvat", "first");
    harness.until("both relays are registered", || (relay_rows(&harness).len() == 2).then_some(()));
    let files: Vec<_> = heads.clone().map(|head| harness.files(head)).collect();
    let started: Vec<Program> = thread::scope(|scope| {
        let start = |(config, operator): &(Value, String)| Program::start(config, Some(operator));
        let threads: Vec<_> = files.iter().map(|files| scope.spawn(move || start(files))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a head")).collect()
    });
    for (head, program) in heads.clone().zip(started) {
        let at = program.fleet.expect("a fleet's listener");
        harness.links.iter().for_each(|from| from[head].forward_to(at));
        harness.heads[head] = Some(program);
    }
    let took = in_force(&harness, &heads.clone().collect::<Vec<_>>(), "first");
    assert!(took <= IN_FORCE, "in force after {took:?}");
    let upstreams = attached(&harness, heads.clone(), &[3, 4]);
    assert!([3, 4].iter().all(|relay| upstreams.contains(relay)), "{upstreams:?}");
    // No voter has one of them as its own follower, and none of them has followers.
    harness.until("the voters serve the relays alone", || {
        let status = harness.status(0);
        let direct = (0..VOTERS).map(|voter| row(&status, voter)["direct_followers"].as_u64());
        (direct.collect::<Option<Vec<u64>>>()?.iter().sum::<u64>() <= 2).then_some(())
    });
    assert!(heads.clone().all(|head| harness.own(head)["direct_followers"] == 0));
    // All of them are counted, by the voters together.
    harness.until("all are counted", || {
        let status = harness.status(0);
        let all = (0..VOTERS).map(|voter| row(&status, voter)["all_followers"].as_u64().unwrap_or(0));
        (all.sum::<u64>() == 14).then_some(())
    });
}

#[test]
fn two_relays_with_one_name_are_never_both_in_the_directory() {
    let mut harness = begun(&["r1"], &["r1", "r1"]);
    attached(&harness, 4..6, &[3]);
    let store = |harness: &Harness| relay_rows(harness).first().map(|relay| relay["store"].clone());
    let first = store(&harness).expect("a relay");
    let (config, operator) = harness.files(3);
    let folder = harness.dirs[3].to_str().expect("a path").to_owned();
    let twin = Program::start(&config, Some(&operator.replace(&folder, &format!("{folder}-twin"))));
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(8) {
        assert_eq!((relay_rows(&harness).len(), store(&harness)), (1, Some(first.clone())));
        thread::sleep(Duration::from_millis(200));
    }
    settle(&[harness.api(0)], "horvat", "beside-a-twin");
    assert!(in_force(&harness, &[4, 5], "beside-a-twin") <= IN_FORCE);
    // Once the first is gone and its lease has expired, the name is free.
    harness.kill(3);
    let at = twin.fleet.expect("a fleet's listener");
    harness.links.iter().for_each(|from| from[3].forward_to(at));
    harness.until("the other has the name", || store(&harness).filter(|store| *store != first));
    settle(&[harness.api(0)], "horvat", "by-the-twin");
    assert!(in_force(&harness, &[4, 5], "by-the-twin") <= IN_FORCE);
    drop(twin);
}

#[test]
fn a_slow_relay_that_lives_is_left() {
    let harness = begun(&["r1", "r1"], &["r1"; 5]);
    let (relays, heads) = ([3, 4], 5..10);
    let upstreams = attached(&harness, heads.clone(), &relays);
    let slow = upstreams[0];
    let late = LinkFaults { backward: StreamFault::Delay(Duration::from_millis(1500)), ..CALM };
    heads.clone().for_each(|head| harness.links[head][slow].set_faults(late));
    let other = relays[usize::from(slow == relays[0])];
    let moved: Vec<usize> =
        heads.clone().zip(&upstreams).filter(|(_, at)| **at == slow).map(|(head, _)| head).collect();
    attached(&harness, moved[0]..moved[0] + 1, &[other]);
    settle(&[harness.api(0)], "horvat", "past-the-slow");
    let took = in_force(&harness, &heads.clone().collect::<Vec<_>>(), "past-the-slow");
    assert!(took <= IN_FORCE, "in force after {took:?}");
    attached(&harness, heads, &[other]);
    assert_eq!(relay_rows(&harness).len(), 2, "it is alive, and registered");
}

#[test]
fn heads_of_the_tree_move_to_a_relay_that_comes_later_and_back_when_it_goes() {
    let mut harness = laid(&["r1"], &["r1"; 3]);
    let heads = 4..7;
    (0..7).filter(|head| *head != 3).for_each(|head| harness.up(head));
    let begun = harness.ask(0, &["begin"]);
    assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
    settle(&[harness.api(0)], "horvat", "first");
    assert!(in_force(&harness, &[4, 5, 6], "first") <= 2 * IN_FORCE);
    assert!(heads.clone().all(|head| upstream(&harness, head).is_some_and(|at| at < VOTERS)));
    harness.up(3);
    attached(&harness, heads.clone(), &[3]);
    settle(&[harness.api(0)], "horvat", "by-the-relay");
    assert!(in_force(&harness, &[4, 5, 6], "by-the-relay") <= IN_FORCE);
    harness.lose(3);
    settle(&[harness.api(0)], "horvat", "without-the-relay");
    let took = in_force(&harness, &[4, 5, 6], "without-the-relay");
    assert!(took <= IN_FORCE, "in force after {took:?}");
}

#[test]
fn a_relay_is_no_spare_and_a_voter_no_relay() {
    let mut harness = begun(&["r1"], &["r1"]);
    assert!(harness.ask(0, &["lost-after", "1000"]).status.success());
    attached(&harness, 4..5, &[3]);
    let leader = harness.leader(&[0, 1, 2]);
    let gone = (leader + 1) % 3;
    harness.kill(gone);
    harness.until("the ordinary head votes", || harness.votes(4).then_some(()));
    assert!(!harness.votes(3));
    let (config, operator) = harness.files(0);
    let faults = [
        (operator.replace("(region", "(relay \"yes\") (region"), "fleet.relay: n0 is among fleet.keepers"),
        (operator.replace("(region", "(relay \"perhaps\") (region"), "fleet.relay is malformed: perhaps"),
    ];
    for (operator, fault) in faults {
        let child = Program::launch(&config.to_string(), Some(&operator));
        let ended = child.wait_with_output().expect("an end");
        let said = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success() && said.contains(fault), "{fault}: {said}");
        assert!(said.contains("line "), "no place is named: {said}");
    }
}

#[test]
fn a_head_of_an_earlier_version_follows_voters_and_relays() {
    let harness = begun(&["r1"], &["r1"]);
    for (version, at) in [(1, 0), (2, 3)] {
        harness.until("it holds the version", || (harness.own(at)["version"] == version).then_some(()));
        let to = harness.program(at).fleet.expect("a fleet's listener");
        let mut follower = OldFollower::connect(to, "rig", "known to the rig alone");
        let LegacyUpdateResponse::Chunk { chunk, path, age, voters, .. } = follower.poll(0) else {
            panic!("n{at} does not serve it")
        };
        assert_eq!((chunk.up_to, chunk.version, chunk.objects.len()), (version, version, 1));
        assert_eq!((path.last(), voters.by_store.len()), (Some(&format!("n{at}")), VOTERS));
        assert!(age < 5000);
        // It waits for a change, and gets it.
        let change = thread::scope(|scope| {
            let polled = scope.spawn(|| follower.poll(version));
            thread::sleep(Duration::from_millis(100));
            settle(&[harness.api(0)], "horvat", &format!("for-the-old-{at}"));
            polled.join().expect("an answer")
        });
        assert!(
            matches!(&change, LegacyUpdateResponse::Chunk { chunk, .. } if chunk.version == version + 1),
            "{change:?}"
        );
    }
}

#[test]
fn a_head_follows_a_voter_of_an_earlier_version() {
    let voter = OldVoter::start("rig", "known to the rig alone");
    let mut harness = Harness::laid(1, 2);
    harness.links.iter().for_each(|from| from[0].forward_to(voter.address));
    harness.up(1);
    let holds = |name: &str| holds_within(&harness, 1, name, IN_FORCE);
    assert!(holds("e1"), "{:#}", harness.own(1));
    voter.change();
    assert!(holds("e2"));
    // It has tried the new call once on this incarnation, and polls in the old way since.
    let (unknown, polls) = voter.counts();
    assert!(unknown == 1 && polls >= 2, "{unknown} unknown calls, {polls} polls");
}
