//! The texts of the errors that clients read, over HTTP and over 9P: programs of theirs may compare them.

mod standin;

use sedgerun_protocol_9p::{MAX_WALK_NAMES, MODE_WRITE, Message, NO_FID, NO_TAG, VERSION};
use serde_json::json;
use standin::{Client, Discovery, Fault, Program, StandIn, config, get, operator, receive, write_request};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

fn start(work: Duration) -> (StandIn, Program) {
    let backend = StandIn::start("s-1", 3, work, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let mut settings = config(discovery.address);
    settings["settings"]["specifics"]["changesData"] = json!([false, true, false]);
    let program = Program::start(&settings, Some(&operator(&[&backend])));
    thread::sleep(Duration::from_millis(100));
    (backend, program)
}

/// The status of an answer and its body.
fn status_and_body(program: &Program, request: &str) -> String {
    let (head, body) = program.ask(request);
    let status = head.split(' ').nth(1).unwrap_or_default();
    format!("{status} {body}")
}

#[test]
fn a_faulty_http_request_is_answered_with_what_is_wrong() {
    let (_backend, program) = start(Duration::ZERO);
    let with = |from: &str, to: &str| get("a0", 1000).replace(from, to);
    let write_with = |from: &str, to: &str| write_request("a0", 1000).replace(from, to);
    let excerpt = "p".repeat(64);
    let cases = [
        (with("/read/x", &format!("/{}", "p".repeat(100))), format!("400 unknown class \"{excerpt}\"\n")),
        (with("X-Chunk: ", "X-Chunk: é"), "400 malformed X-Chunk\n".into()),
        (
            with("Request-Timeout-Ms: 1000", "Request-Timeout-Ms: 0"),
            "400 malformed Request-Timeout-Ms \"0\"\n".into(),
        ),
        (
            with("Request-Timeout-Ms: 1000", "Request-Timeout-Ms: 3600001"),
            "400 malformed Request-Timeout-Ms \"3600001\"\n".into(),
        ),
        (with("X-Qos-Policy: even\r\n", ""), "400 X-Qos-Policy is missing\n".into()),
        (
            with("Host: h", "Host: h\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2"),
            "400 Idempotency-Key is repeated\n".into(),
        ),
        (with("GET /read/x", "GET http://h/read/x"), "400 malformed target\n".into()),
        (with("Host: h", "Host: h\r\nUpgrade: x"), "400 malformed target\n".into()),
        (with("/read/x", "/write/x"), "405 no \"GET\" write\n".into()),
        (write_with("/write/x", "/read/x"), "405 no \"PUT\" read\n".into()),
        (with("GET", "POST"), "405 no \"POST\" read\n".into()),
        (
            write_with("Content-Length: 4", "Content-Length: 25165825"),
            "413 body over 25165824 bytes\n".into(),
        ),
    ];
    for (request, answer) in cases {
        assert_eq!(status_and_body(&program, &request), answer, "{request}");
    }
}

#[test]
fn a_faulty_placement_is_repeated_to_the_client() {
    let (_backend, program) = start(Duration::ZERO);
    for placement in [
        "volume=a0,units=1,shard=3,hosts=1",
        "volume=00000000000000a0,units=1,shard=3",
        "volume=00000000000000a0,units=1,units=1,shard=3,hosts=1",
        "volume=00000000000000a0,units=7,shard=3,hosts=1",
        "volume=00000000000000a0,units=1,shard=65536,hosts=1",
        "volume=00000000000000a0,units=1,shard=-2,hosts=1",
        "volume=00000000000000a0,units=1,shard=3,hosts=0",
    ] {
        let request = get("a0", 1000);
        let (begin, _) = request.split_once("X-Placement: ").expect("a header");
        let excerpt: String = placement.chars().take(64).collect();
        let answer = format!("400 malformed X-Placement {excerpt:?}\n");
        assert_eq!(status_and_body(&program, &format!("{begin}X-Placement: {placement}\r\n\r\n")), answer);
    }
}

#[test]
fn a_body_that_is_malformed_or_overdue_is_answered_with_what_is_wrong() {
    let (_backend, program) = start(Duration::ZERO);
    let chunked = write_request("a0", 1000).replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let malformed = chunked.replace("\r\n\r\nbody", "\r\n\r\nzz\r\n");
    assert_eq!(status_and_body(&program, &malformed), "400 malformed body\n");
    let overdue = write_request("a0", 1000).replace("Content-Length: 4", "Content-Length: 5");
    assert_eq!(status_and_body(&program, &overdue), "408 the body is late\n");
}

#[test]
fn a_request_that_repeats_an_id_or_is_sent_ahead_is_answered_with_what_is_wrong() {
    let (_backend, program) = start(Duration::from_millis(100));
    let request = get("a0", 1000);
    let mut first = TcpStream::connect(program.http).expect("a connection");
    first.write_all(request.as_bytes()).expect("sent");
    thread::sleep(Duration::from_millis(30));
    assert_eq!(status_and_body(&program, &request), "409 Request-Id is in use\n");
    let mut ahead = TcpStream::connect(program.http).expect("a connection");
    ahead.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    ahead.write_all((get("a0", 1000) + &get("a0", 1000)).as_bytes()).expect("sent");
    let mut answers = String::new();
    ahead.read_to_string(&mut answers).expect("the end");
    assert!(answers.ends_with("\r\n\r\none request at a time on a connection\n"), "{answers}");
}

#[test]
fn a_rejected_http_request_says_when_to_retry() {
    let (_backend, program) = start(Duration::ZERO);
    let (head, body) = program.ask(&get("a0", 1000).replace("shard=3", "shard=9"));
    assert!(head.starts_with("HTTP/1.1 503") && body == "refused\n", "{head} {body}");
    let head = head.to_lowercase();
    let seconds = head.lines().find_map(|line| line.strip_prefix("retry-after: ")).expect("a time");
    let (whole, decimals) = seconds.split_once('.').expect("a fraction");
    assert!(whole.parse::<u32>().is_ok() && decimals.len() == 3, "{head}");
}

fn ename(reply: Message) -> String {
    match reply {
        Message::Rerror { ename } => ename,
        other => panic!("no error: {other:?}"),
    }
}

#[test]
fn a_9p_session_that_begins_wrongly_gets_the_reason() {
    let (_backend, program) = start(Duration::ZERO);
    let mut stream = TcpStream::connect(program.ninep.expect("9P")).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    let mut call = |tag, message: Message| {
        stream.write_all(&message.encode(tag)).expect("sent");
        receive(&mut stream).expect("a reply").1
    };
    let attach =
        |afid, aname: &str| Message::Tattach { fid: 0, afid, uname: "u".into(), aname: aname.into() };
    assert_eq!(ename(call(1, attach(NO_FID, "press"))), "no version agreed on");
    let version = Message::Tversion { msize: 8192, version: VERSION.into() };
    assert_eq!(call(NO_TAG, version.clone()), Message::Rversion { msize: 8192, version: VERSION.into() });
    let auth = Message::Tauth { afid: 1, uname: "u".into(), aname: "press".into() };
    assert_eq!(ename(call(1, auth)), "no authentication needed");
    assert_eq!(ename(call(1, attach(1, "press"))), "no authentication needed");
    assert_eq!(ename(call(1, attach(NO_FID, "prints"))), "unknown export prints");
    assert_eq!(ename(call(1, Message::Rclunk)), "not a request");
}

#[test]
fn a_9p_operation_on_the_wrong_fid_gets_the_reason() {
    let (_backend, program) = start(Duration::ZERO);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.walk(1, &["proof"]);
    assert_eq!(ename(client.read(1)), "fid is not open");
    let write = |fid| Message::Twrite { fid, offset: 0, data: b"ink"[..].into() };
    assert_eq!(ename(client.call(write(1))), "fid is not open");
    assert!(matches!(client.open(1, 0), Message::Ropen { .. }));
    assert_eq!(ename(client.call(write(1))), "fid is not open for writing");
    assert_eq!(ename(client.open(1, 0)), "fid is open");
    assert_eq!(ename(client.call(Message::Twalk { fid: 1, newfid: 2, names: Vec::new() })), "fid is open");
    let create = |fid, name: &str| Message::Tcreate { fid, name: name.into(), perm: 0o644, mode: MODE_WRITE };
    assert_eq!(ename(client.call(create(1, "new"))), "fid is open");
    for name in ["", ".", "..", "a/b"] {
        assert_eq!(ename(client.call(create(0, name))), "malformed name", "{name:?}");
    }
    assert_eq!(ename(client.walk(NO_FID, &[])), "fid is in use");
    client.walk(3, &[]);
    assert!(matches!(client.call(create(3, "new")), Message::Rcreate { .. }));
    assert_eq!(ename(client.read(3)), "fid is not open for reading");
    assert_eq!(
        ename(client.call(Message::Twstat { fid: 3, stat: b"short"[..].into() })),
        "malformed 9P message"
    );
    for fid in [9, NO_FID] {
        assert_eq!(ename(client.call(Message::Tclunk { fid })), "unknown fid");
        assert_eq!(ename(client.call(Message::Tremove { fid })), "unknown fid");
        assert_eq!(ename(client.call(Message::Tstat { fid })), "unknown fid");
    }
    client.walk(4, &[]);
    assert_eq!(ename(client.call(Message::Tremove { fid: 4 })), "the root stays");
    assert_eq!(ename(client.call(Message::Tstat { fid: 4 })), "unknown fid");
}

#[test]
fn a_9p_client_past_its_limits_gets_the_reason() {
    let (_backend, program) = start(Duration::ZERO);
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    // Names of 255 bytes: the sixteenth takes the path to 4096 bytes, and the next one past it.
    let long = "x".repeat(255);
    assert_eq!(ename(client.walk(1, &vec![&*long; MAX_WALK_NAMES])), "file does not exist");
    let longer = format!("{long}x");
    let names: Vec<&str> = [&[&*longer][..], &vec![&*long; MAX_WALK_NAMES - 1]].concat();
    assert_eq!(ename(client.walk(1, &names)), "path is too deep");
    // The root's fid is one of 768.
    for fid in 1..768 {
        assert!(matches!(client.walk(fid, &[]), Message::Rwalk { .. }), "fid {fid}");
    }
    assert_eq!(ename(client.walk(768, &[])), "too many fids");
}

#[test]
fn an_http_error_is_text_and_closes_the_connection() {
    let (_backend, program) = start(Duration::ZERO);
    let mut stream = TcpStream::connect(program.http).expect("a connection");
    stream.write_all(get("a0", 1000).replace("GET", "POST").as_bytes()).expect("sent");
    let (lines, _) = standin::read_http(&mut BufReader::new(stream)).expect("an answer");
    let headers: Vec<String> = lines.iter().map(|line| line.to_lowercase()).collect();
    for header in ["content-type: text/plain", "connection: close", "content-length: 15"] {
        assert!(headers.iter().any(|line| line == header), "{header}: {headers:?}");
    }
}
