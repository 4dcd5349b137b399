//! A head, started with the command of the deploy file.

use crate::PROCESSES;
use crate::http::call_once;
use crate::record::Record;
use serde_json::{Value, json};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the repository").to_owned()
}

/// A folder for the files of one run; it is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("sedgerun-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The platform's settings: those that the wire page gives for `sesvete-pogon`, as nested JSON.
pub fn settings(heads: u32) -> Value {
    let class = |name: &str, goal: u64, deadline: u64, repeat: &str, worth: f64, late: f64| {
        json!({"name": name, "goalTime": goal, "deadline": deadline, "repeat": repeat, "group": "all",
            "worth": worth, "lateWorth": late, "streaming": false, "dedupWindow": 5_000_000})
    };
    let plan = |name: &str, nominal: f64, reserve: f64, pays: f64| {
        json!({"name": name, "nominal": nominal, "reserve": reserve, "weight": 1.0, "pays": pays,
            "neverOver": 0.0, "mostAtOnce": 0.0, "slack": 0.0})
    };
    json!({"balancers": heads, "family": "stores", "layers": ["spremiste"], "tier": 0, "myNumber": 0, "period": 2000,
        "membershipMode": "subscribe", "weightSource": "rough", "zone": 0,
        "zones": ["hala-a", "hala-b", "hala-c"], "kinds": ["dvojezgra", "mala"],
        "clients": {"marksRetry": true}, "loadInfo": {"how": "off", "fields": []},
        "classes": [class("citanje", 200_000, 1_000_000, "free", 2.0, 0.2),
            class("nova-datoteka", 250_000, 1_200_000, "single_shot", 3.0, 0.2),
            class("izvoz", 1_200_000, 4_000_000, "free", 1.0, 0.3)],
        "plans": [plan("osnovni", 4.1, 2.0, 0.8), plan("poslovni", 6.1, 4.9, 1.2), plan("prioritetni", 10.0, 8.0, 1.5)],
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.2, "worstWindow": 0.25},
        "limits": {"cancel": true, "connIdle": 15_000_000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 300_000,
            "dialTimeout": 250_000, "maxAttempts": 4, "maxOpen": 20_000, "maxRetryAfter": 2_000_000,
            "multiplex": 100, "peers": false, "probing": true, "retryAfter": true, "secondCopies": false},
        "prices": {"probe": 0.0084, "waste": 0.051, "membershipMode": 0.0023},
        "rules": {"answerSlack": 8000, "askWithin": 10_000_000, "drainGrace": 250_000, "fall": 1_500_000,
            "startCapacity": 0.15, "tipMultiple": 3.0, "warmWithin": 18_000_000},
        "specifics": {"changesData": [false, true, false], "coldUnits": 13.0, "idleWorth": 0.05,
            "meanUnits": 1.99, "meterPeriod": 1_000_000, "saysOthers": true, "shareWorth": 0.4,
            "slotsTotal": 9, "unitsTop": 6}})
}

/// What a head is started with.
pub struct HeadFiles {
    pub name: String,
    pub listen: SocketAddr,
    folder: PathBuf,
}

impl HeadFiles {
    /// Writes a head's platform file, and its operator's file where there is one.
    pub fn write(folder: &Path, config: &Value, operator: Option<&str>) -> HeadFiles {
        let name = config["name"].as_str().expect("a name").to_owned();
        let listen = config["listen"].as_str().and_then(|at| at.parse().ok()).expect("an address");
        let folder = folder.join(&name);
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        if let Some(operator) = operator {
            std::fs::write(folder.join("operator.sexp"), operator).expect("a file");
        }
        HeadFiles { name, listen, folder }
    }

    fn command(&self, shell: &str) -> Command {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(shell).current_dir(root()).stdin(Stdio::null());
        command.env("LB_NAME", &self.name).env("LB_LISTEN", self.listen.to_string());
        command.env("LB_CONFIG", self.folder.join("config.json")).env_remove("LB_OPERATOR");
        command.env_remove("LB_ACCEPT_FD").env_remove("LB_MGMT");
        let operator = self.folder.join("operator.sexp");
        if operator.exists() {
            command.env("LB_OPERATOR", operator);
        }
        command
    }

    /// Starts the head with the `run` command of the deploy file, with an empty `$TMPDIR`, and waits until it answers
    /// health checks.
    pub fn start(&self, record: &Record) -> Head {
        self.try_start(record).unwrap_or_else(|| panic!("head {} did not become ready", self.name))
    }

    /// The same; `None` where it ends, or is not ready within 30 s.
    pub fn try_start(&self, record: &Record) -> Option<Head> {
        let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run command");
        let run = line.trim_end().trim_end_matches('"');
        let temporary = self.folder.join("tmp");
        let _ = std::fs::remove_dir_all(&temporary);
        std::fs::create_dir_all(&temporary).expect("a folder");
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("a log");
        let mut command = self.command(run);
        command.env("TMPDIR", temporary).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().expect("the head");
        PROCESSES.lock().expect("processes").push(child.id());
        record.line(format!("platform: starts head {}, process {}", self.name, child.id()));
        let mut head = Head { name: self.name.clone(), listen: self.listen, child: Some(child) };
        if !head.wait_until_ready() {
            record.line(format!("head {}: is not ready", self.name));
            return None;
        }
        record.line(format!("head {}: answers health checks", self.name));
        Some(head)
    }

    /// Runs a command of the program's command line with this head's files; its success and what it said.
    pub fn command_line(&self, words: &str) -> (bool, String) {
        let output =
            self.command(&format!("exec target/release/sedgerun {words}")).output().expect("the command");
        let said = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&said).into_owned())
    }

    /// The log of the head.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// A running head; it is killed when dropped.
pub struct Head {
    pub name: String,
    pub listen: SocketAddr,
    child: Option<Child>,
}

impl Head {
    fn wait_until_ready(&mut self) -> bool {
        let begun = Instant::now();
        loop {
            let ended =
                self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_some()));
            if ended || begun.elapsed() > Duration::from_secs(30) {
                return false;
            }
            let answer =
                call_once(self.listen, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().expect("processes").retain(|id| *id != child.id());
        }
    }

    /// A planned restart's first half: SIGTERM, and SIGKILL where the process has not ended after `kill_after`.
    /// Whether it ended by itself.
    pub fn terminate(&mut self, kill_after: Duration) -> bool {
        self.signal("TERM");
        let begun = Instant::now();
        while begun.elapsed() < kill_after {
            if self.has_ended() {
                self.kill();
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        false
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }
}

impl Drop for Head {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One line at an operators' address, and the answer.
pub fn operator_call(address: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}
