//! At the default level the log says why a request was refused, a response cut and a connection closed.

mod peers;
mod standin;

use peers::{Described, DescribedBackend, Framing, timed_exchange};
use standin::{Discovery, Fault, Program, StandIn, config, get, operator};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

fn send(address: SocketAddr, sent: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    stream.write_all(sent).expect("sent");
    // Until the head closes it; a reset is a close, too.
    let _ = stream.read_to_end(&mut Vec::new());
}

/// Ends the head; its log.
fn log_of(program: Program) -> String {
    program.terminate();
    program.end().1
}

#[test]
fn refusals_and_closes_are_logged_with_reason_and_request_id() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), Some(&operator(&[&backend])));
    send(program.http, b"x\r\n\r\n");
    let unknown = get("b1", 1000).replace("GET /read", "GET /unknown");
    let id = unknown.split("Request-Id: ").nth(1).and_then(|rest| rest.split('\r').next()).expect("an id");
    send(program.http, unknown.as_bytes());
    send(program.ninep.expect("9P"), &[0xff; 64]);
    let log = log_of(program);
    for line in [
        "no request: 400, malformed head".to_owned(),
        format!("request {id}: 400, unknown class \"unknown\""),
        format!("closed, request {id}: the last response is sent"),
        "9P session 0 closed: a message of an impossible length".to_owned(),
    ] {
        assert!(log.contains(&line), "{line}: {log}");
    }
}

#[test]
fn a_cut_response_is_logged_with_its_request_id() {
    let backend = DescribedBackend::start();
    let discovery = Discovery::start(vec![backend.entry("s-1")]);
    let program = Program::start(&config(discovery.address), None);
    let described = Described {
        bytes: 200_000,
        written_over: Duration::from_millis(600),
        lumps: 10,
        framing: Framing::Chunked,
    };
    // The client leaves within the response.
    let request = get("b1", 1000).replace("/read/x", &format!("/read/x?{}", described.query()));
    let id = request.split("Request-Id: ").nth(1).and_then(|rest| rest.split('\r').next()).expect("an id");
    let left = timed_exchange(program.http, request.as_bytes(), Duration::from_millis(50));
    assert!(left.is_none_or(|timed| timed.response.body.is_none()));
    std::thread::sleep(Duration::from_millis(600));
    let log = log_of(program);
    let line = format!("request {id}: the client closed it within its response");
    let before = format!("request {id}: the client left while its request waited");
    assert!(log.contains(&line) || log.contains(&before), "{log}");
}
