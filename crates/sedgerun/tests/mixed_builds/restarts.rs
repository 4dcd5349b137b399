//! The members of a running cluster are restarted from the other build, one after the other, and back again.

use crate::builds::{Build, Direction};
use crate::cluster::{
    Contents, assert_all_hold, assert_latest, assert_snapshot_in, ban, create_export, restart_from,
    start_from, started, stop, write_entries_for_a_snapshot,
};
use crate::harness::Harness;
use serde_json::Value;

const VOTERS: [usize; 3] = [0, 1, 2];
const ALL: [usize; 5] = [0, 1, 2, 3, 4];

in_both_directions!(
    a_cluster_is_restarted_head_by_head_and_back,
    a_voter_that_lost_its_folder_is_filled_by_the_other_build,
);

fn stores(harness: &Harness) -> Vec<Value> {
    ALL.iter().map(|head| harness.own(*head)["store"].clone()).collect()
}

fn a_cluster_is_restarted_head_by_head_and_back(direction: Direction) {
    let mut harness = started(VOTERS.len(), &[direction.writer; ALL.len()]);
    let mut expected = Contents::of(&["first"], &["s-first"]);
    create_export(&harness, 0, "first");
    ban(&harness, 0, "s-first");
    assert_all_hold(&harness, &ALL, &expected);
    let stores_before = stores(&harness);
    for build in [direction.reader, direction.writer] {
        // Followers first, then voters.
        for head in [3, 4, 0, 1, 2] {
            restart_from(&mut harness, head, build);
            harness.leader(&VOTERS);
            let name = format!("{}-n{head}", label(build));
            create_export(&harness, head, &name);
            ban(&harness, head, &format!("s-{name}"));
            expected.exports.push(name.clone());
            expected.bans.push(format!("s-{name}"));
            expected = Contents::of(&expected.exports, &expected.bans);
            assert_all_hold(&harness, &ALL, &expected);
        }
        assert_eq!(stores(&harness), stores_before, "no store is replaced");
        harness.wait_for_voters(&VOTERS);
    }
    ALL.iter().for_each(|head| assert_latest(&harness, *head, &expected));
    assert_eq!((expected.exports.len(), expected.bans.len()), (11, 11));
    let repeated = create_export(&harness, 4, "first");
    assert_eq!((repeated.status, repeated.version), (201, Some(1)), "{repeated:?}");
}

fn label(build: Build) -> &'static str {
    match build {
        Build::Previous => "previous",
        Build::Current => "current",
    }
}

/// The log's beginning is purged: the new store is filled by a snapshot that voters of the other build send.
fn a_voter_that_lost_its_folder_is_filled_by_the_other_build(direction: Direction) {
    let mut harness = started(VOTERS.len(), &[direction.writer; VOTERS.len()]);
    let names: Vec<String> = (0..10).map(|i| format!("e{i:02}")).collect();
    names.iter().for_each(|name| drop(create_export(&harness, 0, name)));
    ban(&harness, 0, "s-7");
    write_entries_for_a_snapshot(&harness, 0);
    let expected = Contents::of(&names, &["s-7"]);
    let leader = harness.leader(&VOTERS);
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let store = harness.own(lost)["store"].clone();
    harness.lose(lost);
    start_from(&mut harness, lost, direction.reader);
    harness.wait_for_voters(&VOTERS);
    assert_ne!(harness.own(lost)["store"], store);
    // Without a third voter it is needed for the majority.
    harness.kill(other);
    assert_latest(&harness, lost, &expected);
    create_export(&harness, lost, "afterwards");
    let exports = [&names[..], &["afterwards".to_owned()]].concat();
    assert_all_hold(&harness, &[leader, lost], &Contents::of(&exports, &["s-7"]));
    stop(&mut harness, lost);
    assert_snapshot_in(&harness, lost);
    // The snapshot that the writer left in its own folder is read, too.
    start_from(&mut harness, lost, direction.reader);
    stop(&mut harness, leader);
    assert_snapshot_in(&harness, leader);
    start_from(&mut harness, leader, direction.reader);
    harness.leader(&[leader, lost]);
    assert_all_hold(&harness, &[leader, lost], &Contents::of(&exports, &["s-7"]));
    assert_latest(&harness, leader, &Contents::of(&exports, &["s-7"]));
}
