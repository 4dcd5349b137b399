//! The hand-over of disabled backends between processes of one head, through a file in `$TMPDIR`. The form of the
//! file and its name are kept: an older process reads what a newer one writes, and the other way round.

use std::cell::RefCell;
use std::path::PathBuf;

/// The first line of the file.
const HEADER: &str = "sedgerun bans 1";
/// What stands before the number of names on the last line.
const END: &str = "end ";
/// The file's name in `$TMPDIR`.
const FILE_NAME: &str = "sedgerun-bans";

/// What is wrong with a hand-over file, and on which line. The texts are read in the log by operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// Not a hand-over file, or one of another version.
    #[error("line 1: not {HEADER:?}")]
    Header,
    /// Fewer or more names than the end line says.
    #[error("line {line}: {names} names, and the end says {count:?}")]
    Count {
        /// The number of the line, from 1.
        line: usize,
        /// The names before it.
        names: usize,
        /// What the line says.
        count: String,
    },
    /// A name that no backend can have.
    #[error("line {line}: malformed name {name:?}")]
    MalformedName {
        /// The number of the line, from 1.
        line: usize,
        /// What stands there.
        name: String,
    },
    /// The file ends without its end line.
    #[error("the end line is missing: the file is cut short")]
    CutShort,
}

/// The hand-over file of one process, with what it held when it was last read or written.
#[derive(Debug)]
pub(super) struct OverrideHandover {
    path: PathBuf,
    last_text: RefCell<String>,
}

impl OverrideHandover {
    /// The file in `$TMPDIR`; none where the variable is not set.
    pub fn in_temporary_folder() -> Option<OverrideHandover> {
        let folder = PathBuf::from(std::env::var_os("TMPDIR")?);
        Some(OverrideHandover { path: folder.join(FILE_NAME), last_text: RefCell::default() })
    }

    /// Writes the names of the disabled backends for the next process: to a file of its own first, then renamed
    /// into place. Whether that succeeded.
    pub fn write(&self, names: &[String]) -> bool {
        let text = write_bans(names);
        let path = &self.path;
        let own_path = path.with_extension(std::process::id().to_string());
        let written = std::fs::write(&own_path, &text).and_then(|()| std::fs::rename(&own_path, path));
        match &written {
            Ok(()) => *self.last_text.borrow_mut() = text,
            Err(error) => tracing::warn!("mgmt: cannot hand over bans in {}: {error}", path.display()),
        }
        written.is_ok()
    }

    /// The names that another process has written since the file was last read or written. A corrupt file is
    /// logged once and changes nothing.
    pub fn read_if_changed(&self) -> Option<Vec<String>> {
        let text = std::fs::read_to_string(&self.path).ok()?;
        if *self.last_text.borrow() == text {
            return None;
        }
        let names = read_bans(&text);
        *self.last_text.borrow_mut() = text;
        let log_error =
            |error| tracing::error!("mgmt: {}: {error}; the bans held stand", self.path.display());
        names.map_err(log_error).ok()
    }
}

fn write_bans(names: &[String]) -> String {
    let lines: String = names.iter().map(|name| format!("{name}\n")).collect();
    format!("{HEADER}\n{lines}{END}{}\n", names.len())
}

/// Reads a hand-over file: the names of disabled backends.
pub fn read_bans(text: &str) -> Result<Vec<String>, HandoverError> {
    let mut lines = text.lines().zip(1..);
    if lines.next().is_none_or(|(line, _)| line != HEADER) {
        return Err(HandoverError::Header);
    }
    let mut names = Vec::new();
    for (text, line) in lines {
        if let Some(count) = text.strip_prefix(END) {
            if count.parse() == Ok(names.len()) {
                return Ok(names);
            }
            return Err(HandoverError::Count { line, names: names.len(), count: count.to_owned() });
        }
        if text.is_empty() || text.chars().any(|char| char.is_whitespace() || char.is_control()) {
            return Err(HandoverError::MalformedName { line, name: text.to_owned() });
        }
        names.push(text.to_owned());
    }
    Err(HandoverError::CutShort)
}
