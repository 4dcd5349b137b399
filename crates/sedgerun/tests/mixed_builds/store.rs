//! A store's folder that one build wrote is opened by the other.

use crate::builds::{Build, Direction};
use crate::cluster::{
    Contents, assert_all_hold, assert_latest, assert_snapshot_in, ban, copy_store, create_export, laid_out,
    own_contents, restart_from, start_from, started, stop, tenant_document,
};
use crate::harness::large_tenants::{TENANTS, put_until_committed, resident_kib};
use crate::harness::{Harness, call, put, row};
use serde_json::Value;
use std::thread;
use std::time::Duration;

const EXPORTS: [&str; 4] = ["press", "proofs", "maps", "archive"];
/// Makes a build with fail points write a snapshot each ten entries; others ignore it.
const FREQUENT_SNAPSHOTS: &str = "entries between snapshots=return(10)";
/// More entries than between two of these snapshots.
const ENTRIES_OF_A_ROUND: usize = 25;
const BANS: [&str; 2] = ["s-7", "s-8"];
/// Longer than a head takes to save what it received as a follower (1 s) and its watermarks of other stores (200 ms).
const SAVE_TIME: Duration = Duration::from_secs(3);

in_both_directions!(
    a_voter_goes_on_from_its_folder,
    a_killed_voter_goes_on_from_its_folder,
    a_voter_goes_on_from_a_folder_with_a_snapshot,
    a_follower_serves_alone_from_its_folder,
    an_older_copy_of_a_disk_is_recognised,
    heads_start_over_many_large_changes,
);

fn write_contents(harness: &Harness, head: usize) -> Contents {
    EXPORTS.iter().for_each(|name| drop(create_export(harness, head, name)));
    BANS.iter().for_each(|backend| ban(harness, head, backend));
    Contents::of(&EXPORTS, &BANS)
}

/// Identity and progress of a voter, as its status has them.
#[derive(Debug, PartialEq, Eq)]
struct Progress {
    store: Value,
    incarnation: u64,
    version: u64,
}

fn progress(harness: &Harness, head: usize) -> Progress {
    let own = harness.own(head);
    let number = |key: &str| own[key].as_u64().unwrap_or_else(|| panic!("{key} in {own}"));
    Progress { store: own["store"].clone(), incarnation: number("incarnation"), version: number("version") }
}

/// Asserts that the restarted, only voter holds what it held, and commits the next version.
fn assert_goes_on(harness: &Harness, before: &Progress, expected: &mut Contents, next_export: &str) {
    harness.leader(&[0]);
    assert_latest(harness, 0, expected);
    let after = progress(harness, 0);
    assert_eq!((&after.store, after.version), (&before.store, before.version));
    assert_eq!(after.incarnation, before.incarnation + 1);
    let created = create_export(harness, 0, next_export);
    assert_eq!((created.status, created.version), (201, Some(before.version + 1)), "{created:?}");
    expected.exports.push(next_export.to_owned());
    expected.exports.sort();
    assert_latest(harness, 0, expected);
    // A change that was committed before the restart is found by its key, and not made again.
    let repeated = create_export(harness, 0, EXPORTS[0]);
    assert!(repeated.version.is_some_and(|first| first <= before.version), "{repeated:?}");
    assert_eq!(progress(harness, 0).version, before.version + 1);
}

fn a_voter_goes_on_from_its_folder(direction: Direction) {
    let mut harness = started(1, &[direction.writer]);
    let mut expected = write_contents(&harness, 0);
    let document = tenant_document(&harness, 0);
    let before = progress(&harness, 0);
    restart_from(&mut harness, 0, direction.reader);
    harness.leader(&[0]);
    assert_eq!(tenant_document(&harness, 0), document);
    assert_goes_on(&harness, &before, &mut expected, "by-the-reader");
    // Back on the folder that the other build has changed.
    let before = progress(&harness, 0);
    restart_from(&mut harness, 0, direction.writer);
    assert_goes_on(&harness, &before, &mut expected, "by-the-writer-again");
}

fn a_killed_voter_goes_on_from_its_folder(direction: Direction) {
    let mut harness = started(1, &[direction.writer]);
    let mut expected = write_contents(&harness, 0);
    let before = progress(&harness, 0);
    harness.kill(0);
    start_from(&mut harness, 0, direction.reader);
    assert_goes_on(&harness, &before, &mut expected, "by-the-reader");
    let before = progress(&harness, 0);
    harness.kill(0);
    start_from(&mut harness, 0, direction.writer);
    assert_goes_on(&harness, &before, &mut expected, "by-the-writer-again");
}

