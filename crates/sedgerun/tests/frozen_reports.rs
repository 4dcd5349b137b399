//! What the program reports: its figures, its states, its answers to operators, its help, and the file in which it
//! hands bans over.
//!
//! What is frozen, in `recorded/report_*.txt`, `recorded/mgmt.txt`, `recorded/help.txt` and
//! `recorded/handed_over_bans.txt`: the names and the order of the lines of `show-stat` (there is no other page of
//! figures), the keys at all depths of `fleet status --json` and of the administration API, the table of
//! `fleet status`, the words for states in the log and in the API, the answers of the operators' address, the help of
//! every command, and the hand-over file byte for byte. Dashboards and scripts read these names, and the next process
//! of a head reads the file: no renaming inside may change them. Values that differ from run to run are left out.
//!
//! The fixtures are written once, by `write_the_fixtures`, and never anew because a comparison fails.

mod harness;

use harness::standin::{Discovery, Fault, Program, StandIn, config, operator};
use harness::{Harness, call, put};
use sedgerun::management::read_bans;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const TOKEN: &str = "a-token-for-the-tests";

fn recorded(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

fn read_recorded(name: &str) -> String {
    std::fs::read_to_string(recorded(name)).expect("a recorded file")
}

/// Waits until something is there; what is there then, or at the end of the time.
fn once<T>(mut look: impl FnMut() -> T, is_there: impl Fn(&T) -> bool) -> T {
    let begun = Instant::now();
    loop {
        let found = look();
        if is_there(&found) || begun.elapsed() > Duration::from_secs(30) {
            return found;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Waits until a report says what is recorded, and compares it.
fn compare(name: &str, look: impl FnMut() -> String) {
    let expected = read_recorded(name);
    let said = once(look, |said| *said == expected);
    assert_eq!(said, expected, "{name}");
}

fn text_of(lines: impl IntoIterator<Item = String>) -> String {
    lines.into_iter().map(|line| format!("{line}\n")).collect()
}

/// The keys of a JSON value at all depths, each with the keys round it; elements of lists are `[]`.
fn add_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            keys.insert(path.clone());
            add_keys(value, &path, keys);
        }),
        Value::Array(items) => items.iter().for_each(|item| add_keys(item, &format!("{path}[]"), keys)),
        _ => {}
    }
}

fn keys(value: &Value) -> String {
    let mut keys = BTreeSet::new();
    add_keys(value, "", &mut keys);
    text_of(keys)
}

/// The names of the figures that `show-stat` gives, in order, with their labels.
fn figures(said: &str) -> String {
    text_of(said.lines().map(|line| line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned()))
}

/// A head of no fleet with three nodes, and what it stands on.
struct Alone {
    program: Program,
    _nodes: Vec<StandIn>,
    _discovery: Discovery,
}

fn alone(operator_file: Option<&str>, variables: &[(&str, &str)]) -> Alone {
    let nodes = ["s-1", "s-2", "s-3"].map(|id| StandIn::start(id, 3, Duration::ZERO, Fault::None));
    let discovery = Discovery::start(nodes.iter().map(|node| node.entry("ready")).collect());
    let mut settings = config(discovery.address);
    settings["mgmt"] = "127.0.0.1:0".into();
    let program = Program::start_with(&settings, operator_file, variables);
    let listed = |said: &String| said.contains("app_registry_entries 3\n");
    let said = once(|| program.call("show-stat"), listed);
    assert!(listed(&said), "{said}");
    Alone { program, _nodes: nodes.into(), _discovery: discovery }
}

/// Three voters, a relay `n3` and a head `n4` that follow, with a tenant and a ban.
fn fleet() -> Harness {
    let mut harness = Harness::laid(3, 5);
    let form = |relay: &str, region: &str| format!("{relay} (region \"{region}\")");
    harness.forms =
        vec![form("", "r1"), form("", "r1"), form("", "r1"), form(" (relay yes)", "r2"), form("", "r2")];
    harness.begin();
    let made =
        once(|| put(harness.api(0), "horvat", "press", "first").map(|said| said.status), Option::is_some);
    assert_eq!(made, Some(201));
    let banned = call(harness.api(0), "PUT /v1/bans/s-9", "", "").expect("an answer");
    assert_eq!(banned.status, 201);
    let complete = |status: &Value| {
        let some = |list: &Value| list.as_array().is_some_and(|list| !list.is_empty());
        some(&status["relays"]) && some(&status["followers"])
    };
    let status = once(|| harness.status(0), complete);
    assert!(complete(&status), "{status:#}");
    harness
}

