//! Relays: followers dedicated to serving many other followers, and the directory through which heads find
//! them.
//!
//! Each relay registers with every voter and renews its lease every [`REGISTRATION_INTERVAL_MS`]; a lease
//! that is not renewed expires after [`LEASE_MS`]. Updates carry the voters' directory of live relays to all
//! followers. Each head ranks the relays for itself: those of its own region first, and within a region by
//! rendezvous hashing of the names.
//!
//! A [`RelayRegistry`] belongs to one voter and is not replicated: each voter grants its own leases.

use crate::digest::digest_of;
use crate::peer::Peer;
use crate::store::StoreId;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use thiserror::Error;

/// Interval at which a relay registers with each voter, in milliseconds.
pub const REGISTRATION_INTERVAL_MS: Millis = 2000;
/// Duration of a lease, in milliseconds: two renewals may fail before it expires.
pub const LEASE_MS: Millis = 3 * REGISTRATION_INTERVAL_MS;
/// Maximum number of relays in a directory.
pub const MAX_RELAYS: usize = 64;
/// Maximum number of followers that one relay serves directly, if its limit on file descriptors allows as
/// many.
pub const RELAY_CAPACITY: usize = 1024;

/// The role of a follower in the distribution of updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerRole {
    /// An ordinary head, which serves clients.
    #[default]
    Head,
    /// A head dedicated to serving other followers.
    Relay,
}

/// A relay, as listed in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Its name and address.
    pub peer: Peer,
    /// Its region, if it has one.
    pub region: Option<String>,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// Its store.
    pub store: StoreId,
    /// Number of starts of its store.
    pub incarnation: u64,
}

/// The live relays, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayDirectory {
    relays: Vec<Relay>,
}

impl RelayDirectory {
    /// Creates a directory of these relays. Each name is listed once, and at most [`MAX_RELAYS`] are.
    pub fn new(relays: impl IntoIterator<Item = Relay>) -> RelayDirectory {
        let mut relays: Vec<Relay> = relays.into_iter().collect();
        relays.sort_by(|a, b| a.peer.head.cmp(&b.peer.head));
        relays.dedup_by(|a, b| a.peer.head == b.peer.head);
        relays.truncate(MAX_RELAYS);
        RelayDirectory { relays }
    }

    /// The relays.
    pub fn relays(&self) -> &[Relay] {
        &self.relays
    }

    /// Whether there are no relays.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// The relay with a name.
    pub fn get(&self, head: &str) -> Option<&Relay> {
        self.relays.iter().find(|relay| relay.peer.head == head)
    }

    /// Digest by which an upstream recognizes that its follower has the same directory.
    pub fn digest(&self) -> u32 {
        digest_of(&self.relays)
    }

    /// The relays in the order in which a head prefers them: those of its own region first, and within a
    /// region by rendezvous hashing. Each head thus has an order of its own, and the followers of a failed
    /// relay spread over the remaining ones.
    pub fn ranked(&self, head: &str, region: Option<&str>) -> Vec<&Relay> {
        let mut ranked: Vec<&Relay> = self.relays.iter().filter(|relay| relay.peer.head != head).collect();
        ranked.sort_by_cached_key(|relay| {
            let is_other_region = relay.region.as_deref() != region;
            (is_other_region, Reverse(rendezvous_weight(head, &relay.peer.head)))
        });
        ranked
    }
}

/// Rendezvous weight of a relay for a head. Only that head compares its weights, so they may differ between
/// versions of the program.
fn rendezvous_weight(head: &str, relay: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (head, relay).hash(&mut hasher);
    hasher.finish()
}

/// Why a registration is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RegistrationError {
    /// Another store has a live lease under this name.
    #[error("two heads have this name")]
    DuplicateName,
    /// [`MAX_RELAYS`] other relays have live leases.
    #[error("the fleet has as many relays as it can hold")]
    DirectoryFull,
}

/// A registered relay and its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// The relay.
    pub relay: Relay,
    /// Number of followers that it serves directly, as last reported.
    pub followers: u32,
}

#[derive(Debug)]
struct Lease {
    status: RelayStatus,
    expires_at: Millis,
}

/// The leases that one voter has granted.
#[derive(Debug, Default)]
pub struct RelayRegistry {
    by_name: BTreeMap<String, Lease>,
    /// Time since which this head has been a voter without interruption; `None` while it is not a voter.
    voting_since: Option<Millis>,
}

impl RelayRegistry {
    /// Sets whether this head is a voter now. When it stops being one, all leases end.
    pub fn set_voting(&mut self, now: Millis, votes: bool) {
        match (votes, self.voting_since) {
            (true, None) => self.voting_since = Some(now),
            (false, Some(_)) => *self = RelayRegistry::default(),
            _ => {}
        }
    }

    /// Grants or renews a lease.
    ///
    /// # Errors
    /// Another store uses the name, or there are too many relays.
    pub fn register(&mut self, now: Millis, status: RelayStatus) -> Result<(), RegistrationError> {
        self.by_name.retain(|_, lease| now < lease.expires_at);
        let relay = &status.relay;
        match self.by_name.get(&relay.peer.head) {
            Some(lease) if lease.status.relay.store != relay.store => {
                return Err(RegistrationError::DuplicateName);
            }
            None if self.by_name.len() >= MAX_RELAYS => return Err(RegistrationError::DirectoryFull),
            _ => {}
        }
        self.by_name.insert(relay.peer.head.clone(), Lease { status, expires_at: now + LEASE_MS });
        Ok(())
    }

    /// The relays with live leases.
    pub fn relays(&self, now: Millis) -> Vec<RelayStatus> {
        let live = self.by_name.values().filter(|lease| now < lease.expires_at);
        live.map(|lease| lease.status.clone()).collect()
    }

    /// The directory, or `None` while it may be incomplete: a new voter does not know all live relays until
    /// each has renewed its lease, and followers would leave the relays that an incomplete directory omits.
    pub fn directory(&self, now: Millis) -> Option<RelayDirectory> {
        let is_complete = self.voting_since.is_some_and(|since| now >= since + LEASE_MS);
        is_complete.then(|| RelayDirectory::new(self.relays(now).into_iter().map(|status| status.relay)))
    }
}
