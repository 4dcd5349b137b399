//! What the consensus library works with here, and what heads say to each other.

use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use sedgerun_fleet::greeting::StoreId;
use sedgerun_fleet::state::{Change, Outcome};
use serde::{Deserialize, Serialize};
use std::io::Cursor;
use std::net::SocketAddr;

/// A keeper: its name and where the one that began the fleet found it. Each head goes by the address in its own
/// settings where there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The head's name.
    pub head: String,
    /// Its address.
    pub address: String,
}

openraft::declare_raft_types!(
    /// The consensus library's types: a keeper is numbered by its store, so that a wiped disk is never taken
    /// for the keeper that it was.
    pub Types:
        D = Change,
        R = Option<Outcome>,
        NodeId = StoreId,
        Node = Place,
);

/// A position in the log.
pub type LogId = openraft::LogId<StoreId>;
/// An entry of the log.
pub type Entry = openraft::Entry<Types>;
/// A fault of the disk.
pub type StorageError = openraft::StorageError<StoreId>;
/// A vote.
pub type Vote = openraft::Vote<StoreId>;
/// Who keeps.
pub type Membership = openraft::StoredMembership<StoreId, Place>;
/// What a snapshot is of.
pub type SnapshotMeta = openraft::SnapshotMeta<StoreId, Place>;
/// The keepers' protocol.
pub type Raft = openraft::Raft<Types>;

/// What one head asks of another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// Of the protocol: entries, or a sign of life.
    Append(AppendEntriesRequest<Types>),
    /// Of the protocol: an election.
    Vote(VoteRequest<StoreId>),
    /// Of the protocol: a piece of a snapshot.
    Snapshot(InstallSnapshotRequest<Types>),
    /// A change for the leader to make, with the time left for it in milliseconds.
    Change(Change, u64),
    /// The version that a read must have which is to see all that is settled.
    Latest,
    /// How it stands.
    Status,
    /// Begin the fleet with the keepers of the settings.
    Begin,
}

/// The answer to a [`Call`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To entries.
    Append(AppendEntriesResponse<StoreId>),
    /// To an election.
    Vote(VoteResponse<StoreId>),
    /// To a piece of a snapshot.
    Snapshot(InstallSnapshotResponse<StoreId>),
    /// The pieces of a snapshot came out of turn: it is begun anew.
    Mismatch(openraft::error::SnapshotMismatch),
    /// What became of a change.
    Changed(Outcome),
    /// A version.
    Latest(u64),
    /// How it stands.
    Status(Box<Status>),
    /// Done.
    Begun,
    /// Not done, for this reason.
    Refused(String),
}

/// A keeper as a head knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Its name.
    pub head: String,
    /// Its store.
    pub store: StoreId,
    /// Where this head calls it.
    pub address: String,
    /// It votes.
    pub votes: bool,
    /// How far it holds the log, as the leader knows.
    pub matched: Option<u64>,
}

/// How a head stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The fleet.
    pub fleet: String,
    /// The head.
    pub head: String,
    /// Its store.
    pub store: StoreId,
    /// Counted at each start.
    pub life: u64,
    /// `leader`, `follower`, `candidate`, `new` (not let in) or `stopped`.
    pub role: String,
    /// The leader's name, as far as known.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// Version of the state.
    pub version: u64,
    /// Position of the last applied entry.
    pub applied: u64,
    /// Position of the last entry in the log.
    pub last: u64,
    /// The keepers.
    pub keepers: Vec<Known>,
    /// Writes synced since the start, and the longest and the mean time of one in microseconds.
    pub syncs: (u64, u64, u64),
    /// Frames refused since the start.
    pub refused: u64,
    /// Why it keeps no longer.
    pub trouble: Option<String>,
}

/// The address in a text; `None` where it is none.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