#[test]
fn figures_of_a_head_alone_have_the_recorded_names_in_order() {
    let alone = alone(None, &[]);
    compare("report_figures.txt", || figures(&alone.program.call("show-stat")));
}

fn fleet_figures(harness: &Harness) -> String {
    figures(&harness.mgmt(0, "show-stat"))
}

/// Keys of the status as a voter, the relay and the head that follows are asked for it.
fn fleet_status_keys(harness: &Harness) -> String {
    let all = [0, 3, 4].map(|head| harness.status(head));
    keys(&Value::Array(all.into()))
}

/// The words for what a head is.
fn fleet_roles(harness: &Harness) -> String {
    let mut roles = BTreeSet::new();
    for status in [0, 3, 4].map(|head| harness.status(head)) {
        let rows = ["heads", "followers"].into_iter().filter_map(|list| status[list].as_array());
        roles.extend(rows.flatten().filter_map(|row| Some(row["role"].as_str()?.to_owned())));
    }
    text_of(roles)
}

/// The heading of the table, then the shape of each kind of row: numbers as `#`, names of heads as `n`.
fn fleet_table(harness: &Harness) -> String {
    let mut heading = Vec::new();
    let mut shapes = BTreeSet::new();
    for asked in [0, 3, 4] {
        let said = String::from_utf8(harness.ask(asked, &["status"]).stdout).expect("text");
        heading = said.lines().take(2).map(str::to_owned).collect();
        shapes.extend(said.lines().skip(2).map(shape));
    }
    text_of(heading.into_iter().chain(shapes))
}

fn shape(line: &str) -> String {
    let word = |word: &str| match word.strip_prefix('n') {
        Some(number) if number.parse::<u8>().is_ok() => "n".to_owned(),
        _ if u64::from_str_radix(word, 16).is_ok() => "#".to_owned(),
        _ => word.to_owned(),
    };
    line.split_whitespace().map(word).collect::<Vec<String>>().join(" ")
}

/// What the administration API of a head in a fleet answers: status and keys.
fn fleet_api(harness: &Harness) -> String {
    let requests = [
        "GET /v1/status",
        "GET /v1/tenants",
        "GET /v1/tenants/horvat",
        "GET /v1/bans",
        "PUT /v1/bans/s-9",
        "GET /v1/tenants/nobody",
        "DELETE /v1/bans/s-8",
        "GET /v2",
    ];
    api(harness.api(0), &requests)
}

fn api(at: SocketAddr, requests: &[&str]) -> String {
    let mut all = String::new();
    for request in requests {
        let said = call(at, request, "", "").expect("an answer");
        let version = if said.version.is_some() { ", with a version" } else { "" };
        let _ = write!(all, "# {request}: {}{version}\n{}", said.status, keys(&said.body));
        if let Some(error) = said.body["error"].as_str() {
            let _ = writeln!(all, "= {error}");
        }
    }
    all
}

/// What the operators' address answers about bans at all heads; versions as `#`.
fn fleet_mgmt(harness: &Harness) -> String {
    let calls = ["fleet-disable-server s-7", "fleet-disable-server s-7", "fleet-enable-server s-7"];
    let calls = calls.into_iter().chain(["fleet-enable-server s-7", "fleet-disable-server", "ready"]);
    calls.fold(String::new(), |mut all, line| {
        let said = harness.mgmt(0, line);
        let said = said.split(' ').map(|word| if word.trim().parse::<u64>().is_ok() { "#\n" } else { word });
        let _ = write!(all, "> {line}\n< {}", said.collect::<Vec<&str>>().join(" "));
        all
    })
}

#[test]
fn reports_of_a_fleet_have_the_recorded_names() {
    let harness = fleet();
    compare("report_fleet_figures.txt", || fleet_figures(&harness));
    compare("report_fleet_status_keys.txt", || fleet_status_keys(&harness));
    compare("report_fleet_roles.txt", || fleet_roles(&harness));
    compare("report_fleet_table.txt", || fleet_table(&harness));
    compare("report_fleet_api.txt", || fleet_api(&harness));
    assert_eq!(fleet_mgmt(&harness), read_recorded("report_fleet_mgmt.txt"));
}

