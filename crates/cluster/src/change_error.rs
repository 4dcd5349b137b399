//! Why a change or a read was not completed.

use crate::types::VoterAddress;
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use sedgerun_replication::follow::Peer;
use sedgerun_replication::store::StoreId;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a change or a read was not completed, in one line for its caller. A change may still be committed.
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
    /// This head has no state of a cluster.
    #[error("this head is in no fleet yet: sedgerun fleet begin")]
    NotInCluster,
    /// No leader is known.
    #[error("no leader is known")]
    NoLeader,
    /// The voters did not commit it in time.
    #[error("no majority of the voters answers")]
    NoMajority,
    /// The head that was taken for the leader is not the leader.
    #[error("{head} does not lead")]
    NotLeader {
        /// Its name.
        head: String,
        /// The leader that it knows.
        known: Option<Peer>,
    },
    /// The leader refuses it, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The leader's response does not fit the request.
    #[error("the leader answers something else")]
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
    /// This head did not receive the version in time.
    #[error("this head holds version {version}, not {wanted}")]
    Behind {
        /// The version that it has.
        version: u64,
        /// The version that was waited for.
        wanted: u64,
    },
}

impl AttemptError {
    /// The leader to try next, if a head that was taken for the leader named another.
    pub(super) fn other_leader(&self, tried: &Peer) -> Option<Peer> {
        match self {
            AttemptError::NotLeader { known, .. } => known.clone().filter(|known| known.head != tried.head),
            _ => None,
        }
    }
}

/// Why a request to the leader failed.
#[derive(Debug, Error)]
pub enum LeaderRequestError {
    /// Its address is malformed.
    #[error("the leader {0} has no address")]
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
    /// Another leader was elected meanwhile.
    #[error("the leader has just changed")]
    Changed,
}

/// Why a leader did not commit a change. It is cloned for all changes of a batch.
#[derive(Clone, Debug, Error)]
pub enum CommitError {
    /// This head does not lead; this one may.
    #[error("this head does not lead")]
    NotLeader(Option<VoterAddress>),
    /// The consensus library has failed.
    #[error(transparent)]
    Raft(Box<RaftError<StoreId, ClientWriteError<StoreId, VoterAddress>>>),
    /// The voters did not commit it in time.
    #[error("no majority of the voters answers")]
    NoMajority,
    /// The task that writes changes has ended.
    #[error("this head makes no changes any more")]
    Ended,
}

/// Why a leader cannot confirm that a read is linearizable.
#[derive(Debug, Error)]
pub enum LinearizableReadError {
    /// This head does not lead, or the consensus library has failed.
    #[error(transparent)]
    Raft(#[from] Box<RaftError<StoreId, CheckIsLeaderError<StoreId, VoterAddress>>>),
    /// The voters did not confirm it in time.
    #[error("no majority of the voters answers")]
    NoMajority,
}
