//! The later messages of a 9P operation, of which the last changes something: it is not sent any more once the client has
//! left or cancelled the operation, or the backend has been draining for too long, whatever the earlier ones waited for.

mod standin;

use sedgerun_protocol_9p::*;
use serde_json::json;
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator, receive};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the protocol adds to each limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt begins at most so long after its client has left.
const LEAVE_LIMIT: Duration = Duration::from_millis(100);
/// The grace period of a drain in the settings of these tests.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// What the backend's socket buffers.
const RECEIVE_BUFFER: usize = 16 * 1024;
/// Data of a write that does not fit there.
const LARGE_DATA: usize = 60_000;

/// How the backend delays what it does next.
#[derive(Clone, Copy, Debug, Default)]
struct Delays {
    /// Before it answers a `Twalk`.
    walk: Duration,
    /// Before it reads the next message.
    read: Duration,
}

/// A backend with one file that answers each message after a delay, and notes when it came.
#[derive(Clone)]
struct DelayingBackend {
    address: SocketAddr,
    delays: Arc<Mutex<Delays>>,
    received: Arc<Mutex<Vec<(&'static str, Instant)>>>,
}

impl DelayingBackend {
    fn start() -> DelayingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).expect("a small buffer");
        let address = listener.local_addr().expect("an address");
        let backend = DelayingBackend { address, delays: Arc::default(), received: Arc::default() };
        let served = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = served.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    fn delay(&self, delays: Delays) {
        *self.delays.lock().expect("delays") = delays;
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        loop {
            // The delay counts from the first byte of the message.
            stream.peek(&mut [0]).ok().filter(|bytes| *bytes > 0)?;
            thread::sleep(self.delays.lock().expect("delays").read);
            let (tag, message) = receive(&mut stream)?;
            let reply = self.answer(&message);
            if matches!(message, Message::Twalk { .. }) {
                thread::sleep(self.delays.lock().expect("delays").walk);
            }
            stream.write_all(&reply.encode(tag)).ok()?;
        }
    }

    fn answer(&self, message: &Message) -> Message {
        let root = Qid { kind: QID_DIRECTORY, version: 0, path: 0 };
        let file = Qid { kind: 0, version: 0, path: 1 };
        let (name, reply) = match message {
            Message::Tversion { msize, version } => {
                ("version", Message::Rversion { msize: *msize, version: version.clone() })
            }
            Message::Tattach { .. } => ("attach", Message::Rattach { qid: root }),
            Message::Twalk { names, .. } => {
                ("walk", Message::Rwalk { qids: names.iter().map(|_| file).collect() })
            }
            Message::Topen { .. } => ("open", Message::Ropen { qid: file, iounit: 0 }),
            Message::Twrite { data, .. } => ("write", Message::Rwrite { count: data.len() as u32 }),
            Message::Tremove { .. } => ("remove", Message::Rremove),
            Message::Tclunk { .. } => ("clunk", Message::Rclunk),
            Message::Tflush { .. } => ("flush", Message::Rflush),
            _ => ("other", Message::Rerror { ename: "not served here".into() }),
        };
        self.received.lock().expect("messages").push((name, Instant::now()));
        reply
    }

    /// When a message of a kind came last.
    fn last(&self, name: &str) -> Option<Instant> {
        let received = self.received.lock().expect("messages");
        received.iter().filter(|(kind, _)| *kind == name).map(|(_, at)| *at).max()
    }

