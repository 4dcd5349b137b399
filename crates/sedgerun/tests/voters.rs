//! Who keeps and who follows, as real processes with faults between them.

mod harness;

use harness::{CALM, CUT, Harness, call, exports, put, settle};
use sedgerun_testbed::fault_proxy::{LinkFaults, StreamFault};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Three voters and others that follow, each of which has heard the first change.
fn begun(heads: usize) -> Harness {
    let mut harness = Harness::laid(3, heads);
    harness.begin();
    settle(&[harness.api(0)], "horvat", "first");
    (0..heads).for_each(|head| reached(&harness, head, "first"));
    harness
}

fn lost_after(harness: &Harness, head: usize, milliseconds: &str) {
    let said = harness.ask(head, &["lost-after", milliseconds]);
    assert!(said.status.success(), "{}", String::from_utf8_lossy(&said.stderr));
}

/// Waits until a head's own front works with an export.
fn reached(harness: &Harness, head: usize, name: &str) {
    harness.until(&format!("n{head} works with {name}"), || {
        let said = call(harness.api(head), "GET /v1/tenants/horvat", "", "")?;
        let listed = said.body["exports"].as_array()?.clone();
        listed.iter().any(|export| export["name"] == name).then_some(())
    });
}

#[test]
fn machines_lost_one_after_the_other_are_replaced_and_nothing_is_lost() {
    let mut harness = begun(5);
    lost_after(&harness, 0, "1000");
    let mut settled = vec!["first".to_owned()];
    let mut left: Vec<usize> = (0..5).collect();
    // Two of the three first voters, the leader first each time, each with its folder.
    for round in 0..2 {
        let voters: Vec<usize> = left.iter().copied().filter(|head| harness.votes(*head)).collect();
        let leader = harness.leader(&voters);
        let name = format!("before{round}");
        settle(&[harness.api(leader)], "horvat", &name);
        settled.push(name);
        harness.lose(leader);
        left.retain(|head| *head != leader);
        // Until the change is settled a majority of the voters before it is needed too, and one of those is lost: a
        // second loss in the middle of it would leave none.
        let names: Vec<String> = left.iter().map(|head| format!("n{head}")).collect();
        harness.until("three others vote, and nobody else", || {
            let voters = harness.voters();
            (voters.len() == 3 && voters.iter().all(|name| names.contains(name))).then_some(())
        });
    }
    assert_eq!(left.len(), 3);
    // With the third loss only one of the machines that began is left at the most: what was promised lies on the
    // two that were brought up to date since.
    harness.lose(left[0]);
    for head in &left[1..] {
        let held = exports(harness.api(*head), "horvat");
        assert!(settled.iter().all(|name| held.contains(name)), "n{head} holds {held:?}, not {settled:?}");
    }
}

#[test]
fn a_voter_that_was_replaced_comes_back_with_its_disk_and_follows() {
    let mut harness = begun(4);
    lost_after(&harness, 0, "1000");
    let leader = harness.leader(&[0, 1, 2]);
    let gone = (leader + 1) % 3;
    harness.kill(gone);
    let left: Vec<usize> = (0..4).filter(|head| *head != gone).collect();
    harness.until("the follower keeps", || harness.votes(3).then_some(()));
    settle(&[harness.api(leader)], "horvat", "meanwhile");
    let term = harness.own(leader)["term"].as_u64();
    harness.up(gone);
    harness.until("the old keeper follows", || (harness.own(gone)["role"] == "follower").then_some(()));
    reached(&harness, gone, "meanwhile");
    // It has not disturbed the others, and is of use again.
    assert_eq!(harness.own(leader)["term"].as_u64(), term);
    settle(&[harness.api(gone)], "horvat", "passed-on");
    // And it may keep again.
    harness.kill(3);
    harness.until("it keeps again", || harness.votes(gone).then_some(()));
    for head in left.iter().filter(|head| **head != 3).chain([&gone]) {
        assert_eq!(exports(harness.api(*head), "horvat"), ["first", "meanwhile", "passed-on"]);
    }
}

