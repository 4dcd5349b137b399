//! Case 9: a 9P client sends a change and goes; the head sends the change to the brick long after, and it runs.

use review_2::discovery::Discovery;
use review_2::head::{Head, Start, temporary_folder};
use review_2::ninep::{receive, send};
use review_2::record::Record;
use review_2::settings::HeadConfig;
use review_2::{cannot_run, finish, free_address, has_trouble, listen};
use sedgerun_protocol_9p::{Message, NO_FID, NO_TAG, QID_DIRECTORY, Qid};
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An attempt that begins later than this after its client's close is a lost request.
const LIMIT: Duration = Duration::from_millis(100);
/// What the protocol page adds to every time limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// The longest time for which a brick stands still.
const STANDSTILL: Duration = Duration::from_millis(190);
/// How long the client waits before it closes, so that the head has read its message.
const CLIENT_WAITS: Duration = Duration::from_millis(5);
const FILES: usize = 20;

/// A brick over 9P: a directory of files, which clients may remove.
struct Brick {
    record: Record,
    files: Mutex<BTreeSet<String>>,
    /// When each file was removed.
    removed: Mutex<HashMap<String, Instant>>,
    /// The brick stands still at the next walk to this file.
    stands_still_at: Mutex<Option<String>>,
}

fn qid(path: &[String]) -> Qid {
    let hash = path.concat().bytes().fold(7, |hash: u64, byte| hash.wrapping_mul(31) + u64::from(byte));
    Qid { kind: if path.is_empty() { QID_DIRECTORY } else { 0 }, version: 0, path: hash }
}

impl Brick {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut fids: HashMap<u32, Vec<String>> = HashMap::new();
        while let Some((tag, message)) = receive(&mut stream) {
            self.record.line(&format!("brick: {message:?}"));
            let reply = self.reply(&mut fids, message);
            if send(&mut stream, tag, &reply).is_err() {
                return;
            }
        }
    }

    fn reply(&self, fids: &mut HashMap<u32, Vec<String>>, message: Message) -> Message {
        let missing = || Message::Rerror { ename: "file does not exist".to_owned() };
        match message {
            Message::Tversion { msize, version } => Message::Rversion { msize, version },
            Message::Tattach { fid, .. } => {
                fids.insert(fid, Vec::new());
                Message::Rattach { qid: qid(&[]) }
            }
            Message::Twalk { fid, newfid, names } => {
                let Some(mut path) = fids.get(&fid).cloned() else { return missing() };
                path.extend(names.iter().cloned());
                let is_file = path.len() == 1 && self.files.lock().expect("the files").contains(&path[0]);
                if !path.is_empty() && !is_file {
                    return missing();
                }
                let stands_still = self.stands_still_at.lock().expect("a file").take_if(|file| path.last() == Some(file));
                if stands_still.is_some() {
                    self.record.line("brick: stands still");
                    thread::sleep(STANDSTILL);
                }
                let qids = names.iter().map(|_| qid(&path)).collect();
                fids.insert(newfid, path);
                Message::Rwalk { qids }
            }
            Message::Tremove { fid } => match fids.remove(&fid) {
                Some(path) if path.len() == 1 && self.files.lock().expect("the files").remove(&path[0]) => {
                    self.removed.lock().expect("what was removed").insert(path[0].clone(), Instant::now());
                    self.record.line(&format!("brick: {} is REMOVED", path[0]));
                    Message::Rremove
                }
                _ => missing(),
            },
            Message::Tclunk { fid } => {
                fids.remove(&fid);
                Message::Rclunk
            }
            Message::Tflush { .. } => Message::Rflush,
            _ => Message::Rerror { ename: "not supported".to_owned() },
        }
    }
}

/// Sends a message and waits for its reply.
fn call(stream: &mut TcpStream, tag: u16, message: &Message) -> Option<Message> {
    send(stream, tag, message).ok()?;
    receive(stream).map(|(_, reply)| reply)
}

/// A client's session, walked to a file as fid 1.
fn session_at(address: SocketAddr, file: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let version = Message::Tversion { msize: 8192, version: "9P2000".to_owned() };
    call(&mut stream, NO_TAG, &version)?;
    let (uname, aname) = ("prepress".to_owned(), "press".to_owned());
    call(&mut stream, 1, &Message::Tattach { fid: 0, afid: NO_FID, uname, aname })?;
    let walk = Message::Twalk { fid: 0, newfid: 1, names: vec![file.to_owned()] };
    matches!(call(&mut stream, 1, &walk)?, Message::Rwalk { qids } if qids.len() == 1).then_some(stream)
}

fn main() {
    let record = Record::create();
    let names: Vec<String> = (0..FILES).map(|number| format!("proof-{number:02}")).collect();
    let brick = Arc::new(Brick {
        record: record.clone(),
        files: Mutex::new(names.iter().cloned().collect()),
        removed: Mutex::default(),
        stands_still_at: Mutex::default(),
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
    let folder = temporary_folder("9");
    let (http, ninep) = (free_address(), free_address());
    let config = HeadConfig::new(http, discovery.address);
    let operator = format!(
        "(ninep (listen \"{ninep}\") (clients 16))\n(tenant horvat (export press (tree \"\")\n  (volume \
         \"00000003b4d60021\") (plan osnovni) (shard 3) (heads 1) (read-class citanje)\n  (write-class nova-datoteka) \
         (large-class izvoz) (large-bytes 32768) (unit-bytes 16384)))\n(box \"s-5be2a07c\" (address \"{address}\") \
         (shard 3))\n"
    );
    let start = Start { config: config.json(), operator: Some(operator), name: "n1", ..Start::default() };
    let mut head = Head::start(&folder, &start);
    head.wait_until_healthy(http);
    let mut left = HashMap::new();
    for name in &names {
        let Some(mut client) = session_at(ninep, name) else { cannot_run("no session") };
        *brick.stands_still_at.lock().expect("a file") = Some(name.clone());
        record.line(&format!("client: removes {name}"));
        let sent = send(&mut client, 2, &Message::Tremove { fid: 1 }).is_ok();
        if has_trouble() && sent {
            thread::sleep(CLIENT_WAITS);
            drop(client);
            left.insert(name.clone(), Instant::now());
            record.line("client: the connection is CLOSED");
        } else {
            record.line(&format!("client: {:?}", receive(&mut client)));
        }
        thread::sleep(Duration::from_millis(700));
    }
    let removed = brick.removed.lock().expect("what was removed");
    let mut late = Vec::new();
    for (name, left_at) in &left {
        let after = removed.get(name).map_or(Duration::ZERO, |at| at.saturating_duration_since(*left_at));
        if after > LIMIT + SLACK {
            late.push(format!("{name}: {} ms", after.as_millis()));
        }
    }
    late.sort();
    let line = format!("{FILES} files, {} removed, {} late after the close: {late:?}", removed.len(), late.len());
    record.line(&line);
    println!("{line}");
    drop(removed);
    head.kill();
    finish(!late.is_empty())
}