    /// Waits until a message of a kind has come after a moment.
    fn wait_for(&self, name: &str, after: Instant) {
        let begun = Instant::now();
        while self.last(name).is_none_or(|at| at < after) {
            assert!(begun.elapsed() < Duration::from_secs(2), "no {name} came");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A head with this backend, and one more that discovery lists first as being elsewhere.
fn start(backend: &DelayingBackend) -> (Discovery, [StandIn; 2], Program) {
    let node = |id| StandIn::start(id, 3, Duration::ZERO, Fault::None);
    let (mut delaying, other) = (node("s-1"), node("s-2"));
    delaying.ninep = backend.address;
    let discovery = Discovery::start(vec![delaying.entry("ready")]);
    let files = operator(&[&delaying, &other]).replacen("boxes.1.shard=3", "boxes.1.shard=4", 1);
    let mut config = config(discovery.address);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["goalTime"] = json!(2_000_000);
        class["deadline"] = json!(4_000_000);
    }
    config["settings"]["rules"]["drainGrace"] = json!(DRAIN_GRACE.as_micros() as u64);
    let program = Program::start(&config, Some(&files));
    thread::sleep(Duration::from_millis(100));
    (discovery, [delaying, other], program)
}

fn assert_not_begun_after(last: Option<Instant>, moment: Instant, limit: Duration, what: &str) {
    let late = last.and_then(|at| at.checked_duration_since(moment));
    assert!(late.is_none_or(|late| late <= limit), "{what}: begun {late:?} later");
}

/// Guards against a file that is removed for a client long after it has gone: its walk was answered late.
#[test]
fn a_remove_is_not_sent_once_its_client_has_left() {
    let backend = DelayingBackend::start();
    let (_discovery, _nodes, program) = start(&backend);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));
    backend.delay(Delays { walk: Duration::from_millis(400), ..Delays::default() });
    let begun = Instant::now();
    client.send(1, &Message::Tremove { fid: 1 });
    backend.wait_for("walk", begun);
    drop(client);
    let left_at = Instant::now();
    thread::sleep(Duration::from_millis(900));
    assert_not_begun_after(backend.last("remove"), left_at, LEAVE_LIMIT + SLACK, "its client had left");
}

/// Guards against a file that is removed though its client has cancelled that. It is told that nothing was done.
#[test]
fn a_remove_is_not_sent_once_it_is_flushed() {
    let backend = DelayingBackend::start();
    let (_discovery, _nodes, program) = start(&backend);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));
    backend.delay(Delays { walk: Duration::from_millis(400), ..Delays::default() });
    let begun = Instant::now();
    client.send(1, &Message::Tremove { fid: 1 });
    backend.wait_for("walk", begun);
    client.send(2, &Message::Tflush { oldtag: 1 });
    let flushed_at = Instant::now();
    let replies = [receive(&mut client.stream), receive(&mut client.stream)];
    let [Some((1, Message::Rerror { ename })), Some((2, Message::Rflush))] = replies else {
        panic!("{replies:?}");
    };
    assert!(ename.starts_with("refused"), "{ename}");
    thread::sleep(Duration::from_millis(900));
    assert_not_begun_after(backend.last("remove"), flushed_at, LEAVE_LIMIT + SLACK, "it was flushed");
}

/// Guards against a file that is removed at a backend past the grace period of its drain. Another one does it.
#[test]
fn a_remove_goes_to_another_backend_once_its_own_has_drained_for_too_long() {
    let backend = DelayingBackend::start();
    let (discovery, [delaying, other], program) = start(&backend);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));
    backend.delay(Delays { walk: Duration::from_millis(600), ..Delays::default() });
    let begun = Instant::now();
    client.send(1, &Message::Tremove { fid: 1 });
    backend.wait_for("walk", begun);
    discovery.set(vec![delaying.entry("draining"), other.entry("ready")]);
    let drained_at = Instant::now();
    assert!(receive(&mut client.stream).is_some());
    thread::sleep(Duration::from_millis(900));
    assert_not_begun_after(backend.last("remove"), drained_at, DRAIN_GRACE + SLACK, "its backend drained");
    assert!(other.runs("Twalk") > 0, "it did not go to the other backend");
}

/// Guards against a write that begins long after its client has gone: its backend read nothing for a while, and the end of
/// the write lay in the system's buffers. Other clients are served on.
#[test]
fn a_write_that_its_backend_has_not_taken_does_not_begin_once_its_client_has_left() {
    let backend = DelayingBackend::start();
    let (_discovery, _nodes, program) = start(&backend);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));
    assert!(matches!(client.open(1, MODE_WRITE), Message::Ropen { .. }));
    backend.delay(Delays { read: Duration::from_millis(500), ..Delays::default() });
    client.send(1, &Message::Twrite { fid: 1, offset: 0, data: vec![b'w'; LARGE_DATA].into() });
    thread::sleep(Duration::from_millis(60));
    drop(client);
    let left_at = Instant::now();
    thread::sleep(Duration::from_millis(900));
    backend.delay(Delays::default());
    thread::sleep(Duration::from_millis(600));
    assert_not_begun_after(backend.last("write"), left_at, LEAVE_LIMIT + SLACK, "its client had left");
    let mut other = Client::attach(program.ninep.expect("9P"), "press");
    assert!(matches!(other.walk(1, &["proof"]), Message::Rwalk { .. }));
}
