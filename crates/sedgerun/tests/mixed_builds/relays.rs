//! Relays of each build serve followers of both.

use crate::builds::{Build, Direction};
use crate::cluster::{Contents, assert_all_hold, ban, create_export, laid_out, restart_from, start_from};
use crate::harness::Harness;
use serde_json::Value;

const VOTERS: usize = 3;
/// The relay of each region, and its followers, one of each build.
const WEST: (usize, [usize; 2]) = (3, [5, 6]);
const EAST: (usize, [usize; 2]) = (4, [7, 8]);
const REGIONS: [&str; 9] = ["west", "west", "west", "west", "east", "west", "west", "east", "east"];
const ALL: [usize; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];

in_both_directions!(
    relays_of_each_build_serve_followers_of_both,
    followers_survive_relays_and_their_return_as_the_other_build,
);

/// Voters of both builds, a relay of each build, and behind each relay a follower of each build.
fn builds(direction: Direction) -> [Build; 9] {
    let Direction { writer, reader } = direction;
    [writer, reader, writer, writer, reader, writer, reader, writer, reader]
}

fn started(direction: Direction) -> Harness {
    let mut harness = laid_out(VOTERS, &builds(direction));
    let form = |(head, region): (usize, &&str)| {
        let relay = if head == WEST.0 || head == EAST.0 { " (relay \"yes\")" } else { "" };
        format!("{relay} (region \"{region}\")")
    };
    harness.forms = REGIONS.iter().enumerate().map(form).collect();
    harness.begin();
    create_export(&harness, 0, "first");
    assert_all_hold(&harness, &ALL, &Contents::of(&["first"], &[""; 0]));
    harness
}

fn wait_for_upstream(harness: &Harness, head: usize, relay: usize) {
    let relay = format!("n{relay}");
    harness.until(&format!("n{head} follows {relay}"), || {
        (harness.own(head)["upstream"] == relay.as_str()).then_some(())
    });
}

fn wait_for_regions(harness: &Harness) {
    for (relay, followers) in [WEST, EAST] {
        followers.iter().for_each(|head| wait_for_upstream(harness, *head, relay));
    }
}

/// Name and number of followers of each relay, as the voters have registered them.
fn registered_relays(harness: &Harness) -> Vec<(String, u64)> {
    let rows = harness.status(0)["relays"].as_array().cloned().unwrap_or_default();
    let relay = |row: &Value| Some((row["head"].as_str()?.to_owned(), row["followers"].as_u64()?));
    rows.iter().filter_map(relay).collect()
}

fn wait_for_registered(harness: &Harness, expected: &[(&str, u64)]) {
    let expected: Vec<(String, u64)> =
        expected.iter().map(|(head, followers)| ((*head).to_owned(), *followers)).collect();
    harness.until(&format!("the relays are {expected:?}"), || {
        (registered_relays(harness) == expected).then_some(())
    });
}

fn relays_of_each_build_serve_followers_of_both(direction: Direction) {
    let harness = started(direction);
    wait_for_regions(&harness);
    wait_for_registered(&harness, &[("n3", 2), ("n4", 2)]);
    let mut expected = Contents::of(&["first"], &[""; 0]);
    for head in ALL {
        let name = format!("by-n{head}");
        create_export(&harness, head, &name);
        expected.exports.push(name);
    }
    for head in [5, 6, 7, 8] {
        ban(&harness, head, &format!("s-{head}"));
        expected.bans.push(format!("s-{head}"));
    }
    assert_all_hold(&harness, &ALL, &Contents::of(&expected.exports, &expected.bans));
    // They still follow the relays, which have passed all of it on.
    wait_for_regions(&harness);
    for (relay, followers) in [WEST, EAST] {
        assert_eq!(harness.own(relay)["direct_followers"], followers.len(), "{:#}", harness.own(relay));
    }
}

/// A follower that lost its relay returns to it after half a minute at the earliest. So the relays fail in turn, and each
/// time all followers move to the other one, which has been started from its other build in between.
fn followers_survive_relays_and_their_return_as_the_other_build(direction: Direction) {
    let mut harness = started(direction);
    wait_for_regions(&harness);
    let ((west, west_followers), (east, east_followers)) = (WEST, EAST);
    let followers = [west_followers, east_followers].concat();
    let without = |relay: usize| ALL.into_iter().filter(|head| *head != relay).collect::<Vec<_>>();

    harness.kill(west);
    followers.iter().for_each(|head| wait_for_upstream(&harness, *head, east));
    create_export(&harness, west_followers[0], "without-west");
    let mut expected = Contents::of(&["first", "without-west"], &[""; 0]);
    assert_all_hold(&harness, &without(west), &expected);
    wait_for_registered(&harness, &[("n4", 4)]);
    start_from(&mut harness, west, direction.reader);
    wait_for_registered(&harness, &[("n3", 0), ("n4", 4)]);
    assert_all_hold(&harness, &ALL, &expected);

    harness.kill(east);
    followers.iter().for_each(|head| wait_for_upstream(&harness, *head, west));
    create_export(&harness, east_followers[1], "without-east");
    expected = Contents::of(&["first", "without-west", "without-east"], &[""; 0]);
    assert_all_hold(&harness, &without(east), &expected);
    start_from(&mut harness, east, direction.writer);
    wait_for_registered(&harness, &[("n3", 4), ("n4", 0)]);
    assert_all_hold(&harness, &ALL, &expected);

    // Back to its first build, with a regular stop.
    restart_from(&mut harness, west, direction.writer);
    create_export(&harness, west_followers[1], "with-both");
    expected = Contents::of(&["first", "without-west", "without-east", "with-both"], &[""; 0]);
    assert_all_hold(&harness, &ALL, &expected);
}
