//! The messages between heads: requests and their responses.
//!
//! Variants are encoded by position, so their order is part of the wire format.

use super::{DistributionStatus, HeadStatus, LogId, RaftTypes, VoterAddress};
use openraft::error::SnapshotMismatch;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use sedgerun_replication::follow::{Downstream, LegacyUpdateResponse};
use sedgerun_replication::state::{Change, ChangeOutcome};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::subscribe::{SubscribeResponse, Subscription};
use sedgerun_replication::view::Chunk;
use serde::{Deserialize, Serialize};

/// A request from a head or from the command line to another head.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Raft: log entries; a heartbeat if there are none.
    Append(AppendEntriesRequest<RaftTypes>),
    /// Raft: requests a vote in an election.
    Vote(VoteRequest<StoreId>),
    /// Raft: a chunk of a snapshot.
    Snapshot(InstallSnapshotRequest<RaftTypes>),
    /// Commits a change; sent to the leader. The number is the time left for it, in milliseconds.
    CommitChange(Change, u64),
    /// Requests the version that a linearizable read must have reached; sent to the leader.
    LinearizableVersion,
    /// Requests the receiver's status.
    Status,
    /// Begins the cluster with the voters of the receiver's settings.
    Begin,
    /// Requests a pre-vote before an election, with the position of the sender's last log entry (`None`:
    /// empty log).
    PreVote(Option<LogId>),
    /// Polls for an update, in the form of followers of an earlier version.
    LegacyPoll(Box<LegacyPollRequest>),
    /// Requests a chunk of the state, from `since` and `first_version`
    /// ([`View::chunk`](sedgerun_replication::View::chunk)).
    Chunk(u64, u64),
    /// Submits a change, which the receiver forwards to the leader. Sent by the command line.
    SubmitChange(Change),
    /// Polls for an update as a follower. Heads of earlier versions know neither this request nor those
    /// below, and close the connection when they receive one.
    Subscribe(Box<Subscription>),
    /// Registers the sender as a relay: the receiver grants or renews its lease.
    RegisterRelay(RelayRegistration),
    /// Requests the receiver's position among relays and followers.
    Distribution,
}

/// The properties of a relay that its greeting does not contain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRegistration {
    /// The relay's region, if it has one.
    pub region: Option<String>,
    /// Number of followers that the relay serves directly.
    pub followers: u32,
}

/// A poll for an update, in the form of followers of an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegacyPollRequest {
    /// The polling follower, with the version that it has.
    pub follower: Downstream,
    /// The heads that follow this follower, directly or indirectly; `None` in polls that do not report them.
    pub subtree: Option<Vec<Downstream>>,
    /// The follower has all changes up to this version.
    pub since: u64,
    /// The version at which the transfer in progress began; 0 if there is none.
    pub first_version: u64,
    /// How long the upstream may wait for a change before it responds, in milliseconds.
    pub wait_ms: u64,
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To [`PeerRequest::Append`].
    Append(AppendEntriesResponse<StoreId>),
    /// To [`PeerRequest::Vote`].
    Vote(VoteResponse<StoreId>),
    /// To [`PeerRequest::Snapshot`].
    Snapshot(InstallSnapshotResponse<StoreId>),
    /// The chunks of a snapshot arrived out of order; the sender restarts the transfer.
    Mismatch(SnapshotMismatch),
    /// The outcome of a change.
    Changed(ChangeOutcome),
    /// The version that a linearizable read must have reached.
    LinearizableVersion(u64),
    /// The status of the responding head.
    Status(Box<HeadStatus>),
    /// The cluster has begun.
    Begun,
    /// To a pre-vote: the responding store, and whether it grants the pre-vote.
    PreVote(StoreId, bool),
    /// An update for a follower of an earlier version, with the origin of the cluster.
    LegacyUpdate(Option<u64>, LegacyUpdateResponse),
    /// A chunk of the state.
    Chunk(Chunk),
    /// The responding head is not the leader. Contains the leader that it knows, if any.
    NotLeader(Option<VoterAddress>),
    /// The request was rejected, for this reason.
    Rejected(String),
    /// To [`PeerRequest::Subscribe`]: an update, a redirect or a retry-after.
    Subscribed(SubscribeResponse),
    /// The relay's lease was granted or renewed.
    Registered,
    /// The position of the responding head among relays and followers.
    Distribution(Box<DistributionStatus>),
}
