//! A file server and a client of 9P2000.

use crate::record::Record;
use sedgerun_protocol_9p::{
    MAX_MESSAGE_SIZE, MODE_WRITE, Message, NO_FID, NO_TAG, QID_DIRECTORY, Qid, VERSION, frame_length,
    stat_name,
};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Reads one message; `None` at the connection's end.
pub fn receive(stream: &mut TcpStream) -> Option<(u16, Message)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; frame_length(length, MAX_MESSAGE_SIZE).ok()? - length.len()];
    stream.read_exact(&mut frame).ok()?;
    Message::decode(&frame).ok()
}

/// A message in a few words, for the record.
pub fn in_words(message: &Message) -> String {
    match message {
        Message::Twrite { fid, offset, data } => {
            format!("Twrite fid {fid}, offset {offset}, {:?}", String::from_utf8_lossy(data))
        }
        Message::Rread { data } => format!("Rread {:?}", String::from_utf8_lossy(data)),
        Message::Tattach { fid, uname, aname, .. } => {
            format!("Tattach fid {fid}, uname {}, aname {aname}", short(uname))
        }
        other => format!("{other:?}"),
    }
}

/// A name, or the beginning of a long one and its length.
fn short(name: &str) -> String {
    if name.len() <= 40 { name.to_owned() } else { format!("{}... ({} bytes)", &name[..16], name.len()) }
}

/// A file or a directory, apart from its names.
struct Node {
    number: u64,
    is_directory: bool,
    data: Vec<u8>,
}

type NodeRef = Arc<Mutex<Node>>;

/// The files of a server, by tree and path. As in any file server, a fid refers to the file itself and not to its name.
#[derive(Default)]
struct Files {
    by_path: BTreeMap<Vec<String>, NodeRef>,
    last_number: u64,
}

impl Files {
    fn add(&mut self, path: Vec<String>, is_directory: bool, data: &[u8]) -> NodeRef {
        self.last_number += 1;
        let node = Node { number: self.last_number, is_directory, data: data.to_vec() };
        let node = Arc::new(Mutex::new(node));
        self.by_path.insert(path, Arc::clone(&node));
        node
    }
}

/// A fid: the path by which its file was reached, and the file.
#[derive(Clone)]
struct Fid {
    path: Vec<String>,
    node: NodeRef,
}

/// A brick that speaks 9P.
#[derive(Clone)]
pub struct FileServer {
    pub id: String,
    pub address: SocketAddr,
    files: Arc<Mutex<Files>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    work: Duration,
    record: Record,
}

impl FileServer {
    /// Starts a server whose trees are directories of these names. Reads and writes take some time.
    pub fn start(id: &str, trees: &[&str], work: Duration, record: &Record) -> FileServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut files = Files::default();
        files.add(Vec::new(), true, b"");
        for tree in trees {
            files.add(vec![(*tree).to_owned()], true, b"");
        }
        let server = FileServer {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            files: Arc::new(Mutex::new(files)),
            connections: Arc::default(),
            work,
            record: record.clone(),
        };
        let served = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = served.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Puts a file in place; a path begins with its tree.
    pub fn put(&self, path: &[&str], data: &str) {
        let path = path.iter().map(|name| (*name).to_owned()).collect();
        self.files.lock().expect("files").add(path, false, data.as_bytes());
    }

    /// What a file holds; `None` where there is none.
    pub fn contents(&self, path: &[&str]) -> Option<String> {
        let path: Vec<String> = path.iter().map(|name| (*name).to_owned()).collect();
        let files = self.files.lock().expect("files");
        let node = files.by_path.get(&path)?.lock().expect("a file");
        Some(String::from_utf8_lossy(&node.data).into_owned())
    }

