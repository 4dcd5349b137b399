//! Messages of a subscription: a follower's polls and the responses of its upstream.
//!
//! Parts that seldom change (the route of updates, the directory of relays, the summary of a subtree) are
//! sent only if they differ from what the receiver has cached. A poll without changes therefore takes some
//! tens of bytes in each direction, however large the cluster is.
//!
//! The order of the fields and variants of all messages is part of the wire format
//! ([`record`](crate::record)).

use crate::peer::{Downstream, Peer, Voters};
use crate::relay::{FollowerRole, RelayDirectory};
use crate::time::Millis;
use crate::view::Chunk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time for which a poll of an ordinary head waits at its upstream for a change, in milliseconds. Together
/// with [`RELAY_POLL_TIMEOUT_MS`], it keeps the age of the state at a head behind a relay within
/// [`MAX_UPDATE_AGE_MS`](crate::follow::MAX_UPDATE_AGE_MS): 1 s at the relay, 3 s here, and 1 s left for the
/// responses.
pub const HEAD_POLL_TIMEOUT_MS: Millis = 3000;
/// The same for a relay, for any other head that serves followers, and for a head whose upstream is stale, in
/// milliseconds. It is shorter because each head on the route adds its own to the age of an update.
pub const RELAY_POLL_TIMEOUT_MS: Millis = 1000;
/// Maximum time for which an upstream lets a poll wait, in milliseconds.
pub const MAX_POLL_TIMEOUT_MS: Millis = HEAD_POLL_TIMEOUT_MS;
/// Maximum number of followers named in a [`SubtreeSummary`].
pub const MAX_SAMPLE: usize = 16;
/// Maximum number of peers named in a [`Redirect`].
pub const MAX_REDIRECT_PEERS: usize = 64;
/// Minimum interval between summaries if the followers have changed, in milliseconds.
const MIN_SUMMARY_INTERVAL_MS: Millis = 1000;
/// Minimum interval between summaries if only versions have changed, in milliseconds.
const VERSION_SUMMARY_INTERVAL_MS: Millis = 5000;
/// Interval at which an unchanged summary is sent again, in milliseconds.
const MAX_SUMMARY_INTERVAL_MS: Millis = 30_000;
/// Maximum number of peers that are remembered as running an earlier version of the program.
const MAX_LEGACY_PEERS: usize = 64;
/// Time for which a peer is remembered as running an earlier version, in milliseconds.
const LEGACY_PEER_TTL_MS: Millis = 600_000;

/// Digests of the parts that a follower has cached; 0 for a part that it does not have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedDigests {
    /// Digest of the [`Route`].
    pub route: u32,
    /// Digest of the [`RelayDirectory`].
    pub directory: u32,
}

/// A summary of bounded size of all followers of one head, direct and indirect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeSummary {
    /// Number of followers.
    pub heads: u32,
    /// The lowest version of any of them; 0 if there are none.
    pub lowest_version: u64,
    /// Some of the followers, at most [`MAX_SAMPLE`].
    pub sample: Vec<Downstream>,
}

impl SubtreeSummary {
    /// Summarizes a complete list of followers, which is what heads of earlier versions send.
    pub fn from_followers(list: Vec<Downstream>) -> SubtreeSummary {
        let lowest_version = list.iter().map(|follower| follower.version).min().unwrap_or(0);
        let heads = u32::try_from(list.len()).unwrap_or(u32::MAX);
        SubtreeSummary { heads, lowest_version, sample: list.into_iter().take(MAX_SAMPLE).collect() }
    }

    /// Limits the sample to [`MAX_SAMPLE`] followers.
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

/// One poll of a follower. The upstream knows which head polls from the connection's greeting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// The follower's role.
    pub role: FollowerRole,
    /// Its region, if it has one.
    pub region: Option<String>,
    /// The version of its view.
    pub version: u64,
    /// It has received all changes up to this version, part of them possibly in a transfer that is not
    /// complete.
    pub since: u64,
    /// The version at which the transfer in progress began; 0 for none.
    pub first_version: u64,
    /// Time for which the poll waits for a change, in milliseconds.
    pub poll_timeout: Millis,
    /// Digests of the parts that it has cached.
    pub cached: CachedDigests,
    /// Asks to be served even if the upstream knows relays: the follower reaches no relay, or is about to
    /// move to one.
    pub bypass_relays: bool,
    /// The summary of its subtree, if it is due; see [`SummaryReporter`].
    pub summary: Option<SubtreeSummary>,
}

/// The path of updates from a voter, and the voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The cluster's origin, as of [`cluster_origin`](crate::greeting::cluster_origin); `None` from an
    /// upstream of an earlier version.
    pub origin: Option<u64>,
    /// Names of the heads that passed the update on, beginning with a voter.
    pub path: Vec<String>,
    /// The leader, if the upstream knows it.
    pub leader: Option<Peer>,
    /// The voters, as the upstream knows them.
    pub voters: Voters,
}

/// The changes and other parts that a follower lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version of the upstream's view.
    pub version: u64,
    /// Time since the voter at the beginning of the route was last sure to have the newest version, in
    /// milliseconds.
    pub age: Millis,
    /// The changes, if there are any.
    pub chunk: Option<Chunk>,
    /// The route, unless the follower has cached the same.
    pub route: Option<Route>,
    /// The directory of relays, unless the follower has cached the same.
    pub directory: Option<RelayDirectory>,
}

/// Other heads to poll instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The directory of relays, unless the follower has cached the same.
    pub directory: Option<RelayDirectory>,
    /// Followers of this head, which may have capacity.
    pub peers: Vec<Peer>,
}

/// The response to a [`Subscription`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscribeResponse {
    /// What the follower lacks; without a chunk if it lacks no changes.
    Update(Update),
    /// The follower must poll other heads.
    Redirect(Redirect),
    /// The follower must poll again after this time, in milliseconds: too many large transfers are in
    /// progress.
    RetryAfter(Millis),
}

/// Decides when a follower sends its upstream the summary of its subtree.
#[derive(Debug, Default)]
pub struct SummaryReporter {
    last: Option<(Millis, SubtreeSummary)>,
}

impl SummaryReporter {
    /// Makes the next summary due at once, because the upstream has changed or may not have received the last
    /// summary.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// Returns the summary if it is due, and records it as sent.
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

/// Peers that run an earlier version of the program, without subscriptions. A peer is remembered for one
/// incarnation, as it may be upgraded at its next start.
#[derive(Debug, Default)]
pub struct LegacyPeers {
    /// Incarnation of each peer and the time at which it was remembered, by the head's name.
    by_head: BTreeMap<String, (u64, Millis)>,
}

impl LegacyPeers {
    /// Remembers a peer that closed the connection when it received a subscription.
    pub fn remember(&mut self, now: Millis, head: &str, incarnation: u64) {
        self.by_head.retain(|_, (_, remembered_at)| now < *remembered_at + LEGACY_PEER_TTL_MS);
        if self.by_head.len() < MAX_LEGACY_PEERS || self.by_head.contains_key(head) {
            self.by_head.insert(head.to_owned(), (incarnation, now));
        }
    }

    /// Whether a peer must be polled with the request of earlier versions.
    pub fn contains(&self, now: Millis, head: &str, incarnation: u64) -> bool {
        self.by_head.get(head).is_some_and(|(known, remembered_at)| {
            *known == incarnation && now < *remembered_at + LEGACY_PEER_TTL_MS
        })
    }
}
