//! Parser of operators' commands: one line of text on the management address. The command names and the error
//! messages are part of the program's interface, because operators and their scripts depend on them.

use std::str::Utf8Error;

/// The maximum length of a command line in bytes, without the line terminator.
pub const MAX_COMMAND_BYTES: usize = 256;
/// The maximum length in characters of an unknown command's name as quoted in the error message.
const MAX_EXCERPT_CHARS: usize = 32;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Report whether this process can serve requests.
    Ready,
    /// Report the metrics.
    ShowStat,
    /// Take a backend out of rotation at this head.
    Disable(String),
    /// Put a backend back into rotation at this head.
    Enable(String),
    /// Take a backend out of rotation at all heads of the cluster.
    ClusterDisable(String),
    /// Put a backend back into rotation at all heads of the cluster.
    ClusterEnable(String),
    /// Close client connections and fail health checks, so that clients move to other heads.
    Drain,
    /// Serve clients normally again after [`OperatorCommand::Drain`].
    Resume,
}

/// Why a line is not a valid command. The messages are responses to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorCommandError {
    /// The line is longer than [`MAX_COMMAND_BYTES`].
    #[error("line over {MAX_COMMAND_BYTES} bytes")]
    LineTooLong,
    /// The line is not UTF-8 text.
    #[error("line is not UTF-8")]
    NotUtf8(#[source] Utf8Error),
    /// The line is empty or blank.
    #[error("empty line")]
    EmptyLine,
    /// The command requires a backend id and has none; the value is the command's name.
    #[error("{0} wants a brick's id")]
    MissingId(String),
    /// The backend id contains control characters; the value is the command's name.
    #[error("{0}: malformed id")]
    MalformedId(String),
    /// The command is unknown; the value is its name, truncated to 32 characters.
    #[error("unknown call {0:?}")]
    UnknownCommand(String),
    /// The line continues after the command's arguments; the value is the command's name.
    #[error("{0}: too many words")]
    TooManyWords(String),
}

impl OperatorCommand {
    /// Parses one line, given without its line terminator.
    pub fn parse(line: &[u8]) -> Result<OperatorCommand, OperatorCommandError> {
        if line.len() > MAX_COMMAND_BYTES {
            return Err(OperatorCommandError::LineTooLong);
        }
        let line = std::str::from_utf8(line).map_err(OperatorCommandError::NotUtf8)?;
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or(OperatorCommandError::EmptyLine)?;
        let command = match name {
            "ready" => OperatorCommand::Ready,
            "show-stat" => OperatorCommand::ShowStat,
            "drain" => OperatorCommand::Drain,
            "resume" => OperatorCommand::Resume,
            "disable-server" => OperatorCommand::Disable(parse_backend_id(name, words.next())?),
            "enable-server" => OperatorCommand::Enable(parse_backend_id(name, words.next())?),
            "fleet-disable-server" => OperatorCommand::ClusterDisable(parse_backend_id(name, words.next())?),
            "fleet-enable-server" => OperatorCommand::ClusterEnable(parse_backend_id(name, words.next())?),
            unknown => {
                let excerpt = unknown.chars().take(MAX_EXCERPT_CHARS).collect();
                return Err(OperatorCommandError::UnknownCommand(excerpt));
            }
        };
        match words.next() {
            Some(_) => Err(OperatorCommandError::TooManyWords(name.to_owned())),
            None => Ok(command),
        }
    }
}

/// Reads the backend id that follows a command's name.
fn parse_backend_id(name: &str, argument: Option<&str>) -> Result<String, OperatorCommandError> {
    let id = argument.ok_or_else(|| OperatorCommandError::MissingId(name.to_owned()))?;
    if id.chars().any(char::is_control) {
        return Err(OperatorCommandError::MalformedId(name.to_owned()));
    }
    Ok(id.to_owned())
}