fn with_api() -> Alone {
    let tenant = "(tenant horvat (export press (volume a1) (plan even) (shard 3) (read-class read)\n  \
                  (write-class write) (large-class bulk)))";
    alone(Some(&format!("(admin (listen \"127.0.0.1:0\") (token \"{TOKEN}\"))\n{tenant}\n")), &[])
}

fn api_alone(alone: &Alone) -> String {
    let requests = [
        "GET /v1/status",
        "GET /v1/tenants",
        "GET /v1/tenants/horvat",
        "GET /v1/tenants/nobody",
        "DELETE /v1/tenants/nobody",
        "DELETE /v1/tenants/horvat/exports/maps",
        "PUT /v1/tenants/horvat",
        "PUT /v1/tenants/horvat/exports/press",
        "POST /v1/tenants/horvat",
        "GET /v1/bans",
        "GET /v2",
    ];
    api(alone.program.admin.expect("an API"), &requests)
}

#[test]
fn the_administration_api_answers_with_the_recorded_keys() {
    assert_eq!(api_alone(&with_api()), read_recorded("report_api.txt"));
}

/// The answers of the operators' address; `show-stat` apart, whose figures are above.
fn mgmt(alone: &Alone) -> String {
    let long = "x".repeat(300);
    let calls = [
        "ready",
        "ready now",
        "",
        "reboot",
        &long,
        "disable-server",
        "disable-server s-9",
        "disable-server s-1",
        "disable-server s-1",
        "disable-server s-1 s-2",
        "enable-server s-1",
        "enable-server s-1",
        "enable-server s-9",
        "fleet-disable-server s-1",
        "fleet-enable-server s-1",
        "drain",
        "ready",
        "resume",
        "ready",
    ];
    calls.into_iter().fold(String::new(), |mut all, line| {
        let _ = write!(all, "> {line}\n< {}", alone.program.call(line));
        all
    })
}

#[test]
fn the_operators_address_answers_in_the_recorded_words() {
    assert_eq!(mgmt(&alone(None, &[])), read_recorded("mgmt.txt"));
}

/// A folder in which bans are handed over.
struct Handover(PathBuf);

