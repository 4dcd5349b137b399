//! What the cases share: a record of what happened, heads as separate processes, discovery, and HTTP messages.

pub mod discovery;
pub mod fleet;
pub mod head;
pub mod http;
pub mod ninep;
pub mod record;
pub mod settings;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Whether the case plays its disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the case and all heads that it started: 1 if the rule was broken, 0 if it held.
pub fn finish(broken: bool) -> ! {
    head::clean_up();
    std::process::exit(i32::from(broken))
}

/// Ends a case that could not run, and all heads that it started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    head::clean_up();
    std::process::exit(2)
}

/// A listener of a stand-in on a port that the system chooses.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A loopback address for a program to listen on. Its port is below the range from which systems choose ports for
/// outgoing connections, so that no connection takes it in the meantime.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() % 900) as u16 * 10;
    for _ in 0..9000 {
        let port = 12_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 9000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}
