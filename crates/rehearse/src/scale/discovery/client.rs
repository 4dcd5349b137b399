//! The other end: starts the program and tells it what to do, one command at a time.

use super::control::{Command, Listening, Reply};
use super::traffic::Report;
use crate::scale::process::ChildGuard;
use serde::de::DeserializeOwned;
use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{self, ChildStdin, ChildStdout, Stdio};
use std::time::Duration;

/// The hidden subcommand of `sedgerun-rehearse` that runs the service.
const SUBCOMMAND: &str = "scale-discovery";

/// Why a discovery process did not do what it was told.
#[derive(Debug)]
pub enum DiscoveryError {
    /// It could not be started, or the conversation broke off.
    Io(io::Error),
    /// It said what makes no sense here.
    Unexpected(String),
    /// It refused the command, and said why.
    Refused(String),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryError::Io(error) => write!(f, "discovery process: {error}"),
            DiscoveryError::Unexpected(line) => write!(f, "discovery process: unexpected line: {line}"),
            DiscoveryError::Refused(reason) => write!(f, "discovery process: {reason}"),
        }
    }
}

impl std::error::Error for DiscoveryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DiscoveryError::Io(error) => Some(error),
            DiscoveryError::Unexpected(_) | DiscoveryError::Refused(_) => None,
        }
    }
}

impl From<io::Error> for DiscoveryError {
    fn from(error: io::Error) -> Self {
        DiscoveryError::Io(error)
    }
}

/// A discovery process; dropped, it ends. Calls block until it has answered.
#[derive(Debug)]
pub struct DiscoveryProcess {
    child: ChildGuard,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl DiscoveryProcess {
    /// Starts one from the program `sedgerun-rehearse`.
    pub fn start(program: &Path) -> Result<DiscoveryProcess, DiscoveryError> {
        let mut command = process::Command::new(program);
        command.arg(SUBCOMMAND).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let child = ChildGuard::new(child);
        let (input, output) = pipes.ok_or(io::ErrorKind::BrokenPipe).map_err(io::Error::from)?;
        let mut output = BufReader::new(output);
        let Listening { listening } = read_line(&mut output)?;
        Ok(DiscoveryProcess { child, input, output, address: listening })
    }

    /// Where heads reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sets the number of backends, at addresses at which nobody listens; gives the list's generation.
    pub fn set_backends(&mut self, count: usize) -> Result<u64, DiscoveryError> {
        self.done(&Command::SetBackends { count })
    }

    /// Lists one backend for each address; gives the list's generation.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) -> Result<u64, DiscoveryError> {
        self.done(&Command::SetAddresses { addresses })
    }

    /// Replaces so many backends a second from now on; gives the list's generation.
    pub fn replace(&mut self, per_second: f64) -> Result<u64, DiscoveryError> {
        self.done(&Command::Replace { per_second })
    }

    /// Fails all calls for a time, which begins now; gives the list's generation.
    pub fn down(&mut self, time: Duration) -> Result<u64, DiscoveryError> {
        self.done(&Command::Down { milliseconds: time.as_millis() as u64 })
    }

    /// Its figures, with those of each connection where `peers` is set.
    pub fn report(&mut self, peers: bool) -> Result<Report, DiscoveryError> {
        match self.tell(&Command::Report { peers })? {
            Reply::Report { report } => Ok(report),
            other => Err(unexpected(&other)),
        }
    }

    /// Ends it, and waits until it has.
    pub fn end(mut self) -> Result<(), DiscoveryError> {
        self.done(&Command::End)?;
        self.child.wait()?;
        Ok(())
    }

    fn done(&mut self, command: &Command) -> Result<u64, DiscoveryError> {
        match self.tell(command)? {
            Reply::Done { generation } => Ok(generation),
            other => Err(unexpected(&other)),
        }
    }

    fn tell(&mut self, command: &Command) -> Result<Reply, DiscoveryError> {
        let mut line = serde_json::to_string(command).map_err(io::Error::from)?;
        line.push('\n');
        self.input.write_all(line.as_bytes())?;
        match read_line(&mut self.output)? {
            Reply::Refused { reason } => Err(DiscoveryError::Refused(reason)),
            reply => Ok(reply),
        }
    }
}

fn unexpected(reply: &Reply) -> DiscoveryError {
    DiscoveryError::Unexpected(format!("{reply:?}"))
}

fn read_line<T: DeserializeOwned>(output: &mut impl BufRead) -> Result<T, DiscoveryError> {
    let mut line = String::new();
    if output.read_line(&mut line)? == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    serde_json::from_str(&line).map_err(|_| DiscoveryError::Unexpected(line.trim().to_owned()))
}
