//! The 9P front end and the attempts behind it, against stand-ins on loopback.

mod standin;

use sedgerun_protocol_9p::*;
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator, receive};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const NO_WORK: Duration = Duration::ZERO;

fn start(fault: Fault) -> (StandIn, Program) {
    let backend = StandIn::start("s-1", 3, NO_WORK, fault);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), Some(&operator(&[&backend])));
    thread::sleep(Duration::from_millis(100));
    (backend, program)
}

fn ename(reply: Message) -> String {
    match reply {
        Message::Rerror { ename } => ename,
        other => panic!("no error: {other:?}"),
    }
}

#[test]
fn files_are_created_written_read_renamed_and_removed() {
    let (backend, program) = start(Fault::None);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    assert!(matches!(client.walk(1, &[]), Message::Rwalk { .. }));
    let create = Message::Tcreate { fid: 1, name: "new".into(), perm: 0o444, mode: MODE_WRITE };
    assert!(matches!(client.call(create), Message::Rcreate { .. }));
    let write = |offset, data: &'static [u8]| Message::Twrite { fid: 1, offset, data: data.into() };
    assert_eq!(client.call(write(0, b"print ")), Message::Rwrite { count: 6 });
    assert_eq!(client.call(write(6, b"this")), Message::Rwrite { count: 4 });
    // The fid that the create left at the backend has served both writes.
    assert_eq!(backend.runs("Topen"), 0);
    assert_eq!(client.call(Message::Tclunk { fid: 1 }), Message::Rclunk);
    assert!(matches!(client.walk(2, &["new"]), Message::Rwalk { .. }));
    assert!(matches!(client.open(2, 0), Message::Ropen { .. }));
    assert_eq!(client.read(2), Message::Rread { data: b"print this"[..].into() });
    assert!(matches!(client.walk(3, &["new"]), Message::Rwalk { .. }));
    assert_eq!(client.call(Message::Twstat { fid: 3, stat: standin::stat("old").into() }), Message::Rwstat);
    let Message::Rstat { stat } = client.call(Message::Tstat { fid: 3 }) else { panic!("no stat") };
    assert_eq!(stat_name(&stat).as_deref(), Ok("old"));
    assert_eq!(client.call(Message::Tremove { fid: 3 }), Message::Rremove);
    assert_eq!(ename(client.walk(4, &["old"])), "file does not exist");
}

#[test]
fn a_write_whose_reply_is_lost_runs_once_and_fails_without_a_promise() {
    let (backend, program) = start(Fault::LoseWrites);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.walk(1, &[]);
    let create = Message::Tcreate { fid: 1, name: "new".into(), perm: 0o644, mode: MODE_WRITE };
    assert_eq!(ename(client.call(create)), "failed: it may have run");
    thread::sleep(Duration::from_millis(1300));
    assert_eq!(backend.runs("Tcreate"), 1);
    client.walk(2, &["new"]);
    assert!(matches!(client.open(2, MODE_WRITE), Message::Ropen { .. }));
    let write = Message::Twrite { fid: 2, offset: 0, data: b"ink"[..].into() };
    assert_eq!(ename(client.call(write)), "failed: it may have run");
    thread::sleep(Duration::from_millis(1300));
    assert_eq!(backend.runs("Twrite"), 1);
}

#[test]
fn a_deep_walk_continues_at_the_replacement_while_its_backend_drains() {
    let old = StandIn::start("s-1", 3, NO_WORK, Fault::None);
    let new = StandIn::start("s-2", 3, NO_WORK, Fault::None);
    let discovery = Discovery::start(vec![old.entry("ready")]);
    // The replacement is known by its address; that it runs is for discovery to say.
    let conf = operator(&[&old, &new]).replacen("boxes.1.shard=3", "boxes.1.shard=4", 1);
    let program = Program::start(&config(discovery.address), Some(&conf));
    thread::sleep(Duration::from_millis(100));
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    let names: Vec<String> = (0..40).map(|depth| format!("d{depth}")).collect();
    let mut fid = 0;
    for (step, name) in names.iter().enumerate() {
        if step == 20 {
            assert!(old.runs("Twalk") > 0 && new.runs("Twalk") == 0);
            discovery.set(vec![old.entry("draining"), new.entry("ready")]);
            thread::sleep(Duration::from_millis(100));
        }
        let walk = Message::Twalk { fid, newfid: fid + 1, names: vec![name.clone()] };
        assert!(matches!(client.call(walk), Message::Rwalk { qids } if qids.len() == 1), "step {step}");
        fid += 1;
    }
    assert!(new.runs("Twalk") > 0);
    let last_request_ms = old.last_ms();
    thread::sleep(Duration::from_millis(300));
    client.call(Message::Tstat { fid });
    assert_eq!(old.last_ms(), last_request_ms, "a draining box got something new");
}

