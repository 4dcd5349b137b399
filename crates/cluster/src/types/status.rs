//! The status of a head, as heads report it to each other and as `sedgerun fleet status` shows it.
//!
//! The JSON keys of `fleet status --json` are these field names, or the name given in the field's `serde`
//! attribute.

use sedgerun_replication::follow::Downstream;
use sedgerun_replication::relay::RelayStatus;
use sedgerun_replication::store::StoreId;
use serde::{Deserialize, Serialize};

/// The status of one head ("this head" below).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadStatus {
    /// The cluster's name.
    #[serde(rename = "fleet")]
    pub cluster: String,
    /// The head's name.
    pub head: String,
    /// The identifier of its store.
    pub store: StoreId,
    /// Number of starts of its store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// `leader`, `keeper` (a voter that does not lead), `candidate`, `follower`, `relay`, `new` (no update
    /// received yet) or `stopped`.
    pub role: String,
    /// The leader's name, if this head knows a leader.
    pub leader: Option<String>,
    /// The Raft term.
    pub term: u64,
    /// Version of the replicated state on this head.
    pub version: u64,
    /// Log index of the last applied entry; 0 if there is none.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// Log index of the last entry; 0 if there is none.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The voters and learners that this head knows.
    #[serde(rename = "keepers")]
    pub voters: Vec<VoterStatus>,
    /// The direct and indirect followers of this head.
    pub followers: Vec<Downstream>,
    /// The heads through which updates reach this head, from the voter to this head itself.
    #[serde(rename = "lineage")]
    pub path: Vec<String>,
    /// Upper bound on the age of the state on this head, in milliseconds; `None` before the first update.
    #[serde(rename = "age")]
    pub age_ms: Option<u64>,
    /// Voter changes that this head has committed as leader since its start.
    pub repairs: u64,
    /// Writes to the store since the start: their number, and the longest and the mean duration in
    /// microseconds.
    pub syncs: (u64, u64, u64),
    /// Connections that this head closed since its start because of a corrupt frame or a rejected greeting.
    #[serde(rename = "refused")]
    pub rejected_connections: u64,
    /// The fault that stopped this head from voting, if there was one.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
}

impl HeadStatus {
    /// Number of heads between a voter and this head; `None` before the first update.
    pub fn depth(&self) -> Option<u64> {
        self.age_ms.map(|_| (self.path.len() as u64).saturating_sub(2))
    }
}

/// A voter or learner, as one head knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The voter's name.
    pub head: String,
    /// The identifier of its store.
    pub store: StoreId,
    /// The address at which the reporting head reaches it.
    pub address: String,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// Whether it votes; otherwise it is a learner.
    pub votes: bool,
    /// Log index up to which its log is known to match the leader's; `None` if the reporting head is not the
    /// leader.
    #[serde(rename = "matched")]
    pub matched_index: Option<u64>,
}

/// The position of a head among relays and followers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DistributionStatus {
    /// The head's region, if it has one.
    pub region: Option<String>,
    /// The name of the head that it follows; `None` for a voter, or if it follows none yet.
    pub upstream: Option<String>,
    /// Number of followers that it serves directly.
    pub direct_followers: u32,
    /// Number of direct and indirect followers; [`HeadStatus::followers`] may list fewer of them.
    pub all_followers: u32,
    /// The lowest version among all followers; 0 if there are none.
    pub lowest_version: u64,
    /// The relays that it knows. Their follower counts are 0 unless this head votes.
    pub relays: Vec<RelayStatus>,
}