    /// Resets every connection, as a process that ends and starts again does; the files stay.
    pub fn reset_connections(&self) -> usize {
        let connections = std::mem::take(&mut *self.connections.lock().expect("connections"));
        connections.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        connections.len()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        self.connections.lock().expect("connections").push(stream.try_clone().ok()?);
        let peer = stream.peer_addr().ok()?;
        let mut fids: HashMap<u32, Fid> = HashMap::new();
        loop {
            let (tag, message) = receive(&mut stream)?;
            let words = in_words(&message);
            if matches!(message, Message::Tread { .. } | Message::Twrite { .. }) {
                std::thread::sleep(self.work);
            }
            let reply = self.answer(&mut fids, message);
            self.record.line(format!("brick {}: {peer} tag {tag}: {words} -> {}", self.id, in_words(&reply)));
            stream.write_all(&reply.encode(tag)).ok()?;
        }
    }

    fn answer(&self, fids: &mut HashMap<u32, Fid>, message: Message) -> Message {
        self.reply(fids, message).unwrap_or_else(|ename| Message::Rerror { ename: ename.to_owned() })
    }

    fn reply(&self, fids: &mut HashMap<u32, Fid>, message: Message) -> Result<Message, &'static str> {
        let mut files = self.files.lock().expect("files");
        let known = |fids: &HashMap<u32, Fid>, fid: u32| fids.get(&fid).cloned().ok_or("unknown fid");
        Ok(match message {
            Message::Tversion { msize, version } => {
                fids.clear();
                Message::Rversion { msize, version }
            }
            Message::Tattach { fid, aname, .. } => {
                let path = if aname.is_empty() { Vec::new() } else { vec![aname] };
                let node = files.by_path.get(&path).cloned().ok_or("no such tree")?;
                let qid = qid(&node);
                fids.insert(fid, Fid { path, node });
                Message::Rattach { qid }
            }
            Message::Twalk { fid, newfid, names } => {
                let mut at = known(fids, fid)?;
                let mut qids = Vec::new();
                for name in &names {
                    let mut path = at.path.clone();
                    if name == ".." {
                        drop(path.pop())
                    } else {
                        path.push(name.clone())
                    }
                    let Some(node) = files.by_path.get(&path) else { break };
                    at = Fid { path, node: Arc::clone(node) };
                    qids.push(qid(&at.node));
                }
                if qids.is_empty() && !names.is_empty() {
                    return Err("file does not exist");
                }
                if qids.len() == names.len() {
                    fids.insert(newfid, at);
                }
                Message::Rwalk { qids }
            }
            Message::Tflush { .. } => Message::Rflush,
            Message::Tclunk { fid } => {
                fids.remove(&fid).ok_or("unknown fid")?;
                Message::Rclunk
            }
            Message::Topen { fid, mode } => {
                let file = known(fids, fid)?;
                if mode & sedgerun_protocol_9p::MODE_TRUNCATE != 0 {
                    file.node.lock().expect("a file").data.clear();
                }
                Message::Ropen { qid: qid(&file.node), iounit: 0 }
            }
            Message::Tcreate { fid, name, perm, .. } => {
                let directory = known(fids, fid)?;
                let mut path = directory.path;
                path.push(name);
                if files.by_path.contains_key(&path) {
                    return Err("file exists");
                }
                let node = files.add(path.clone(), perm & 0x8000_0000 != 0, b"");
                let qid = qid(&node);
                fids.insert(fid, Fid { path, node });
                Message::Rcreate { qid, iounit: 0 }
            }
            Message::Tread { fid, offset, count } => {
                let file = known(fids, fid)?;
                let node = file.node.lock().expect("a file");
                let from = node.data.len().min(offset as usize);
                let to = node.data.len().min(from + count as usize);
                Message::Rread { data: node.data[from..to].to_vec().into() }
            }
            Message::Twrite { fid, offset, data } => {
                let file = known(fids, fid)?;
                let mut node = file.node.lock().expect("a file");
                let end = offset as usize + data.len();
                if node.data.len() < end {
                    node.data.resize(end, b'.');
                }
                node.data[offset as usize..end].copy_from_slice(&data);
                Message::Rwrite { count: data.len() as u32 }
            }
            Message::Tremove { fid } => {
                let file = fids.remove(&fid).ok_or("unknown fid")?;
                let is_there =
                    files.by_path.get(&file.path).is_some_and(|node| Arc::ptr_eq(node, &file.node));
                if !is_there {
                    return Err("file does not exist");
                }
                files.by_path.remove(&file.path);
                Message::Rremove
            }
            Message::Tstat { fid } => {
                let file = known(fids, fid)?;
                Message::Rstat { stat: stat(file.path.last().map_or("/", String::as_str)).into() }
            }
            Message::Twstat { fid, stat } => {
                let mut file = known(fids, fid)?;
                let name = stat_name(&stat).map_err(|_| "malformed entry")?;
                if !name.is_empty() {
                    let old = file.path.clone();
                    file.path.pop();
                    file.path.push(name);
                    files.by_path.remove(&old);
                    files.by_path.insert(file.path.clone(), Arc::clone(&file.node));
                    fids.insert(fid, file);
                }
                Message::Rwstat
            }
            _ => return Err("not a request"),
        })
    }
}

