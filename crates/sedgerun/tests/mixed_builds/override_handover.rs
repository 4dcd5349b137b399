//! A process hands the backends that it disabled over to one of the other build, through `$TMPDIR`, and back.

use crate::builds::{Build, Direction};
use crate::harness::standin::{Discovery, Fault, Program, StandIn, config, get};
use sedgerun::management::read_bans;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const HANDOVER_FILE: &str = "sedgerun-bans";
/// A process reads the file each 100 ms.
const HANDOVER_TIME: Duration = Duration::from_secs(5);

in_both_directions!(disabled_backends_are_handed_over_and_back);

/// A folder of one test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(direction: Direction) -> Folder {
        let name = format!("sedgerun-mixed-handover-{}-{:?}", std::process::id(), direction.writer);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn handed_over(&self) -> String {
        std::fs::read_to_string(self.0.join(HANDOVER_FILE)).expect("a hand-over file")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start(build: Build, discovery: &Discovery, folder: &Folder) -> Program {
    let mut settings = config(discovery.address);
    settings["mgmt"] = "127.0.0.1:0".into();
    let folder = folder.0.to_str().expect("a path");
    let program = Program::start_executable(&build.executable(), &settings, None, &[("TMPDIR", folder)]);
    wait_until("the endpoint list is known", || {
        program.call("show-stat").contains("app_registry_entries 2\n")
    });
    program
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < HANDOVER_TIME, "not within {HANDOVER_TIME:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn wait_until_disabled(program: &Program, backends: usize) {
    let line = format!("app_out_of_rotation {backends}\n");
    wait_until(&line, || program.call("show-stat").contains(&line));
}

fn carry_out(program: &Program, command: &str) {
    let response = program.call(command);
    assert!(response.starts_with("YES"), "{command}: {response}");
}

fn assert_read_status(program: &Program, expected: &str) {
    let (head, _) = program.ask(&get("1", 2000));
    assert!(head.starts_with(&format!("HTTP/1.1 {expected}")), "{head}");
}

fn disabled_backends_are_handed_over_and_back(direction: Direction) {
    let backends = ["s-1", "s-2"].map(|id| StandIn::start(id, 3, Duration::ZERO, Fault::None));
    let discovery = Discovery::start(backends.iter().map(|backend| backend.entry("ready")).collect());
    let folder = Folder::new(direction);
    let first = start(direction.writer, &discovery, &folder);
    carry_out(&first, "disable-server s-1");
    carry_out(&first, "disable-server s-2");
    assert_eq!(folder.handed_over(), "sedgerun bans 1\ns-1\ns-2\nend 2\n");
    // A process of the other build starts beside it, and then takes its place.
    let next = start(direction.reader, &discovery, &folder);
    wait_until_disabled(&next, 2);
    assert_read_status(&next, "503");
    assert_eq!(backends.each_ref().map(|backend| backend.runs("GET")), [0, 0]);
    carry_out(&next, "enable-server s-2");
    wait_until_disabled(&first, 1);
    assert_eq!(read_bans(&folder.handed_over()), Ok(vec!["s-1".to_owned()]));
    first.terminate();
    assert!(first.end().0, "it ends regularly");
    assert_read_status(&next, "200");
    assert_eq!(backends.each_ref().map(|backend| backend.runs("GET")), [0, 1]);
    // Back to the first build, with nothing of it running.
    next.terminate();
    assert!(next.end().0, "it ends regularly");
    let last = start(direction.writer, &discovery, &folder);
    wait_until_disabled(&last, 1);
    assert_read_status(&last, "200");
    assert_eq!(backends.each_ref().map(|backend| backend.runs("GET")), [0, 2]);
    carry_out(&last, "enable-server s-1");
    wait_until_disabled(&last, 0);
    assert_eq!(folder.handed_over(), "sedgerun bans 1\nend 0\n");
}
