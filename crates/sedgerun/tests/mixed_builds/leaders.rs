//! Voters and followers of both builds beside each other, with a leader of each build in turn.

use crate::builds::{Build, Direction};
use crate::cluster::{
    Contents, assert_all_hold, assert_latest, ban, create_export, fleet_output, lift_ban, started,
};
use crate::harness::{CALM, CUT, Harness, call};
use serde_json::Value;

const VOTERS: [usize; 3] = [0, 1, 2];
const ALL: [usize; 5] = [0, 1, 2, 3, 4];
/// Elections until a voter of a build leads: each has an even chance at the least where there are two candidates.
const MAX_ELECTIONS: usize = 30;

in_both_directions!(
    changes_under_a_leader_of_either_build_reach_all_heads,
    a_change_repeated_at_a_head_of_the_other_build_happens_once,
    the_commands_of_both_builds_read_and_change_the_cluster,
);

/// Two voters of one build and one of the other, and a follower of each.
fn builds(direction: Direction) -> [Build; 5] {
    let Direction { writer, reader } = direction;
    [writer, reader, writer, reader, writer]
}

/// Isolates leaders until a voter of this build leads; that voter.
fn elect(harness: &Harness, builds: &[Build; 5], build: Build) -> usize {
    for _ in 0..MAX_ELECTIONS {
        let leader = harness.leader(&VOTERS);
        if builds[leader] == build {
            return leader;
        }
        let others: Vec<usize> = VOTERS.into_iter().filter(|head| *head != leader).collect();
        harness.set_faults(leader, CUT, CUT);
        harness.leader(&others);
        harness.set_faults(leader, CALM, CALM);
    }
    panic!("no voter of the build {build:?} leads after {MAX_ELECTIONS} elections");
}

fn changes_under_a_leader_of_either_build_reach_all_heads(direction: Direction) {
    let builds = builds(direction);
    let harness = started(VOTERS.len(), &builds);
    let mut expected = Contents::default();
    for build in [direction.reader, direction.writer, direction.reader] {
        let leader = elect(&harness, &builds, build);
        let term = harness.own(leader)["term"].as_u64().expect("a term");
        for head in ALL {
            let name = format!("t{term}-n{head}");
            create_export(&harness, head, &name);
            expected.exports.push(name);
        }
        // Disabled at a follower of each build.
        let banned = [3, 4].map(|head| (head, format!("s-{term}-{head}")));
        for (head, backend) in &banned {
            ban(&harness, *head, backend);
            expected.bans.push(backend.clone());
        }
        expected = Contents::of(&expected.exports, &expected.bans);
        assert_all_hold(&harness, &ALL, &expected);
        // And enabled again at the follower of the other build.
        for ((_, backend), head) in banned.iter().take(1).zip([4]) {
            lift_ban(&harness, head, backend);
            expected.bans.retain(|held| held != backend);
        }
        assert_all_hold(&harness, &ALL, &expected);
        ALL.iter().for_each(|head| assert_latest(&harness, *head, &expected));
        let own = harness.own(leader);
        assert_eq!((&own["role"], own["term"].as_u64()), (&"leader".into(), Some(term)), "{own:#}");
    }
    for (number, head) in [3, 4].into_iter().enumerate() {
        let response = harness.mgmt(head, &format!("fleet-disable-server m-{number}"));
        assert!(
            response.starts_with(&format!("YES m-{number} disabled at all heads, version ")),
            "{response}"
        );
        expected.bans.push(format!("m-{number}"));
    }
    assert_all_hold(&harness, &ALL, &Contents::of(&expected.exports, &expected.bans));
}

fn a_change_repeated_at_a_head_of_the_other_build_happens_once(direction: Direction) {
    let builds = builds(direction);
    let harness = started(VOTERS.len(), &builds);
    for build in Build::ALL {
        elect(&harness, &builds, build);
        let name = format!("{build:?}").to_lowercase();
        let first = create_export(&harness, 3, &name);
        assert_eq!(first.status, 201, "{first:?}");
        let repeated = create_export(&harness, 4, &name);
        assert_eq!((repeated.status, repeated.version), (201, first.version), "{repeated:?}");
        // Each follower waits for what was committed through the other.
        let at_least = format!("Fleet-At-Least: {}\r\n", first.version.expect("a version"));
        for head in ALL {
            let read = call(harness.api(head), "GET /v1/tenants/horvat", &at_least, "").expect("a response");
            let exports = read.body["exports"].as_array().cloned().unwrap_or_default();
            assert!(read.status == 200 && exports.iter().any(|export| export["name"] == name), "{read:?}");
        }
    }
    assert_all_hold(&harness, &ALL, &Contents::of(&["current", "previous"], &[""; 0]));
}

/// The rows of a status without what changes from one request to the next.
fn stable_rows(status: &Value) -> Vec<(String, Value, Value, Value, Value, Value)> {
    let rows = status["heads"].as_array().cloned().unwrap_or_default();
    let row = |row: &Value| {
        let name = row["head"].as_str().unwrap_or_default().to_owned();
        let column = |key: &str| row[key].clone();
        (name, column("store"), column("role"), column("term"), column("version"), column("leader"))
    };
    rows.iter().map(row).collect()
}

/// The paths of all keys in a document.
fn key_paths(value: &Value, path: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                found.push(format!("{path}.{key}"));
                key_paths(value, &format!("{path}.{key}"), found);
            }
        }
        Value::Array(values) => values.iter().for_each(|value| key_paths(value, path, found)),
        _ => (),
    }
}

fn the_commands_of_both_builds_read_and_change_the_cluster(direction: Direction) {
    let builds = builds(direction);
    let harness = started(VOTERS.len(), &builds);
    create_export(&harness, 0, "press");
    assert_all_hold(&harness, &ALL, &Contents::of(&["press"], &[""; 0]));
    for head in ALL {
        let [before, after] = [direction.writer, direction.reader].map(|build| {
            let output = fleet_output(&harness, build, head, &["status", "--json"]);
            serde_json::from_str::<Value>(&output).expect("JSON")
        });
        assert_eq!(stable_rows(&before), stable_rows(&after));
        let [mut keys, mut other_keys] = [Vec::new(), Vec::new()];
        key_paths(&before, "", &mut keys);
        key_paths(&after, "", &mut other_keys);
        assert_eq!(keys, other_keys);
        assert!(stable_rows(&after).len() >= VOTERS.len(), "{after:#}");
    }
    for build in [direction.reader, direction.writer] {
        fleet_output(&harness, build, 3, &["lost-after", "60000"]);
        fleet_output(&harness, build, 4, &["voters", "5"]);
        harness.until("all five vote", || ALL.iter().all(|head| harness.votes(*head)).then_some(()));
        for voter in ["n3", "n4"] {
            fleet_output(&harness, build, 0, &["remove", voter]);
        }
        fleet_output(&harness, build, 0, &["voters", "3"]);
        harness.until("the first three vote", || (harness.voters() == ["n0", "n1", "n2"]).then_some(()));
        for voter in ["n3", "n4"] {
            fleet_output(&harness, build, 0, &["add", voter]);
        }
        create_export(&harness, 1, &format!("after-{build:?}"));
    }
    let exports = ["press", "after-Current", "after-Previous"];
    assert_all_hold(&harness, &ALL, &Contents::of(&exports, &[""; 0]));
}
