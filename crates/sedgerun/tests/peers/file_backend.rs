//! A sound 9P backend: each file has a number of its own for its lifetime, and a fid refers to its file whatever becomes of
//! the name. Several backends may serve one tree. What is done to each file is noted.

use crate::standin::{receive, stat};
use sedgerun_protocol_9p::{MODE_TRUNCATE, Message, QID_DIRECTORY, Qid, stat_name};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// The number of the tree's root.
pub const ROOT: u64 = 0;
/// The bit of a file's permissions that makes it a directory.
pub const DIRECTORY_PERMISSION: u32 = 0x8000_0000;

/// Something that was done to a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    Read,
    /// With what was written.
    Wrote(Vec<u8>),
    Truncated,
    Stated,
    /// To this name.
    Renamed(String),
    Removed,
    /// A file of this name was created in it.
    CreatedIn(String),
}

#[derive(Clone, Debug)]
struct Node {
    kind: u8,
    version: u32,
    data: Vec<u8>,
}

/// The files of one tree.
#[derive(Debug)]
struct Files {
    nodes: BTreeMap<u64, Node>,
    /// By directory and name.
    names: BTreeMap<(u64, String), u64>,
    next: u64,
    deeds: Vec<(u64, Deed)>,
}

/// A tree of files that backends serve.
#[derive(Clone, Debug)]
pub struct FileTree(Arc<Mutex<Files>>);

impl Default for FileTree {
    fn default() -> FileTree {
        let root = Node { kind: QID_DIRECTORY, version: 0, data: Vec::new() };
        let nodes = BTreeMap::from([(ROOT, root)]);
        FileTree(Arc::new(Mutex::new(Files { nodes, names: BTreeMap::new(), next: 1, deeds: Vec::new() })))
    }
}

impl FileTree {
    /// The number of the file with a name in the root.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.0.lock().expect("files").names.get(&(ROOT, name.to_owned())).copied()
    }

    /// The contents of a file, which may have no name any more.
    pub fn contents(&self, number: u64) -> String {
        let files = self.0.lock().expect("files");
        files
            .nodes
            .get(&number)
            .map(|node| String::from_utf8_lossy(&node.data).into_owned())
            .unwrap_or_default()
    }

    /// What has been done to a file.
    pub fn deeds(&self, number: u64) -> Vec<Deed> {
        let files = self.0.lock().expect("files");
        files.deeds.iter().filter(|(file, _)| *file == number).map(|(_, deed)| deed.clone()).collect()
    }

    /// Creates a file, or a directory, in the root; its number.
    pub fn create(&self, name: &str, kind: u8, data: &[u8]) -> u64 {
        let mut files = self.0.lock().expect("files");
        let number = files.create(ROOT, name, kind);
        files.nodes.get_mut(&number).expect("a file").data = data.to_vec();
        number
    }

    /// Renames the file with a name in the root, as another client does.
    pub fn rename(&self, from: &str, to: &str) {
        let mut files = self.0.lock().expect("files");
        let number = files.names.remove(&(ROOT, from.to_owned())).expect("a file");
        files.names.insert((ROOT, to.to_owned()), number);
    }

    /// Gives a file another kind, such as one that says that it is for appending only.
    pub fn set_kind(&self, number: u64, kind: u8) {
        self.0.lock().expect("files").nodes.get_mut(&number).expect("a file").kind = kind;
    }
}

impl Files {
    fn create(&mut self, directory: u64, name: &str, kind: u8) -> u64 {
        let number = self.next;
        self.next += 1;
        self.nodes.insert(number, Node { kind, version: 0, data: Vec::new() });
        self.names.insert((directory, name.to_owned()), number);
        number
    }

    fn note(&mut self, number: u64, deed: Deed) {
        self.deeds.push((number, deed));
    }

    /// The entries of a directory.
    fn entries(&self, directory: u64) -> Vec<u8> {
        let names = self.names.range((directory, String::new())..(directory + 1, String::new()));
        names.flat_map(|((_, name), _)| stat(name)).collect()
    }
}

/// A backend that serves a tree.
#[derive(Clone)]
pub struct FileBackend {
    pub address: SocketAddr,
    pub tree: FileTree,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// What it adds to the numbers of files, if it is no copy of another backend.
    number_offset: u64,
}

impl FileBackend {
    pub fn start(tree: &FileTree) -> FileBackend {
        FileBackend::start_with_offset(tree, 0)
    }

