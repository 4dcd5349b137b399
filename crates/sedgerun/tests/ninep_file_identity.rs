//! A client's fid refers to one file. Where the head has to walk its path anew, as a connection or a backend was replaced,
//! the path may lead to another file: nothing is read from that, written to it or done with it for the client.

mod peers;
mod standin;

use peers::{DIRECTORY_PERMISSION, Deed, FileBackend, FileTree, ROOT};
use sedgerun_protocol_9p::*;
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator, stat};
use std::thread;
use std::time::Duration;

const MODE_READ_WRITE: u8 = 2;
/// The bit of a qid's type that marks a file for appending only.
const QID_APPEND: u8 = 0x40;
/// Time in which the head has noticed that a backend has closed its connections.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// A head in front of backends at one shard, of which discovery lists the first as ready.
struct Stand {
    backends: Vec<FileBackend>,
    nodes: Vec<StandIn>,
    discovery: Discovery,
    program: Program,
}

impl Stand {
    fn start(backends: Vec<FileBackend>) -> Stand {
        let node = |(number, backend): (usize, &FileBackend)| {
            let mut node = StandIn::start(&format!("s-{number}"), 3, Duration::ZERO, Fault::None);
            node.ninep = backend.address;
            node
        };
        let nodes: Vec<StandIn> = backends.iter().enumerate().map(node).collect();
        let discovery = Discovery::start(vec![nodes[0].entry("ready")]);
        let mut files = operator(&nodes.iter().collect::<Vec<&StandIn>>());
        for number in 1..nodes.len() {
            files = files.replace(&format!("boxes.{number}.shard=3"), &format!("boxes.{number}.shard=4"));
        }
        let program = Program::start(&config(discovery.address), Some(&files));
        thread::sleep(Duration::from_millis(100));
        Stand { backends, nodes, discovery, program }
    }

    /// One backend with one tree.
    fn with_tree() -> (Stand, FileTree) {
        let tree = FileTree::default();
        (Stand::start(vec![FileBackend::start(&tree)]), tree)
    }

    fn attach(&self) -> Client {
        Client::attach(self.program.ninep.expect("9P"), "press")
    }

    /// The backend closes its connections, which carry nothing.
    fn close_connections(&self) {
        self.backends[0].close_connections();
        thread::sleep(CLOSE_TIME);
    }

    /// The first backend drains, and the second takes its place.
    fn replace_backend(&self) {
        self.discovery.set(vec![self.nodes[0].entry("draining"), self.nodes[1].entry("ready")]);
        thread::sleep(Duration::from_millis(100));
    }
}

fn assert_refused(reply: &Message, what: &str) {
    let Message::Rerror { ename } = reply else { panic!("{what}: {reply:?}") };
    assert!(ename.starts_with("stale file handle"), "{what}: {ename}");
}

/// Puts a new file in the place of `cover`, as programs do that save a file; the numbers of the old and the new one.
fn replace_cover(tree: &FileTree) -> (u64, u64) {
    let old = tree.number("cover").expect("a file");
    tree.rename("cover", "cover.old");
    (old, tree.create("cover", 0, b"the new cover"))
}

/// The messages that refer to a file by a fid, each with its name.
fn messages() -> Vec<(&'static str, Message)> {
    vec![
        ("read", Message::Tread { fid: 1, offset: 0, count: 100 }),
        ("write", Message::Twrite { fid: 1, offset: 0, data: b"THE NEXT DRAFT"[..].into() }),
        ("stat", Message::Tstat { fid: 1 }),
        ("wstat", Message::Twstat { fid: 1, stat: stat("renamed").into() }),
        ("remove", Message::Tremove { fid: 1 }),
    ]
}

/// Guards against a file that becomes another client's after an idle close, for each message over an open fid.
#[test]
fn an_open_file_does_not_become_another_when_its_connection_is_replaced() {
    for (name, message) in messages() {
        let (stand, tree) = Stand::with_tree();
        tree.create("cover", 0, b"the first cover");
        let mut client = stand.attach();
        client.walk(1, &["cover"]);
        assert!(matches!(client.open(1, MODE_READ_WRITE), Message::Ropen { .. }));
        let (_, new) = replace_cover(&tree);
        stand.close_connections();
        assert_refused(&client.call(message), name);
        assert_eq!(tree.deeds(new), [], "{name}");
        assert_eq!((tree.number("cover"), tree.contents(new)), (Some(new), "the new cover".into()), "{name}");
        // The session goes on.
        assert!(matches!(client.walk(9, &["cover"]), Message::Rwalk { .. }), "{name}");
    }
}

