//! What the tests do with clusters whose heads are of either build, and what they read from them.

use crate::builds::Build;
use crate::harness::{Harness, Said, call, export};
use sedgerun_cluster::disk;
use serde_json::Value;
use std::path::Path;
use std::process::Output;

/// The tenant of all tests.
pub const TENANT: &str = "horvat";
/// The file of a store in its folder.
const STORE_FILE: &str = "fleet.redb";
/// More log entries than a build without fail points writes between two snapshots, which is 5000.
const ENTRIES_FOR_A_SNAPSHOT: usize = 5200;
const LATEST: &str = "Fleet-Read: latest\r\n";

/// Lays out heads of these builds, of which the first vote; nothing is started.
pub fn laid_out(voters: usize, builds: &[Build]) -> Harness {
    let mut harness = Harness::laid(voters, builds.len());
    harness.executables = builds.iter().map(|build| build.executable()).collect();
    harness
}

/// Starts heads of these builds, of which the first vote, and their cluster.
pub fn started(voters: usize, builds: &[Build]) -> Harness {
    let mut harness = laid_out(voters, builds);
    harness.begin();
    harness
}

/// Stops a head by SIGTERM and waits for its regular end.
pub fn stop(harness: &mut Harness, head: usize) {
    let program = harness.heads[head].take().expect("a running head");
    program.terminate();
    let (succeeded, log) = program.end();
    assert!(succeeded, "n{head} does not end regularly: {log}");
}

/// Starts a stopped head from this build on the folder that it has.
pub fn start_from(harness: &mut Harness, head: usize, build: Build) {
    harness.executables[head] = build.executable();
    harness.up(head);
}

/// Stops a head and starts it from this build on the same folder.
pub fn restart_from(harness: &mut Harness, head: usize, build: Build) {
    stop(harness, head);
    start_from(harness, head, build);
}

/// `sedgerun fleet ...` by this build, with the settings of a running head.
pub fn fleet_command(harness: &Harness, build: Build, head: usize, arguments: &[&str]) -> Output {
    let (config, operator) = harness.program(head).files();
    let (config, operator) = (config.to_string_lossy(), operator.to_string_lossy());
    let variables = [("LB_CONFIG", &*config), ("LB_OPERATOR", &*operator)];
    build.run(&[&["fleet"], arguments].concat(), &variables)
}

/// The output of a successful `sedgerun fleet ...` by this build.
pub fn fleet_output(harness: &Harness, build: Build, head: usize, arguments: &[&str]) -> String {
    let output = fleet_command(harness, build, head, arguments);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{build:?} {arguments:?}: {errors}");
    String::from_utf8(output.stdout).expect("text")
}

/// Sends a request to a head's administration API until it succeeds; the harness bounds the wait.
pub fn request(harness: &Harness, head: usize, line: &str, headers: &str, body: &str) -> Said {
    harness.until(&format!("n{head} carries out {line}"), || {
        call(harness.api(head), line, headers, body).filter(|response| response.status < 300)
    })
}

/// Creates an export through one head; its response. A repetition gets the first response.
pub fn create_export(harness: &Harness, head: usize, name: &str) -> Said {
    let line = format!("PUT /v1/tenants/{TENANT}/exports/{name}");
    request(harness, head, &line, &format!("Idempotency-Key: {name}\r\n"), &export("b1"))
}

/// Bans a backend at all heads through one of them.
pub fn ban(harness: &Harness, head: usize, backend: &str) {
    request(harness, head, &format!("PUT /v1/bans/{backend}"), "", "");
}

/// Lifts a ban through one head.
pub fn lift_ban(harness: &Harness, head: usize, backend: &str) {
    request(harness, head, &format!("DELETE /v1/bans/{backend}"), "", "");
}

