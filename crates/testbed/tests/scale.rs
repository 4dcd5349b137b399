//! The scale run at a small size, by counts rather than times: depth, messages and bytes of a head, and whether all
//! are reached; what it refuses; and that nothing of it is left behind.

use sedgerun_testbed::scale::results::{Cost, Point, Role, ScaleResults};
use std::collections::BTreeSet;
use std::fmt::Display;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Hollow heads, whole heads and voters of the small run.
const HOLLOW: u64 = 60;
const WHOLE: u64 = 2;
const VOTERS: u64 = 3;
const ALL: u64 = HOLLOW + WHOLE + VOTERS;
/// Followers of one head.
const FAN_OUT: u64 = 16;
/// Time in which a stopped run must be gone.
const GONE_TIME: Duration = Duration::from_secs(15);

/// A folder of one test's own; removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("sedgerun-scale-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn scale(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
    command.arg("scale").args(arguments).stdin(Stdio::null());
    command
}

fn run(arguments: &[&str]) -> Output {
    scale(arguments).output().expect("the program runs")
}

fn read(path: &Path) -> ScaleResults {
    let text = std::fs::read_to_string(path).expect("results");
    serde_json::from_str(&text).expect("results in their form")
}

/// Measures steady loads with these options, and reads the results, which must be whole.
fn measure(test: &str, options: &[(&str, &dyn Display)]) -> ScaleResults {
    let folder = Folder::new(test);
    let file = folder.file("results.json");
    let mut command = scale(&["--steady-only"]);
    command.arg("--out").arg(&file);
    for (option, value) in options {
        command.arg(option).arg(value.to_string());
    }
    let output = command.output().expect("the program runs");
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{said}{errors}");
    assert!(!errors.contains("panicked"), "{errors}");
    let results = read(&file);
    assert!(results.complete, "{:?}", results.not_run);
    results
}

fn cost(point: &Point, role: Role) -> &Cost {
    point.roles.get(&role).unwrap_or_else(|| panic!("{role:?} is missing"))
}

#[test]
fn a_small_run_reaches_all_heads_at_bounded_depth_and_cost() {
    let results = measure(
        "small",
        &[
            ("--heads", &ALL),
            ("--whole", &WHOLE),
            ("--relays", &0),
            ("--backends", &50),
            ("--changes", &"0,5"),
        ],
    );
    assert_eq!(results.points.len(), 2);
    for point in &results.points {
        assert_eq!((point.heads, point.backends, point.reached), (ALL, 50, ALL), "{point:?}");
        assert_eq!(cost(point, Role::Voter).count, VOTERS);
        assert_eq!(cost(point, Role::WholeHead).count, WHOLE);
        assert_eq!(cost(point, Role::HollowHead).count, HOLLOW);
        // 48 heads hang on the three voters, the others on those.
        assert!(point.depth.most <= 3.0, "{:?}", point.depth);
    }
    let [idle, changing] = &results.points[..] else { panic!("two loads") };
    for role in [Role::WholeHead, Role::HollowHead] {
        // A poll of its upstream and one of discovery, each in some 3 s, are answered; more comes from its followers,
        // each of which polls as often, or once a second where it serves others itself.
        let (quiet, busy) = (cost(idle, role), cost(changing, role));
        assert!(quiet.messages_in.mean >= 0.4 && quiet.messages_in.mean <= 2.0, "{role:?} {quiet:?}");
        assert!(quiet.messages_in.most <= FAN_OUT as f64 + 2.0, "{role:?} {quiet:?}");
        assert!(quiet.bytes_in.mean + quiet.bytes_out.mean <= 1024.0, "{role:?} {quiet:?}");
        // Each change is heard once.
        assert!(busy.messages_in.mean >= 5.0, "{role:?} {busy:?}");
        assert!(busy.bytes_in.mean <= 5.0 * 4096.0, "{role:?} {busy:?}");
    }
    let in_force = changing.in_force.expect("changes were made");
    assert!(in_force.count >= 29 * HOLLOW, "{in_force:?}");
    assert_eq!(idle.in_force, None);
}

