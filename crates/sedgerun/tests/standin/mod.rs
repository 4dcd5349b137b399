//! Stand-ins for what the program meets: discovery, boxes that speak HTTP and 9P, and a 9P client. And the
//! program itself, started on ports of its own choice.
#![allow(dead_code, reason = "each test file uses a part")]

use sedgerun_protocol_9p::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

static NUMBER: AtomicU32 = AtomicU32::new(0);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let each = Arc::clone(&each);
            thread::spawn(move || each(stream));
        }
    });
}

/// Reads the head of an HTTP message and its body.
pub fn read_http(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut lines = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
        lines.push(line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((lines, body))
}

type List = (u64, Vec<Value>);

/// Discovery: a list, and watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    /// Calls that wait or come while it is set are never answered, not even afterwards.
    silent: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(entries: Vec<Value>) -> Discovery {
        let (listener, address) = listener();
        let list = Arc::new((Mutex::new((1, entries)), Condvar::new()));
        let (held, silent) = (Arc::clone(&list), Arc::<AtomicBool>::default());
        let mute = Arc::clone(&silent);
        serve(listener, move |stream| {
            let mut writer = stream.try_clone().expect("a clone");
            let mut reader = BufReader::new(stream);
            while let Some((lines, _)) = read_http(&mut reader) {
                let since = lines[0].split("since=").nth(1).and_then(|rest| rest.split('&').next());
                let since: u64 = since.and_then(|since| since.parse().ok()).unwrap_or(0);
                let (lock, changed) = &*held;
                let guard = lock.lock().expect("a list");
                let wait = lines[0].split("timeout_ms=").nth(1).and_then(|rest| rest.split(' ').next());
                let wait = Duration::from_millis(wait.and_then(|wait| wait.parse().ok()).unwrap_or(0));
                let waits = |list: &mut List| list.0 <= since && !mute.load(Ordering::SeqCst);
                let (guard, _) = changed.wait_timeout_while(guard, wait, waits).expect("a list");
                if mute.load(Ordering::SeqCst) {
                    drop(guard);
                    while read_http(&mut reader).is_some() {}
                    return;
                }
                let body = json!({"generation": guard.0, "reset": true, "instances": guard.1}).to_string();
                drop(guard);
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Discovery { address, list, silent }
    }

    /// Falls silent, or answers new calls again.
    pub fn silence(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
        self.list.1.notify_all();
    }

    pub fn set(&self, entries: Vec<Value>) {
        let (lock, changed) = &*self.list;
        let mut list = lock.lock().expect("a list");
        *list = (list.0 + 1, entries);
        changed.notify_all();
    }
}

/// How a box's 9P side misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// It runs writes, and then breaks the connection in place of an answer.
    LoseWrites,
    /// It never answers reads.
    SilentReads,
    /// It breaks the connection at the first read.
    ResetOnce,
}

#[derive(Clone, Default)]
struct File {
    /// Identifies it for its lifetime, whatever its name.
    number: u64,
    data: Vec<u8>,
    directory: bool,
}

/// A box: a tree of files over 9P and a bodies' echo over HTTP, both through one core.
#[derive(Clone)]
pub struct StandIn {
    pub id: String,
    pub shard: u32,
    pub http: SocketAddr,
    pub ninep: SocketAddr,
    /// Runs by message or method, and units served by volume.
    pub runs: Arc<Mutex<HashMap<String, u64>>>,
    core: Arc<(Mutex<(u64, u64)>, Condvar)>,
    work: Duration,
    fault: Arc<Mutex<Fault>>,
    files: Arc<Mutex<BTreeMap<Vec<String>, File>>>,
    pub last: Arc<AtomicU64>,
    /// The number of the file that was created last.
    last_number: Arc<AtomicU64>,
    born: Instant,
}

impl StandIn {
    pub fn start(id: &str, shard: u32, work: Duration, fault: Fault) -> StandIn {
        let ((http_listener, http), (ninep_listener, ninep)) = (listener(), listener());
        let mut files = BTreeMap::new();
        let mut path = Vec::new();
        files.insert(path.clone(), File { directory: true, ..File::default() });
        for depth in 0..40 {
            path.push(format!("d{depth}"));
            files.insert(path.clone(), File { directory: true, ..File::default() });
        }
        files.insert(vec!["proof".into()], File { data: b"a print proof".to_vec(), ..File::default() });
        files.values_mut().zip(0..).for_each(|(file, number)| file.number = number);
        let last_number = Arc::new(AtomicU64::new(files.len() as u64));
        let standin = StandIn {
            id: id.into(),
            shard,
            http,
            ninep,
            runs: Arc::default(),
            core: Arc::default(),
            work,
            fault: Arc::new(Mutex::new(fault)),
            files: Arc::new(Mutex::new(files)),
            last: Arc::default(),
            last_number,
            born: Instant::now(),
        };
        let each = standin.clone();
        serve(http_listener, move |stream| each.http(stream));
        let each = standin.clone();
        serve(ninep_listener, move |stream| each.ninep(stream).unwrap_or_default());
        standin
    }

    pub fn entry(&self, lifecycle: &str) -> Value {
        json!({"instanceId": self.id, "hostPort": self.http.to_string(), "zone": "a", "machineType": "m",
            "cell": self.shard, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
    }

    pub fn runs(&self, what: &str) -> u64 {
        self.runs.lock().expect("runs").get(what).copied().unwrap_or(0)
    }

    /// Milliseconds from its start to the last message that it got.
    pub fn last_ms(&self) -> u64 {
        self.last.load(Ordering::SeqCst)
    }

    pub fn age_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn count(&self, what: &str) {
        *self.runs.lock().expect("runs").entry(what.to_owned()).or_default() += 1;
    }

    fn work(&self) {
        if self.work.is_zero() {
            return;
        }
        // One request at a time, in turn of arrival, whatever wire it came over.
        let (lock, moved) = &*self.core;
        let mut turns = lock.lock().expect("a core");
        let turn = turns.0;
        turns.0 += 1;
        drop(moved.wait_while(turns, |turns| turns.1 != turn).expect("a core"));
        thread::sleep(self.work);
        lock.lock().expect("a core").1 += 1;
        moved.notify_all();
    }

    fn http(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(stream);
        while let Some((lines, body)) = read_http(&mut reader) {
            self.work();
            self.count(lines[0].split(' ').next().unwrap_or_default());
            let id = lines.iter().find(|line| line.to_ascii_lowercase().starts_with("request-id:"));
            let id = id.and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
            self.count(&format!("{} {id}", lines[0]));
            let body = if body.is_empty() { b"read\n".to_vec() } else { body };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn ninep(&self, mut stream: TcpStream) -> Option<()> {
        let mut fids: HashMap<u32, Vec<String>> = HashMap::new();
        loop {
            let (tag, message) = receive(&mut stream)?;
            self.last.store(self.age_ms(), Ordering::SeqCst);
            let name = format!("{message:?}").split([' ', '(']).next().unwrap_or_default().to_owned();
            let fault = *self.fault.lock().expect("a fault");
            let reads = matches!(message, Message::Tread { .. });
            if reads && fault == Fault::SilentReads {
                self.count(&name);
                continue;
            }
            if reads && fault == Fault::ResetOnce {
                *self.fault.lock().expect("a fault") = Fault::None;
                return None;
            }
            self.count(&name);
            if let (Message::Tread { .. }, false) = (&message, self.work.is_zero()) {
                let (node, mut fids) = (self.clone(), fids.clone());
                let mut writer = stream.try_clone().ok()?;
                thread::spawn(move || {
                    node.work();
                    let _ = writer.write_all(&node.answer(&mut fids, message).encode(tag));
                });
                continue;
            }
            let writes = matches!(message, Message::Twrite { .. } | Message::Tcreate { .. });
            let reply = self.answer(&mut fids, message);
            if writes && fault == Fault::LoseWrites {
                return None;
            }
            stream.write_all(&reply.encode(tag)).ok()?;
        }
    }

    fn answer(&self, fids: &mut HashMap<u32, Vec<String>>, message: Message) -> Message {
        let mut files = self.files.lock().expect("files");
        let error = |ename: &str| Message::Rerror { ename: ename.into() };
        let qid = |path: &Vec<String>, files: &BTreeMap<Vec<String>, File>| {
            let kind = if files[path].directory { QID_DIRECTORY } else { 0 };
            Qid { kind, version: 0, path: files[path].number }
        };
        let path = |fid: &u32| fids.get(fid).filter(|path| files.contains_key(*path)).cloned();
        match message {
            Message::Tversion { msize, version } => Message::Rversion { msize, version },
            Message::Tattach { fid, .. } => {
                fids.insert(fid, Vec::new());
                Message::Rattach { qid: qid(&Vec::new(), &files) }
            }
            Message::Twalk { fid, newfid, names } => {
                let Some(mut at) = path(&fid) else { return error("unknown fid") };
                let mut qids = Vec::new();
                for name in &names {
                    if name == ".." {
                        drop(at.pop());
                    } else {
                        at.push(name.clone());
                    }
                    if !files.contains_key(&at) {
                        break;
                    }
                    qids.push(qid(&at, &files));
                }
                if qids.is_empty() && !names.is_empty() {
                    return error("file does not exist");
                }
                if qids.len() == names.len() {
                    fids.insert(newfid, at);
                }
                Message::Rwalk { qids }
            }
            Message::Tflush { .. } => Message::Rflush,
            Message::Tclunk { fid } => match fids.remove(&fid) {
                Some(_) => Message::Rclunk,
                None => error("unknown fid"),
            },
            Message::Topen { fid, mode } => match path(&fid) {
                Some(path) => {
                    let qid = qid(&path, &files);
                    if mode & MODE_TRUNCATE != 0 {
                        files.entry(path).and_modify(|file| file.data.clear());
                    }
                    Message::Ropen { qid, iounit: 0 }
                }
                None => error("unknown fid"),
            },
            Message::Tcreate { fid, name, .. } => {
                let Some(mut path) = path(&fid) else { return error("unknown fid") };
                path.push(name);
                if files.contains_key(&path) {
                    return error("file exists");
                }
                let number = self.last_number.fetch_add(1, Ordering::SeqCst) + 1;
                files.insert(path.clone(), File { number, ..File::default() });
                let qid = qid(&path, &files);
                fids.insert(fid, path);
                Message::Rcreate { qid, iounit: 0 }
            }
            Message::Tread { fid, offset, count } => match path(&fid) {
                Some(path) => {
                    let data = &files[&path].data;
                    let from = data.len().min(offset as usize);
                    let to = data.len().min(from + count as usize);
                    Message::Rread { data: data[from..to].to_vec().into() }
                }
                None => error("unknown fid"),
            },
            Message::Twrite { fid, offset, data } => match path(&fid) {
                Some(path) => {
                    let file = files.entry(path).or_default();
                    file.data.truncate(offset as usize);
                    file.data.extend(&data);
                    Message::Rwrite { count: data.len() as u32 }
                }
                None => error("unknown fid"),
            },
            Message::Tremove { fid } => {
                let path = path(&fid);
                fids.remove(&fid);
                match path.and_then(|path| files.remove(&path)) {
                    Some(_) => Message::Rremove,
                    None => error("file does not exist"),
                }
            }
            Message::Tstat { fid } => match path(&fid) {
                Some(path) => Message::Rstat { stat: stat(path.last().map_or("/", String::as_str)).into() },
                None => error("unknown fid"),
            },
            Message::Twstat { fid, stat } => {
                let Some(path) = path(&fid) else { return error("unknown fid") };
                let name = stat_name(&stat).unwrap_or_default();
                if !name.is_empty() {
                    let file = files.remove(&path).unwrap_or_default();
                    let mut renamed = path;
                    renamed.pop();
                    renamed.push(name);
                    files.insert(renamed.clone(), file);
                    fids.insert(fid, renamed);
                }
                Message::Rwstat
            }
            _ => error("not a request"),
        }
    }
}

/// A directory entry that says a name, and leaves the rest as it is.
pub fn stat(name: &str) -> Vec<u8> {
    let mut stat = vec![0xff; 41];
    let size = (41 + 2 + name.len() + 6 - 2) as u16;
    stat[..2].copy_from_slice(&size.to_le_bytes());
    stat.extend((name.len() as u16).to_le_bytes());
    stat.extend(name.bytes());
    stat.extend([0; 6]);
    stat
}

pub fn receive(stream: &mut TcpStream) -> Option<(u16, Message)> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut frame = vec![0; frame_length(head, MAX_MESSAGE_SIZE).ok()? - 4];
    stream.read_exact(&mut frame).ok()?;
    Message::decode(&frame).ok()
}

/// A 9P client with a session begun and an export attached as fid 0.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn attach(address: SocketAddr, export: &str) -> Client {
        let mut client = Client { stream: TcpStream::connect(address).expect("a connection") };
        client.stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        client.stream.set_nodelay(true).expect("no delay");
        let version = Message::Tversion { msize: MAX_MESSAGE_SIZE, version: VERSION.into() };
        client.stream.write_all(&version.encode(NO_TAG)).expect("sent");
        receive(&mut client.stream).expect("a version");
        let attach = Message::Tattach { fid: 0, afid: NO_FID, uname: "u".into(), aname: export.into() };
        assert!(matches!(client.call(attach), Message::Rattach { .. }));
        client
    }

    pub fn send(&mut self, tag: u16, message: &Message) {
        self.stream.write_all(&message.encode(tag)).expect("sent");
    }

    pub fn call(&mut self, message: Message) -> Message {
        self.send(1, &message);
        let (tag, reply) = receive(&mut self.stream).expect("a reply");
        assert_eq!(tag, 1);
        reply
    }

    pub fn walk(&mut self, newfid: u32, names: &[&str]) -> Message {
        let names = names.iter().map(|name| (*name).to_owned()).collect();
        self.call(Message::Twalk { fid: 0, newfid, names })
    }

    pub fn open(&mut self, fid: u32, mode: u8) -> Message {
        self.call(Message::Topen { fid, mode })
    }

    pub fn read(&mut self, fid: u32) -> Message {
        self.call(Message::Tread { fid, offset: 0, count: 1000 })
    }
}

/// The program, running.
pub struct Program {
    child: Child,
    pub http: SocketAddr,
    pub ninep: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub mgmt: Option<SocketAddr>,
    pub fleet: Option<SocketAddr>,
    config: PathBuf,
    log: BufReader<std::process::ChildStderr>,
}

/// The platform's configuration for a test.
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, goal: u64, deadline: u64, repeat: &str| {
        json!({"name": name, "goalTime": goal, "deadline": deadline, "repeat": repeat, "group": "all",
            "worth": 2.0, "lateWorth": 0.2, "streaming": false, "dedupWindow": 0})
    };
    let plan = json!({"name": "even", "nominal": 50.0, "reserve": 0.0, "weight": 1.0, "pays": 1.0});
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "2a",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {"balancers": 1, "period": 2000, "membershipMode": "subscribe", "zones": ["a"],
            "classes": [class("read", 200_000, 1_000_000, "free"),
                class("write", 250_000, 1_200_000, "single_shot"),
                class("bulk", 1_200_000, 4_000_000, "free")],
            "plans": [plan],
            "limits": {"cancel": true, "maxAttempts": 4, "maxRetryAfter": 2_000_000, "connIdle": 15_000_000,
                "dialTimeout": 250_000, "maxOpen": 200},
            "rules": {"drainGrace": 250_000, "askWithin": 10_000_000, "answerSlack": 8000},
            "specifics": {"meanUnits": 1.0, "unitsTop": 6, "meterPeriod": 0}}})
}

