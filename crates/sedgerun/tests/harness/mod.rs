//! Several real heads that keep state for each other, with a fault proxy on each directed link between them.

#![allow(dead_code)]

pub mod large_tenants;
#[path = "../standin/mod.rs"]
pub mod standin;

use sedgerun_testbed::fault_proxy::{Link, LinkFaults, StreamFault};
use serde_json::{Value, json};
use standin::{Discovery, Program, config, executable};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

static HARNESSES: AtomicU32 = AtomicU32::new(0);
const TOKEN: &str = "a-token-for-the-tests";

/// Heads `n0`, `n1`, ... of one fleet.
pub struct Harness {
    pub heads: Vec<Option<Program>>,
    pub dirs: Vec<PathBuf>,
    /// `links[a][b]`: where `a` dials `b`.
    pub links: Vec<Vec<Link>>,
    /// How many of them keep, by their settings.
    voters: usize,
    /// Further forms in the operator's file, and further variables, by head.
    pub forms: Vec<String>,
    pub variables: Vec<Vec<(String, String)>>,
    /// The limits of all heads, in place of those of `config`.
    pub limits: Option<Value>,
    /// The program that each head is started from.
    pub executables: Vec<PathBuf>,
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

impl Harness {
    /// Starts heads that hold nothing.
    pub fn start(heads: usize) -> Harness {
        let mut harness = Harness::laid(heads, heads);
        (0..heads).for_each(|head| harness.up(head));
        harness
    }

    /// Lays out heads, of which the first keep; nothing is started.
    pub fn laid(voters: usize, heads: usize) -> Harness {
        let number = HARNESSES.fetch_add(1, Ordering::SeqCst);
        let root = std::env::temp_dir().join(format!("sedgerun-rig-{}-{number}", std::process::id()));
        let links =
            (0..heads).map(|_| (0..heads).map(|_| Link::start().expect("a link")).collect()).collect();
        Harness {
            heads: (0..heads).map(|_| None).collect(),
            dirs: (0..heads).map(|head| root.join(format!("store{head}"))).collect(),
            links,
            voters,
            forms: vec![String::new(); heads],
            variables: vec![Vec::new(); heads],
            limits: None,
            executables: vec![executable(); heads],
            discovery: Discovery::start(vec![]),
            root,
        }
    }

    /// Starts heads and begins their fleet.
    pub fn begun(heads: usize) -> Harness {
        let mut harness = Harness::laid(heads, heads);
        harness.begin();
        harness
    }

    /// Starts all heads and begins the fleet.
    pub fn begin(&mut self) {
        (0..self.heads.len()).for_each(|head| self.up(head));
        let begun = self.ask(0, &["begin"]);
        assert!(begun.status.success(), "{}", String::from_utf8_lossy(&begun.stderr));
        self.leader(&(0..self.voters).collect::<Vec<_>>());
    }

    /// What a head is started with.
    pub fn files(&self, head: usize) -> (Value, String) {
        let mut config = config(self.discovery.address);
        config["name"] = json!(format!("n{head}"));
        config["mgmt"] = json!("127.0.0.1:0");
        if let Some(limits) = &self.limits {
            config["limits"] = limits.clone();
        }
        let named = |range: std::ops::Range<usize>| {
            let all = range.map(|to| format!(" \"n{to}={}\"", self.links[head][to].address));
            all.collect::<String>()
        };
        let others = named(self.voters..self.heads.len());
        let others = if others.is_empty() { others } else { format!("\n  (heads{others})") };
        let operator = format!(
            "(ninep (listen \"127.0.0.1:0\"))\n(admin (listen \"127.0.0.1:0\") (token \"{TOKEN}\"))\n\
             (fleet (name \"rig\") (secret \"known to the rig alone\") (listen \"127.0.0.1:0\")\n  (dir \"{}\")\n  \
             (keepers{}){others}{})",
            self.dirs[head].display(),
            named(0..self.voters),
            self.forms[head],
        );
        (config, operator)
    }

