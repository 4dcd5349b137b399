//! What identifies a file at its backends, whatever path leads to it.

use sedgerun_protocol_9p::{QID_MODE_MASK, Qid};
use thiserror::Error;

/// The parts of a file's qid that stay for its lifetime: its number, and its type but for the bits that a `Twstat` can
/// change. The version changes with each write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileIdentity {
    number: u64,
    kind: u8,
}

impl From<Qid> for FileIdentity {
    fn from(qid: Qid) -> FileIdentity {
        FileIdentity { number: qid.path, kind: qid.kind & !QID_MODE_MASK }
    }
}

impl std::fmt::Display for FileIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:x}/{:x}", self.number, self.kind)
    }
}

/// A path leads to another file than the one that a client's fid refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("its path leads to file {found} in place of {expected}")]
pub struct FileReplaced {
    expected: FileIdentity,
    found: FileIdentity,
}

/// Checks that a path leads to the file that a client's fid refers to.
///
/// # Errors
/// It leads to another one.
pub(super) fn check_identity(expected: Option<FileIdentity>, found: Qid) -> Result<(), FileReplaced> {
    let found = FileIdentity::from(found);
    match expected {
        Some(expected) if expected != found => Err(FileReplaced { expected, found }),
        _ => Ok(()),
    }
}
