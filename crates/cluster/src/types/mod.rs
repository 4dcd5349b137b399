//! The data types of a cluster: those of the consensus library as used here, the messages between heads, and the status
//! of a head.
//!
//! All of them are encoded, so the order of variants and fields is part of the wire and disk formats. Types only; nothing
//! here acts.

mod messages;
mod raft;
mod status;

pub use messages::{LegacyPollRequest, PeerRequest, PeerResponse, RelayRegistration};
pub use raft::{Entry, LogId, Membership, Raft, RaftTypes, SnapshotMeta, StorageError, Vote, VoterAddress};
pub use status::{DistributionStatus, HeadStatus, VoterStatus};