    /// Starts a head, anew or again; its store stays what it is.
    pub fn up(&mut self, head: usize) {
        let (config, operator) = self.files(head);
        let variables: Vec<(&str, &str)> =
            self.variables[head].iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let program =
            Program::start_executable(&self.executables[head], &config, Some(&operator), &variables);
        let at = program.fleet.expect("a fleet's listener");
        self.links.iter().for_each(|from| from[head].forward_to(at));
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
        self.ask_with(&self.program(head).files(), words)
    }

    /// The same with files that no running head has.
    pub fn ask_with(&self, (config, operator): &(PathBuf, PathBuf), words: &[&str]) -> Output {
        let mut command = Command::new(executable());
        command.arg("fleet").args(words).env("LB_CONFIG", config).env("LB_OPERATOR", operator);
        command.output().expect("the command line")
    }

    /// Writes what a head would be started with.
    pub fn written(&self, config: &Value, operator: &str) -> (PathBuf, PathBuf) {
        let files = (self.root.join("config.json"), self.root.join("operator.sexp"));
        std::fs::write(&files.0, config.to_string()).expect("a file");
        std::fs::write(&files.1, operator).expect("a file");
        files
    }

    /// How a running head stands, as it says itself.
    pub fn own(&self, head: usize) -> Value {
        row(&self.status(head), head).clone()
    }

    /// Whether a running head keeps, as the fleet's leader sees it.
    pub fn votes(&self, head: usize) -> bool {
        self.heads[head].is_some() && self.voters_asked_at(head).contains(&format!("n{head}"))
    }

    /// The voters by the leader's word, in order: those before and after a change while it is not settled, and none
    /// without a leader.
    pub fn voters(&self) -> Vec<String> {
        let asked = (0..self.heads.len()).find(|head| self.heads[*head].is_some());
        asked.map(|head| self.voters_asked_at(head)).unwrap_or_default()
    }

    fn voters_asked_at(&self, head: usize) -> Vec<String> {
        let status = self.status(head);
        let heads = status["heads"].as_array().cloned().unwrap_or_default();
        let leader = heads.iter().find(|said| said["role"] == "leader");
        let voters = leader.and_then(|leader| leader["voters"].as_array().cloned()).unwrap_or_default();
        let voting = voters.iter().filter(|voter| voter["votes"] == true);
        let mut names: Vec<String> =
            voting.filter_map(|voter| Some(voter["head"].as_str()?.to_owned())).collect();
        names.sort();
        names
    }