/// Commits so many entries that a snapshot takes the place of the log's beginning; what the cluster holds stays.
pub fn write_entries_for_a_snapshot(harness: &Harness, head: usize) {
    for _ in 0..ENTRIES_FOR_A_SNAPSHOT / 2 {
        ban(harness, head, "s-snapshot");
        lift_ban(harness, head, "s-snapshot");
    }
}

/// Copies the store of a head that does not run.
pub fn copy_store(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    std::fs::copy(from.join(STORE_FILE), to.join(STORE_FILE)).expect("a copy of the store");
}

/// Asserts that the folder of a head that does not run has a snapshot in place of the log's beginning. A copy is read.
pub fn assert_snapshot_in(harness: &Harness, head: usize) {
    let copy = harness.dirs[head].with_extension("read");
    copy_store(&harness.dirs[head], &copy);
    let (_database, opened) = disk::open_database(&copy).expect("a store");
    let (snapshot, _) = opened.snapshot.as_ref().expect("a snapshot");
    let covered = snapshot.last_log_id.map(|at| at.index);
    let first = opened.log.entries(..).expect("a log").next();
    let first = first.map(|entry| entry.expect("an entry").0.log_id.index);
    assert!(covered.is_some() && (first.is_none() || first > Some(1)), "{covered:?} {first:?}");
}

/// The names of the tenant's exports and the banned backends, each sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    pub exports: Vec<String>,
    pub bans: Vec<String>,
}

impl Contents {
    /// These names, in any order.
    pub fn of(exports: &[impl AsRef<str>], bans: &[impl AsRef<str>]) -> Contents {
        Contents {
            exports: sorted(exports.iter().map(|name| name.as_ref().to_owned())),
            bans: sorted(bans.iter().map(|name| name.as_ref().to_owned())),
        }
    }
}

fn sorted(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}

fn names_in(list: &Value, key: &str) -> Vec<String> {
    let list = list.as_array().cloned().unwrap_or_default();
    sorted(list.iter().filter_map(|entry| Some(entry[key].as_str()?.to_owned())))
}

/// What a head itself works with, without asking another; `None` while it does not answer.
pub fn own_contents(harness: &Harness, head: usize) -> Option<Contents> {
    contents_read_with(harness, head, "")
}

/// What a head reads with all that was committed before; `None` while it cannot.
pub fn latest_contents(harness: &Harness, head: usize) -> Option<Contents> {
    contents_read_with(harness, head, LATEST)
}

fn contents_read_with(harness: &Harness, head: usize, headers: &str) -> Option<Contents> {
    let read = |path: &str| call(harness.api(head), &format!("GET {path}"), headers, "");
    let tenant = read(&format!("/v1/tenants/{TENANT}")).filter(|response| response.status == 200)?;
    let bans = read("/v1/bans").filter(|response| response.status == 200)?;
    Some(Contents {
        exports: names_in(&tenant.body["exports"], "name"),
        bans: names_in(&bans.body["bans"], "brick"),
    })
}

/// Waits until a head reads this and nothing else with all that was committed before.
pub fn assert_latest(harness: &Harness, head: usize, expected: &Contents) {
    let read = harness.until(&format!("a read at n{head}"), || latest_contents(harness, head));
    assert_eq!(&read, expected, "n{head}");
}

/// Waits until each of these heads itself works with this and nothing else, at one version.
pub fn assert_all_hold(harness: &Harness, heads: &[usize], expected: &Contents) {
    for head in heads {
        harness.until(&format!("n{head} holds {expected:?}"), || {
            (own_contents(harness, *head)? == *expected).then_some(())
        });
    }
    let version = |head: &usize| harness.own(*head)["version"].as_u64();
    let versions: Vec<_> = heads.iter().map(version).collect();
    assert!(versions[0].is_some() && versions.iter().all(|version| *version == versions[0]), "{versions:?}");
}

/// The full body of the tenant, as a head reads it with all that was committed before.
pub fn tenant_document(harness: &Harness, head: usize) -> Value {
    request(harness, head, &format!("GET /v1/tenants/{TENANT}"), LATEST, "").body
}
