//! Replies that a 9P backend writes slowly: they go on until the client's own time is over.

mod standin;

use sedgerun_protocol_9p::Message;
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The type of the reply to a read.
const RREAD: u8 = 117;
/// The length, type and tag of a message.
const HEADER_BYTES: usize = 7;

/// Passes a backend's messages on; a reply to a read stops behind its header for some time.
fn start_slow_proxy(backend: SocketAddr, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(backend).expect("a connection");
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let mut requests = client.try_clone().expect("a clone");
            let mut to_server = server.try_clone().expect("a clone");
            thread::spawn(move || std::io::copy(&mut requests, &mut to_server));
            thread::spawn(move || pass_replies_on(server, client, pause));
        }
    });
    address
}

fn pass_replies_on(mut server: TcpStream, mut client: TcpStream, pause: Duration) -> std::io::Result<()> {
    loop {
        let mut header = [0; HEADER_BYTES];
        server.read_exact(&mut header)?;
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let mut rest = vec![0; length - HEADER_BYTES];
        server.read_exact(&mut rest)?;
        client.write_all(&header)?;
        if header[4] == RREAD {
            thread::sleep(pause);
        }
        client.write_all(&rest)?;
    }
}

/// Guards against the timeout of an attempt that runs on while its reply is coming in. The objective of the class is
/// 0.2 s, its clients wait for a second.
#[test]
fn a_reply_that_a_backend_is_still_writing_is_not_cut_at_the_latency_objective() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let proxy = start_slow_proxy(backend.ninep, Duration::from_millis(600));
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let operator = operator(&[&backend]).replace(&backend.ninep.to_string(), &proxy.to_string());
    let program = Program::start(&config(discovery.address), Some(&operator));
    let mut client = Client::attach(program.ninep.expect("9P"), "press");
    client.walk(1, &["proof"]);
    client.open(1, 0);
    for _ in 0..3 {
        assert_eq!(client.read(1), Message::Rread { data: b"a print proof"[..].into() });
    }
    assert_eq!(backend.runs("Tread"), 3, "each read went out once");
}
