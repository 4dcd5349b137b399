//! Errors of the `sedgerun fleet ...` commands.

use crate::environment::EntropyError;
use sedgerun_replication::record::{CorruptRecord, EncodeError};
use sedgerun_replication::state::ChangeOutcome;
use sedgerun_replication::view::UpstreamBehind;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The runtime for connections cannot be created.
    #[error("cannot create the runtime for connections: {0}")]
    Runtime(#[source] io::Error),
    /// No random number is available for an idempotency key.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// The change was rejected, for this reason.
    #[error("{0}")]
    ChangeRejected(String),
    /// The change had an outcome that is not expected for changes of the command line.
    #[error("unexpected outcome of the change: {0:?}")]
    UnexpectedOutcome(ChangeOutcome),
    /// No voter confirmed the change; it may still be committed.
    #[error("the change is not confirmed, and may still be committed: {0}")]
    NotCommitted(HeadErrors),
    /// None of the heads that responded is the leader.
    #[error("no leader responded")]
    NoLeader,
    /// The head of this name does not vote.
    #[error("{0} does not vote")]
    NotAVoter(String),
    /// No voter responded.
    #[error("no voter responded: {0}")]
    NoVoterResponded(HeadErrors),
    /// The state cannot be downloaded from any voter.
    #[error("cannot download the state: {0}")]
    Download(HeadErrors),
    /// The backup cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The backup's file cannot be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why it cannot be read or written.
        source: io::Error,
    },
    /// The backup's file is corrupt.
    #[error("{}: {source}", file.display())]
    CorruptBackup {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        source: CorruptRecord,
    },
    /// A head cannot be reached, or its response does not fit the request.
    #[error("{head} at {address}: {source}")]
    Head {
        /// The head's name.
        head: String,
        /// Its address.
        address: SocketAddr,
        /// Why the request failed.
        source: HeadError,
    },
    /// A head rejects the request, for this reason.
    #[error("{0}")]
    RequestRejected(String),
}

/// Why a request to one head failed.
#[derive(Debug, Error)]
pub enum HeadError {
    /// Its address is malformed.
    #[error("its address is malformed")]
    NoAddress,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The head rejected the request, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// Its response does not fit the request.
    #[error("unexpected type of response")]
    UnexpectedResponse,
    /// The head's version decreased during a download.
    #[error(transparent)]
    Behind(#[from] UpstreamBehind),
}

/// The errors of several heads, each with the head's name.
#[derive(Debug, Default)]
pub struct HeadErrors(Vec<(String, HeadError)>);

impl HeadErrors {
    /// Adds the error of a head.
    pub(super) fn add(&mut self, head: &str, error: HeadError) {
        self.0.push((head.to_owned(), error));
    }
}

impl fmt::Display for HeadErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (head, error)) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{head}: {error}")?;
        }
        Ok(())
    }
}
