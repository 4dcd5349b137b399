//! Why an operation fails. Clients read the texts, as the `ename` of an `Rerror`.

use sedgerun_policy::Micros;
use sedgerun_protocol_9p::MalformedMessage;
use thiserror::Error;

/// Why an operation fails.
#[derive(Debug, Error)]
pub(super) enum NinePError {
    /// A message other than `Tversion` came first.
    #[error("no version agreed on")]
    NoVersion,
    /// `Tauth`, or an attach with an authentication fid.
    #[error("no authentication needed")]
    NoAuthentication,
    /// The message is a reply.
    #[error("not a request")]
    NotARequest,
    /// No tenant has such an export.
    #[error("unknown export {0}")]
    UnknownExport(String),
    /// The fid's export was removed, or changed.
    #[error("export {0} has changed")]
    ExportChanged(String),
    /// The session has no such fid.
    #[error("unknown fid")]
    UnknownFid,
    /// The number of a new fid is taken.
    #[error("fid is in use")]
    FidInUse,
    /// The session has as many fids as it may.
    #[error("too many fids")]
    TooManyFids,
    /// The operation needs a fid that is not open.
    #[error("fid is open")]
    FidIsOpen,
    /// The operation needs an open fid.
    #[error("fid is not open")]
    FidIsNotOpen,
    /// The fid is open for writing only.
    #[error("fid is not open for reading")]
    NotOpenForReading,
    /// The fid is open for reading or executing only.
    #[error("fid is not open for writing")]
    NotOpenForWriting,
    /// A file's name is empty, or has a slash.
    #[error("malformed name")]
    MalformedName,
    /// The path has too many names, or too many bytes.
    #[error("path is too deep")]
    PathTooDeep,
    /// An export's root cannot be removed.
    #[error("the root stays")]
    RootStays,
    /// A directory entry cannot be read.
    #[error(transparent)]
    MalformedStat(#[from] MalformedMessage),
    /// The client has cancelled the operation before its request was submitted.
    #[error("interrupted")]
    Cancelled,
    /// The request is shed; the client may retry after so long.
    #[error("refused: come back in {:.3} s", *retry_after as f64 / 1e6)]
    Rejected { retry_after: Micros },
    /// The attempts have failed; one may have run.
    #[error("failed: it may have run")]
    Failed,
}
