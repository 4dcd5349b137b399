//! The status of a head, as heads report it to each other and the command line shows it. The JSON keys of
//! `fleet status --json` are these field names, with deprecated spellings where a field was renamed.

use sedgerun_replication::follow::Downstream;
use sedgerun_replication::relay::RelayStatus;
use sedgerun_replication::store::StoreId;
use serde::{Deserialize, Serialize};

/// The status of one head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadStatus {
    /// The cluster's name.
    #[serde(rename = "fleet")]
    pub cluster: String,
    /// The head's name.
    pub head: String,
    /// Its store.
    pub store: StoreId,
    /// Counted up at each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// `leader`, `keeper` (a voter that does not lead), `candidate`, `follower`, `relay`, `new` (no update received yet)
    /// or `stopped`.
    pub role: String,
    /// The leader's name, if it is known.
    pub leader: Option<String>,
    /// The Raft term.
    pub term: u64,
    /// Version of the state.
    pub version: u64,
    /// Log index of the last entry that was applied.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// Log index of the last entry.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The voters.
    #[serde(rename = "keepers")]
    pub voters: Vec<VoterStatus>,
    /// Its followers, direct and indirect.
    pub followers: Vec<Downstream>,
    /// The heads over which updates come to it, itself last.
    #[serde(rename = "lineage")]
    pub path: Vec<String>,
    /// How old its state may be, in milliseconds; `None` before the first update.
    #[serde(rename = "age")]
    pub age_ms: Option<u64>,
    /// Membership changes that it has made as leader since its start.
    pub repairs: u64,
    /// Synced writes since the start, and the longest and the mean time of one in microseconds.
    pub syncs: (u64, u64, u64),
    /// Connections closed since the start because of corrupt frames or rejected greetings.
    #[serde(rename = "refused")]
    pub rejected_connections: u64,
    /// Why it no longer votes, if it was stopped by a fault.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
}

impl HeadStatus {
    /// Number of heads between a voter and this one; `None` before the first update.
    pub fn depth(&self) -> Option<u64> {
        self.age_ms.map(|_| (self.path.len() as u64).saturating_sub(2))
    }
}

/// A voter as one head knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// Its name.
    pub head: String,
    /// Its store.
    pub store: StoreId,
    /// The address at which this head reaches it.
    pub address: String,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// It votes; otherwise it is a learner.
    pub votes: bool,
    /// Log index up to which its log is known to match; only the leader knows it.
    #[serde(rename = "matched")]
    pub matched_index: Option<u64>,
}

/// The position of a head among relays and followers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DistributionStatus {
    /// Its region, if it has one.
    pub region: Option<String>,
    /// The name of the head that it follows.
    pub upstream: Option<String>,
    /// Followers that it serves directly.
    pub direct_followers: u32,
    /// All followers behind it, direct and indirect; [`HeadStatus::followers`] may name fewer.
    pub all_followers: u32,
    /// The lowest version that one of them has; 0 if there are none.
    pub lowest_version: u64,
    /// The relays that it knows; their loads only if this head votes.
    pub relays: Vec<RelayStatus>,
}
