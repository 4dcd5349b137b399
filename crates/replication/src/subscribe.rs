//! Messages of a subscription: what a follower sends its upstream with each poll, and what it gets back.
//!
//! Whatever seldom changes (the route over which updates come, the relays' directory, the summary of a subtree) is sent
//! only when its digest or content differs from what the other side has cached, so that a poll without changes takes
//! some tens of bytes in each direction, however large the fleet is.
//!
//! The order of the fields and variants of all messages is part of the wire format ([`record`](crate::record)).

use crate::peer::{Downstream, Peer, Voters};
use crate::relay::{FollowerRole, RelayDirectory};
use crate::time::Millis;
use crate::view::Chunk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a poll of an ordinary head waits at its upstream, in milliseconds. With [`RELAY_POLL_TIMEOUT_MS`] and the time for
/// an answer in front of it, the state of a head behind a relay is known to be the newest within
/// [`MAX_UPDATE_AGE_MS`](crate::follow::MAX_UPDATE_AGE_MS) (1 s at the relay, 3 s here, and 1 s to spare).
pub const HEAD_POLL_TIMEOUT_MS: Millis = 3000;
/// How long the poll of a relay waits, of any other head that serves followers, and of one whose upstream is stale, in
/// milliseconds: each head on the route adds its own wait to the age of an update.
pub const RELAY_POLL_TIMEOUT_MS: Millis = 1000;
/// The longest wait that an upstream grants, in milliseconds.
pub const MAX_POLL_TIMEOUT_MS: Millis = HEAD_POLL_TIMEOUT_MS;
/// Followers named in a [`SubtreeSummary`], at most.
pub const MAX_SAMPLE: usize = 16;
/// Peers named in a [`Redirect`], at most.
pub const MAX_REDIRECT_PEERS: usize = 64;
/// A summary whose followers have changed is sent again no sooner than this, in milliseconds.
const MIN_SUMMARY_INTERVAL_MS: Millis = 1000;
/// The same where only versions have changed.
const VERSION_SUMMARY_INTERVAL_MS: Millis = 5000;
/// An unchanged summary is sent again after this, in milliseconds.
const MAX_SUMMARY_INTERVAL_MS: Millis = 30_000;
/// Peers of earlier versions that are remembered, at most.
const MAX_LEGACY_PEERS: usize = 64;
/// How long a peer is remembered as one of an earlier version, in milliseconds.
const LEGACY_MEMORY_MS: Millis = 600_000;

/// Digests of what a follower has cached; 0 for what it does not have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedDigests {
    /// Of the [`Route`].
    pub route: u32,
    /// Of the [`RelayDirectory`].
    pub directory: u32,
}

/// A fixed-size description of all followers behind one head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeSummary {
    /// How many there are.
    pub heads: u32,
    /// The lowest version that one of them has.
    pub lowest_version: u64,
    /// Some of them, [`MAX_SAMPLE`] at the most.
    pub sample: Vec<Downstream>,
}

impl SubtreeSummary {
    /// The summary of a complete list, as heads of earlier versions send it.
    pub fn from_followers(list: Vec<Downstream>) -> SubtreeSummary {
        let lowest_version = list.iter().map(|follower| follower.version).min().unwrap_or(0);
        let heads = u32::try_from(list.len()).unwrap_or(u32::MAX);
        SubtreeSummary { heads, lowest_version, sample: list.into_iter().take(MAX_SAMPLE).collect() }
    }

    /// The same with no more than [`MAX_SAMPLE`] followers named.
    pub fn bounded(mut self) -> SubtreeSummary {
        self.sample.truncate(MAX_SAMPLE);
        self
    }

    fn has_same_followers(&self, other: &SubtreeSummary) -> bool {
        let stores = |summary: &SubtreeSummary| -> Vec<_> {
            summary.sample.iter().map(|follower| (follower.store, follower.incarnation)).collect()
        };
        self.heads == other.heads && stores(self) == stores(other)
    }
}

