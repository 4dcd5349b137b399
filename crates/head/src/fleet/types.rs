//! What the consensus library works with here, and what heads say to each other.

use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use sedgerun_fleet::follow::{Hanging, Told};
use sedgerun_fleet::greeting::StoreId;
use sedgerun_fleet::state::{Change, Outcome};
use sedgerun_fleet::view::Piece;
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
    /// Its zone, where there is one.
    pub zone: Option<String>,
}

openraft::declare_raft_types!(
    /// The consensus library's types: an entry is the changes that waited together, so that they share its syncs;
    /// a keeper is numbered by its store, so that a wiped disk is never taken for the keeper that it was.
    pub Types:
        D = Vec<Change>,
        R = Vec<Outcome>,
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
    /// Whether it hears no leader either, asked by a keeper whose log ends here.
    Silent(Option<LogId>),
    /// What a follower lacks.
    Follow(Box<Lack>),
    /// A piece of what there is: `since` and `begun`.
    Piece(u64, u64),
    /// Make a change, wherever the leader is; asked by the command line.
    Make(Change),
}

/// What a follower asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lack {
    /// Who asks, and the version that it holds.
    pub follower: Hanging,
    /// What hangs on it, at times.
    pub below: Option<Vec<Hanging>>,
    /// It holds all up to here.
    pub since: u64,
    /// When its gathering began, as a version.
    pub begun: u64,
    /// How long it waits for news, in milliseconds.
    pub wait: u64,
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
    /// This store hears no leader either, and would not stand in the way.
    Silent(StoreId, bool),
    /// To a follower, with the origin of the fleet.
    Told(Option<u64>, Told),
    /// A piece.
    Piece(Piece),
    /// It does not lead; this one does, as far as it knows.
    Elsewhere(Option<Place>),
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
    /// Its zone, where there is one.
    pub zone: Option<String>,
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
    /// `leader`, `keeper`, `candidate`, `follower`, `new` (nothing heard yet) or `stopped`.
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
    /// The heads that hang on it, by themselves and over others.
    pub followers: Vec<Hanging>,
    /// Over which heads it hears of changes, itself last.
    pub lineage: Vec<String>,
    /// How old what it holds may be, in milliseconds; `None` before it has heard anything.
    pub age: Option<u64>,
    /// Changes of keepers that it has made as leader.
    pub repairs: u64,
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