#[test]
fn a_request_that_no_backend_can_take_is_rejected_with_a_retry_time() {
    let (_backend, program) = start(Fault::None);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    drop(client.walk(1, &["proof"]));
    let lonely = StandIn::start("s-9", 4, NO_WORK, Fault::None);
    let discovery = Discovery::start(vec![lonely.entry("ready")]);
    let other = Program::start(&config(discovery.address), Some(&operator(&[&lonely])));
    let mut stream = TcpStream::connect(other.ninep.expect("9P")).expect("a connection");
    let version = Message::Tversion { msize: 8192, version: "9P2000.L".into() };
    stream.write_all(&version.encode(NO_TAG)).expect("sent");
    let answer = Message::Rversion { msize: 8192, version: VERSION.into() };
    assert_eq!(receive(&mut stream), Some((NO_TAG, answer)));
    let attach = Message::Tattach { fid: 0, afid: NO_FID, uname: "u".into(), aname: "press".into() };
    stream.write_all(&attach.encode(1)).expect("sent");
    let (_, reply) = receive(&mut stream).expect("a reply");
    assert!(ename(reply).starts_with("refused: come back in "));
}

#[test]
fn a_flushed_operation_ends_before_its_deadline_and_is_flushed_at_the_backend() {
    let (backend, program) = start(Fault::SilentReads);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.walk(1, &["proof"]);
    client.open(1, 0);
    let begun = Instant::now();
    client.send(1, &Message::Tread { fid: 1, offset: 0, count: 10 });
    // Cancelled before it is sent, it would never go to the backend.
    while backend.runs("Tread") == 0 {
        assert!(begun.elapsed() < Duration::from_millis(500), "it is not sent");
        thread::sleep(Duration::from_millis(1));
    }
    // The flush is answered after what it flushes.
    client.send(2, &Message::Tflush { oldtag: 1 });
    let (tag, reply) = receive(&mut client.stream).expect("a reply");
    assert_eq!(tag, 1);
    assert!(ename(reply).starts_with("refused"));
    assert!(begun.elapsed() < Duration::from_millis(1000));
    assert_eq!(receive(&mut client.stream), Some((2, Message::Rflush)));
    thread::sleep(Duration::from_millis(200));
    assert_eq!((backend.runs("Tread"), backend.runs("Tflush")), (1, 1));
}

#[test]
fn a_read_whose_connection_breaks_is_retried() {
    let (backend, program) = start(Fault::ResetOnce);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.walk(1, &["proof"]);
    client.open(1, 0);
    assert_eq!(client.read(1), Message::Rread { data: b"a print proof"[..].into() });
    assert_eq!(backend.runs("Tread"), 1);
}

#[test]
fn broken_messages_bring_an_error_or_end_the_connection() {
    let (_backend, program) = start(Fault::None);
    let address = program.ninep.expect("9P");
    let mut client = Client::attach(address, "press");
    assert_eq!(ename(client.read(7)), "unknown fid");
    assert_eq!(ename(client.walk(0, &["a/b"])), "malformed name");
    client.walk(1, &[]);
    assert_eq!(ename(client.walk(1, &[])), "fid is in use");
    let attach = Message::Tattach { fid: 1, afid: NO_FID, uname: "u".into(), aname: "press".into() };
    assert_eq!(ename(client.call(attach)), "fid is in use");
    client.stream.write_all(&[9, 0, 0, 0, 99, 1, 0, 0, 0]).expect("sent");
    let (_, reply) = receive(&mut client.stream).expect("a reply");
    assert_eq!(ename(reply), "malformed message");
    for size in [0u32, 6, MAX_MESSAGE_SIZE + 1, u32::MAX] {
        let mut client = Client::attach(address, "press");
        client.stream.write_all(&size.to_le_bytes()).expect("sent");
        client.stream.write_all(&[120, 1, 0]).ok();
        assert!(matches!(client.stream.read(&mut [0; 8]), Ok(0) | Err(_)), "size {size}");
    }
    assert_eq!(ename(client.read(7)), "unknown fid");
}