/// One poll of a follower. Which head polls is known from the connection's greeting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// The follower's role.
    pub role: FollowerRole,
    /// Its region, if it has one.
    pub region: Option<String>,
    /// The version that it has.
    pub version: u64,
    /// It has all changes up to this version, some perhaps in a transfer in progress.
    pub since: u64,
    /// The version at which that transfer began; 0 if there is none.
    pub first_version: u64,
    /// How long it waits for a change, in milliseconds.
    pub poll_timeout: Millis,
    /// What it has cached.
    pub cached: CachedDigests,
    /// It reaches no relay, or is about to move to one: it is to be served here although relays are known.
    pub bypass_relays: bool,
    /// The summary of its subtree, if that is to be sent now.
    pub summary: Option<SubtreeSummary>,
}

/// The heads over which updates come, and the voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The fleet's origin; `None` from an upstream of an earlier version.
    pub origin: Option<u64>,
    /// The heads over which the update came, a voter first.
    pub path: Vec<String>,
    /// The leader, as far as known.
    pub leader: Option<Peer>,
    /// The voters, as far as known.
    pub voters: Voters,
}

/// What a follower lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version that the upstream has.
    pub version: u64,
    /// Milliseconds since the voter from which it came was sure to have the newest version.
    pub age: Millis,
    /// The changes, if there are any.
    pub chunk: Option<Chunk>,
    /// The route, if the follower has cached another.
    pub route: Option<Route>,
    /// The relays, if the follower has cached another directory.
    pub directory: Option<RelayDirectory>,
}

/// Other heads to poll instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The relays, if the follower has cached another directory.
    pub directory: Option<RelayDirectory>,
    /// Followers of this head, which may have capacity.
    pub peers: Vec<Peer>,
}

/// The answer to a [`Subscription`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscribeResponse {
    /// What the follower lacks, or that it lacks nothing.
    Update(Update),
    /// It is to poll other heads.
    Redirect(Redirect),
    /// It is to poll again after this time, in milliseconds: enough transfers are in progress.
    RetryAfter(Millis),
}

/// Decides when a follower sends the summary of its subtree.
#[derive(Debug, Default)]
pub struct SummaryReporter {
    last: Option<(Millis, SubtreeSummary)>,
}

impl SummaryReporter {
    /// The upstream has changed, or it is not known what it has received: the next summary is sent in any case.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// The summary, if it is to be sent now.
    pub fn next_report(&mut self, now: Millis, summary: SubtreeSummary) -> Option<SubtreeSummary> {
        let is_due = match &self.last {
            None => summary.heads > 0,
            Some((sent_at, sent)) => {
                let elapsed = now.saturating_sub(*sent_at);
                let interval = if !summary.has_same_followers(sent) {
                    MIN_SUMMARY_INTERVAL_MS
                } else if summary != *sent {
                    VERSION_SUMMARY_INTERVAL_MS
                } else {
                    MAX_SUMMARY_INTERVAL_MS
                };
                elapsed >= interval && (summary.heads > 0 || sent.heads > 0)
            }
        };
        if !is_due {
            return None;
        }
        self.last = Some((now, summary.clone()));
        Some(summary)
    }
}

/// Peers of earlier versions, which do not know subscriptions, each with the incarnation in which that was seen.
#[derive(Debug, Default)]
pub struct LegacyPeers {
    by_head: BTreeMap<String, (u64, Millis)>,
}

impl LegacyPeers {
    /// A peer closed the connection when it received a subscription.
    pub fn remember(&mut self, now: Millis, head: &str, incarnation: u64) {
        self.by_head.retain(|_, (_, noted_at)| now < *noted_at + LEGACY_MEMORY_MS);
        if self.by_head.len() < MAX_LEGACY_PEERS || self.by_head.contains_key(head) {
            self.by_head.insert(head.to_owned(), (incarnation, now));
        }
    }

    /// Whether a peer is to be polled with the earlier request.
    pub fn contains(&self, now: Millis, head: &str, incarnation: u64) -> bool {
        self.by_head
            .get(head)
            .is_some_and(|(known, noted_at)| *known == incarnation && now < *noted_at + LEGACY_MEMORY_MS)
    }
}