#[test]
fn followers_pass_changes_on_read_their_own_and_serve_alone_from_their_disk() {
    let mut harness = begun(5);
    let version = settle(&[harness.api(4)], "horvat", "by-a-follower").version.expect("a version");
    let said = call(harness.api(3), "GET /v1/tenants/horvat", &format!("Fleet-At-Least: {version}\r\n"), "");
    let said = said.expect("an answer");
    assert_eq!((said.status, said.body["exports"].as_array().map(Vec::len)), (200, Some(2)), "{said:?}");
    assert_eq!(exports(harness.api(3), "horvat"), ["by-a-follower", "first"]);
    // Its upstream, whichever it is, is cut off from all: it hears from another.
    let path = harness.own(3)["lineage"].clone();
    let upstream: usize =
        path[0].as_str().and_then(|name| name.strip_prefix('n')?.parse().ok()).expect("a teller");
    harness.set_faults(upstream, CUT, CUT);
    let others: Vec<SocketAddr> =
        (0..3).filter(|head| *head != upstream).map(|head| harness.api(head)).collect();
    settle(&others, "horvat", "while-cut");
    reached(&harness, 3, "while-cut");
    harness.set_faults(upstream, CALM, CALM);
    // All voters are gone: it serves on, also after its own start, and promises nothing.
    thread::sleep(Duration::from_millis(1500));
    (0..3).for_each(|head| harness.kill(head));
    harness.kill(4);
    harness.kill(3);
    harness.up(3);
    let said = call(harness.api(3), "GET /v1/tenants/horvat", "", "").expect("an answer");
    assert_eq!((said.status, said.body["exports"].as_array().map(Vec::len)), (200, Some(3)), "{said:?}");
    let refused = put(harness.api(3), "horvat", "alone", "alone").expect("an answer");
    assert_eq!(refused.status, 503, "{refused:?}");
}

#[test]
fn bans_for_all_reach_every_head_and_stay() {
    let mut harness = begun(4);
    let banned = |harness: &Harness, head: usize| {
        let said = call(harness.api(head), "GET /v1/bans", "", "").expect("an answer");
        said.body["bans"]
            .as_array()
            .cloned()
            .unwrap_or_default()
            .iter()
            .map(|ban| ban["brick"].clone())
            .collect()
    };
    assert_eq!(
        harness.mgmt(3, "fleet-disable-server s-7").split(',').next(),
        Some("YES s-7 disabled at all heads")
    );
    for head in 0..4 {
        harness.until("the ban is there", || {
            let bans: Vec<serde_json::Value> = banned(&harness, head);
            (bans == ["s-7"]).then_some(())
        });
        assert!(harness.mgmt(head, "show-stat").contains("app_fleet_version 2\n"));
    }
    assert_eq!(call(harness.api(1), "PUT /v1/bans/s-8", "", "").expect("an answer").status, 201);
    assert_eq!(call(harness.api(2), "DELETE /v1/bans/s-7", "", "").expect("an answer").status, 204);
    assert!(harness.mgmt(0, "fleet-enable-server s-7").starts_with("NO no ban of s-7"));
    let leader = harness.leader(&[0, 1, 2]);
    harness.kill(leader);
    harness.up(leader);
    let said = call(harness.api(leader), "GET /v1/bans", "Fleet-Read: latest\r\n", "");
    let said = harness.until("a settled read", || {
        said.clone().filter(|said| said.status == 200).or_else(|| {
            call(harness.api(leader), "GET /v1/bans", "Fleet-Read: latest\r\n", "")
                .filter(|said| said.status == 200)
        })
    });
    assert_eq!(said.body["bans"][0]["brick"], "s-8", "{said:?}");
    // Without a majority nothing is promised.
    (0..3).filter(|head| *head != leader).for_each(|head| harness.kill(head));
    assert!(harness.mgmt(leader, "fleet-disable-server s-9").starts_with("NO "));
}

#[test]
fn operators_words_about_who_votes_are_followed() {
    let mut harness = begun(5);
    let done = |harness: &Harness, words: &[&str]| {
        let said = harness.ask(0, words);
        assert!(said.status.success(), "{words:?}: {}", String::from_utf8_lossy(&said.stderr));
    };
    let leader = harness.leader(&[0, 1, 2]);
    let one = (leader + 1) % 3;
    done(&harness, &["remove", &format!("n{one}")]);
    harness.until("another keeps", || {
        (!harness.votes(one) && (harness.votes(3) || harness.votes(4))).then_some(())
    });
    done(&harness, &["add", &format!("n{one}")]);
    done(&harness, &["keepers", "5"]);
    harness.until("all five keep", || (0..5).all(|head| harness.votes(head)).then_some(()));
    let even = harness.ask(0, &["keepers", "4"]);
    assert!(String::from_utf8_lossy(&even.stderr).contains("an odd number keeps"), "{even:?}");
    // Given up while it cannot be reached, and long before it would count as lost.
    let other = (leader + 2) % 3;
    harness.kill(other);
    done(&harness, &["keepers", "3"]);
    harness.until("three keep", || {
        ((0..5).filter(|head| *head != other && harness.votes(*head)).count() == 3).then_some(())
    });
    settle(&[harness.api(leader)], "horvat", "after");
}