/// Three relays, one in each region, carry all heads: no head serves another, and none has more to do in a larger fleet.
#[test]
fn with_relays_no_head_carries_another_and_all_are_reached() {
    const RELAYS: u64 = 3;
    let results = measure(
        "relays",
        &[
            ("--heads", &(ALL + RELAYS)),
            ("--whole", &WHOLE),
            ("--relays", &RELAYS),
            ("--backends", &50),
            ("--changes", &"0,5"),
        ],
    );
    let [idle, changing] = &results.points[..] else { panic!("two loads") };
    for point in [idle, changing] {
        assert_eq!((point.heads, point.reached), (ALL + RELAYS, ALL + RELAYS), "{point:?}");
        assert_eq!((cost(point, Role::Relay).count, cost(point, Role::HollowHead).count), (RELAYS, HOLLOW));
        // A relay hears from a voter, and every head from a relay.
        assert!(point.depth.most <= 1.0, "{:?}", point.depth);
    }
    for role in [Role::WholeHead, Role::HollowHead] {
        let quiet = cost(idle, role);
        assert!(quiet.messages_in.most <= 2.0, "{role:?} {quiet:?}");
        assert!(quiet.bytes_in.most + quiet.bytes_out.most <= 512.0, "{role:?} {quiet:?}");
        // Each change is heard once, and passed on to nobody.
        let busy = cost(changing, role);
        assert!(busy.messages_in.mean >= 4.0 && busy.messages_out.most <= 8.0, "{role:?} {busy:?}");
    }
    // All polls of the heads come to the relays.
    let relay = cost(idle, Role::Relay);
    assert!(relay.messages_in.mean >= (HOLLOW + WHOLE) as f64 / RELAYS as f64 * 0.25, "{relay:?}");
}

#[test]
fn hollow_heads_say_and_hear_as_much_as_whole_ones() {
    // So few heads that each hangs on a voter: then all have the same to do.
    let results = measure(
        "fidelity",
        &[("--heads", &25), ("--whole", &4), ("--relays", &0), ("--backends", &20), ("--changes", &5)],
    );
    let point = &results.points[0];
    let (whole, hollow) = (cost(point, Role::WholeHead), cost(point, Role::HollowHead));
    type Figure = fn(&Cost) -> f64;
    let figures: [(&str, Figure); 4] = [
        ("bytes in", |cost| cost.bytes_in.mean),
        ("bytes out", |cost| cost.bytes_out.mean),
        ("messages in", |cost| cost.messages_in.mean),
        ("messages out", |cost| cost.messages_out.mean),
    ];
    for (what, figure) in figures {
        let ratio = figure(hollow) / figure(whole);
        assert!((0.85..=1.15).contains(&ratio), "{what}: hollow to whole {ratio:.2}, {hollow:?} {whole:?}");
    }
}

/// Followers that were sent on once kept their connections, and filled the places of those that had yet to ask.
#[test]
fn followers_that_are_sent_on_leave_no_connection_at_a_voter() {
    let results = measure(
        "redirected",
        &[("--heads", &200), ("--whole", &1), ("--relays", &0), ("--backends", &10), ("--changes", &0)],
    );
    let point = &results.points[0];
    assert_eq!(point.reached, 200);
    // Its followers, the other voters and discovery; what a head of one voter holds by itself; and some spare.
    let descriptors = cost(point, Role::Voter).descriptors;
    assert!(descriptors.most <= FAN_OUT as f64 + 8.0 + 24.0 + 16.0, "{descriptors:?}");
}