fn qid(node: &NodeRef) -> Qid {
    let node = node.lock().expect("a file");
    Qid { kind: if node.is_directory { QID_DIRECTORY } else { 0 }, version: 0, path: node.number }
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

/// A client with a session; its calls are one after the other.
pub struct FileClient {
    name: String,
    stream: TcpStream,
    record: Record,
}

impl FileClient {
    /// Begins a session and attaches an export as fid 0; an error says why not.
    pub fn attach(
        name: &str,
        address: SocketAddr,
        export: &str,
        record: &Record,
    ) -> Result<FileClient, String> {
        let stream = TcpStream::connect(address).map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|error| error.to_string())?;
        let mut client = FileClient { name: short(name), stream, record: record.clone() };
        let version = Message::Tversion { msize: MAX_MESSAGE_SIZE, version: VERSION.into() };
        client.call_with_tag(NO_TAG, &version)?;
        let attach = Message::Tattach { fid: 0, afid: NO_FID, uname: name.into(), aname: export.into() };
        client.call(&attach)?;
        Ok(client)
    }

    /// Sends a message and waits for its reply; an `Rerror` is an error.
    pub fn call(&mut self, message: &Message) -> Result<Message, String> {
        self.call_with_tag(1, message)
    }

    fn call_with_tag(&mut self, tag: u16, message: &Message) -> Result<Message, String> {
        self.record.line(format!("client {}: sends {}", self.name, in_words(message)));
        self.stream.write_all(&message.encode(tag)).map_err(|error| error.to_string())?;
        let reply = receive(&mut self.stream);
        let words = reply.as_ref().map_or("no reply".to_owned(), |(_, reply)| in_words(reply));
        self.record.line(format!("client {}: gets {words}", self.name));
        match reply {
            Some((_, Message::Rerror { ename })) => Err(ename),
            Some((_, reply)) => Ok(reply),
            None => Err("the connection ended".to_owned()),
        }
    }

    pub fn walk(&mut self, newfid: u32, names: &[&str]) -> Result<Message, String> {
        let names = names.iter().map(|name| (*name).to_owned()).collect();
        self.call(&Message::Twalk { fid: 0, newfid, names })
    }

    pub fn open(&mut self, fid: u32, mode: u8) -> Result<Message, String> {
        self.call(&Message::Topen { fid, mode })
    }

    /// Creates a file in the directory of `directory`, and opens it for writing as `fid`.
    pub fn create(&mut self, directory: u32, fid: u32, name: &str) -> Result<Message, String> {
        self.call(&Message::Twalk { fid: directory, newfid: fid, names: Vec::new() })?;
        self.call(&Message::Tcreate { fid, name: name.into(), perm: 0o644, mode: MODE_WRITE })
    }

    pub fn read(&mut self, fid: u32, offset: u64, count: u32) -> Result<String, String> {
        match self.call(&Message::Tread { fid, offset, count })? {
            Message::Rread { data } => Ok(String::from_utf8_lossy(&data).into_owned()),
            other => Err(format!("{other:?}")),
        }
    }

    pub fn write(&mut self, fid: u32, offset: u64, data: &str) -> Result<u32, String> {
        let data = data.as_bytes().to_vec().into();
        match self.call(&Message::Twrite { fid, offset, data })? {
            Message::Rwrite { count } => Ok(count),
            other => Err(format!("{other:?}")),
        }
    }

    /// The socket, for clients that send several messages at once.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
}
