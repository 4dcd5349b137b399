//! The state machine of one follower: which upstream it polls, when it looks for another, and which updates
//! it accepts.
//!
//! [`Follower`] belongs to one head. The caller requests the [next step](Follower::next_step), executes it,
//! and reports the response ([`Follower::on_response`]) or its absence ([`Follower::on_failure`]). The view
//! is the caller's; a follower changes it only by complete transfers from an upstream that it accepts.
//!
//! - `poll`: types of steps, purposes of polls, reasons to reject a response
//! - `step`: the next step, probes and backoff
//! - `response`: handling of responses and failures, changes of upstream
//! - `update`: validating and applying one update

mod poll;
mod response;
mod step;
mod update;

pub use poll::{FollowerStep, Rejection, UpstreamPoll};

use super::selection::{UpstreamCandidate, UpstreamCandidates};
use crate::digest::digest_of;
use crate::peer::{Peer, Voters};
use crate::relay::{FollowerRole, RelayDirectory};
use crate::subscribe::{CachedDigests, Route};
use crate::time::Millis;
use crate::view::Transfer;
use poll::{PollPurpose, ScheduledProbe};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// State of one follower.
#[derive(Debug)]
pub struct Follower {
    own: String,
    rng: ChaCha8Rng,
    candidates: UpstreamCandidates,
    upstream: Option<UpstreamCandidate>,
    /// The upstream is a relay that has lost contact with the voters and is followed nevertheless.
    is_upstream_stale: bool,
    /// Purpose of the poll in progress.
    purpose: Option<PollPurpose>,
    probe: Option<ScheduledProbe>,
    transfer: Transfer,
    next_step_at: Millis,
    consecutive_failures: u32,
    route: Option<Route>,
    /// Time at which the view was last known to be the newest version; `None` before the first update.
    fresh_at: Option<Millis>,
    /// The voters, as last received from an upstream.
    pub voters: Voters,
}

impl Follower {
    /// Creates the state of the head `own`. `seeds` are the heads named in its settings; `seed` initializes
    /// the random numbers for all choices.
    pub fn new(own: &str, seeds: Vec<Peer>, seed: u64) -> Follower {
        Follower {
            own: own.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            candidates: UpstreamCandidates::new(own, seeds),
            upstream: None,
            is_upstream_stale: false,
            purpose: None,
            probe: None,
            transfer: Transfer::default(),
            next_step_at: 0,
            consecutive_failures: 0,
            route: None,
            fresh_at: None,
            voters: Voters::default(),
        }
    }

    /// Sets its role and region.
    pub fn with_role(mut self, role: FollowerRole, region: Option<String>) -> Follower {
        self.candidates.set_role(role, region);
        self
    }

    /// Its role.
    pub fn role(&self) -> FollowerRole {
        self.candidates.role()
    }

    /// Its region, if it has one.
    pub fn region(&self) -> Option<&str> {
        self.candidates.region()
    }

    /// Digests of the parts that this head has cached, which the upstream then leaves out.
    pub fn cached_digests(&self) -> CachedDigests {
        CachedDigests {
            route: self.route.as_ref().map_or(0, digest_of),
            directory: self.directory().map_or(0, RelayDirectory::digest),
        }
    }

    /// Names of the heads that passed the state on, with this head last.
    pub fn path(&self) -> Vec<String> {
        let path = self.route.iter().flat_map(|route| &route.path);
        path.chain([&self.own]).cloned().collect()
    }

    /// The leader, as last received from an upstream.
    pub fn leader(&self) -> Option<Peer> {
        self.route.as_ref()?.leader.clone()
    }

    /// The relays, as last received; `None` until an upstream has sent a directory.
    pub fn directory(&self) -> Option<&RelayDirectory> {
        self.candidates.directory()
    }

    /// The current upstream.
    pub fn upstream(&self) -> Option<&Peer> {
        self.upstream.as_ref().map(|upstream| &upstream.peer)
    }

    /// Whether the upstream is a relay.
    pub fn follows_relay(&self) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| upstream.is_relay)
    }

    /// Time since the view was last known to be the newest version, in milliseconds; `None` before the first
    /// update.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.fresh_at.map(|fresh_at| now.saturating_sub(fresh_at))
    }
}
