//! The memory that 9P clients' names take up: at the backends' connections after the clients have gone, and in the
//! sessions while they stay.

mod standin;

use sedgerun_protocol_9p::{MAX_MESSAGE_SIZE, Message, NO_FID, NO_TAG, VERSION};
use serde_json::json;
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator, receive};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 384;
/// A string of 9P has 65,535 bytes at the most, and a message 64 KiB and its header.
const NAME_BYTES: usize = 60_000;
/// Users whose names take more memory than a head has.
const USERS: usize = 1000;

fn start() -> (StandIn, Discovery, Program) {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![node.entry("ready")]);
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    let program = Program::start(&config, Some(&operator(&[&node])));
    (node, discovery, program)
}

fn long_name(number: usize) -> String {
    format!("{number:06}-{}", "x".repeat(NAME_BYTES))
}

fn attach(client: &mut Client, fid: u32, uname: String) -> Message {
    client.call(Message::Tattach { fid, afid: NO_FID, uname, aname: "press".into() })
}

/// A client that has begun a session and has no fid.
fn connect(address: SocketAddr) -> Client {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    let version = Message::Tversion { msize: MAX_MESSAGE_SIZE, version: VERSION.into() };
    stream.write_all(&version.encode(NO_TAG)).expect("sent");
    receive(&mut stream).expect("a version");
    Client { stream }
}

fn assert_within_limit(program: &Program) {
    let peak = program.peak_memory_kib();
    assert!(peak <= MEMORY_MB * 1024, "the head held {peak} KiB");
}

/// Guards against roots that stay attached, with their user's name, for as long as the backend's connection lasts.
#[test]
fn users_that_come_and_go_do_not_take_a_head_over_its_limit() {
    let (backend, _discovery, program) = start();
    let address = program.ninep.expect("9P");
    let mut sound = Client::attach(address, "press");
    sound.walk(1, &["proof"]);
    sound.open(1, 0);
    for number in 0..USERS {
        let mut client = connect(address);
        let reply = attach(&mut client, 0, long_name(number));
        assert!(matches!(reply, Message::Rattach { .. }), "{number}: {reply:?}");
        let proof = Message::Rread { data: b"a print proof"[..].into() };
        assert_eq!(sound.read(1), proof, "after {number} users");
    }
    assert_within_limit(&program);
    // The backend's fids are closed as well, but for those of the roots that are kept.
    let clunked = backend.runs("Tclunk");
    assert!(clunked as usize > USERS * 9 / 10, "{clunked} of {USERS} roots were closed");
    // A user whose root has gone is attached again.
    let mut again = connect(address);
    assert!(matches!(attach(&mut again, 0, long_name(0)), Message::Rattach { .. }));
    assert!(matches!(again.walk(1, &["proof"]), Message::Rwalk { .. }));
}

/// Guards against sessions whose fids are bounded by their number alone, each with a name as long as a message.
#[test]
fn fids_with_long_names_do_not_take_a_head_over_its_limit() {
    const CLIENTS: usize = 20;
    const FIDS: u32 = 100;
    let (_backend, _discovery, program) = start();
    let address = program.ninep.expect("9P");
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| connect(address)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let mut refused = 0;
        for fid in 0..FIDS {
            match attach(client, fid, long_name(number)) {
                Message::Rattach { .. } => {}
                Message::Rerror { ename } if ename == "the names of the fids are too long" => refused += 1,
                other => panic!("client {number}, fid {fid}: {other:?}"),
            }
        }
        assert!(refused > 0, "client {number} has {FIDS} fids");
    }
    assert_within_limit(&program);
    // A session goes on, and has room again for what it closes.
    let client = &mut clients[0];
    assert!(matches!(client.walk(FIDS, &["proof"]), Message::Rerror { .. }));
    assert_eq!(client.call(Message::Tclunk { fid: 1 }), Message::Rclunk);
    assert!(matches!(client.walk(FIDS, &["proof"]), Message::Rwalk { .. }));
    // Another client is not concerned.
    let mut sound = Client::attach(address, "press");
    assert!(matches!(sound.walk(1, &["proof"]), Message::Rwalk { .. }));
}

/// Guards against messages that are bounded by their number alone: operations in flight, and replies that nobody reads.
#[test]
fn clients_that_do_not_read_their_replies_do_not_take_a_head_over_its_limit() {
    const CLIENTS: usize = 30;
    const DATA_BYTES: usize = 60_000;
    /// The mode of a file that is open for both (ORDWR of 9P2000).
    const READ_WRITE: u8 = 2;
    let (_backend, _discovery, program) = start();
    let address = program.ninep.expect("9P");
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::attach(address, "press")).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let socket = socket2::SockRef::from(&client.stream);
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        client.walk(1, &[]);
        let (name, perm, mode) = (format!("large{number}"), 0o644, READ_WRITE);
        assert!(matches!(
            client.call(Message::Tcreate { fid: 1, name, perm, mode }),
            Message::Rcreate { .. }
        ));
        let data = vec![b'x'; DATA_BYTES].into();
        assert!(matches!(client.call(Message::Twrite { fid: 1, offset: 0, data }), Message::Rwrite { .. }));
    }
    // As many as the system's buffers take; a head that is at its bound reads no more.
    for client in &mut clients {
        client.stream.set_write_timeout(Some(Duration::from_millis(10))).expect("a timeout");
        for tag in 10..80 {
            let read = Message::Tread { fid: 1, offset: 0, count: DATA_BYTES as u32 };
            if client.stream.write_all(&read.encode(tag)).is_err() {
                break;
            }
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    assert_within_limit(&program);
    // Another client is served once the replies that nobody takes are given up.
    let mut sound = Client::attach(address, "press");
    assert!(matches!(sound.walk(1, &["proof"]), Message::Rwalk { .. }));
}
