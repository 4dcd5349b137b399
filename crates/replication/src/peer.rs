//! Heads as other heads know them: their address, their version, and which of them vote.

use crate::store::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Name and address of a head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub head: String,
    /// The address at which other heads reach it, as `IP:port`.
    pub address: String,
}

/// A follower, as reported by itself or by its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Downstream {
    /// Its name and address.
    #[serde(rename = "at")]
    pub peer: Peer,
    /// Its store.
    pub store: StoreId,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// The version of the state that it has.
    pub version: u64,
    /// Its incarnation: counted up at each start. `fleet status --json` has it under its deprecated name as well.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The voters, as committed at a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Index of the log entry that committed this membership.
    pub log_index: u64,
    /// The stores with their heads.
    pub by_store: BTreeMap<StoreId, Peer>,
}

impl Voters {
    /// Whether a store, whose own membership dates from `log_index`, has since been removed from the voters.
    pub fn excludes(&self, own: StoreId, log_index: u64) -> bool {
        // Guards against an outdated membership: a store that was added since is missing from it, too.
        self.log_index > log_index && !self.by_store.contains_key(&own)
    }
}
