//! Commands of operators, as one line on the management address says them. The words and the messages are part of
//! the program's interface: operators and their scripts read them.

use std::str::Utf8Error;

/// The longest command line, in bytes, its end of line left out.
pub const MAX_COMMAND_BYTES: usize = 256;
/// How much of an unknown command its error repeats, in characters.
const MAX_QUOTED_CHARS: usize = 32;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Whether this process can serve.
    Ready,
    /// The metrics.
    ShowStat,
    /// Take a backend out of rotation at this head.
    Disable(String),
    /// Put a backend back into rotation at this head.
    Enable(String),
    /// Take a backend out of rotation at all heads of the cluster.
    ClusterDisable(String),
    /// Put a backend back into rotation at all heads of the cluster.
    ClusterEnable(String),
    /// Send clients to other heads.
    Drain,
    /// Take clients again.
    Resume,
}

/// Why a line is no command. The texts are answers to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorCommandError {
    /// More than [`MAX_COMMAND_BYTES`].
    #[error("line over {MAX_COMMAND_BYTES} bytes")]
    LineTooLong,
    /// Not text.
    #[error("line is not UTF-8")]
    NotUtf8(#[source] Utf8Error),
    /// No word at all.
    #[error("empty line")]
    EmptyLine,
    /// A command about a backend that names none.
    #[error("{0} wants a brick's id")]
    MissingId(String),
    /// A backend's id with control characters.
    #[error("{0}: malformed id")]
    MalformedId(String),
    /// The first word is none that is known; its beginning.
    #[error("unknown call {0:?}")]
    UnknownCommand(String),
    /// Words behind the command.
    #[error("{0}: too many words")]
    TooManyWords(String),
}

impl OperatorCommand {
    /// Reads one line, its end of line left out.
    pub fn parse(line: &[u8]) -> Result<OperatorCommand, OperatorCommandError> {
        if line.len() > MAX_COMMAND_BYTES {
            return Err(OperatorCommandError::LineTooLong);
        }
        let line = std::str::from_utf8(line).map_err(OperatorCommandError::NotUtf8)?;
        let mut words = line.split_ascii_whitespace();
        let verb = words.next().ok_or(OperatorCommandError::EmptyLine)?;
        let command = match verb {
            "ready" => OperatorCommand::Ready,
            "show-stat" => OperatorCommand::ShowStat,
            "drain" => OperatorCommand::Drain,
            "resume" => OperatorCommand::Resume,
            "disable-server" => OperatorCommand::Disable(parse_backend_id(verb, words.next())?),
            "enable-server" => OperatorCommand::Enable(parse_backend_id(verb, words.next())?),
            "fleet-disable-server" => OperatorCommand::ClusterDisable(parse_backend_id(verb, words.next())?),
            "fleet-enable-server" => OperatorCommand::ClusterEnable(parse_backend_id(verb, words.next())?),
            unknown => {
                let beginning = unknown.chars().take(MAX_QUOTED_CHARS).collect();
                return Err(OperatorCommandError::UnknownCommand(beginning));
            }
        };
        match words.next() {
            Some(_) => Err(OperatorCommandError::TooManyWords(verb.to_owned())),
            None => Ok(command),
        }
    }
}

/// The id of the backend that a command is about.
fn parse_backend_id(verb: &str, word: Option<&str>) -> Result<String, OperatorCommandError> {
    let id = word.ok_or_else(|| OperatorCommandError::MissingId(verb.to_owned()))?;
    if id.chars().any(char::is_control) {
        return Err(OperatorCommandError::MalformedId(verb.to_owned()));
    }
    Ok(id.to_owned())
}
