//! The subcommand `data-path`: a small measurement as a whole, and plans that make no sense.

use sedgerun_testbed::scale::results::ScaleResults;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time for whatever is waited for.
const WITHIN: Duration = Duration::from_secs(30);

fn data_path(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
    command.arg("data-path").args(arguments).output().expect("it runs")
}

/// A file of this test's own that is removed with it.
struct ResultFile(PathBuf);

impl ResultFile {
    fn new(name: &str) -> ResultFile {
        ResultFile(std::env::temp_dir().join(format!("sedgerun-{name}-{}.json", std::process::id())))
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ResultFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn a_small_measurement_serves_every_request_on_connections_that_are_kept() {
    let file = ResultFile::new("data-path");
    let out = file.path().to_str().expect("a path");
    let arguments = ["--backends", "1,20", "--seconds", "1", "--clients", "4", "--out", out];
    let output = data_path(&arguments);
    let (printed, said) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{printed}{said}");
    assert!(printed.contains("head CPU us a request"), "{printed}");
    let text = std::fs::read_to_string(file.path()).expect("the file");
    let results: ScaleResults = serde_json::from_str(&text).expect("results");
    assert!(results.complete && results.not_run.is_empty(), "{text}");
    let measured = results.data_path;
    let sizes: Vec<(u64, u64)> = measured.iter().map(|one| (one.backends, one.clients)).collect();
    assert_eq!(sizes, [(1, 4), (20, 4)]);
    for one in &measured {
        assert!(one.requests > 0 && one.cpu_us > 0.0, "{one:?}");
        assert_eq!(one.latency.count, one.requests);
        assert!(one.latency.median_ms <= one.latency.p99_ms && one.latency.p99_ms <= one.latency.most_ms);
        // A backend has at most as many connections as there are clients, and they are used again.
        assert!(one.connects_per_second < one.requests_per_second / 2.0, "{one:?}");
    }
}

#[test]
fn a_file_that_holds_something_else_is_left_alone() {
    let file = ResultFile::new("data-path-foreign");
    std::fs::write(file.path(), "mine").expect("a file");
    let output = data_path(&["--seconds", "1", "--out", file.path().to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(std::fs::read_to_string(file.path()).expect("the file"), "mine");
}

/// The parts of a measurement that run, by their parent.
fn children(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").expect("processes").flatten();
    let processes = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let of_parent = |process: &u32| {
        let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        text.lines().any(|line| line.strip_prefix("PPid:").is_some_and(|id| id.trim() == parent.to_string()))
    };
    processes.filter(of_parent).collect()
}

#[test]
fn a_measurement_that_is_killed_leaves_no_process_behind() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
    command.args(["data-path", "--backends", "2", "--seconds", "60"]).stdout(Stdio::null());
    let mut child = command.stderr(Stdio::null()).spawn().expect("it runs");
    let begun = Instant::now();
    let parts = loop {
        let parts = children(child.id());
        if parts.len() == 3 {
            break parts;
        }
        assert!(begun.elapsed() < WITHIN, "backends, discovery and a head: {parts:?}");
        std::thread::sleep(Duration::from_millis(20));
    };
    child.kill().expect("it is ended");
    child.wait().expect("its status");
    let runs = |process: &u32| Path::new(&format!("/proc/{process}")).exists();
    while parts.iter().any(runs) {
        assert!(begun.elapsed() < 2 * WITHIN, "left behind: {parts:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn plans_that_make_no_sense_are_refused_with_one_line() {
    for arguments in [
        &["--backends", "0"][..],
        &["--backends", "10,16001"],
        &["--seconds", "0"],
        &["--seconds", "61"],
        &["--clients", "0"],
        &["--clients", "257"],
        &["--sockets", "31"],
        &["--out", "/nowhere/at/all.json"],
    ] {
        let output = data_path(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(said.lines().count(), 1, "{arguments:?}: {said}");
        assert!(said.contains(arguments[0]), "{arguments:?}: {said}");
    }
}
