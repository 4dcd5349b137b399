//! The messages between heads: requests and their responses.

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

/// A request of one head, or of the command line, to another head.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Raft: entries, or a heartbeat.
    Append(AppendEntriesRequest<RaftTypes>),
    /// Raft: a vote in an election.
    Vote(VoteRequest<StoreId>),
    /// Raft: a chunk of a snapshot.
    Snapshot(InstallSnapshotRequest<RaftTypes>),
    /// A change for the leader to make, with the time left for it in milliseconds.
    CommitChange(Change, u64),
    /// The version that a linearizable read must see.
    LinearizableVersion,
    /// The status of the head.
    Status,
    /// Begin the cluster with the voters of the settings.
    Begin,
    /// Pre-vote: whether the receiver hears from no leader either. Sent by a voter whose log ends at this position.
    PreVote(Option<LogId>),
    /// The poll of a follower of an earlier version.
    LegacyPoll(Box<LegacyPollRequest>),
    /// A chunk of the state, from `since` and `first_version` ([`View::chunk`](sedgerun_replication::View::chunk)).
    Chunk(u64, u64),
    /// Make a change, wherever the leader is. Sent by the command line.
    SubmitChange(Change),
    /// The poll of a follower. Heads of earlier versions do not know this request, nor those below, and close the
    /// connection.
    Subscribe(Box<Subscription>),
    /// Grant or renew the lease of the relay that sends this.
    RegisterRelay(RelayRegistration),
    /// The position of the head among relays and followers.
    Distribution,
}

/// What a relay says about itself beyond its greeting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRegistration {
    /// Its region, if it has one.
    pub region: Option<String>,
    /// Followers that it serves directly.
    pub followers: u32,
}

/// The poll of a follower of an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegacyPollRequest {
    /// The follower, and the version that it has.
    pub follower: Downstream,
    /// Its own subtree, with some of the polls.
    pub subtree: Option<Vec<Downstream>>,
    /// It has all changes up to this version.
    pub since: u64,
    /// The version at which its transfer began; 0 if there is none.
    pub first_version: u64,
    /// How long it waits for an update, in milliseconds.
    pub wait_ms: u64,
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To entries.
    Append(AppendEntriesResponse<StoreId>),
    /// To a vote request.
    Vote(VoteResponse<StoreId>),
    /// To a chunk of a snapshot.
    Snapshot(InstallSnapshotResponse<StoreId>),
    /// The chunks of a snapshot came out of order: the transfer starts over.
    Mismatch(SnapshotMismatch),
    /// The outcome of a change.
    Changed(ChangeOutcome),
    /// A version.
    LinearizableVersion(u64),
    /// The status of the head.
    Status(Box<HeadStatus>),
    /// The cluster has begun.
    Begun,
    /// To a pre-vote: this store, and whether it hears from no leader either and would not reject the sender's log.
    PreVote(StoreId, bool),
    /// To a follower of an earlier version, with the origin of the cluster.
    LegacyUpdate(Option<u64>, LegacyUpdateResponse),
    /// A chunk of the state.
    Chunk(Chunk),
    /// This head does not lead; this one does, as far as it knows.
    NotLeader(Option<VoterAddress>),
    /// Not done, for this reason.
    Rejected(String),
    /// To the poll of a follower.
    Subscribed(SubscribeResponse),
    /// The lease is granted.
    Registered,
    /// The position of the head among relays and followers.
    Distribution(Box<DistributionStatus>),
}
