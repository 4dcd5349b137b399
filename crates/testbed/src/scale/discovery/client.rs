//! The other end: starts the program and tells it what to do, one command at a time.

use super::control::{Command, Listening, Reply};
use super::traffic::Report;
use crate::scale::json_lines::{Conversation, ConversationError};
use std::net::SocketAddr;
use std::path::Path;
use std::process;
use std::time::Duration;

/// The hidden subcommand of `sedgerun-testbed` that runs the service.
const SUBCOMMAND: &str = "scale-discovery";

/// A discovery process; dropped, it ends. Calls block until it has answered.
#[derive(Debug)]
pub struct DiscoveryProcess {
    conversation: Conversation,
    address: SocketAddr,
}

impl DiscoveryProcess {
    /// Starts one from the program `sedgerun-testbed`.
    pub fn start(program: &Path) -> Result<DiscoveryProcess, ConversationError> {
        let (conversation, first) = Conversation::start(process::Command::new(program).arg(SUBCOMMAND))?;
        let Listening { listening } = first;
        Ok(DiscoveryProcess { conversation, address: listening })
    }

    /// Where heads reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.conversation.id()
    }

    /// Sets the number of backends, at addresses at which nobody listens; gives the list's generation.
    pub fn set_backends(&mut self, count: usize) -> Result<u64, ConversationError> {
        self.done(&Command::SetBackends { count })
    }

    /// Lists one backend for each address; gives the list's generation.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) -> Result<u64, ConversationError> {
        self.done(&Command::SetAddresses { addresses })
    }

    /// Replaces so many backends a second from now on; gives the list's generation.
    pub fn replace(&mut self, per_second: f64) -> Result<u64, ConversationError> {
        self.done(&Command::Replace { per_second })
    }

    /// Fails all calls for a time, which begins now; gives the list's generation.
    pub fn down(&mut self, time: Duration) -> Result<u64, ConversationError> {
        self.done(&Command::Down { milliseconds: time.as_millis() as u64 })
    }

    /// Its figures, with those of each connection where `peers` is set.
    pub fn report(&mut self, peers: bool) -> Result<Report, ConversationError> {
        match self.tell(&Command::Report { peers })? {
            Reply::Report { report } => Ok(report),
            other => Err(unexpected(&other)),
        }
    }

    /// Ends it, and waits until it has.
    pub fn end(mut self) -> Result<(), ConversationError> {
        self.done(&Command::End)?;
        self.conversation.wait()?;
        Ok(())
    }

    fn done(&mut self, command: &Command) -> Result<u64, ConversationError> {
        match self.tell(command)? {
            Reply::Done { generation } => Ok(generation),
            other => Err(unexpected(&other)),
        }
    }

    fn tell(&mut self, command: &Command) -> Result<Reply, ConversationError> {
        match self.conversation.tell(command)? {
            Reply::Refused { reason } => Err(ConversationError::Refused(reason)),
            reply => Ok(reply),
        }
    }
}

fn unexpected(reply: &Reply) -> ConversationError {
    ConversationError::Unexpected(format!("{reply:?}"))
}
