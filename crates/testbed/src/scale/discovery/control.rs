//! The program: typed commands on standard input, one answer to each on standard output.

use super::catalog::{Catalog, HISTORY};
use super::server::Server;
use super::traffic::Report;
use crate::scale::json_lines::{print_line, read_lines};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// The most backends that a list may have.
pub const MOST_BACKENDS: usize = 100_000;
/// The most backends that may be replaced a second.
const MOST_REPLACEMENTS: f64 = 10_000.0;
/// The longest time that a command may take the service down for.
const LONGEST_DOWN: Duration = Duration::from_secs(600);

/// The first line of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listening {
    /// Where heads reach it.
    pub listening: SocketAddr,
}

/// The commands of the program, a line each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// The list has so many backends, at addresses at which nobody listens.
    SetBackends {
        /// How many.
        count: usize,
    },
    /// The list has one backend for each address.
    SetAddresses {
        /// The addresses, in the order of the cells.
        addresses: Vec<SocketAddr>,
    },
    /// Backends are replaced from now on: each drains, is removed, and comes back under a new name and address.
    Replace {
        /// How many a second; 0 for none.
        per_second: f64,
    },
    /// Gives the figures.
    Report {
        /// Those of each connection as well.
        peers: bool,
    },
    /// All calls fail for a time; watches end. Answered at once.
    Down {
        /// How long, ms.
        milliseconds: u64,
    },
    /// The program ends.
    End,
}

/// What it answers, a line each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case", deny_unknown_fields)]
pub enum Reply {
    /// It is done.
    Done {
        /// The newest generation of the list.
        generation: u64,
    },
    /// The figures.
    Report {
        /// The figures.
        report: Report,
    },
    /// Nothing was done.
    Refused {
        /// Why.
        reason: String,
    },
}

/// Runs the service until a command ends it, or its input ends.
pub fn run() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve())
}

async fn serve() -> io::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let listening = listener.local_addr()?;
    let server = Server::new(Catalog::new(HISTORY));
    tokio::task::spawn_local(Rc::clone(&server).run(listener));
    tokio::task::spawn_local(Rc::clone(&server).run_replacements());
    print_line(&Listening { listening })?;
    let mut lines = read_lines();
    while let Some(line) = lines.recv().await {
        let command = serde_json::from_str(&line);
        let ends = matches!(command, Ok(Command::End));
        let reply = match command {
            Ok(command) => obey(&server, command),
            Err(error) => refused(error),
        };
        print_line(&reply)?;
        if ends {
            break;
        }
    }
    Ok(())
}

fn refused(reason: impl ToString) -> Reply {
    Reply::Refused { reason: reason.to_string() }
}

fn too_many(count: usize) -> Reply {
    refused(format!("{count} backends are more than the {MOST_BACKENDS} that a list may have"))
}

fn obey(server: &Rc<Server>, command: Command) -> Reply {
    match command {
        Command::SetBackends { count } if count > MOST_BACKENDS => return too_many(count),
        Command::SetBackends { count } => server.change(|catalog| catalog.set_count(count)),
        Command::SetAddresses { addresses } if addresses.len() > MOST_BACKENDS => {
            return too_many(addresses.len());
        }
        Command::SetAddresses { addresses } => server.change(|catalog| catalog.set_addresses(addresses)),
        Command::Replace { per_second } if !(0.0..=MOST_REPLACEMENTS).contains(&per_second) => {
            return refused(format!(
                "{per_second} replacements a second are not from 0 to {MOST_REPLACEMENTS}"
            ));
        }
        Command::Replace { per_second } => server.set_replacements(per_second),
        Command::Report { peers } => return Reply::Report { report: server.report(peers) },
        Command::Down { milliseconds } if u128::from(milliseconds) > LONGEST_DOWN.as_millis() => {
            return refused(format!("{milliseconds} ms are longer than {} s", LONGEST_DOWN.as_secs()));
        }
        Command::Down { milliseconds } => server.go_down(Duration::from_millis(milliseconds)),
        Command::End => {}
    }
    Reply::Done { generation: server.generation() }
}
