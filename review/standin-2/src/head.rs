//! Heads as separate processes, started with `run` of the deploy file.

use crate::cannot_run;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The repository's root.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the repository's root")
}

/// What has to be ended and removed with the case: process ids of heads, and folders.
static STARTED: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Creates a temporary folder of this run, which is removed at its end.
pub fn temporary_folder(case: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sedgerun-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    STARTED.lock().expect("what was started").1.push(path.clone());
    path
}

/// Kills the heads that still run, by their ids, and removes the temporary folders.
pub fn clean_up() {
    let (heads, folders) = std::mem::take(&mut *STARTED.lock().expect("what was started"));
    for id in heads {
        send_signal(id, "KILL");
    }
    for folder in folders {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Sends a signal to a process.
pub fn send_signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id} 2>/dev/null")).status();
}

/// The value of a key of the deploy file.
fn deploy(key: &str) -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let start = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(start.as_str())).expect("the key");
    line.trim_end().trim_end_matches('"').to_owned()
}

/// A head that runs. Dropped, it is killed.
pub struct Head {
    child: Child,
    pub log: PathBuf,
}

/// How a head is started.
#[derive(Default)]
pub struct Start<'a> {
    pub config: String,
    /// The operator's file.
    pub operator: Option<String>,
    /// The name of the process's files.
    pub name: &'a str,
    /// The clients' listening socket, which the platform holds during an upgrade.
    pub listener: Option<&'a TcpListener>,
}

impl Head {
    /// Starts a head with files in a folder; the processes of one folder share `$TMPDIR`.
    pub fn start(folder: &Path, start: &Start<'_>) -> Head {
        let config = folder.join(format!("{}.json", start.name));
        std::fs::write(&config, &start.config).expect("a configuration");
        let shared = folder.join("tmp");
        std::fs::create_dir_all(&shared).expect("a folder");
        let log = folder.join(format!("{}.log", start.name));
        let run = deploy("run");
        let mut command = Command::new("/bin/sh");
        // The listening socket comes as descriptor 0 and is passed on as descriptor 3, as the platform does.
        let script = match start.listener {
            Some(_) => format!("exec 3<&0 0</dev/null; export LB_ACCEPT_FD=3; {run}"),
            None => run,
        };
        command.arg("-c").arg(script).current_dir(root());
        command.env("LB_CONFIG", &config).env("TMPDIR", &shared).env("SEDGERUN_LOG", "info");
        command.env_remove("LB_OPERATOR").env_remove("LB_ACCEPT_FD").env_remove("LB_MGMT");
        if let Some(operator) = &start.operator {
            let file = folder.join(format!("{}.sexp", start.name));
            std::fs::write(&file, operator).expect("an operator's file");
            command.env("LB_OPERATOR", &file);
        }
        command.stdin(match start.listener {
            Some(listener) => Stdio::from(OwnedFd::from(listener.try_clone().expect("a descriptor"))),
            None => Stdio::null(),
        });
        command.stdout(Stdio::null()).stderr(File::create(&log).expect("a log"));
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("no head: {error}")));
        STARTED.lock().expect("what was started").0.push(child.id());
        Head { child, log }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let runs = matches!(self.child.try_wait(), Ok(None));
        if !runs {
            STARTED.lock().expect("what was started").0.retain(|id| *id != self.child.id());
        }
        runs
    }

    /// Waits until the head answers `GET /healthz` with 200.
    pub fn wait_until_healthy(&mut self, address: SocketAddr) {
        self.wait_until("healthy", || {
            let Ok(mut stream) = TcpStream::connect(address) else { return false };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: sesvete\r\nConnection: close\r\n\r\n");
            let mut text = String::new();
            let _ = stream.read_to_string(&mut text);
            text.starts_with("HTTP/1.1 200")
        });
    }

    /// Waits until a condition holds; the case cannot run if the head ends before, or within 10 s.
    pub fn wait_until(&mut self, what: &str, mut condition: impl FnMut() -> bool) {
        let begun = Instant::now();
        while !condition() {
            if !self.is_running() || begun.elapsed() > Duration::from_secs(10) {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                let end: Vec<&str> = log.lines().rev().take(5).collect();
                cannot_run(&format!("the head is not {what}: {end:?}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits for the end of the process; whether it came in time.
    pub fn wait_for_end(&mut self, time: Duration) -> bool {
        let begun = Instant::now();
        while self.is_running() {
            if begun.elapsed() > time {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().expect("what was started").0.retain(|id| *id != self.child.id());
    }
}

impl Drop for Head {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One call of an operator; the answer.
pub fn call_mgmt(address: SocketAddr, line: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(format!("{line}\n").as_bytes());
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}
