//! The data types of a cluster: the consensus library's types with this cluster's parameters, the messages
//! between heads, and the status of a head.
//!
//! All of these types are encoded by position, so the order of their variants and fields is part of the wire
//! and disk formats.

mod messages;
mod raft;
mod status;

pub use messages::{LegacyPollRequest, PeerRequest, PeerResponse, RelayRegistration};
pub use raft::{Entry, LogId, Membership, Raft, RaftTypes, SnapshotMeta, StorageError, Vote, VoterAddress};
pub use status::{DistributionStatus, HeadStatus, VoterStatus};
