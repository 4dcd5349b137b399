//! Request ids over the two processes of an upgrade, which accept on one socket.

mod standin;

use serde_json::json;
use standin::{Discovery, Fault, Program, StandIn, config, write_request};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Guards against a request that runs once at each process: its client leaves the one, and sends it to the other.
#[test]
fn an_id_does_not_run_again_at_the_other_process_of_an_upgrade() {
    let backend = StandIn::start("s-1", 3, Duration::from_millis(50), Fault::None);
    let entry = backend.entry("ready");
    let discovery = Discovery::start(vec![entry.clone()]);
    let folder = std::env::temp_dir().join(format!("sedgerun-upgrade-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let folder_text = folder.to_str().expect("a path").to_owned();
    let mut config = config(discovery.address);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    // Each process has a listener of its own here, so that a client can choose; the folder is what they share.
    let listeners =
        [TcpListener::bind("127.0.0.1:0"), TcpListener::bind("127.0.0.1:0")].map(|l| l.expect("a port"));
    let programs = listeners.each_ref().map(|listener| {
        let number = listener.as_raw_fd().to_string();
        rustix::io::fcntl_setfd(listener, rustix::io::FdFlags::empty()).expect("inherited");
        let environment = [
            ("LB_ACCEPT_FD", number.as_str()),
            ("LISTEN_FDS_FIRST_FD", number.as_str()),
            ("LISTEN_FDS", "1"),
            ("TMPDIR", folder_text.as_str()),
        ];
        Program::start_with(&config, None, &environment)
    });
    for round in 0..20 {
        let request = write_request("a0", 1000);
        let mut leaving = TcpStream::connect(programs[round % 2].http).expect("a connection");
        leaving.write_all(request.as_bytes()).expect("sent");
        std::thread::sleep(Duration::from_millis(30));
        drop(leaving);
        let (head, _) = programs[1 - round % 2].ask(&request);
        assert!(head.starts_with("HTTP/1.1 409"), "round {round}: {head}");
    }
    std::thread::sleep(Duration::from_millis(1200));
    assert!(backend.runs("PUT") <= 20, "{} runs of 20 requests", backend.runs("PUT"));
    drop(programs);
    let _ = std::fs::remove_dir_all(folder);
}
