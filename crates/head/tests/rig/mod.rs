//! Several real heads that keep state for each other, with a troublemaker on each directed link between them.

#![allow(dead_code)]

#[path = "../standin/mod.rs"]
pub mod standin;

use sedgerun_rehearse::troublemaker::{Link, Trouble};
use serde_json::{Value, json};
use standin::{Discovery, Program, config};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

static RIGS: AtomicU32 = AtomicU32::new(0);
const TOKEN: &str = "a-token-for-the-tests";

/// Heads `n0`, `n1`, ... of one fleet.
pub struct Rig {
    pub heads: Vec<Option<Program>>,
    pub dirs: Vec<PathBuf>,
    /// `links[a][b]`: where `a` dials `b`.
    pub links: Vec<Vec<Link>>,
    discovery: Discovery,
    root: PathBuf,
}

/// An answer of the administration API.
#[derive(Clone, Debug)]
pub struct Said {
    pub status: u16,
    pub version: Option<u64>,
    pub body: Value,
}

impl Rig {
    /// Starts heads that hold nothing.
    pub fn start(heads: usize) -> Rig {
        let number = RIGS.fetch_add(1, Ordering::SeqCst);
        let root = std::env::temp_dir().join(format!("sedgerun-rig-{}-{number}", std::process::id()));
        let links =
            (0..heads).map(|_| (0..heads).map(|_| Link::start().expect("a link")).collect()).collect();
        let mut rig = Rig {
            heads: (0..heads).map(|_| None).collect(),
            dirs: (0..heads).map(|head| root.join(format!("store{head}"))).collect(),
            links,
            discovery: Discovery::start(vec![]),
            root,
        };
        (0..heads).for_each(|head| rig.up(head));
        rig
    }

    /// Starts heads and begins their fleet.
    pub fn begun(heads: usize) -> Rig {
        let rig = Rig::start(heads);
        let begun = rig.ask(0, &["begin"]);
        assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
        rig.leader(&(0..heads).collect::<Vec<_>>());
        rig
    }

    /// What a head is started with.
    pub fn files(&self, head: usize) -> (Value, String) {
        let mut config = config(self.discovery.address);
        config["name"] = json!(format!("n{head}"));
        let keepers = self.links[head].iter().enumerate();
        let keepers = keepers.map(|(to, link)| format!(" \"n{to}={}\"", link.address));
        let operator = format!(
            "(ninep (listen \"127.0.0.1:0\"))\n(admin (listen \"127.0.0.1:0\") (token \"{TOKEN}\"))\n\
             (fleet (name \"rig\") (secret \"known to the rig alone\") (listen \"127.0.0.1:0\")\n  (dir \"{}\")\n  \
             (keepers{}))",
            self.dirs[head].display(),
            keepers.collect::<String>()
        );
        (config, operator)
    }

    /// Starts a head, anew or again; its store stays what it is.
    pub fn up(&mut self, head: usize) {
        let (config, operator) = self.files(head);
        let program = Program::start(&config, Some(&operator));
        let at = program.fleet.expect("a fleet's listener");
        self.links.iter().for_each(|from| from[head].lead(at));
        self.heads[head] = Some(program);
    }

    /// Kills a head at once.
    pub fn kill(&mut self, head: usize) {
        self.heads[head] = None;
    }

    /// Kills a head and removes its folder.
    pub fn lose(&mut self, head: usize) {
        self.kill(head);
        std::fs::remove_dir_all(&self.dirs[head]).expect("a folder");
    }

    pub fn program(&self, head: usize) -> &Program {
        self.heads[head].as_ref().expect("a running head")
    }

    /// `sedgerun fleet ...` with a head's files.
    pub fn ask(&self, head: usize, words: &[&str]) -> Output {
        let (config, operator) = self.program(head).files();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun"));
        command.arg("fleet").args(words).env("LB_CONFIG", config).env("LB_OPERATOR", operator);
        command.output().expect("the command line")
    }

    /// How the keepers stand, as a head's command line says it.
    pub fn status(&self, head: usize) -> Value {
        let said = self.ask(head, &["status", "--json"]);
        serde_json::from_slice(&said.stdout).unwrap_or_default()
    }

    /// Waits until these heads all name one of them as leader.
    pub fn leader(&self, among: &[usize]) -> usize {
        let begun = Instant::now();
        loop {
            let status = self.status(among[0]);
            let told = |head: &usize| status["heads"][*head]["leader"].as_str().map(str::to_owned);
            let leaders: Vec<_> = among.iter().map(told).collect();
            let leader = leaders[0].as_ref().and_then(|name| name.strip_prefix('n')?.parse().ok());
            if let Some(leader) = leader.filter(|leader| among.contains(leader))
                && leaders.iter().all(|told| *told == leaders[0])
            {
                return leader;
            }
            assert!(begun.elapsed() < Duration::from_secs(20), "no leader: {status}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a head has synced all that the leader holds.
    pub fn synced(&self, head: usize) {
        let begun = Instant::now();
        loop {
            let leader = self.leader(&(0..self.heads.len()).collect::<Vec<_>>());
            let status = &self.status(leader)["heads"][leader];
            let keepers = status["keepers"].as_array().cloned().unwrap_or_default();
            let known = keepers.iter().find(|keeper| keeper["head"] == format!("n{head}"));
            if known.is_some_and(|keeper| keeper["matched"].is_u64() && keeper["matched"] == status["last"]) {
                return;
            }
            assert!(begun.elapsed() < Duration::from_secs(10), "n{head} lags: {status}");
        }
    }

    /// Puts a trouble on all links from a head, and its mirror on all links to it.
    pub fn trouble(&self, head: usize, from: Trouble, to: Trouble) {
        for other in (0..self.heads.len()).filter(|other| *other != head) {
            self.links[head][other].suffer(from);
            self.links[other][head].suffer(to);
        }
    }

    /// The administration API of a head.
    pub fn api(&self, head: usize) -> SocketAddr {
        self.program(head).admin.expect("an API")
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.heads.clear();
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// Calls an administration API; `None` where no whole answer came.
pub fn call(at: SocketAddr, request: &str, headers: &str, body: &str) -> Option<Said> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let head =
        format!("{request} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer {TOKEN}\r\n");
    let request = format!("{head}{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let version =
        head.lines().find_map(|line| line.to_ascii_lowercase().strip_prefix("fleet-version: ")?.parse().ok());
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = if body.is_empty() { Value::Null } else { serde_json::from_str(body).ok()? };
    Some(Said { status, version, body })
}

/// What an export is set up with.
pub fn export(volume: &str) -> String {
    json!({"volume": volume, "plan": "even", "shard": 3, "readClass": "read", "writeClass": "write",
        "largeClass": "bulk"})
    .to_string()
}