/// Plays `tests/recorded/ninep.txt`: bytes to the program after `>`, bytes from it after `<`.
#[test]
fn recorded_exchanges_come_out_as_recorded() {
    let (_backend, program) = start(Fault::None);
    let mut stream = TcpStream::connect(program.ninep.expect("9P")).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    let mut played = 0;
    for line in include_str!("recorded/ninep.txt").lines() {
        let Some((mark, hex)) = line.split_once(' ').filter(|(mark, _)| matches!(*mark, ">" | "<")) else {
            continue;
        };
        let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
        let digits = digits.chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
        let bytes: Vec<u8> = digits.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect();
        if mark == ">" {
            stream.write_all(&bytes).expect("sent");
        } else {
            let mut came = vec![0; bytes.len()];
            stream.read_exact(&mut came).expect("a reply");
            assert_eq!(came, bytes, "{line}");
            played += 1;
        }
    }
    assert!(played >= 10, "only {played} replies");
}

#[test]
fn a_new_version_drops_the_old_sessions_tags_and_fids() {
    let (_backend, program) = start(Fault::SilentReads);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.walk(1, &["proof"]);
    client.open(1, 0);
    // One write for all, so that the program has the next use of tag 1 at hand as it takes the old one back.
    let read = Message::Tread { fid: 1, offset: 0, count: 10 }.encode(1);
    let version = Message::Tversion { msize: 8192, version: VERSION.into() }.encode(NO_TAG);
    let stat = Message::Tstat { fid: 1 }.encode(1);
    client.stream.write_all(&[read, version, stat].concat()).expect("sent");
    let (tag, reply) = receive(&mut client.stream).expect("a reply");
    assert!(matches!(reply, Message::Rversion { msize: 8192, .. }) && tag == NO_TAG, "{reply:?}");
    assert_eq!(receive(&mut client.stream), Some((1, Message::Rerror { ename: "unknown fid".into() })));
}

#[test]
fn a_9p_client_that_sends_nothing_or_half_a_message_is_closed_and_an_idle_one_is_not() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), Some(&operator(&[&backend])));
    let address = program.ninep.expect("9P");
    let mut resting = Client::attach(address, "press");
    let silent = TcpStream::connect(address).expect("a connection");
    let mut half = Client::attach(address, "press");
    let clunk = Message::Tclunk { fid: 9 }.encode(1);
    half.stream.write_all(&clunk[..6]).expect("sent");
    let begun = Instant::now();
    for mut stream in [silent, half.stream] {
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        assert!(matches!(stream.read(&mut [0; 1]), Ok(0)), "it stays open");
    }
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    assert!(matches!(resting.walk(1, &["proof"]), Message::Rwalk { .. }));
    // Paths are bounded in length, whatever their depth.
    let long = "x".repeat(5000);
    assert!(matches!(resting.walk(2, &[&long]), Message::Rerror { .. }));
}

/// Guards against a flush that waits for itself, or for one that waits for it, and holds a place of all clients meanwhile.
#[test]
fn flushes_of_their_own_tag_and_of_each_other_are_answered() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), Some(&operator(&[&backend])));
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.stream.set_read_timeout(Some(Duration::from_secs(3))).expect("a timeout");
    let flushes = [(7, 7), (8, 9), (9, 8)];
    let frames = flushes.map(|(tag, oldtag)| Message::Tflush { oldtag }.encode(tag)).concat();
    client.stream.write_all(&frames).expect("sent");
    let mut answered: Vec<u16> = flushes
        .iter()
        .map(|_| match receive(&mut client.stream) {
            Some((tag, Message::Rflush)) => tag,
            other => panic!("{other:?}"),
        })
        .collect();
    answered.sort_unstable();
    assert_eq!(answered, [7, 8, 9]);
}
