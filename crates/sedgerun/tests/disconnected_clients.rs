//! Clients that close, reset or cancel while their requests wait: no attempt begins for them any more, be it a first
//! one, a retry, or one whose connection is still being made. And backends that drain in that moment.

mod standin;

use sedgerun_protocol_9p::Message;
use serde_json::{Value, json};
use standin::{Client, Discovery, Fault, Program, StandIn, config, get, operator, read_http, receive};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A proxy in front of a backend, which can be shut: connections are refused then, and open ones are broken.
#[derive(Clone)]
struct Gate {
    address: SocketAddr,
    to: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Gate {
    fn start(to: SocketAddr) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let gate = Gate { address, to, listener: Arc::default(), streams: Arc::default() };
        gate.serve(listener);
        gate
    }

    fn serve(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        *self.listener.lock().expect("a gate") = Some(listener);
        let gate = self.clone();
        thread::spawn(move || {
            loop {
                match gate.listener.lock().expect("a gate").as_ref().map(TcpListener::accept) {
                    None => return,
                    Some(Ok((stream, _))) => gate.pass(stream),
                    Some(Err(_)) => {}
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
    }

    fn pass(&self, from: TcpStream) {
        let Ok(to) = TcpStream::connect(self.to) else { return };
        for stream in [&from, &to] {
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            self.streams.lock().expect("a gate").push(stream.try_clone().expect("a clone"));
        }
        let clone = |stream: &TcpStream| stream.try_clone().expect("a clone");
        for (mut reading, mut writing) in [(clone(&from), clone(&to)), (to, from)] {
            thread::spawn(move || {
                let _ = std::io::copy(&mut reading, &mut writing);
                let _ = writing.shutdown(Shutdown::Both);
            });
        }
    }

    fn shut(&self) {
        *self.listener.lock().expect("a gate") = None;
        for stream in self.streams.lock().expect("a gate").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn open(&self) {
        self.serve(TcpListener::bind(self.address).expect("the port again"));
    }
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    Close,
    Reset,
    /// After sending more than a head reads ahead.
    CloseAfterMore,
    ResetAfterMore,
}

fn disconnect(mut stream: TcpStream, how: Disconnect) {
    if matches!(how, Disconnect::CloseAfterMore | Disconnect::ResetAfterMore) {
        let more: String = (0..4000).map(|_| get("a0", 1000)).collect();
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("a timeout");
        let _ = stream.write_all(more.as_bytes());
        thread::sleep(Duration::from_millis(20));
    }
    if matches!(how, Disconnect::Reset | Disconnect::ResetAfterMore) {
        reset(&stream);
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("a linger");
}

/// A long read, which may be queued for 1.2 s before it is overdue.
fn bulk() -> String {
    get("a0", 4000).replace("GET /read", "GET /bulk")
}

fn send(program: &Program, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(program.http).expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

/// A head whose one backend is behind a gate.
fn start_gated() -> (Gate, StandIn, Program) {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let gate = Gate::start(node.http);
    let mut entry = node.entry("ready");
    entry["hostPort"] = json!(gate.address.to_string());
    let discovery = Discovery::start(vec![entry.clone()]);
    let mut config = config(discovery.address);
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    (gate, node, Program::start(&config, None))
}

/// The backend refuses connections. The first request has had three attempts and waits for a trial, half a second
/// later; the others wait for their first. All clients disconnect, and the backend is back before the trial.
fn nothing_is_sent_after(how: Disconnect, clients: usize) {
    let (gate, node, program) = start_gated();
    gate.shut();
    let streams: Vec<TcpStream> = (0..clients).map(|_| send(&program, &bulk())).collect();
    thread::sleep(Duration::from_millis(60));
    streams.into_iter().for_each(|stream| disconnect(stream, how));
    gate.open();
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(node.runs("GET"), 0, "{how:?}: forwarded for a client that has disconnected");
    // And requests of other clients are served.
    let begun = Instant::now();
    while !program.ask(&bulk()).0.starts_with("HTTP/1.1 200") {
        assert!(begun.elapsed() < Duration::from_secs(5), "nobody is served");
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_closed() {
    nothing_is_sent_after(Disconnect::Close, 2);
}

#[test]
fn nothing_is_sent_for_a_client_that_reset() {
    nothing_is_sent_after(Disconnect::Reset, 2);
}

#[test]
fn nothing_is_sent_for_a_client_that_closed_after_bytes_nobody_reads() {
    nothing_is_sent_after(Disconnect::CloseAfterMore, 2);
}

#[test]
fn nothing_is_sent_for_a_client_that_reset_after_bytes_nobody_reads() {
    nothing_is_sent_after(Disconnect::ResetAfterMore, 2);
}

#[test]
fn nothing_is_sent_for_a_burst_of_clients_that_disconnected() {
    nothing_is_sent_after(Disconnect::Close, 40);
}

/// A listener whose backlog is full: connections to it are made only once those before them are accepted, a second
/// later.
struct FullBacklog {
    listener: TcpListener,
    crowd: Vec<TcpStream>,
}

impl FullBacklog {
    fn start() -> FullBacklog {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        socket.listen(1).expect("a listener");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        // The backlog takes one more than it was set to.
        let crowd = (0..2).map(|_| TcpStream::connect(address).expect("a connection")).collect();
        FullBacklog { listener, crowd }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Accepts connections from now on; the number of bytes that come on them.
    fn accept_all(self) -> Arc<AtomicU64> {
        let received = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&received);
        drop(self.crowd);
        thread::spawn(move || {
            for mut stream in self.listener.incoming().flatten() {
                let counted = Arc::clone(&counted);
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(read @ 1..) = stream.read(&mut buffer) {
                        counted.fetch_add(read as u64, Ordering::SeqCst);
                    }
                });
            }
        });
        received
    }
}

/// A head with a long connect timeout, and its endpoint list.
fn start_with_long_connect_timeout(discovery: &Discovery, known: &[Value]) -> Program {
    let mut config = config(discovery.address);
    config["settings"]["limits"]["dialTimeout"] = json!(3_000_000);
    config["known"] = json!({"generation": 1, "reset": true, "instances": known});
    Program::start(&config, None)
}

/// The connection to the backend is made a second after it was begun; its client has disconnected by then.
#[test]
fn nothing_is_sent_on_a_connection_made_after_its_client_disconnected() {
    let (backlog, node) = (FullBacklog::start(), StandIn::start("s-1", 3, Duration::ZERO, Fault::None));
    let mut entry = node.entry("ready");
    entry["hostPort"] = json!(backlog.address().to_string());
    let discovery = Discovery::start(vec![entry.clone()]);
    let program = start_with_long_connect_timeout(&discovery, &[entry]);
    let stream = send(&program, &bulk());
    thread::sleep(Duration::from_millis(200));
    drop(stream);
    thread::sleep(Duration::from_millis(150));
    let received = backlog.accept_all();
    thread::sleep(Duration::from_millis(2500));
    assert_eq!(received.load(Ordering::SeqCst), 0, "sent for a client that has disconnected");
}

/// The same connection, and the backend drains meanwhile: its request goes to another.
#[test]
fn nothing_is_sent_on_a_connection_made_after_its_backend_drained() {
    let start = |id| StandIn::start(id, 3, Duration::ZERO, Fault::None);
    let (backlog, first, second) = (FullBacklog::start(), start("s-1"), start("s-2"));
    let entry = |lifecycle| {
        let mut entry = first.entry(lifecycle);
        entry["hostPort"] = json!(backlog.address().to_string());
        entry
    };
    let discovery = Discovery::start(vec![entry("ready")]);
    let program = start_with_long_connect_timeout(&discovery, &[entry("ready")]);
    let stream = send(&program, &bulk());
    thread::sleep(Duration::from_millis(200));
    discovery.set(vec![entry("draining"), second.entry("ready")]);
    thread::sleep(Duration::from_millis(150));
    let received = backlog.accept_all();
    let (lines, _) = read_http(&mut BufReader::new(stream)).expect("an answer");
    assert!(lines[0].starts_with("HTTP/1.1 200"), "{lines:?}");
    assert_eq!(second.runs("GET"), 1);
    thread::sleep(Duration::from_millis(2000));
    assert_eq!(received.load(Ordering::SeqCst), 0, "sent to a backend that drains");
}

/// A client over 9P whose backend is behind a gate that has just been shut; nothing is counted as run yet.
fn start_gated_ninep() -> (Gate, StandIn, Program, Client) {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let gate = Gate::start(node.ninep);
    let mut behind = node.clone();
    behind.ninep = gate.address;
    let discovery = Discovery::start(vec![]);
    // The class of long reads, so that what waits is not overdue before the backend is back.
    let files = operator(&[&behind]).replace("readClass=read", "readClass=bulk");
    let program = Program::start(&config(discovery.address), Some(&files));
    let client = Client::attach(program.ninep.expect("9P"), "press");
    gate.shut();
    thread::sleep(Duration::from_millis(50));
    node.runs.lock().expect("runs").clear();
    (gate, node, program, client)
}

fn walk(newfid: u32) -> Message {
    Message::Twalk { fid: 0, newfid, names: vec!["proof".into()] }
}

fn assert_nothing_ran(gate: &Gate, node: &StandIn) {
    gate.open();
    thread::sleep(Duration::from_millis(1200));
    let runs = node.runs.lock().expect("runs").clone();
    assert!(runs.is_empty(), "sent for a client that has disconnected: {runs:?}");
}

#[test]
fn over_9p_nothing_is_sent_for_a_client_that_closed() {
    let (gate, node, _program, mut client) = start_gated_ninep();
    (1..4).for_each(|n| client.send(n, &walk(u32::from(n))));
    thread::sleep(Duration::from_millis(40));
    drop(client);
    assert_nothing_ran(&gate, &node);
}

/// As many operations as a client may have at once, and more that the head does not read.
#[test]
fn over_9p_nothing_is_sent_for_a_client_that_disconnected_after_bytes_nobody_reads() {
    for how in [Disconnect::Close, Disconnect::Reset] {
        let (gate, node, _program, mut client) = start_gated_ninep();
        (1..400).for_each(|n| client.send(n, &walk(u32::from(n))));
        thread::sleep(Duration::from_millis(40));
        disconnect(client.stream, how);
        assert_nothing_ran(&gate, &node);
    }
}

/// Each operation is cancelled while it waits, and answered at once; its flush is answered after it.
#[test]
fn over_9p_nothing_is_sent_for_an_operation_that_was_flushed() {
    let (gate, node, _program, mut client) = start_gated_ninep();
    (1..4).for_each(|n| client.send(n, &walk(u32::from(n))));
    thread::sleep(Duration::from_millis(40));
    let begun = Instant::now();
    (1..4).for_each(|n| client.send(n + 10, &Message::Tflush { oldtag: n }));
    let mut flushed = Vec::new();
    while flushed.len() < 3 {
        match receive(&mut client.stream).expect("a reply") {
            (tag, Message::Rflush) => flushed.push(tag - 10),
            (tag, Message::Rerror { .. }) => assert!(!flushed.contains(&tag), "a reply after its flush"),
            other => panic!("{other:?}"),
        }
    }
    assert!(begun.elapsed() < Duration::from_millis(300), "{:?}", begun.elapsed());
    assert_nothing_ran(&gate, &node);
    // The session goes on.
    let again = Instant::now();
    while !matches!(client.walk(9, &["proof"]), Message::Rwalk { .. }) {
        assert!(again.elapsed() < Duration::from_secs(5), "nobody is served");
    }
}
