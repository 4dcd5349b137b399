//! The followers that a head serves: their admission, and the summary of the head's subtree.
//!
//! [`Followers`] belongs to one head, voter or not. A follower is known only by its polls, and removed when
//! it no longer polls.

use super::{FOLLOWER_TIMEOUT_MS, MAX_FOLLOWERS};
use crate::peer::{Downstream, Peer};
use crate::relay::{FollowerRole, MAX_RELAYS};
use crate::store::StoreId;
use crate::subscribe::{MAX_SAMPLE, SubtreeSummary};
use crate::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of followers, direct and indirect, that one head reports in its status.
const MAX_SUBTREE: usize = 512;
/// Minimum interval between sweeps of followers that no longer poll, in milliseconds.
const SWEEP_INTERVAL_MS: Millis = 500;

/// Whether a head serves a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The follower is served.
    Admitted,
    /// The follower must poll a relay instead.
    RedirectedToRelays,
    /// This head serves its maximum number of followers; the follower is redirected to them.
    Full,
    /// This head already serves a follower with the same name but another store.
    DuplicateName,
}

/// A follower that polls this head.
#[derive(Clone, Debug)]
pub struct PollingFollower {
    /// Its identity and version.
    pub downstream: Downstream,
    /// Its role.
    pub role: FollowerRole,
    /// It asks to be served even if this head knows relays.
    pub bypass_relays: bool,
    /// The summary of its subtree, if it has sent one.
    pub summary: Option<SubtreeSummary>,
}

/// A follower that this head serves, as of its last poll.
#[derive(Debug)]
struct KnownFollower {
    last_poll_at: Millis,
    downstream: Downstream,
    role: FollowerRole,
    summary: SubtreeSummary,
}

/// The followers that one head serves.
#[derive(Debug)]
pub struct Followers {
    by_store: BTreeMap<StoreId, KnownFollower>,
    /// Maximum number of ordinary heads served; relays and voters do not count towards it.
    capacity: usize,
    /// The stores that vote. They poll only until they vote, or to learn whether they still do.
    voters: BTreeSet<StoreId>,
    /// Whether this head is a relay, which redirects no follower to other relays while it has capacity.
    is_relay: bool,
    last_sweep_at: Millis,
}

impl Default for Followers {
    fn default() -> Followers {
        Followers::new(FollowerRole::Head, MAX_FOLLOWERS)
    }
}

impl Followers {
    /// Creates the empty set of followers of a head with this role, which serves up to `capacity` ordinary
    /// heads.
    pub fn new(role: FollowerRole, capacity: usize) -> Followers {
        let is_relay = role == FollowerRole::Relay;
        let voters = BTreeSet::new();
        Followers { by_store: BTreeMap::new(), capacity, voters, is_relay, last_sweep_at: 0 }
    }

    /// Sets the stores that vote, which take up no capacity.
    pub fn set_voters(&mut self, voters: BTreeSet<StoreId>) {
        self.voters = voters;
    }

    fn sweep(&mut self, now: Millis) {
        self.by_store.retain(|_, known| now < known.last_poll_at + FOLLOWER_TIMEOUT_MS);
        self.last_sweep_at = now;
    }

    /// Whether this head can serve another follower with this role.
    fn has_capacity(&self, role: FollowerRole) -> bool {
        let counts =
            |(store, known): &(&StoreId, &KnownFollower)| known.role == role && !self.voters.contains(store);
        let served = self.by_store.iter().filter(counts).count();
        let capacity = match role {
            FollowerRole::Head => self.capacity,
            FollowerRole::Relay => MAX_RELAYS,
        };
        served < capacity
    }

    /// Decides whether to serve a follower that polls; `relays_known` tells whether this head knows live
    /// relays.
    pub fn admit(&mut self, now: Millis, follower: PollingFollower, relays_known: bool) -> Admission {
        let PollingFollower { downstream, role, bypass_relays, summary } = follower;
        let is_known = self.by_store.contains_key(&downstream.store);
        // A known follower learns of the relays by updates and moves to one by itself.
        let should_use_relay = role == FollowerRole::Head && !bypass_relays && !is_known;
        if should_use_relay && relays_known && !self.is_relay {
            return Admission::RedirectedToRelays;
        }
        if !is_known || now >= self.last_sweep_at + SWEEP_INTERVAL_MS {
            self.sweep(now);
        }
        let known = self.by_store.get(&downstream.store);
        if known.is_none() {
            if self.by_store.values().any(|known| known.downstream.peer.head == downstream.peer.head) {
                return Admission::DuplicateName;
            }
            if !self.has_capacity(role) {
                return Admission::Full;
            }
        }
        let summary = summary.map(SubtreeSummary::bounded);
        let summary = summary.or(known.map(|known| known.summary.clone())).unwrap_or_default();
        self.by_store
            .insert(downstream.store, KnownFollower { last_poll_at: now, downstream, role, summary });
        Admission::Admitted
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &KnownFollower> {
        self.by_store.values().filter(move |known| now < known.last_poll_at + FOLLOWER_TIMEOUT_MS)
    }

    /// The direct followers, which may have capacity for a follower that this head rejects.
    pub fn peers(&self) -> Vec<Peer> {
        self.by_store.values().map(|known| known.downstream.peer.clone()).collect()
    }

    /// Number of direct followers.
    pub fn count(&self, now: Millis) -> usize {
        self.live(now).count()
    }

    /// The followers, direct and indirect, that this head knows by name, limited in number.
    pub fn subtree(&self, now: Millis) -> Vec<Downstream> {
        let all =
            self.live(now).flat_map(|known| [&known.downstream].into_iter().chain(&known.summary.sample));
        all.take(MAX_SUBTREE).cloned().collect()
    }

    /// Summarizes all followers of this head, direct and indirect.
    pub fn summary(&self, now: Millis) -> SubtreeSummary {
        let (mut heads, mut lowest_version) = (0u32, u64::MAX);
        for known in self.live(now) {
            heads = heads.saturating_add(1).saturating_add(known.summary.heads);
            lowest_version = lowest_version.min(known.downstream.version);
            if known.summary.heads > 0 {
                lowest_version = lowest_version.min(known.summary.lowest_version);
            }
        }
        let lowest_version = if heads == 0 { 0 } else { lowest_version };
        SubtreeSummary { heads, lowest_version, sample: self.sample(now) }
    }

    /// An evenly spread sample of the ordinary heads in the subtree. It serves to find candidates for voters,
    /// which relays never become, so they are left out.
    fn sample(&self, now: Millis) -> Vec<Downstream> {
        let all: Vec<&Downstream> = self
            .live(now)
            .flat_map(|known| {
                let itself = (known.role == FollowerRole::Head).then_some(&known.downstream);
                itself.into_iter().chain(&known.summary.sample)
            })
            .collect();
        let step = all.len().div_ceil(MAX_SAMPLE).max(1);
        all.into_iter().step_by(step).take(MAX_SAMPLE).cloned().collect()
    }
}
