//! The followers that a head serves: admission, and the summary of the subtree behind it.
//!
//! [`Followers`] belongs to one head, voter or not. A follower is known from its polls alone, and forgotten when it no
//! longer polls.

use super::{FOLLOWER_TIMEOUT_MS, MAX_FOLLOWERS};
use crate::peer::{Downstream, Peer};
use crate::relay::{FollowerRole, MAX_RELAYS};
use crate::store::StoreId;
use crate::subscribe::{MAX_SAMPLE, SubtreeSummary};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Followers that one head reports in its status, direct and indirect, at most.
const MAX_SUBTREE: usize = 512;
/// Time between sweeps for followers that no longer poll, in milliseconds.
const SWEEP_INTERVAL_MS: Millis = 500;

/// Whether a follower is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Admitted,
    /// It is to poll a relay.
    RedirectedToRelays,
    /// This head serves enough followers already; the follower is redirected to those.
    Full,
    /// Another store follows this head under the same name.
    DuplicateName,
}

/// A follower that polls.
#[derive(Clone, Debug)]
pub struct PollingFollower {
    /// Its identity and version.
    pub downstream: Downstream,
    /// Its role.
    pub role: FollowerRole,
    /// It is to be served although relays are known.
    pub bypass_relays: bool,
    /// The summary of its subtree, if it has sent one.
    pub summary: Option<SubtreeSummary>,
}

/// A follower that has polled lately.
#[derive(Debug)]
struct KnownFollower {
    last_poll_at: Millis,
    downstream: Downstream,
    role: FollowerRole,
    summary: SubtreeSummary,
}

/// The followers of this head.
#[derive(Debug)]
pub struct Followers {
    by_store: BTreeMap<StoreId, KnownFollower>,
    /// Ordinary heads that are served, at most; relays come on top.
    capacity: usize,
    /// This head is a relay: it redirects nobody to other relays while it has capacity.
    is_relay: bool,
    last_sweep_at: Millis,
}

impl Default for Followers {
    fn default() -> Followers {
        Followers::new(FollowerRole::Head, MAX_FOLLOWERS)
    }
}

impl Followers {
    /// No followers yet, of a head with a role that serves up to `capacity` ordinary heads.
    pub fn new(role: FollowerRole, capacity: usize) -> Followers {
        let is_relay = role == FollowerRole::Relay;
        Followers { by_store: BTreeMap::new(), capacity, is_relay, last_sweep_at: 0 }
    }

    fn sweep(&mut self, now: Millis) {
        self.by_store.retain(|_, known| now < known.last_poll_at + FOLLOWER_TIMEOUT_MS);
        self.last_sweep_at = now;
    }

    /// Whether another follower of a role can be served.
    fn has_capacity(&self, role: FollowerRole) -> bool {
        let served = self.by_store.values().filter(|known| known.role == role).count();
        let capacity = match role {
            FollowerRole::Head => self.capacity,
            FollowerRole::Relay => MAX_RELAYS,
        };
        served < capacity
    }

    /// A follower polls; `relays_known` says whether this head knows live relays.
    pub fn admit(&mut self, now: Millis, follower: PollingFollower, relays_known: bool) -> Admission {
        let PollingFollower { downstream, role, bypass_relays, summary } = follower;
        let is_known = self.by_store.contains_key(&downstream.store);
        // A head that follows this one already learns of the relays by updates and moves by itself.
        let is_for_relays = role == FollowerRole::Head && !bypass_relays && !is_known;
        if is_for_relays && relays_known && !self.is_relay {
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

    /// The direct followers, which may have capacity.
    pub fn peers(&self) -> Vec<Peer> {
        self.by_store.values().map(|known| known.downstream.peer.clone()).collect()
    }

    /// How many followers are served directly.
    pub fn count(&self, now: Millis) -> usize {
        self.live(now).count()
    }

    /// The followers of this head that are known by name, direct and indirect.
    pub fn subtree(&self, now: Millis) -> Vec<Downstream> {
        let all =
            self.live(now).flat_map(|known| [&known.downstream].into_iter().chain(&known.summary.sample));
        all.take(MAX_SUBTREE).cloned().collect()
    }

    /// The summary of all followers of this head, direct and indirect.
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

    /// Ordinary heads of the subtree, spread evenly over it. Relays do not become voters, so they are left out.
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