/// Guards against the same for a fid that is not open, which is walked anew for each message: no close is needed.
#[test]
fn a_walked_file_does_not_become_another_when_that_takes_its_name() {
    let open = |mode| ("open", Message::Topen { fid: 1, mode });
    let further = [open(0), open(MODE_READ_WRITE | MODE_TRUNCATE)];
    for (name, message) in messages().into_iter().skip(2).chain(further) {
        let (stand, tree) = Stand::with_tree();
        tree.create("cover", 0, b"the first cover");
        let mut client = stand.attach();
        client.walk(1, &["cover"]);
        let (_, new) = replace_cover(&tree);
        assert_refused(&client.call(message), name);
        assert_eq!(tree.deeds(new), [], "{name}");
        assert_eq!((tree.number("cover"), tree.contents(new)), (Some(new), "the new cover".into()), "{name}");
    }
}

/// Guards against a file that another client has created, and that goes as a fid is closed which removes its file.
#[test]
fn a_clunk_that_removes_its_file_does_not_remove_another() {
    for closes in [false, true] {
        let (stand, tree) = Stand::with_tree();
        tree.create("cover", 0, b"the first cover");
        let mut client = stand.attach();
        client.walk(1, &["cover"]);
        client.open(1, MODE_READ_WRITE | MODE_REMOVE_ON_CLOSE);
        let (old, new) = replace_cover(&tree);
        if closes {
            stand.close_connections();
        }
        assert_eq!(client.call(Message::Tclunk { fid: 1 }), Message::Rclunk);
        assert_eq!(tree.deeds(new), [], "closed: {closes}");
        // On its own connection the open fid still means its file.
        assert_eq!(tree.deeds(old).contains(&Deed::Removed), !closes);
    }
}

/// A fid that is open means its file under its new name, for as long as its connection lasts.
#[test]
fn an_open_file_is_found_under_its_new_name_on_its_own_connection() {
    for (name, message) in messages() {
        let (stand, tree) = Stand::with_tree();
        tree.create("cover", 0, b"the first cover");
        let mut client = stand.attach();
        client.walk(1, &["cover"]);
        client.open(1, MODE_READ_WRITE);
        let (old, new) = replace_cover(&tree);
        let reply = client.call(message);
        assert!(!matches!(reply, Message::Rerror { .. }), "{name}: {reply:?}");
        assert_eq!((tree.deeds(old).len(), tree.deeds(new)), (1, Vec::new()), "{name}");
    }
}

/// Guards against entries of another directory, which came behind those of the one that a client was reading.
#[test]
fn a_directory_that_is_being_read_does_not_become_another() {
    let (stand, tree) = Stand::with_tree();
    tree.create("pages", QID_DIRECTORY, b"");
    let mut client = stand.attach();
    client.walk(1, &["pages"]);
    assert!(matches!(client.open(1, 0), Message::Ropen { .. }));
    assert!(matches!(client.read(1), Message::Rread { .. }));
    tree.rename("pages", "pages.old");
    let new = tree.create("pages", QID_DIRECTORY, b"");
    stand.close_connections();
    assert_refused(&client.read(1), "readdir");
    assert_eq!(tree.deeds(new), []);
}

/// Guards against a walk, or a new file, in a directory that another one has replaced.
#[test]
fn nothing_is_walked_to_or_created_in_another_directory() {
    let (stand, tree) = Stand::with_tree();
    tree.create("pages", QID_DIRECTORY, b"");
    let mut client = stand.attach();
    client.walk(1, &["pages"]);
    tree.rename("pages", "pages.old");
    let new = tree.create("pages", QID_DIRECTORY, b"");
    let walk = Message::Twalk { fid: 1, newfid: 2, names: vec!["first".into()] };
    assert_refused(&client.call(walk), "walk");
    let create = Message::Tcreate { fid: 1, name: "first".into(), perm: 0o644, mode: MODE_WRITE };
    assert_refused(&client.call(create), "create");
    assert_eq!(tree.deeds(new), []);
}

