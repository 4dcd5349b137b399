//! Why a request of the command line failed.

use crate::environment::EntropyError;
use sedgerun_replication::record::{CorruptRecord, EncodeError};
use sedgerun_replication::state::ChangeOutcome;
use sedgerun_replication::view::UpstreamBehind;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a request of the command line failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// There is no runtime for connections.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// There are no random numbers for an idempotency key.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// The change was rejected, for this reason.
    #[error("{0}")]
    ChangeRejected(String),
    /// The change had an outcome that changes of the command line do not have.
    #[error("{0:?}")]
    UnexpectedOutcome(ChangeOutcome),
    /// No voter confirmed the change; it may still be committed.
    #[error("not settled, and may still happen: {0}")]
    NotCommitted(HeadErrors),
    /// No head that answers is the leader.
    #[error("no leader answers")]
    NoLeader,
    /// The head of this name does not vote.
    #[error("{0} does not vote")]
    NotAVoter(String),
    /// No voter answers.
    #[error("no voter answers: {0}")]
    NoVoterAnswers(HeadErrors),
    /// The state cannot be downloaded from any voter.
    #[error("{0}")]
    Download(HeadErrors),
    /// The backup cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The backup's file cannot be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
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
        /// Its name.
        head: String,
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: HeadError,
    },
    /// A head rejects the request, for this reason.
    #[error("{0}")]
    RequestRejected(String),
}

/// Why one head did not answer a request.
#[derive(Debug, Error)]
pub enum HeadError {
    /// Its address is malformed.
    #[error("no address")]
    NoAddress,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The head rejected the request, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// Its response does not fit the request.
    #[error("an answer to something else")]
    UnexpectedResponse,
    /// Its version went back during a download.
    #[error(transparent)]
    Behind(#[from] UpstreamBehind),
}

/// Why none of several heads answered, by their names.
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
