//! Candidates for the upstream of a follower, and the order in which they are tried.
//!
//! [`UpstreamCandidates`] belongs to one follower, which decides when to poll the chosen candidate.

use super::avoidance::Avoidance;
use crate::peer::{Peer, Voters};
use crate::relay::{FollowerRole, Relay, RelayDirectory};
use crate::time::Millis;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Redirects add candidates only while fewer than this remain to be tried.
const MAX_REDIRECTED: usize = 64;

/// A random number below `bound`; 0 if `bound` is 0.
pub(super) fn random_below(rng: &mut ChaCha8Rng, bound: u64) -> u64 {
    if bound == 0 { 0 } else { u64::from(rng.next_u32()) % bound }
}

/// A head that the follower may poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct UpstreamCandidate {
    pub(super) peer: Peer,
    pub(super) is_relay: bool,
}

impl UpstreamCandidate {
    fn relay(relay: &Relay) -> UpstreamCandidate {
        UpstreamCandidate { peer: relay.peer.clone(), is_relay: true }
    }
}

/// The heads that one follower knows and may poll.
#[derive(Debug)]
pub(super) struct UpstreamCandidates {
    own: String,
    role: FollowerRole,
    region: Option<String>,
    /// The heads named in the settings, which are always candidates.
    seeds: Vec<Peer>,
    /// Voters and relays not yet tried in this round; the last one is tried next.
    untried: Vec<UpstreamCandidate>,
    /// Followers of full heads, tried once no other candidate is left: those are further up in the tree, and
    /// may have capacity.
    redirected: Vec<UpstreamCandidate>,
    /// The relays; `None` until an upstream has sent a directory.
    directory: Option<RelayDirectory>,
    pub(super) avoidance: Avoidance,
    /// Index, among all other heads, of the next one to be probed for a fresher state.
    next_probe_index: usize,
}

impl UpstreamCandidates {
    pub(super) fn new(own: &str, seeds: Vec<Peer>) -> UpstreamCandidates {
        UpstreamCandidates {
            own: own.to_owned(),
            role: FollowerRole::Head,
            region: None,
            seeds: seeds.into_iter().filter(|seed| seed.head != own).collect(),
            untried: Vec::new(),
            redirected: Vec::new(),
            directory: None,
            avoidance: Avoidance::default(),
            next_probe_index: 0,
        }
    }

    pub(super) fn set_role(&mut self, role: FollowerRole, region: Option<String>) {
        (self.role, self.region) = (role, region);
    }

    pub(super) fn role(&self) -> FollowerRole {
        self.role
    }

    pub(super) fn region(&self) -> Option<&str> {
        self.region.as_deref()
    }

    pub(super) fn directory(&self) -> Option<&RelayDirectory> {
        self.directory.as_ref()
    }

    pub(super) fn set_directory(&mut self, directory: RelayDirectory) {
        self.directory = Some(directory);
    }

    pub(super) fn knows_relays(&self) -> bool {
        self.directory.as_ref().is_some_and(|directory| !directory.is_empty())
    }

    fn ranked_relays(&self) -> Vec<&Relay> {
        let directory = self.directory.iter();
        directory.flat_map(|directory| directory.ranked(&self.own, self.region.as_deref())).collect()
    }

    fn available_relay(&self, now: Millis) -> Option<&Relay> {
        let ranked = self.ranked_relays();
        ranked.into_iter().find(|relay| !self.avoidance.contains(now, &relay.peer.head))
    }

    /// The heads named in the settings, and the voters that an upstream has named.
    fn known_voters(&self, voters: &Voters) -> Vec<Peer> {
        let mut all = self.seeds.clone();
        for voter in voters.by_store.values() {
            if voter.head != self.own && all.iter().all(|known| known.head != voter.head) {
                all.push(voter.clone());
            }
        }
        all
    }

    /// The next candidate for a follower that has no upstream.
    pub(super) fn next(
        &mut self,
        now: Millis,
        voters: &Voters,
        rng: &mut ChaCha8Rng,
    ) -> Option<UpstreamCandidate> {
        if self.role == FollowerRole::Head
            && let Some(relay) = self.available_relay(now)
        {
            return Some(UpstreamCandidate::relay(relay));
        }
        if self.untried.is_empty() && self.redirected.is_empty() {
            self.begin_round(voters, rng);
        }
        self.untried.pop().or_else(|| self.redirected.pop())
    }