    /// Waits until something is there.
    pub fn until<T>(&self, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(found) = look() {
                return found;
            }
            if begun.elapsed() > Duration::from_secs(30) {
                let up = (0..self.heads.len()).find(|head| self.heads[*head].is_some());
                panic!("not within 30 s: {what}: {:#}", up.map(|head| self.status(head)).unwrap_or_default());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Calls a head's operators' address.
    pub fn mgmt(&self, head: usize, line: &str) -> String {
        let at = self.program(head).mgmt.expect("an operators' address");
        let mut stream = TcpStream::connect(at).expect("a connection");
        stream.write_all(format!("{line}\n").as_bytes()).expect("a call");
        let mut said = String::new();
        stream.read_to_string(&mut said).expect("an answer");
        said
    }

    /// How the voters stand, as a head's command line says it.
    pub fn status(&self, head: usize) -> Value {
        let said = self.ask(head, &["status", "--json"]);
        serde_json::from_slice(&said.stdout).unwrap_or_default()
    }

    /// Waits until these heads all name one of them as leader.
    pub fn leader(&self, among: &[usize]) -> usize {
        let begun = Instant::now();
        loop {
            let status = self.status(among[0]);
            let told = |head: &usize| row(&status, *head)["leader"].as_str().map(str::to_owned);
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

    /// Waits until just these heads keep, each with its running store, and one leads.
    pub fn wait_for_voters(&self, heads: &[usize]) {
        let begun = Instant::now();
        let asked = *heads.iter().find(|head| self.heads[**head].is_some()).expect("a running head");
        loop {
            let status = self.status(asked);
            let said = status["heads"].as_array().cloned().unwrap_or_default();
            let stores: BTreeMap<&str, &Value> =
                said.iter().filter_map(|head| Some((head["head"].as_str()?, &head["store"]))).collect();
            let leader = said.iter().find(|head| head["role"] == "leader");
            let voters = leader.and_then(|leader| leader["keepers"].as_array()).cloned().unwrap_or_default();
            let is = |voter: &Value, head: usize| {
                let name = format!("n{head}");
                voter["head"] == name && stores.get(name.as_str()) == Some(&&voter["store"])
            };
            let all = heads
                .iter()
                .all(|head| voters.iter().any(|voter| voter["votes"] == true && is(voter, *head)));
            if all && voters.len() == heads.len() {
                return;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "not the keepers {heads:?}: {status:#}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a head has synced all that the leader holds.
    pub fn synced(&self, head: usize) {
        let begun = Instant::now();
        loop {
            let leader = self.leader(&(0..self.heads.len()).collect::<Vec<_>>());
            let status = self.status(leader);
            let status = row(&status, leader);
            let voters = status["keepers"].as_array().cloned().unwrap_or_default();
            let known = voters.iter().find(|voter| voter["head"] == format!("n{head}"));
            if known.is_some_and(|voter| voter["matched"].is_u64() && voter["matched"] == status["last"]) {
                return;
            }
            assert!(begun.elapsed() < Duration::from_secs(10), "n{head} lags: {status}");
        }
    }

    /// Puts a trouble on all links from a head, and its mirror on all links to it.
    pub fn set_faults(&self, head: usize, from: LinkFaults, to: LinkFaults) {
        for other in (0..self.heads.len()).filter(|other| *other != head) {
            self.links[head][other].set_faults(from);
            self.links[other][head].set_faults(to);
        }
    }

    /// The administration API of a head.
    pub fn api(&self, head: usize) -> SocketAddr {
        self.program(head).admin.expect("an API")
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.heads.clear();
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// What a status says of a head.
pub fn row(status: &Value, head: usize) -> &Value {
    let name = format!("n{head}");
    let heads = status["heads"].as_array();
    heads.and_then(|heads| heads.iter().find(|said| said["head"] == name.as_str())).unwrap_or(&Value::Null)
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

pub const CUT: LinkFaults = LinkFaults { cut: true, forward: StreamFault::Pass, backward: StreamFault::Pass };
pub const CALM: LinkFaults =
    LinkFaults { cut: false, forward: StreamFault::Pass, backward: StreamFault::Pass };

pub fn put(at: SocketAddr, tenant: &str, name: &str, key: &str) -> Option<Said> {
    let headers = format!("Idempotency-Key: {key}\r\n");
    call(at, &format!("PUT /v1/tenants/{tenant}/exports/{name}"), &headers, &export("b1"))
}

/// Makes a change at one head after the other until it is settled.
pub fn settle(heads: &[SocketAddr], tenant: &str, name: &str) -> Said {
    let begun = Instant::now();
    loop {
        for at in heads {
            if let Some(said) = put(*at, tenant, name, name).filter(|said| said.status < 300) {
                return said;
            }
        }
        if begun.elapsed() > Duration::from_secs(20) {
            let last: Vec<_> = heads.iter().map(|at| put(*at, tenant, name, name)).collect();
            panic!("{tenant}/{name} is never settled: {last:?}");
        }
    }
}

/// The exports of a tenant, as settled by now.
pub fn exports(at: SocketAddr, tenant: &str) -> Vec<String> {
    let begun = Instant::now();
    loop {
        let said = call(at, &format!("GET /v1/tenants/{tenant}"), "Fleet-Read: latest\r\n", "");
        if let Some(said) = said.filter(|said| said.status == 200) {
            let listed = said.body["exports"].as_array().cloned().unwrap_or_default();
            return listed.iter().filter_map(|export| Some(export["name"].as_str()?.to_owned())).collect();
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "no settled read of {tenant}");
        thread::sleep(Duration::from_millis(20));
    }
}