/// The build under test has fail points, writes a snapshot each ten entries, and takes turns with the other on the folder.
fn a_voter_goes_on_from_a_folder_with_a_snapshot(direction: Direction) {
    let mut harness = laid_out(1, &[direction.writer]);
    harness.variables[0] = vec![("FAILPOINTS".to_owned(), FREQUENT_SNAPSHOTS.to_owned())];
    harness.begin();
    let mut expected = write_contents(&harness, 0);
    let builds = [direction.writer, direction.reader, direction.writer, direction.reader];
    for (round, build) in builds.into_iter().enumerate() {
        if round > 0 {
            let before = progress(&harness, 0);
            stop(&mut harness, 0);
            if builds[round - 1] == Build::Current {
                assert_snapshot_in(&harness, 0);
            }
            start_from(&mut harness, 0, build);
            assert_goes_on(&harness, &before, &mut expected, &format!("first-of-round{round}"));
        }
        for i in 0..ENTRIES_OF_A_ROUND {
            let name = format!("round{round}-{i:02}");
            create_export(&harness, 0, &name);
            expected.exports.push(name);
        }
        expected.exports.sort();
    }
    assert_latest(&harness, 0, &expected);
}

/// What a follower received is in its folder, and is served while no voter can be reached.
fn a_follower_serves_alone_from_its_folder(direction: Direction) {
    const FOLLOWER: usize = 1;
    let mut harness = started(1, &[direction.writer, direction.writer]);
    let expected = write_contents(&harness, 0);
    assert_all_hold(&harness, &[0, FOLLOWER], &expected);
    let before = progress(&harness, FOLLOWER);
    thread::sleep(SAVE_TIME);
    stop(&mut harness, FOLLOWER);
    stop(&mut harness, 0);
    start_from(&mut harness, FOLLOWER, direction.reader);
    assert_eq!(own_contents(&harness, FOLLOWER), Some(expected.clone()));
    let read = call(harness.api(FOLLOWER), "GET /v1/tenants/horvat", "", "").expect("a response");
    assert_eq!(read.version, Some(before.version), "{read:?}");
    let rejected = put(harness.api(FOLLOWER), "horvat", "alone", "alone").expect("a response");
    assert_eq!(rejected.status, 503, "{rejected:?}");
    // The voter of the other build returns: the follower has the next change from it.
    start_from(&mut harness, 0, direction.reader);
    create_export(&harness, 0, "afterwards");
    let exports = [&EXPORTS[..], &["afterwards"]].concat();
    assert_all_hold(&harness, &[0, FOLLOWER], &Contents::of(&exports, &BANS));
    assert_eq!(progress(&harness, FOLLOWER).store, before.store);
}

/// Voters remember how far each other's store was, on disk: of an older copy of one they know after a restart from the
/// other build that it lacks entries, and do not count it.
fn an_older_copy_of_a_disk_is_recognised(direction: Direction) {
    let mut harness = started(3, &[direction.writer; 3]);
    let leader = harness.leader(&[0, 1, 2]);
    let (copied, other) = ((leader + 1) % 3, (leader + 2) % 3);
    create_export(&harness, leader, "before");
    stop(&mut harness, copied);
    let copy = harness.dirs[copied].with_extension("copy");
    copy_store(&harness.dirs[copied], &copy);
    start_from(&mut harness, copied, direction.writer);
    harness.leader(&[0, 1, 2]);
    for i in 0..5 {
        create_export(&harness, leader, &format!("after{i}"));
    }
    (0..3).for_each(|head| harness.synced(head));
    // The record of the watermarks has no sync of its own: that of the next change keeps it.
    thread::sleep(SAVE_TIME);
    create_export(&harness, leader, "after-the-watermarks");
    (0..3).for_each(|head| harness.synced(head));
    (0..3).for_each(|head| stop(&mut harness, head));
    copy_store(&copy, &harness.dirs[copied]);
    for head in [leader, other, copied] {
        start_from(&mut harness, head, direction.reader);
    }
    harness.until("the older copy is recognised", || {
        let status = harness.status(leader);
        let trouble = row(&status, copied)["trouble"].as_str()?.to_owned();
        trouble.contains("older copy").then_some(())
    });
    let names = ["before", "after0", "after1", "after2", "after3", "after4", "after-the-watermarks"];
    assert_latest(&harness, other, &Contents::of(&names, &[""; 0]));
}

/// The log and the remembered changes that the other build wrote without a limit in bytes do not take a head over its
/// limit, and the retry of a change gets its first outcome.
fn heads_start_over_many_large_changes(direction: Direction) {
    /// Memory that a head may have resident, in KiB.
    const LIMIT_KIB: u64 = 48 * 1024;
    const CHANGES: usize = 1500;
    let mut harness = started(3, &[direction.writer; 3]);
    for change in 0..CHANGES {
        put_until_committed(&harness, change % 3, change % TENANTS, change / TENANTS);
    }
    let (number, form) = ((CHANGES - 1) % TENANTS, (CHANGES - 1) / TENANTS);
    let first = put_until_committed(&harness, 0, number, form);
    (0..3).for_each(|head| harness.kill(head));
    (0..3).for_each(|head| start_from(&mut harness, head, direction.reader));
    harness.leader(&[0, 1, 2]);
    let is_bounded = direction.reader == Build::Current;
    for _ in 0..150 {
        for head in 0..3 {
            let kib = resident_kib(&harness, head);
            assert!(kib <= LIMIT_KIB || !is_bounded, "n{head} holds {kib} KiB");
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(put_until_committed(&harness, 1, number, form), first);
}
