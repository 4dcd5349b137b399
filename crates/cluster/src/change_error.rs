//! Errors of changes and of linearizable reads.

use crate::disk::ReadError;
use crate::types::VoterAddress;
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use sedgerun_replication::follow::Peer;
use sedgerun_replication::record::EncodeError;
use sedgerun_replication::store::StoreId;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Why a change or a read was not completed, as one line of text for its requester. A change may still be
/// committed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct ClusterRequestError(pub String);

impl From<AttemptError> for ClusterRequestError {
    fn from(error: AttemptError) -> ClusterRequestError {
        ClusterRequestError(error.to_string())
    }
}

/// Why the last attempt at a change or a read failed.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// This head does not belong to a cluster yet.
    #[error("this head is in no fleet yet; begin one with sedgerun fleet begin")]
    NotInCluster,
    /// No leader is known.
    #[error("no leader is known")]
    NoLeader,
    /// A majority of the voters did not commit the change in time.
    #[error("no majority of the voters responded in time")]
    NoMajority,
    /// The head to which the request was sent is not the leader.
    #[error("{head} is not the leader")]
    NotLeader {
        /// The head's name.
        head: String,
        /// The leader that the head knows, if any.
        known: Option<Peer>,
    },
    /// The leader rejected the request, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The leader's response does not fit the request.
    #[error("the leader sent a response of an unexpected type")]
    UnexpectedResponse,
    /// The leader cannot be reached.
    #[error(transparent)]
    Request(#[from] LeaderRequestError),
    /// This head, as leader, cannot commit the change.
    #[error(transparent)]
    Commit(#[from] CommitError),
    /// This head, as leader, cannot confirm a read.
    #[error(transparent)]
    Read(#[from] LinearizableReadError),
    /// This head did not reach the requested version in time.
    #[error("this head has version {version} and did not reach version {wanted} in time")]
    Behind {
        /// The version that this head has.
        version: u64,
        /// The requested version.
        wanted: u64,
    },
}

impl AttemptError {
    /// The leader to try next, if the head `tried` is not the leader and named another.
    pub(super) fn next_leader_to_try(&self, tried: &Peer) -> Option<Peer> {
        match self {
            AttemptError::NotLeader { known, .. } => known.clone().filter(|known| known.head != tried.head),
            _ => None,
        }
    }
}

/// Why a request to the leader failed.
#[derive(Debug, Error)]
pub enum LeaderRequestError {
    /// The leader's address is malformed.
    #[error("the address of the leader {0} is malformed")]
    NoAddress(String),
    /// The connection failed.
    #[error("the leader {head} at {address}: {source}")]
    Connection {
        /// The leader's name.
        head: String,
        /// Its address.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The leader changed while the request was in progress.
    #[error("the leader changed during the request")]
    Changed,
}

/// Why a leader did not commit a change. It is cloned for each change of a batch.
#[derive(Clone, Debug, Error)]
pub enum CommitError {
    /// This head is not the leader; contains the leader that it knows, if any.
    #[error("this head is not the leader")]
    NotLeader(Option<VoterAddress>),
    /// The consensus library has failed.
    #[error(transparent)]
    Raft(Box<RaftError<StoreId, ClientWriteError<StoreId, VoterAddress>>>),
    /// A majority of the voters did not commit the change in time.
    #[error("no majority of the voters responded in time")]
    NoMajority,
    /// The change cannot be encoded or decoded.
    #[error(transparent)]
    Encode(EncodeError),
    /// The log cannot be read.
    #[error(transparent)]
    Log(Arc<ReadError>),
    /// The changes that wait to be committed take up the memory for them.
    #[error(
        "changes of {bytes} bytes would wait to be committed, over the {limit} that limits.memory_mb allows"
    )]
    PendingChanges {
        /// Memory of the waiting changes with this one.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The entries that no majority has committed take up the memory for them.
    #[error("{bytes} bytes of the log wait for a majority, over the {limit} that limits.memory_mb allows")]
    UncommittedLog {
        /// Size of the uncommitted entries.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The task that writes changes has ended.
    #[error("this head has stopped committing changes")]
    Ended,
}

/// Why a leader cannot confirm that a read is linearizable.
#[derive(Debug, Error)]
pub enum LinearizableReadError {
    /// This head does not lead, or the consensus library has failed.
    #[error(transparent)]
    Raft(#[from] Box<RaftError<StoreId, CheckIsLeaderError<StoreId, VoterAddress>>>),
    /// A majority of the voters did not confirm this head's leadership in time.
    #[error("no majority of the voters responded in time")]
    NoMajority,
}
