//! Case 8: a 9P client's open file becomes another file when the brick closes an idle connection: the client reads and
//! overwrites what another client has put in its place.

use review_2::discovery::Discovery;
use review_2::head::{Head, Start, temporary_folder};
use review_2::ninep::{receive, send};
use review_2::record::Record;
use review_2::settings::HeadConfig;
use review_2::{cannot_run, finish, free_address, has_trouble, listen};
use sedgerun_protocol_9p::{Message, NO_FID, NO_TAG, QID_DIRECTORY, Qid, stat_name};
use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Open for reading and writing.
const READ_WRITE: u8 = 2;
const ROUNDS: usize = 10;
/// Bytes of a directory entry before its name.
const STAT_BYTES: usize = 41;

/// A brick over 9P: files by name in one directory. A fid that is open refers to its file whatever becomes of the name.
struct Brick {
    record: Record,
    names: Mutex<BTreeMap<String, u64>>,
    files: Mutex<HashMap<u64, Vec<u8>>>,
    connections: Mutex<Vec<TcpStream>>,
}

/// A fid: the name that it was walked to, and the file once it is open.
type Fid = (String, Option<u64>);

impl Brick {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.connections.lock().expect("the connections").extend(stream.try_clone());
        let mut fids: HashMap<u32, Fid> = HashMap::new();
        while let Some((tag, message)) = receive(&mut stream) {
            self.record.line(&format!("brick: {message:?}"));
            let reply = self.reply(&mut fids, message);
            if send(&mut stream, tag, &reply).is_err() {
                return;
            }
        }
    }

    /// Closes all connections, which carry nothing now.
    fn close_idle(&self) {
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line("brick: CLOSES the idle connection");
    }

    fn reply(&self, fids: &mut HashMap<u32, Fid>, message: Message) -> Message {
        self.answer(fids, message)
            .unwrap_or_else(|| Message::Rerror { ename: "no such file or fid".to_owned() })
    }

    fn answer(&self, fids: &mut HashMap<u32, Fid>, message: Message) -> Option<Message> {
        let (mut names, mut files) = (self.names.lock().expect("names"), self.files.lock().expect("files"));
        let qid = |file: u64| Qid { kind: 0, version: 0, path: file };
        let root = Qid { kind: QID_DIRECTORY, version: 0, path: 0 };
        Some(match message {
            Message::Tversion { msize, version } => Message::Rversion { msize, version },
            Message::Tattach { fid, .. } => {
                fids.insert(fid, (String::new(), None));
                Message::Rattach { qid: root }
            }
            Message::Twalk { fid, newfid, names: steps } => {
                let from = fids.get(&fid)?.0.clone();
                let name = steps.last().cloned().unwrap_or(from);
                let qids: Option<Vec<Qid>> =
                    steps.iter().map(|step| names.get(step).map(|file| qid(*file))).collect();
                fids.insert(newfid, (name, None));
                Message::Rwalk { qids: qids? }
            }
            Message::Tcreate { fid, name, .. } if !names.contains_key(&name) => {
                let file = files.len() as u64 + 1;
                files.insert(file, Vec::new());
                names.insert(name.clone(), file);
                fids.insert(fid, (name, Some(file)));
                Message::Rcreate { qid: qid(file), iounit: 0 }
            }
            Message::Topen { fid, .. } => {
                let name = fids.get(&fid)?.0.clone();
                let file = *names.get(&name)?;
                fids.insert(fid, (name, Some(file)));
                Message::Ropen { qid: qid(file), iounit: 0 }
            }
            Message::Twrite { fid, offset, data } => {
                let contents = files.get_mut(&fids.get(&fid)?.1?)?;
                let end = offset as usize + data.len();
                contents.resize(contents.len().max(end), 0);
                contents[offset as usize..end].copy_from_slice(&data);
                Message::Rwrite { count: data.len() as u32 }
            }
            Message::Tread { fid, offset, count } => {
                let contents = files.get(&fids.get(&fid)?.1?)?;
                let from = (offset as usize).min(contents.len());
                let to = (from + count as usize).min(contents.len());
                Message::Rread { data: contents[from..to].to_vec().into() }
            }
            Message::Twstat { fid, stat } => {
                let (old, new) = (fids.get(&fid)?.0.clone(), stat_name(&stat).ok()?);
                let file = names.remove(&old)?;
                names.insert(new.clone(), file);
                fids.insert(fid, (new, None));
                Message::Rwstat
            }
            Message::Tclunk { fid } => {
                fids.remove(&fid)?;
                Message::Rclunk
            }
            Message::Tflush { .. } => Message::Rflush,
            _ => return None,
        })
    }

    fn contents(&self, name: &str) -> String {
        let file = self.names.lock().expect("names").get(name).copied();
        let files = self.files.lock().expect("files");
        file.and_then(|file| files.get(&file))
            .map_or("-".to_owned(), |text| String::from_utf8_lossy(text).into_owned())
    }
}

/// A client's session with a head.
struct Session {
    name: &'static str,
    stream: TcpStream,
    record: Record,
}

