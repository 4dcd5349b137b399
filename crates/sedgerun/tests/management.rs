//! The management address on loopback: its commands, malformed lines, silent callers, overrides and draining.

mod standin;

use standin::{Discovery, Fault, Program, StandIn, config, get};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn start_one_backend() -> (StandIn, Discovery, Program) {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![node.entry("ready")]);
    let mut settings = config(discovery.address);
    settings["mgmt"] = "127.0.0.1:0".into();
    let program = Program::start(&settings, None);
    thread::sleep(Duration::from_millis(200));
    (node, discovery, program)
}

fn status(program: &Program, request: &str) -> String {
    let (head, _) = program.ask(request);
    head.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn commands_are_answered_and_malformed_lines_get_a_no_with_a_reason() {
    let (_node, _discovery, program) = start_one_backend();
    assert!(program.call("ready").starts_with("YES"));
    for line in ["reboot", "", "disable-server", "ready now", "enable-server s-1", "disable-server s-9"] {
        let answer = program.call(line);
        assert!(answer.starts_with("NO ") && answer.len() > 4, "{line:?}: {answer:?}");
    }
    let long = program.call(&"x".repeat(400));
    assert!(long.starts_with("NO"), "{long:?}");
    // Bytes that are not UTF-8.
    let mut stream = TcpStream::connect(program.mgmt.expect("mgmt")).expect("a connection");
    stream.write_all(b"\xff\xfe\n").expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("NO"), "{answer:?}");
    assert!(status(&program, &get("1", 2000)).contains("200"));
    let stat = program.call("show-stat");
    assert!(stat.starts_with("YES\n") && stat.ends_with("END\n"), "{stat}");
    assert!(stat.contains("app_operations{priority=\"read\",status=\"fulfilled\"} 1\n"), "{stat}");
    assert!(stat.contains("app_operations{priority=\"read\",status=\"relayed\"} 1\n"), "{stat}");
    assert!(stat.contains("app_registry_entries 1\n") && stat.contains("app_out_of_rotation 0\n"), "{stat}");
    assert!(stat.contains("app_open_requests 0\n"), "{stat}");
}

#[test]
fn silent_callers_do_not_delay_others() {
    let (_node, _discovery, program) = start_one_backend();
    let address = program.mgmt.expect("mgmt");
    let silent: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(address).expect("a connection")).collect();
    let mut incomplete = TcpStream::connect(address).expect("a connection");
    incomplete.write_all(b"disable-ser").expect("sent");
    thread::sleep(Duration::from_millis(900));
    let begun = Instant::now();
    assert!(program.call("ready").starts_with("YES"));
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    drop(silent);
}

#[test]
fn a_disabled_backend_gets_no_new_request_until_it_is_enabled() {
    let (node, _discovery, program) = start_one_backend();
    assert!(program.call("disable-server s-1").starts_with("YES"));
    assert!(program.call("disable-server s-1").starts_with("YES"));
    assert!(program.call("show-stat").contains("app_out_of_rotation 1\n"));
    let runs = node.runs("GET");
    let rejected = status(&program, &get("1", 600));
    assert!(rejected.contains("503"), "{rejected}");
    assert_eq!(node.runs("GET"), runs);
    assert!(program.call("enable-server s-1").starts_with("YES"));
    assert!(program.call("enable-server s-1").starts_with("NO"));
    assert!(status(&program, &get("1", 2000)).contains("200"));
    assert_eq!(node.runs("GET"), runs + 1);
}

#[test]
fn a_drained_head_fails_health_checks_until_it_resumes() {
    let (_node, _discovery, program) = start_one_backend();
    let health_check = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    assert!(status(&program, health_check).contains("200"));
    assert!(program.call("drain").starts_with("YES"));
    assert!(status(&program, health_check).contains("503"));
    let (head, _) = program.ask(&get("1", 2000));
    assert!(head.contains("200") && head.to_ascii_lowercase().contains("connection: close"), "{head}");
    assert!(program.call("resume").starts_with("YES"));
    assert!(status(&program, health_check).contains("200"));
}

#[test]
fn overrides_are_handed_over_to_the_next_process_of_the_head_and_back() {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![node.entry("ready")]);
    let mut settings = config(discovery.address);
    settings["mgmt"] = "127.0.0.1:0".into();
    let shared = std::env::temp_dir().join(format!("sedgerun-bans-{}", std::process::id()));
    std::fs::create_dir_all(&shared).expect("a folder");
    let shared = shared.to_str().expect("a path").to_owned();
    let old = Program::start_with(&settings, None, &[("TMPDIR", &shared)]);
    thread::sleep(Duration::from_millis(200));
    assert!(old.call("disable-server s-1").starts_with("YES"));
    let new = Program::start_with(&settings, None, &[("TMPDIR", &shared)]);
    thread::sleep(Duration::from_millis(300));
    assert!(new.call("show-stat").contains("app_out_of_rotation 1\n"));
    assert!(status(&new, &get("1", 600)).contains("503"));
    assert_eq!(node.runs("GET"), 0);
    // The backend may be enabled through the new process; the old one learns of it through the file.
    assert!(new.call("enable-server s-1").starts_with("YES"));
    thread::sleep(Duration::from_millis(300));
    assert!(old.call("show-stat").contains("app_out_of_rotation 0\n"));
    assert!(status(&old, &get("1", 2000)).contains("200"));
    // A corrupt file is named in the log, and the overrides in force stay.
    assert!(new.call("disable-server s-1").starts_with("YES"));
    thread::sleep(Duration::from_millis(300));
    std::fs::write(format!("{shared}/sedgerun-bans"), "sedgerun bans 1\ns-1\n").expect("a file");
    thread::sleep(Duration::from_millis(300));
    assert!(new.call("show-stat").contains("app_out_of_rotation 1\n"));
    assert!(old.call("show-stat").contains("app_out_of_rotation 1\n"));
    let _ = std::fs::remove_dir_all(&shared);
}