impl Handover {
    fn new(test: &str) -> Handover {
        let folder = std::env::temp_dir().join(format!("sedgerun-handover-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Handover(folder)
    }

    fn start(&self) -> Alone {
        alone(None, &[("TMPDIR", &self.0.to_string_lossy())])
    }

    /// The files in it.
    fn files(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.0).expect("a folder").flatten();
        files.map(|file| file.file_name().to_string_lossy().into_owned()).collect()
    }

    fn text(&self) -> String {
        std::fs::read_to_string(self.0.join("sedgerun-bans")).expect("a hand-over file")
    }
}

impl Drop for Handover {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a head hands over with two of its nodes banned.
fn handed_over() -> String {
    let handover = Handover::new("written");
    let alone = handover.start();
    for call in ["disable-server s-3", "disable-server s-1"] {
        assert!(alone.program.call(call).starts_with("YES"));
    }
    let text = handover.text();
    assert_eq!(handover.files(), ["sedgerun-bans"]);
    for call in ["enable-server s-1", "enable-server s-3"] {
        assert!(alone.program.call(call).starts_with("YES"));
    }
    assert_eq!(handover.text(), "sedgerun bans 1\nend 0\n");
    text
}

#[test]
fn bans_are_handed_over_in_the_recorded_bytes() {
    assert_eq!(handed_over(), read_recorded("handed_over_bans.txt"));
}

#[test]
fn the_recorded_bans_are_taken_over() {
    let text = read_recorded("handed_over_bans.txt");
    let mut names = read_bans(&text).expect("names");
    names.sort();
    assert_eq!(names, ["s-1", "s-3"]);
    let handover = Handover::new("read");
    std::fs::write(handover.0.join("sedgerun-bans"), &text).expect("a file");
    let alone = handover.start();
    let two = |said: &String| said.contains("app_out_of_rotation 2\n");
    let said = once(|| alone.program.call("show-stat"), two);
    assert!(two(&said), "{said}");
    assert!(alone.program.call("enable-server s-1").starts_with("YES s-1 enabled"));
    assert_eq!(handover.text(), "sedgerun bans 1\ns-3\nend 1\n");
}

/// The states that a head and its virtual router pass through, as the log and the API name them.
fn states() -> String {
    let discovery = Discovery::start(vec![]);
    let own = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    let shared = TcpListener::bind("127.0.0.100:0").and_then(|socket| socket.local_addr()).expect("a port");
    let vrrp = format!(
        "{}\nvrrp.id=7\nvrrp.priority=255\nvrrp.interval=100000\nvrrp.addresses={}\nvrrp.port={}\n\
         vrrp.listen={own}\nvrrp.peers=127.0.0.1:1\nadmin.listen=127.0.0.1:0\nadmin.token={TOKEN}\n",
        operator(&[]),
        shared.ip(),
        shared.port(),
    );
    let mut child = Program::launch(&config(discovery.address).to_string(), Some(&vrrp));
    let mut log = BufReader::new(child.stderr.take().expect("a log"));
    let (mut lines, mut admin) = (Vec::new(), None);
    let serves = |lines: &[String]| {
        let has = |part: &str| lines.iter().any(|line| line.contains(part));
        has("n0: Starting -> Serving") && has("vrrp 7: Initialize -> Active")
    };
    while !serves(&lines) || admin.is_none() {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("a log") > 0, "it ended: {lines:#?}");
        let at = line.split_once(" admin.listen: ").and_then(|(_, at)| at.trim().parse::<SocketAddr>().ok());
        admin = admin.or(at);
        lines.push(line);
    }
    let said = call(admin.expect("an API"), "GET /v1/status", "", "").expect("an answer");
    let ended = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().expect("kill");
    assert!(ended.success());
    lines.extend(log.lines().map(|line| line.expect("a log")));
    assert!(child.wait().expect("an end").success());
    let changes = lines.iter().filter(|line| line.contains(" -> "));
    let changes = changes.filter_map(|line| Some(line.split_once(" INFO ")?.1.trim().to_owned()));
    let changes: BTreeSet<String> = changes.collect();
    text_of(changes.into_iter().chain([format!("GET /v1/status: vrrp {}", said.body["vrrp"])]))
}

#[test]
fn states_go_by_the_recorded_words() {
    assert_eq!(states(), read_recorded("report_states.txt"));
}

/// The help of every command.
fn help() -> String {
    let commands: [&[&str]; 15] = [
        &[],
        &["serve"],
        &["check"],
        &["completions"],
        &["fleet"],
        &["fleet", "status"],
        &["fleet", "begin"],
        &["fleet", "voters"],
        &["fleet", "lost-after"],
        &["fleet", "add"],
        &["fleet", "remove"],
        &["fleet", "replace"],
        &["fleet", "backup"],
        &["fleet", "restore"],
        &["fleet", "recover"],
    ];
    commands.into_iter().fold(String::new(), |mut all, command| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_sedgerun"));
        for variable in ["LB_CONFIG", "LB_OPERATOR", "LB_MGMT", "SEDGERUN_LOG", "SEDGERUN_LOG_FORMAT"] {
            program.env_remove(variable);
        }
        let output = program.args(command).arg("--help").output().expect("the program");
        assert!(output.status.success(), "{command:?}");
        let said = String::from_utf8(output.stdout).expect("text");
        let _ = writeln!(all, "# sedgerun {}\n{said}", [command, &["--help"]].concat().join(" "));
        all
    })
}

#[test]
fn help_names_the_recorded_commands_and_flags() {
    assert_eq!(help(), read_recorded("help.txt"));
}

#[test]
#[ignore = "writes the fixtures from the present program: once, and never to mend a comparison"]
fn write_the_fixtures() {
    let write = |name: &str, text: String| std::fs::write(recorded(name), text).expect("a file");
    write("help.txt", help());
    write("report_states.txt", states());
    write("handed_over_bans.txt", handed_over());
    write("mgmt.txt", mgmt(&alone(None, &[])));
    write("report_api.txt", api_alone(&with_api()));
    write("report_figures.txt", figures(&alone(None, &[]).program.call("show-stat")));
    let harness = fleet();
    // All heads have heard of each other by then.
    thread::sleep(Duration::from_secs(5));
    write("report_fleet_figures.txt", fleet_figures(&harness));
    write("report_fleet_status_keys.txt", fleet_status_keys(&harness));
    write("report_fleet_roles.txt", fleet_roles(&harness));
    write("report_fleet_table.txt", fleet_table(&harness));
    write("report_fleet_api.txt", fleet_api(&harness));
    write("report_fleet_mgmt.txt", fleet_mgmt(&harness));
}
