//! Conversations with processes of a measurement: one JSON value a line, each command answered by one reply.

use crate::process::ChildGuard;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::{ChildStdin, ChildStdout, Command, Stdio};
use tokio::sync::mpsc;

/// The longest command, bytes: a list of 100,000 addresses.
const MOST_COMMAND: u64 = 4 << 20;

/// Why a process did not carry out a command.
#[derive(Debug)]
pub enum ConversationError {
    /// It could not be started, or the conversation broke off.
    Io(io::Error),
    /// It said what makes no sense here.
    Unexpected(String),
    /// It refused the command, and said why.
    Refused(String),
}

impl fmt::Display for ConversationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConversationError::Io(error) => write!(f, "process of the measurement: {error}"),
            ConversationError::Unexpected(line) => {
                write!(f, "process of the measurement: unexpected line: {line}")
            }
            ConversationError::Refused(reason) => write!(f, "process of the measurement: {reason}"),
        }
    }
}

impl std::error::Error for ConversationError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConversationError::Io(error) => Some(error),
            ConversationError::Unexpected(_) | ConversationError::Refused(_) => None,
        }
    }
}

impl From<io::Error> for ConversationError {
    fn from(error: io::Error) -> Self {
        ConversationError::Io(error)
    }
}

/// A process that takes commands on its standard input; dropped, it ends. Calls block until it has answered.
#[derive(Debug)]
pub struct Conversation {
    child: ChildGuard,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Conversation {
    /// Starts a process, and reads its first line.
    pub fn start<T: DeserializeOwned>(command: &mut Command) -> Result<(Conversation, T), ConversationError> {
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let child = ChildGuard::new(child);
        let (input, output) = pipes.ok_or(io::ErrorKind::BrokenPipe).map_err(io::Error::from)?;
        let mut conversation = Conversation { child, input, output: BufReader::new(output) };
        let first = conversation.receive()?;
        Ok((conversation, first))
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Says one command, and reads the reply.
    pub fn tell<T: DeserializeOwned>(&mut self, command: &impl Serialize) -> Result<T, ConversationError> {
        let mut line = serde_json::to_string(command).map_err(io::Error::from)?;
        line.push('\n');
        self.input.write_all(line.as_bytes())?;
        self.receive()
    }

    /// Waits until the process has ended by itself.
    pub fn wait(mut self) -> io::Result<()> {
        self.child.wait().map(|_| ())
    }

    fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConversationError> {
        let mut line = String::new();
        if self.output.read_line(&mut line)? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        serde_json::from_str(&line).map_err(|_| ConversationError::Unexpected(line.trim().to_owned()))
    }
}

/// The lines of this process's standard input. They are read on a thread of their own, which does not outlive the
/// process and which the end of the program does not wait for.
pub fn read_lines() -> mpsc::Receiver<String> {
    let (sender, lines) = mpsc::channel(1);
    std::thread::spawn(move || {
        let mut input = io::stdin().lock();
        loop {
            let mut line = String::new();
            match (&mut input).take(MOST_COMMAND).read_line(&mut line) {
                Ok(1..) if sender.blocking_send(line).is_ok() => {}
                _ => return,
            }
        }
    });
    lines
}

/// Writes one line on this process's standard output.
pub fn print_line(line: &impl Serialize) -> io::Result<()> {
    let text = serde_json::to_string(line)?;
    let mut output = io::stdout().lock();
    writeln!(output, "{text}")?;
    output.flush()
}