/// The operator's file for a test: an export `press` and an export `proofs` at shard 3, and these boxes.
pub fn operator(boxes: &[&StandIn]) -> String {
    let mut lines = vec!["ninep.listen=127.0.0.1:0".to_owned(), "exports.count=2".to_owned()];
    for (i, name) in ["press", "proofs"].iter().enumerate() {
        lines.push(format!("exports.{i}.tenant=horvat\nexports.{i}.name={name}\nexports.{i}.volume=a{i}"));
        lines.push(format!("exports.{i}.plan=even\nexports.{i}.shard=3\nexports.{i}.readClass=read"));
        lines.push(format!("exports.{i}.writeClass=write\nexports.{i}.largeClass=bulk"));
    }
    lines.push(format!("boxes.count={}", boxes.len()));
    for (i, node) in boxes.iter().enumerate() {
        lines.push(format!("boxes.{i}.id={}\nboxes.{i}.address={}", node.id, node.ninep));
        lines.push(format!("boxes.{i}.shard={}", node.shard));
    }
    lines.join("\n")
}

/// The program that these tests were built with.
pub fn executable() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_sedgerun"))
}

impl Program {
    /// Runs it with these files; what it says and its success if it ends at once.
    pub fn launch(config: &str, operator: Option<&str>) -> Child {
        Program::launch_at(config, operator).0
    }