#[test]
fn arguments_that_cannot_be_used_are_refused_in_one_line() {
    let folder = Folder::new("refused");
    let foreign = folder.file("foreign.json");
    std::fs::write(&foreign, "{\"mine\": true}\n").expect("a file");
    let foreign_path = foreign.display().to_string();
    let nowhere = folder.file("missing/results.json").display().to_string();
    let folder_path = folder.0.display().to_string();
    let cases: [(&[&str], &str); 13] = [
        (&["--heads", "0"], "--heads"),
        (&["--heads", "10000000"], "--heads"),
        (&["--heads", "many"], "--heads"),
        (&["--heads", ""], "--heads"),
        (&["--heads", "20000", "--backends", "20000"], "--heads"),
        (&["--backends", "0"], "--backends"),
        (&["--backends", "-3"], "--backends"),
        (&["--changes", "-1"], "--changes"),
        (&["--changes", "NaN"], "--changes"),
        (&["--seed", "x"], "--seed"),
        (&["--out", &foreign_path], "foreign.json"),
        (&["--out", &nowhere], "missing/results.json"),
        (&["--out", &folder_path], "--out"),
    ];
    for (arguments, place) in cases {
        let output = run(arguments);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {said}");
        assert_eq!(said.lines().count(), 1, "{arguments:?}: {said}");
        assert!(said.contains(place), "{arguments:?}: {said}");
    }
    assert_eq!(std::fs::read_to_string(&foreign).expect("it is there"), "{\"mine\": true}\n");
    let left = std::fs::read_dir(&folder.0).expect("a folder").count();
    assert_eq!(left, 1, "a refused run left a file behind");
}

/// A process and all that it has started, and that those have.
fn processes_of(parent: u32) -> BTreeSet<u32> {
    let mut found = BTreeSet::from([parent]);
    loop {
        let known = found.len();
        for entry in std::fs::read_dir("/proc").expect("/proc").flatten() {
            let Some(process) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
                continue;
            };
            let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
            let parent =
                stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1)?.parse().ok());
            if parent.is_some_and(|parent| found.contains(&parent)) {
                found.insert(process);
            }
        }
        if found.len() == known {
            return found;
        }
    }
}

fn is_alive(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // One that has ended and was not yet reaped by whoever inherited it is gone.
    stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z'))
}

/// Waits until the run has its host processes.
fn wait_until_running(run: &Child) -> BTreeSet<u32> {
    let begun = Instant::now();
    loop {
        let processes = processes_of(run.id());
        // Itself, discovery, three voters, one whole head and eight hosts.
        if processes.len() >= 14 {
            return processes;
        }
        assert!(begun.elapsed() < Duration::from_secs(60), "{} processes", processes.len());
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn wait_until_gone(processes: &BTreeSet<u32>) {
    let begun = Instant::now();
    while processes.iter().any(|process| is_alive(*process)) {
        let left: Vec<u32> = processes.iter().copied().filter(|process| is_alive(*process)).collect();
        assert!(begun.elapsed() < GONE_TIME, "left behind: {left:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn long_run(out: &str) -> Child {
    let mut command =
        scale(&["--heads", "20", "--whole", "1", "--relays", "0", "--backends", "10", "--out", out]);
    command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("the program runs")
}

fn signal(process: u32, name: &str) {
    let sent = Command::new("kill").args([format!("-{name}"), process.to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()));
}

#[test]
fn a_run_that_is_stopped_says_what_is_partial_and_leaves_no_process() {
    let folder = Folder::new("stopped");
    let file = folder.file("results.json");
    let mut run = long_run(&file.display().to_string());
    let processes = wait_until_running(&run);
    signal(run.id(), "TERM");
    let status = run.wait().expect("it ends");
    assert_eq!(status.code(), Some(1));
    wait_until_gone(&processes);
    let mut said = String::new();
    run.stdout.take().expect("its output").read_to_string(&mut said).expect("text");
    assert!(said.contains("not run:") && said.contains("partial"), "{said}");
    let results = read(&file);
    assert!(!results.complete);
    assert!(results.not_run.iter().any(|missing| missing.contains("stopped")), "{:?}", results.not_run);
}

#[test]
fn a_run_that_is_killed_leaves_no_process() {
    let folder = Folder::new("killed");
    let mut run = long_run(&folder.file("results.json").display().to_string());
    let processes = wait_until_running(&run);
    signal(run.id(), "KILL");
    run.wait().expect("it ends");
    wait_until_gone(&processes);
}
