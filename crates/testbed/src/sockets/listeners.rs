//! The listeners of emulated backends: they begin with each process of a backend, at its addresses, and end with it.

use super::backends::EmulatedBackend;
use super::test_bed::{TestBed, own_address};
use super::{http_server, ninep_server};
use crate::http::HttpConnection;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time between attempts to listen again at the addresses of a backend.
const LISTEN_AGAIN: Duration = Duration::from_millis(1);

/// What a listener's connections speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackendProtocol {
    Http,
    NineP,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Starts a backend that has long been running at a position, on ports of its own.
pub async fn start_backend(test_bed: Rc<TestBed>, position: usize) -> io::Result<Rc<EmulatedBackend>> {
    let any = SocketAddr::from((own_address(), 0));
    let (http, ninep) = (listen(any)?, listen(any)?);
    let backend = EmulatedBackend::new(test_bed, position, http.local_addr()?, ninep.local_addr()?);
    begin_process(&backend, false, http, ninep);
    tokio::task::spawn_local(Rc::clone(&backend).drive());
    Ok(backend)
}

/// Starts a process of a backend once the one before it has released its addresses; it warms up.
pub async fn start_process(backend: &Rc<EmulatedBackend>) {
    while !backend.is_up() {
        match (listen(backend.http), listen(backend.ninep)) {
            (Ok(http), Ok(ninep)) => begin_process(backend, true, http, ninep),
            _ => tokio::time::sleep(LISTEN_AGAIN).await,
        }
    }
}

fn begin_process(backend: &Rc<EmulatedBackend>, just_started: bool, http: TcpListener, ninep: TcpListener) {
    backend.begin_process(just_started);
    for (listener, protocol) in [(http, BackendProtocol::Http), (ninep, BackendProtocol::NineP)] {
        let task = tokio::task::spawn_local(accept(Rc::clone(backend), listener, protocol));
        backend.add_task(task.abort_handle());
    }
}

async fn accept(backend: Rc<EmulatedBackend>, listener: TcpListener, protocol: BackendProtocol) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // One too many is closed at once.
        let Some(open) = backend.open_connection() else { continue };
        let served = Rc::clone(&backend);
        let task = tokio::task::spawn_local(async move {
            match protocol {
                BackendProtocol::Http => {
                    let _ = http_server::serve_connection(served, HttpConnection::new(stream)).await;
                }
                BackendProtocol::NineP => ninep_server::serve_connection(served, stream).await,
            }
            drop(open);
        });
        backend.add_task(task.abort_handle());
    }
}