    /// The same, and the path of its configuration.
    fn launch_at(config: &str, operator: Option<&str>) -> (Child, PathBuf) {
        Program::launch_with(config, operator, &[])
    }

    /// The same, with more in its environment.
    fn launch_with(config: &str, operator: Option<&str>, environment: &[(&str, &str)]) -> (Child, PathBuf) {
        Program::launch_executable(&executable(), config, operator, environment)
    }

    /// The same, of any build.
    fn launch_executable(
        executable: &Path,
        config: &str,
        operator: Option<&str>,
        environment: &[(&str, &str)],
    ) -> (Child, PathBuf) {
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let place = std::env::temp_dir().join(format!("sedgerun-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&place).expect("a folder");
        let (config_file, operator_file) = (place.join("config.json"), place.join("operator.conf"));
        std::fs::write(&config_file, config).expect("a file");
        let mut command = Command::new(executable);
        command.env("LB_CONFIG", &config_file).env_remove("LB_OPERATOR").stderr(Stdio::piped());
        command.envs(environment.iter().copied());
        if let Some(operator) = operator {
            std::fs::write(&operator_file, operator).expect("a file");
            command.env("LB_OPERATOR", operator_file);
        }
        (command.spawn().expect("the program"), config_file)
    }

    pub fn start(config: &Value, operator: Option<&str>) -> Program {
        Program::start_with(config, operator, &[])
    }

    /// Starts it with more in its environment.
    pub fn start_with(config: &Value, operator: Option<&str>, environment: &[(&str, &str)]) -> Program {
        Program::start_executable(&executable(), config, operator, environment)
    }

    /// The same, of any build.
    pub fn start_executable(
        executable: &Path,
        config: &Value,
        operator: Option<&str>,
        environment: &[(&str, &str)],
    ) -> Program {
        let (mut child, config) =
            Program::launch_executable(executable, &config.to_string(), operator, environment);
        let mut log = BufReader::new(child.stderr.take().expect("a log"));
        let (mut http, mut ninep, mut admin, mut mgmt, mut fleet) = (None, None, None, None, None);
        let (mut line, mut before) = (String::new(), String::new());
        while !line.contains("Starting -> Serving") {
            line.clear();
            assert!(log.read_line(&mut line).expect("a log") > 0, "the program ended: {before}");
            before.push_str(&line);
            let address = |key: &str| line.split_once(key).and_then(|(_, text)| text.trim().parse().ok());
            http = http.or(address(" listen: ")).or_else(|| passed_address(&line));
            ninep = ninep.or(address(" ninep.listen: "));
            admin = admin.or(address(" admin.listen: "));
            mgmt = mgmt.or(address(" mgmt: "));
            fleet = fleet.or(address(" fleet.listen: "));
        }
        Program { child, http: http.expect("a listener"), ninep, admin, mgmt, fleet, config, log }
    }

    /// Sends a request over HTTP on a connection of its own, and reads the answer.
    pub fn ask(&self, request: &str) -> (String, String) {
        Program::ask_at(self.http, request)
    }

    pub fn ask_at(address: SocketAddr, request: &str) -> (String, String) {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        stream.write_all(request.as_bytes()).expect("sent");
        let (lines, body) = read_http(&mut BufReader::new(stream)).expect("an answer");
        (lines.join("\n"), String::from_utf8(body).expect("text"))
    }

    /// Says one line on the operators' address and reads the whole answer.
    pub fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.mgmt.expect("a mgmt address")).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
        stream.write_all(format!("{line}\n").as_bytes()).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stands it still, or lets it go on.
    pub fn stand_still(&self, still: bool) {
        self.signal(if still { "-STOP" } else { "-CONT" });
    }

    /// Names of its threads.
    pub fn threads(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("its threads");
        let name = |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("comm")).ok();
        tasks.flatten().filter_map(name).map(|name| name.trim().to_owned()).collect()
    }

