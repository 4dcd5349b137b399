//! Backends that answer every request at once, many in a process: each has a port of its own.

use super::super::json_lines::{Conversation, ConversationError, print_line, read_lines};
use crate::http::HttpConnection;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// The hidden subcommand of `sedgerun-testbed` that runs such a process.
const SUBCOMMAND: &str = "scale-backends";
/// Listeners of one process: with as many connections they stay far under the usual limit on descriptors.
const MOST_LISTENERS: usize = 2_500;
/// Rest after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// The first line of a process.
#[derive(Debug, Serialize, Deserialize)]
struct Listening {
    listening: Vec<SocketAddr>,
}

/// The command of a process.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
enum Command {
    /// Gives the figures.
    Report,
}

/// What a process answers.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    /// Connections that were accepted since the start.
    connections: u64,
}

/// How many processes so many backends are spread over.
pub(super) fn processes_for(count: usize) -> usize {
    count.div_ceil(MOST_LISTENERS)
}

/// Backends in processes; dropped, they end.
pub(super) struct Backends {
    processes: Vec<Conversation>,
    addresses: Vec<SocketAddr>,
}

impl Backends {
    /// Starts so many.
    pub(super) fn start(program: &Path, count: usize) -> Result<Backends, ConversationError> {
        let (mut processes, mut addresses) = (Vec::new(), Vec::new());
        while addresses.len() < count {
            let listeners = MOST_LISTENERS.min(count - addresses.len());
            let mut command = process::Command::new(program);
            command.arg(SUBCOMMAND).arg("--listeners").arg(listeners.to_string());
            let (process, first) = Conversation::start(&mut command)?;
            let Listening { listening } = first;
            processes.push(process);
            addresses.extend(listening);
        }
        Ok(Backends { processes, addresses })
    }

    /// Where they listen.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Connections that they have accepted since the start.
    pub(super) fn connections(&mut self) -> Result<u64, ConversationError> {
        let mut connections = 0;
        for process in &mut self.processes {
            let report: Report = process.tell(&Command::Report)?;
            connections += report.connections;
        }
        Ok(connections)
    }
}

/// Runs one process of backends until its input ends.
pub fn run(listeners: usize) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve_all(listeners))
}

async fn serve_all(count: usize) -> io::Result<()> {
    let connections = Rc::new(Cell::new(0));
    let mut listening = Vec::new();
    for _ in 0..count.min(MOST_LISTENERS) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        listening.push(listener.local_addr()?);
        tokio::task::spawn_local(accept(listener, Rc::clone(&connections)));
    }
    print_line(&Listening { listening })?;
    let mut lines = read_lines();
    while let Some(line) = lines.recv().await {
        let Command::Report = serde_json::from_str(&line)?;
        print_line(&Report { connections: connections.get() })?;
    }
    Ok(())
}

async fn accept(listener: TcpListener, connections: Rc<Cell<u64>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.set(connections.get() + 1);
                tokio::task::spawn_local(async move {
                    // A connection that breaks is the head's affair.
                    let _ = serve(stream).await;
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn serve(stream: TcpStream) -> io::Result<()> {
    let mut wire = HttpConnection::new(stream);
    while let Some(request) = wire.read(false).await? {
        match request.header("Request-Id") {
            Some(id) => wire.answer("200 OK", "", id).await?,
            None => wire.answer("404 Not Found", "", "").await?,
        }
    }
    Ok(())
}
