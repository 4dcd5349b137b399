//! The command line: what `check` reports on faulty settings, what it converts, and the form of the log.

mod standin;

use serde_json::{Value, json};
use standin::{Discovery, Fault, Program, StandIn, config, operator};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

/// Writes a file of this name and text.
fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sedgerun-command-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn sedgerun(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun"));
    command.args(arguments).env_remove("LB_CONFIG").env_remove("LB_OPERATOR");
    command.output().expect("the program")
}

fn good() -> Value {
    config("127.0.0.1:1".parse().expect("an address"))
}

#[test]
fn check_reports_every_fault_with_key_line_and_column() {
    let mut faulty = good();
    faulty["seed"] = json!("zz");
    faulty["settings"]["classes"][1]["goalTime"] = json!("soon");
    let text = serde_json::to_string_pretty(&faulty).expect("JSON");
    let line_of = |what: &str| text.lines().position(|line| line.contains(what)).expect("a line") + 1;
    let config = write_file("faulty.json", &text);
    let operator = write_file(
        "faulty.sexp",
        "(ninep\n  (listen \"there\"))\n(tenant a (export b (volume \"a\") (plan even)\n  (shard 3) (read-class read)\n  \
         (write-class read) (large-class bulk) (depth 3)))\n",
    );
    let output = sedgerun(&[
        "check",
        "--config",
        &config.to_string_lossy(),
        "--operator",
        &operator.to_string_lossy(),
    ]);
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    let expected = [
        format!("seed is not hexadecimal: zz ({}, line {}, column ", config.display(), line_of("\"zz\"")),
        format!(
            "setting classes.1.goalTime is not a figure: soon ({}, line {}",
            config.display(),
            line_of("soon")
        ),
        format!("setting ninep.listen is not an address: there ({}, line 2, column 3)", operator.display()),
        format!("setting exports.0.depth is unknown ({}, line 5, column 41)", operator.display()),
        format!("exports.0.writeClass names a class that may run twice ({}, line 5", operator.display()),
    ];
    for expected in &expected {
        assert!(stderr.lines().any(|line| line.contains(expected)), "{expected} is not in:\n{stderr}");
    }
    assert_eq!(stderr.lines().count(), expected.len(), "{stderr}");
}

#[test]
fn check_accepts_what_is_shipped_and_converts_the_older_form() {
    let mut site = good();
    for (index, name) in ["citanje", "nova-datoteka", "izvoz"].into_iter().enumerate() {
        site["settings"]["classes"][index]["name"] = json!(name);
    }
    site["settings"]["plans"][0]["name"] = json!("osnovni");
    let config = write_file("site.json", &site.to_string());
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.sexp");
    let output = sedgerun(&["check", "--config", &config.to_string_lossy(), "--operator", shipped]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));

    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let older = write_file("older.conf", &operator(&[&node]));
    let output = sedgerun(&["check", "--convert", "--operator", &older.to_string_lossy()]);
    let forms = String::from_utf8(output.stdout).expect("text");
    // A head that starts with the converted file serves the same exports.
    let discovery = Discovery::start(vec![node.entry("ready")]);
    let program = Program::start(&standin::config(discovery.address), Some(&forms));
    standin::Client::attach(program.ninep.expect("9P"), "proofs");
}

#[test]
fn help_version_and_completions_need_no_settings() {
    for (arguments, named) in
        [(["--help"], "serve"), (["--version"], env!("CARGO_PKG_VERSION")), (["help"], "check")]
    {
        let output = sedgerun(&arguments);
        assert!(output.status.success() && String::from_utf8_lossy(&output.stdout).contains(named));
    }
    let output = sedgerun(&["completions", "bash"]);
    assert!(output.status.success() && String::from_utf8_lossy(&output.stdout).contains("_sedgerun"));
    let output = sedgerun(&[]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("LB_CONFIG is missing"));
}

#[test]
fn log_lines_are_json_on_request_and_levels_apply() {
    let config = write_file("json.json", &good().to_string().replace("127.0.0.1:0", "127.0.0.1:1"));
    let config = config.to_string_lossy();
    // Port 1 cannot be bound by a test that is no root, and nothing may listen twice: either way it ends.
    let _listener = std::net::TcpListener::bind("127.0.0.1:1");
    let output = sedgerun(&["--config", &config, "--log-format", "json"]);
    let stderr = String::from_utf8(output.stderr).expect("text");
    let line: Value = serde_json::from_str(stderr.lines().next().expect("a line")).expect("JSON");
    assert_eq!(line["level"], "ERROR");
    assert!(line["message"].as_str().expect("a text").contains("cannot bind"), "{line}");
    let output = sedgerun(&["--config", &config, "--log", "off"]);
    assert!(!output.status.success() && output.stderr.is_empty());
    let output = sedgerun(&["--config", &config, "--log", "loud=very"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("SEDGERUN_LOG"));
}

/// A head does not start on settings that it cannot keep, and names the key at fault.
#[test]
fn missing_unknown_and_absurd_settings_are_refused_by_their_key() {
    let cases: [(&str, Value, &str); 14] = [
        ("/settings/classes", json!([]), "classes"),
        ("/settings/classes/0/name", json!(null), "classes.0.name"),
        ("/settings/classes/1/name", json!("read"), "classes.1.name"),
        ("/settings/classes/1/repeat", json!("perhaps"), "classes.1.repeat"),
        ("/settings/classes/1/repeat", json!(null), "classes.1.repeat"),
        ("/settings/classes/2/group", json!("nobody"), "classes.2.group"),
        ("/settings/classes/0/deadline", json!(0), "classes.0.deadline"),
        ("/settings/classes/0/deadline", json!(-5), "classes.0.deadline"),
        ("/settings/classes/0/deadline", json!(null), "classes.0.deadline"),
        ("/settings/classes/0/goalTime", json!(1e300), "classes.0.goalTime"),
        ("/settings/limits/maxAttempts", json!(0), "limits.maxAttempts"),
        ("/settings/balancers", json!(0.5), "balancers"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
    ];
    let mut accepted = Vec::new();
    for (pointer, value, key) in cases {
        let mut faulty = good();
        *faulty.pointer_mut(pointer).expect("a key") = value.clone();
        let config = write_file(&format!("{}.json", pointer.replace('/', "-")), &faulty.to_string());
        let output = sedgerun(&["check", "--config", &config.to_string_lossy()]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        if output.status.success() {
            accepted.push(format!("{pointer} {value}"));
            continue;
        }
        assert!(stderr.contains(key), "{pointer} {value}: {key} is not named in:\n{stderr}");
    }
    assert!(accepted.is_empty(), "{accepted:?}");
}