    /// The files that it was started with: the platform's and the operator's.
    pub fn files(&self) -> (PathBuf, PathBuf) {
        (self.config.clone(), self.config.with_file_name("operator.conf"))
    }

    /// Its process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The most memory that it has had resident, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// The same, unless the process has ended.
    pub fn peak_memory_if_alive(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Whether the process is running. One that has ended is a zombie until it is waited for.
    pub fn is_alive(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|stat| !stat.rsplit(") ").next().unwrap_or_default().starts_with('Z'))
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    /// Replaces its configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("a file");
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let done = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(done.expect("kill").success());
    }

    /// Waits for its end; whether it was a success, and what it said.
    pub fn end(mut self) -> (bool, String) {
        let mut said = String::new();
        self.log.read_to_string(&mut said).expect("a log");
        (self.child.wait().expect("an end").success(), said)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The address of a listener that was passed on to the program, as its log names it.
fn passed_address(line: &str) -> Option<SocketAddr> {
    let (_, named) = line.split_once(" listen: descriptor ")?;
    named.split_once("Ok(")?.1.trim().trim_end_matches(')').parse().ok()
}

/// An id that no other request of this test has.
fn fresh_id() -> String {
    format!("{:016x}", 0xa000 + u64::from(NUMBER.fetch_add(1, Ordering::SeqCst)))
}

/// A read over HTTP.
pub fn get(volume: &str, timeout_ms: u64) -> String {
    format!(
        "GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {0}\r\nX-Qos-Policy: even\r\nX-Chunk: {0:0>16}\r\n\
         Request-Timeout-Ms: {timeout_ms}\r\nX-Placement: volume={volume:0>16},units=1,shard=3,hosts=1\r\n\r\n",
        fresh_id()
    )
}

/// A write over HTTP, at the same shard.
pub fn write_request(volume: &str, timeout_ms: u64) -> String {
    let write = get(volume, timeout_ms).replace("GET /read", "PUT /write");
    write.replace("Host: h", "Host: h\r\nContent-Length: 4") + "body"
}