impl Session {
    fn begin(name: &'static str, address: SocketAddr, record: &Record) -> Session {
        let Ok(stream) = TcpStream::connect(address) else { cannot_run("no connection") };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut session = Session { name, stream, record: record.clone() };
        session.call(NO_TAG, Message::Tversion { msize: 8192, version: "9P2000".to_owned() });
        let (uname, aname) = (name.to_owned(), "press".to_owned());
        session.call(1, Message::Tattach { fid: 0, afid: NO_FID, uname, aname });
        session
    }

    fn call(&mut self, tag: u16, message: Message) -> Message {
        self.record.line(&format!("{}: {message:?}", self.name));
        let reply = match send(&mut self.stream, tag, &message) {
            Ok(()) => receive(&mut self.stream),
            Err(_) => None,
        };
        let Some((_, reply)) = reply else { cannot_run("a session has ended") };
        self.record.line(&format!("{}: {reply:?}", self.name));
        reply
    }

    fn walk(&mut self, fid: u32, names: &[&str]) {
        let names = names.iter().map(|name| (*name).to_owned()).collect();
        self.call(2, Message::Twalk { fid: 0, newfid: fid, names });
    }

    fn write(&mut self, fid: u32, text: &str) -> bool {
        let data = text.as_bytes().to_vec().into();
        matches!(self.call(3, Message::Twrite { fid, offset: 0, data }), Message::Rwrite { .. })
    }

    fn read(&mut self, fid: u32) -> Option<String> {
        match self.call(4, Message::Tread { fid, offset: 0, count: 100 }) {
            Message::Rread { data } => Some(String::from_utf8_lossy(&data).into_owned()),
            _ => None,
        }
    }

    fn create(&mut self, fid: u32, name: &str) {
        self.walk(fid, &[]);
        self.call(5, Message::Tcreate { fid, name: name.to_owned(), perm: 0o644, mode: READ_WRITE });
    }

    fn rename(&mut self, from: &str, to: &str) {
        self.walk(9, &[from]);
        let mut stat = vec![0xff; STAT_BYTES];
        for text in [to, "", "", ""] {
            stat.extend((text.len() as u16).to_le_bytes());
            stat.extend(text.as_bytes());
        }
        self.call(6, Message::Twstat { fid: 9, stat: stat.into() });
        self.call(7, Message::Tclunk { fid: 9 });
    }
}

fn main() {
    let record = Record::create();
    let brick = Arc::new(Brick {
        record: record.clone(),
        names: Mutex::default(),
        files: Mutex::default(),
        connections: Mutex::default(),
    });
    let (listener, address) = listen();
    let served = Arc::clone(&brick);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let brick = Arc::clone(&served);
            thread::spawn(move || brick.serve(stream));
        }
    });
    let discovery = Discovery::start(Vec::new());
    let folder = temporary_folder("8");
    let (http, ninep) = (free_address(), free_address());
    let operator = format!(
        "(ninep (listen \"{ninep}\") (clients 16))\n(tenant horvat (export press (tree \"\")\n  (volume \
         \"00000003b4d60021\") (plan osnovni) (shard 3) (heads 1) (read-class citanje)\n  (write-class nova-datoteka) \
         (large-class izvoz) (large-bytes 32768) (unit-bytes 16384)))\n(box \"s-5be2a07c\" (address \"{address}\") \
         (shard 3))\n"
    );
    let config = HeadConfig::new(http, discovery.address).json();
    let mut head =
        Head::start(&folder, &Start { config, operator: Some(operator), name: "n1", ..Start::default() });
    head.wait_until_healthy(http);
    let (mut foreign_reads, mut overwritten) = (0, 0);
    for round in 0..ROUNDS {
        let (mut ana, mut ivo) =
            (Session::begin("ana", ninep, &record), Session::begin("ivo", ninep, &record));
        let (name, old) = (format!("cover-{round}"), format!("cover-{round}.old"));
        // Ana works on a file; Ivo puts a new one in its place, as programs do that save a file.
        ana.create(1, &name);
        ana.write(1, "ana's first draft");
        ivo.rename(&name, &old);
        ivo.create(1, &name);
        let is_saved = ivo.write(1, "ivo's new cover");
        if has_trouble() {
            brick.close_idle();
        }
        // The backend is looked at anew after a moment.
        thread::sleep(Duration::from_millis(300));
        let read = ana.read(1);
        let is_acknowledged = ana.write(1, "ANA'S NEXT DRAFT!");
        let (now, was) = (brick.contents(&name), brick.contents(&old));
        let is_foreign = read.as_deref().is_some_and(|read| read != "ana's first draft");
        let is_lost = is_saved && now != "ivo's new cover";
        foreign_reads += usize::from(is_foreign);
        overwritten += usize::from(is_lost);
        record.line(&format!(
            "round {round}: ana read {read:?}, her write was acknowledged: {is_acknowledged}; {name} holds {now:?}, {old} \
             holds {was:?}"
        ));
        // The brick takes clients of a session of their own in each round.
        thread::sleep(Duration::from_millis(1200));
    }
    let line =
        format!("{ROUNDS} rounds: {foreign_reads} reads of another file, {overwritten} files overwritten");
    record.line(&line);
    println!("{line}");
    head.kill();
    finish(foreign_reads + overwritten > 0)
}