/// Guards against a directory under the number of a file.
#[test]
fn a_file_does_not_become_a_directory_of_the_same_number() {
    let (stand, tree) = Stand::with_tree();
    let number = tree.create("cover", 0, b"the first cover");
    let mut client = stand.attach();
    client.walk(1, &["cover"]);
    client.open(1, 0);
    tree.set_kind(number, QID_DIRECTORY);
    stand.close_connections();
    assert_refused(&client.read(1), "read");
}

/// A file stays the same when it is written to, and when its mode is changed.
#[test]
fn a_file_that_was_changed_is_read_and_written_on_after_a_close() {
    let (stand, tree) = Stand::with_tree();
    let mut client = stand.attach();
    client.walk(1, &[]);
    let create = Message::Tcreate { fid: 1, name: "cover".into(), perm: 0o644, mode: MODE_READ_WRITE };
    assert!(matches!(client.call(create), Message::Rcreate { .. }));
    let number = tree.number("cover").expect("a file");
    for round in 0..3 {
        let text = format!("draft {round}");
        let write = Message::Twrite { fid: 1, offset: 0, data: text.clone().into_bytes().into() };
        assert_eq!(client.call(write), Message::Rwrite { count: 7 });
        tree.set_kind(number, if round == 1 { QID_APPEND } else { 0 });
        stand.close_connections();
        assert_eq!(client.read(1), Message::Rread { data: text.into_bytes().into() });
    }
    assert_eq!(client.call(Message::Tremove { fid: 1 }), Message::Rremove);
    assert_eq!(tree.number("cover"), None);
}

/// Another backend of the shard serves the same file where it knows it by the same number, and refuses where it does not.
#[test]
fn a_file_does_not_become_another_at_another_backend() {
    for (offset, is_same) in [(0, true), (1000, false)] {
        let tree = FileTree::default();
        let number = tree.create("cover", 0, b"the first cover");
        let second = FileBackend::start_with_offset(&tree, offset);
        let stand = Stand::start(vec![FileBackend::start(&tree), second]);
        let mut client = stand.attach();
        client.walk(1, &["cover"]);
        client.open(1, MODE_READ_WRITE);
        client.walk(2, &["cover"]);
        stand.replace_backend();
        let write = Message::Twrite { fid: 1, offset: 0, data: b"THE"[..].into() };
        let replies = [client.call(write), client.read(1), client.call(Message::Tstat { fid: 2 })];
        let root = client.call(Message::Tstat { fid: 0 });
        if is_same {
            assert_eq!(replies[0], Message::Rwrite { count: 3 });
            assert_eq!(tree.contents(number), "THE first cover");
            assert!(matches!(root, Message::Rstat { .. }), "{root:?}");
        } else {
            replies.iter().chain([&root]).for_each(|reply| assert_refused(reply, "another backend"));
            assert_eq!((tree.deeds(number), tree.deeds(ROOT)), (Vec::new(), Vec::new()));
        }
    }
}

/// Guards against a name that stays with a fid though its file has gone: the file is not created or found anew.
#[test]
fn a_file_that_was_removed_and_created_anew_is_another() {
    let (stand, tree) = Stand::with_tree();
    tree.create("cover", 0, b"the first cover");
    let (mut client, mut other) = (stand.attach(), stand.attach());
    client.walk(1, &["cover"]);
    client.open(1, MODE_READ_WRITE);
    other.walk(1, &["cover"]);
    assert_eq!(other.call(Message::Tremove { fid: 1 }), Message::Rremove);
    other.walk(1, &[]);
    let perm = 0o644 | DIRECTORY_PERMISSION;
    let create = Message::Tcreate { fid: 1, name: "cover".into(), perm, mode: 0 };
    assert!(matches!(other.call(create), Message::Rcreate { .. }));
    stand.close_connections();
    assert_refused(&client.read(1), "read");
}
