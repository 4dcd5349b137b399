//! The consensus library's types, with the data types of this cluster in them.

use sedgerun_replication::state::{Change, ChangeOutcome};
use sedgerun_replication::store::StoreId;
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A voter: its name, and its address as seen by the head that began the cluster. A head that has an address for this
/// name in its own settings uses that instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterAddress {
    /// The head's name.
    pub head: String,
    /// Its address, as `IP:port`.
    pub address: String,
    /// Its zone, if it has one.
    pub zone: Option<String>,
}

openraft::declare_raft_types!(
    /// Type parameters of the consensus library. An entry is a batch of changes, which share its syncs. A voter is
    /// identified by its store, so that a wiped disk is never mistaken for the voter that it was.
    pub RaftTypes:
        D = Vec<Change>,
        R = Vec<ChangeOutcome>,
        NodeId = StoreId,
        Node = VoterAddress,
);

/// A position in the log.
pub type LogId = openraft::LogId<StoreId>;
/// An entry of the log.
pub type Entry = openraft::Entry<RaftTypes>;
/// An error of the disk, as the consensus library represents it.
pub type StorageError = openraft::StorageError<StoreId>;
/// A vote.
pub type Vote = openraft::Vote<StoreId>;
/// The voters and learners.
pub type Membership = openraft::StoredMembership<StoreId, VoterAddress>;
/// Metadata of a snapshot.
pub type SnapshotMeta = openraft::SnapshotMeta<StoreId, VoterAddress>;
/// The consensus protocol of one head.
pub type Raft = openraft::Raft<RaftTypes>;