    pub fn start_with_offset(tree: &FileTree, number_offset: u64) -> FileBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let tree = tree.clone();
        let backend = FileBackend { address, tree, connections: Arc::default(), number_offset };
        let served = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = served.clone();
                backend.connections.lock().expect("connections").extend(stream.try_clone());
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut fids = HashMap::new();
        loop {
            let (tag, message) = receive(&mut stream)?;
            let reply = self.answer(&mut fids, message);
            let reply = reply.unwrap_or_else(|| Message::Rerror { ename: "no such file or fid".into() });
            stream.write_all(&reply.encode(tag)).ok()?;
        }
    }

    fn qid(&self, files: &Files, number: u64) -> Option<Qid> {
        let node = files.nodes.get(&number)?;
        Some(Qid { kind: node.kind, version: node.version, path: number + self.number_offset })
    }

    fn answer(&self, fids: &mut HashMap<u32, u64>, message: Message) -> Option<Message> {
        let files = &mut *self.tree.0.lock().expect("files");
        Some(match message {
            Message::Tversion { msize, version } => Message::Rversion { msize, version },
            Message::Tattach { fid, .. } => {
                fids.insert(fid, ROOT);
                Message::Rattach { qid: self.qid(files, ROOT)? }
            }
            Message::Twalk { fid, newfid, names } => {
                let mut at = *fids.get(&fid)?;
                let mut qids = Vec::new();
                for name in &names {
                    let Some(next) = files.names.get(&(at, name.clone())) else { break };
                    at = *next;
                    qids.push(self.qid(files, at)?);
                }
                if qids.is_empty() && !names.is_empty() {
                    return None;
                }
                if qids.len() == names.len() {
                    fids.insert(newfid, at);
                }
                Message::Rwalk { qids }
            }
            Message::Topen { fid, mode } => {
                let number = *fids.get(&fid)?;
                if mode & MODE_TRUNCATE != 0 {
                    files.nodes.get_mut(&number)?.data.clear();
                    files.note(number, Deed::Truncated);
                }
                Message::Ropen { qid: self.qid(files, number)?, iounit: 0 }
            }
            Message::Tcreate { fid, name, perm, .. } => {
                let directory = *fids.get(&fid)?;
                if files.names.contains_key(&(directory, name.clone())) {
                    return None;
                }
                let kind = if perm & DIRECTORY_PERMISSION != 0 { QID_DIRECTORY } else { 0 };
                let number = files.create(directory, &name, kind);
                files.note(directory, Deed::CreatedIn(name));
                fids.insert(fid, number);
                Message::Rcreate { qid: self.qid(files, number)?, iounit: 0 }
            }
            Message::Tread { fid, offset, count } => {
                let number = *fids.get(&fid)?;
                files.note(number, Deed::Read);
                let node = files.nodes.get(&number)?;
                let is_directory = node.kind & QID_DIRECTORY != 0;
                let data = if is_directory { files.entries(number) } else { node.data.clone() };
                let from = data.len().min(offset as usize);
                let to = data.len().min(from + count as usize);
                Message::Rread { data: data[from..to].to_vec().into() }
            }
            Message::Twrite { fid, offset, data } => {
                let number = *fids.get(&fid)?;
                let node = files.nodes.get_mut(&number)?;
                let end = offset as usize + data.len();
                node.data.resize(node.data.len().max(end), 0);
                node.data[offset as usize..end].copy_from_slice(&data);
                node.version += 1;
                files.note(number, Deed::Wrote(data.to_vec()));
                Message::Rwrite { count: data.len() as u32 }
            }
            Message::Tstat { fid } => {
                let number = *fids.get(&fid)?;
                files.note(number, Deed::Stated);
                let name = files.names.iter().find(|(_, file)| **file == number);
                Message::Rstat { stat: stat(name.map_or("/", |((_, name), _)| name)).into() }
            }
            Message::Twstat { fid, stat } => {
                let (number, to) = (*fids.get(&fid)?, stat_name(&stat).ok()?);
                let (directory, from) =
                    files.names.iter().find(|(_, file)| **file == number).map(|(key, _)| key.clone())?;
                if files.names.contains_key(&(directory, to.clone())) {
                    return None;
                }
                files.names.remove(&(directory, from));
                files.names.insert((directory, to.clone()), number);
                files.note(number, Deed::Renamed(to));
                Message::Rwstat
            }
            Message::Tremove { fid } => {
                let number = fids.remove(&fid)?;
                let key =
                    files.names.iter().find(|(_, file)| **file == number).map(|(key, _)| key.clone())?;
                files.names.remove(&key);
                files.note(number, Deed::Removed);
                Message::Rremove
            }
            Message::Tclunk { fid } => {
                fids.remove(&fid)?;
                Message::Rclunk
            }
            Message::Tflush { .. } => Message::Rflush,
            _ => return None,
        })
    }
}
