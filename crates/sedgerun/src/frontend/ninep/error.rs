//! Errors of operations. The texts are sent to clients as the `ename` of an `Rerror`.

use crate::logging::info_by_kind;
use sedgerun_policy::Micros;
use sedgerun_protocol_9p::MalformedMessage;
use thiserror::Error;

/// Why an operation fails.
#[derive(Debug, Error)]
pub(super) enum NinePError {
    /// The first message was not a `Tversion`.
    #[error("no version agreed on")]
    NoVersion,
    /// `Tauth`, or an attach with an authentication fid.
    #[error("no authentication needed")]
    NoAuthentication,
    /// The message is a reply.
    #[error("not a request")]
    NotARequest,
    /// No tenant has an export of this name.
    #[error("unknown export {0}")]
    UnknownExport(String),
    /// The fid's export has been removed or changed.
    #[error("export {0} has changed")]
    ExportChanged(String),
    /// The session has no fid of this number.
    #[error("unknown fid")]
    UnknownFid,
    /// The number of a new fid is in use or reserved.
    #[error("fid is in use")]
    FidInUse,
    /// The session has reached its limit of fids.
    #[error("too many fids")]
    TooManyFids,
    /// The session's fids would take up more memory than they may.
    #[error("the names of the fids are too long")]
    FidsTooLarge,
    /// The operation requires a fid that is not open.
    #[error("fid is open")]
    FidIsOpen,
    /// The operation requires an open fid.
    #[error("fid is not open")]
    FidIsNotOpen,
    /// The fid is open for writing only.
    #[error("fid is not open for reading")]
    NotOpenForReading,
    /// The fid is open for reading or executing only.
    #[error("fid is not open for writing")]
    NotOpenForWriting,
    /// A file name is empty, contains a slash, or is `.` or `..` where a file is created.
    #[error("malformed name")]
    MalformedName,
    /// The path has too many names, or too many bytes.
    #[error("path is too deep")]
    PathTooDeep,
    /// An export's root cannot be removed.
    #[error("the root stays")]
    RootNotRemovable,
    /// A directory entry is malformed.
    #[error(transparent)]
    MalformedStat(#[from] MalformedMessage),
    /// The client cancelled the operation before its request was submitted.
    #[error("interrupted")]
    Cancelled,
    /// The request is shed; the client may retry after `retry_after`.
    #[error("refused: come back in {:.3} s", *retry_after as f64 / 1e6)]
    Rejected { retry_after: Micros },
    /// The attempts have failed; a backend may have executed one.
    #[error("failed: it may have run")]
    Failed,
}

impl NinePError {
    /// Logs that an operation is not carried out. Refusals, failures and faults of clients have lines of their own.
    pub(super) fn log(&self, session: u64, tag: u16) {
        info_by_kind!(
            self,
            [NinePError::Rejected { .. }, NinePError::Failed, NinePError::Cancelled, _],
            format_args!("9P session {session}, tag {tag}: {self}")
        );
    }
}
