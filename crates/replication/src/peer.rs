//! What heads know about each other: addresses, versions, and which of them are voters.

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

/// A follower, as it reports itself to its upstream or as the upstream reports it further up the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Downstream {
    /// Its name and address; serialized under an older name.
    #[serde(rename = "at")]
    pub peer: Peer,
    /// Its store.
    pub store: StoreId,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// The version of its view.
    pub version: u64,
    /// Number of starts of its store, this one included. `fleet status --json` prints it under its older name
    /// as well.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The voters, as committed at an index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Index of the log entry that committed this membership.
    pub log_index: u64,
    /// The voters' stores, each with its head.
    pub by_store: BTreeMap<StoreId, Peer>,
}

impl Voters {
    /// Whether these voters show that a store has been removed from the group, where `log_index` is the index
    /// of the membership that the store itself knows.
    pub fn excludes(&self, own: StoreId, log_index: u64) -> bool {
        // An older membership proves nothing: a store that was added later is missing from it as well.
        self.log_index > log_index && !self.by_store.contains_key(&own)
    }
}