    /// Lists all known heads, each once and in random order, so that not all heads of a cluster that starts
    /// poll the same voter. A relay tries the voters before other relays.
    fn begin_round(&mut self, voters: &Voters, rng: &mut ChaCha8Rng) {
        let voters = self.known_voters(voters);
        let mut relays: Vec<UpstreamCandidate> =
            self.ranked_relays().into_iter().map(UpstreamCandidate::relay).collect();
        relays.retain(|relay| voters.iter().all(|voter| voter.head != relay.peer.head));
        let mut voters: Vec<UpstreamCandidate> =
            voters.into_iter().map(|peer| UpstreamCandidate { peer, is_relay: false }).collect();
        if self.role == FollowerRole::Head {
            voters.append(&mut relays);
        }
        shuffle(&mut voters, rng);
        shuffle(&mut relays, rng);
        self.untried = relays;
        self.untried.append(&mut voters);
    }

    /// Adds heads from a redirect to this round, at random positions.
    pub(super) fn add_untried(&mut self, peers: Vec<Peer>, rng: &mut ChaCha8Rng) {
        for peer in peers {
            let is_known = peer.head == self.own
                || self.untried.iter().chain(&self.redirected).any(|known| known.peer.head == peer.head)
                || self.directory.as_ref().is_some_and(|directory| directory.get(&peer.head).is_some());
            if !is_known && self.redirected.len() < MAX_REDIRECTED {
                let index = random_below(rng, self.redirected.len() as u64 + 1) as usize;
                self.redirected.insert(index, UpstreamCandidate { peer, is_relay: false });
            }
        }
    }

    /// Ends the round, as an upstream was found.
    pub(super) fn end_round(&mut self) {
        self.untried.clear();
        self.redirected.clear();
    }

    /// Whether there is a relay that is not avoided now.
    pub(super) fn has_available_relay(&self, now: Millis) -> bool {
        self.available_relay(now).is_some()
    }

    /// Whether the follower has no better choice than this upstream: for an ordinary head the relay that it
    /// ranks first, for a relay any head that is not a relay.
    pub(super) fn is_first_choice(&self, upstream: &UpstreamCandidate) -> bool {
        match self.role {
            FollowerRole::Head => {
                let ranked = self.ranked_relays();
                ranked.first().is_none_or(|first| first.peer.head == upstream.peer.head)
            }
            FollowerRole::Relay => !upstream.is_relay,
        }
    }

    /// A candidate that the follower prefers to this upstream, if one can be tried now.
    pub(super) fn better_than(
        &self,
        now: Millis,
        upstream: &UpstreamCandidate,
        voters: &Voters,
        rng: &mut ChaCha8Rng,
    ) -> Option<UpstreamCandidate> {
        match self.role {
            FollowerRole::Head => {
                let ranked = self.ranked_relays().into_iter();
                let mut better = ranked.take_while(|relay| relay.peer.head != upstream.peer.head);
                let found = better.find(|relay| !self.avoidance.contains(now, &relay.peer.head));
                found.map(UpstreamCandidate::relay)
            }
            FollowerRole::Relay if upstream.is_relay => {
                let mut voters = self.known_voters(voters);
                let index = random_below(rng, voters.len() as u64) as usize;
                (!voters.is_empty())
                    .then(|| UpstreamCandidate { peer: voters.swap_remove(index), is_relay: false })
            }
            FollowerRole::Relay => None,
        }
    }

    /// The next head to probe for a follower whose upstream is stale: all others in turn.
    pub(super) fn next_probe(
        &mut self,
        upstream: &UpstreamCandidate,
        voters: &Voters,
    ) -> Option<UpstreamCandidate> {
        let mut others: Vec<UpstreamCandidate> =
            self.ranked_relays().into_iter().map(UpstreamCandidate::relay).collect();
        let voters = self.known_voters(voters).into_iter();
        others.extend(voters.map(|peer| UpstreamCandidate { peer, is_relay: false }));
        others.retain(|other| other.peer.head != upstream.peer.head);
        if others.is_empty() {
            return None;
        }
        let index = self.next_probe_index % others.len();
        self.next_probe_index = index + 1;
        Some(others.swap_remove(index))
    }
}

fn shuffle(candidates: &mut [UpstreamCandidate], rng: &mut ChaCha8Rng) {
    for last in (1..candidates.len()).rev() {
        candidates.swap(last, random_below(rng, last as u64 + 1) as usize);
    }
}
