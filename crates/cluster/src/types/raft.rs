//! The consensus library's types, with this cluster's type parameters.

use sedgerun_replication::change_batch::ChangeBatch;
use sedgerun_replication::state::ChangeOutcome;
use sedgerun_replication::store::StoreId;
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// The name, address and zone of a voter, as recorded in the membership. A head whose own settings contain an
/// address for this name uses that address instead of the recorded one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterAddress {
    /// The head's name.
    pub head: String,
    /// The voter's address (`IP:port`), as known to the head that added it to the membership.
    pub address: String,
    /// The voter's zone, if it has one.
    pub zone: Option<String>,
}

openraft::declare_raft_types!(
    /// Type parameters of the consensus library. An entry is a batch of changes, which are synced together and
    /// kept encoded. A voter is identified by its store, so that a head whose disk was wiped is not mistaken for the voter
    /// that it was before.
    pub RaftTypes:
        D = ChangeBatch,
        R = Vec<ChangeOutcome>,
        NodeId = StoreId,
        Node = VoterAddress,
);

/// A position in the log.
pub type LogId = openraft::LogId<StoreId>;
/// An entry of the log.
pub type Entry = openraft::Entry<RaftTypes>;
/// A storage error, in the consensus library's representation.
pub type StorageError = openraft::StorageError<StoreId>;
/// A vote of a voter: its term, the candidate, and whether that candidate has become the leader.
pub type Vote = openraft::Vote<StoreId>;
/// The voters and learners, with the log position at which they were stored.
pub type Membership = openraft::StoredMembership<StoreId, VoterAddress>;
/// Metadata of a snapshot.
pub type SnapshotMeta = openraft::SnapshotMeta<StoreId, VoterAddress>;
/// The consensus library's instance on one head.
pub type Raft = openraft::Raft<RaftTypes>;