#[test]
fn a_head_cut_off_in_one_direction_and_one_of_the_same_name_are_no_spares() {
    let mut harness = begun(4);
    lost_after(&harness, 0, "1000");
    let leader = harness.leader(&[0, 1, 2]);
    let gone = (leader + 1) % 3;
    // The follower can ask, and nobody can call it: it is not brought up to date, and does not vote.
    for head in 0..3 {
        harness.links[head][3].set_faults(LinkFaults { forward: StreamFault::Lose, ..CALM });
    }
    harness.kill(gone);
    thread::sleep(Duration::from_secs(4));
    assert!(!harness.votes(3), "a head that hears nothing votes: {}", harness.own(leader));
    settle(&[harness.api(leader)], "horvat", "meanwhile");
    (0..3).for_each(|head| harness.links[head][3].set_faults(CALM));
    harness.until("it keeps once it hears", || harness.votes(3).then_some(()));
}

#[test]
fn a_backup_comes_back_and_a_lost_majority_is_recovered_with_open_eyes() {
    let mut harness = begun(3);
    for i in 0..30 {
        settle(&[harness.api(0)], "horvat", &format!("e{i}"));
    }
    let file = harness.dirs[0].with_extension("backup");
    let file = file.to_str().expect("a path").to_owned();
    let backup = harness.ask(1, &["backup", &file]);
    assert!(backup.status.success(), "{}", String::from_utf8_lossy(&backup.stderr));
    let refused = harness.ask(1, &["restore", &file]);
    assert!(String::from_utf8_lossy(&refused.stderr).contains("stands at version 31 already"), "{refused:?}");
    // Two of three are lost with their disks.
    let survivor = harness.leader(&[0, 1, 2]);
    (0..3).filter(|head| *head != survivor).for_each(|head| harness.lose(head));
    let (config, operator) = harness.program(survivor).files();
    let files = (config.clone(), operator.clone());
    let running = harness.ask_with(&files, &["recover"]);
    assert!(!running.status.success(), "the store is in use");
    let (config, operator) = harness.files(survivor);
    harness.kill(survivor);
    let files = harness.written(&config, &operator);
    let warned = harness.ask_with(&files, &["recover"]);
    let said = String::from_utf8_lossy(&warned.stderr).to_string();
    assert_eq!(warned.status.code(), Some(2), "{said}");
    assert!(said.contains("holds version 31") && said.contains("--lose-changes-after 31"), "{said}");
    assert!(!harness.ask_with(&files, &["recover", "--lose-changes-after", "30"]).status.success());
    let done = harness.ask_with(&files, &["recover", "--lose-changes-after", "31"]);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    harness.up(survivor);
    harness.until("it leads alone", || (harness.own(survivor)["role"] == "leader").then_some(()));
    assert_eq!(exports(harness.api(survivor), "horvat").len(), 31);
    settle(&[harness.api(survivor)], "horvat", "after");
    // The others come back empty, and keep again.
    (0..3).filter(|head| *head != survivor).for_each(|head| harness.up(head));
    assert!(harness.ask(survivor, &["keepers", "3"]).status.success());
    harness.wait_for_voters(&[0, 1, 2]);
    (0..3).for_each(|head| assert_eq!(exports(harness.api(head), "horvat").len(), 32));
    // A fleet of new machines takes the backup.
    let fresh = Harness::begun(3);
    let restored = fresh.ask(2, &["restore", &file]);
    assert!(restored.status.success(), "{}", String::from_utf8_lossy(&restored.stderr));
    assert_eq!(exports(fresh.api(1), "horvat").len(), 31);
    let begun = Instant::now();
    settle(&[fresh.api(0)], "horvat", "on-top");
    assert!(begun.elapsed() < Duration::from_secs(5));
}
