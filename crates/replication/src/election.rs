//! When a voter starts an election: after it has received no heartbeat from a leader for the leader timeout,
//! and a majority of the voters confirms in a pre-vote that they have received none either.
//!
//! The pre-vote keeps a voter that was partitioned, stalled or cannot receive messages from deposing a leader
//! that the other voters still receive heartbeats from. Safety does not depend on it: the consensus library
//! counts the votes, and this module only decides when an election is worth starting. All delays are random
//! and chosen anew each time, so that two voters that split the vote are unlikely to campaign at the same
//! time again.
//!
//! [`Election`] belongs to one voter. It sends no messages; the caller executes each [`ElectionStep`].

use crate::store::StoreId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

pub use crate::time::Millis;

/// Timeouts of elections, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ElectionTimeouts {
    /// Time without a heartbeat after which the leader is considered dead.
    pub leader_timeout_ms: Millis,
    /// Maximum random time added to the leader timeout.
    pub jitter_ms: Millis,
    /// Maximum delay before the next attempt, after a pre-vote without a majority or an election that was not
    /// won. The delay is random and at least half of this.
    pub retry_ms: Millis,
}

/// What a voter does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Do nothing before this time, in milliseconds.
    WaitUntil(Millis),
    /// Send a pre-vote request to these voters: whether they receive heartbeats from a leader.
    PreVote {
        /// Number of the pre-vote round, to be passed back with each response.
        round: u64,
        /// The voters that receive the request.
        voters: BTreeSet<StoreId>,
    },
    /// Start an election.
    Campaign,
}

/// A pre-vote in progress.
#[derive(Debug)]
struct PreVoteRound {
    number: u64,
    recipients: BTreeSet<StoreId>,
    /// Voters that responded that they have no leader either.
    without_leader: BTreeSet<StoreId>,
}

/// Decides when one voter starts an election.
#[derive(Debug)]
pub struct Election {
    timeouts: ElectionTimeouts,
    rng: ChaCha8Rng,
    last_heartbeat_at: Millis,
    next_step_at: Millis,
    pre_vote: Option<PreVoteRound>,
    rounds: u64,
    /// A vote of this voter was not yet synced to disk when the caller last checked.
    has_unsynced_vote: bool,
}

impl Election {
    /// Creates the state of a voter that starts at `now`; `seed` initializes the random numbers for all
    /// delays.
    pub fn new(timeouts: ElectionTimeouts, seed: u64, now: Millis) -> Election {
        let mut election = Election {
            timeouts,
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_heartbeat_at: now,
            next_step_at: 0,
            pre_vote: None,
            rounds: 0,
            has_unsynced_vote: false,
        };
        election.next_step_at = now + timeouts.leader_timeout_ms + election.random_up_to(timeouts.jitter_ms);
        election
    }

    fn random_up_to(&mut self, max: Millis) -> Millis {
        if max == 0 { 0 } else { u64::from(self.rng.next_u32()) % (max + 1) }
    }

    /// Random delay before the next attempt, in milliseconds.
    fn random_retry_delay(&mut self) -> Millis {
        let half = self.timeouts.retry_ms / 2;
        half + self.random_up_to(half)
    }

    /// Records a heartbeat from a leader, which cancels a pre-vote in progress.
    pub fn on_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        self.next_step_at = self.last_heartbeat_at
            + self.timeouts.leader_timeout_ms
            + self.random_up_to(self.timeouts.jitter_ms);
        self.pre_vote = None;
    }

    /// Whether this voter has a live leader; it is the response to the pre-votes of other voters.
    pub fn hears_leader(&self, now: Millis) -> bool {
        now < self.last_heartbeat_at + self.timeouts.leader_timeout_ms
    }

    /// Time since the last heartbeat from a leader, in milliseconds.
    pub fn time_since_heartbeat(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_heartbeat_at)
    }

    /// Records that a vote of this voter, for itself or for another, is not yet synced to disk. A campaign
    /// now would replace it by a newer vote before any voter has counted it, and on disks slower than
    /// [`ElectionTimeouts::retry_ms`] no election would ever be won. The next campaign therefore waits for
    /// the sync and then for a retry delay.
    pub fn on_unsynced_vote(&mut self) {
        self.has_unsynced_vote = true;
        self.pre_vote = None;
    }

    /// The next step of voter `own`, given all voters. The caller must not call it while a vote of this voter
    /// is unsynced ([`Election::on_unsynced_vote`]).
    pub fn step(&mut self, now: Millis, own: StoreId, voters: &BTreeSet<StoreId>) -> ElectionStep {
        if std::mem::take(&mut self.has_unsynced_vote) {
            let retry_at = now + self.random_retry_delay();
            self.next_step_at = self.next_step_at.max(retry_at);
        }
        if now < self.next_step_at {
            return ElectionStep::WaitUntil(self.next_step_at);
        }
        self.next_step_at = now + self.random_retry_delay();
        self.rounds += 1;
        let others: BTreeSet<StoreId> = voters.iter().copied().filter(|voter| *voter != own).collect();
        if others.is_empty() {
            return self.campaign();
        }
        self.pre_vote = Some(PreVoteRound {
            number: self.rounds,
            recipients: others.clone(),
            without_leader: BTreeSet::new(),
        });
        ElectionStep::PreVote { round: self.rounds, voters: others }
    }

    /// Handles the response of a voter to a pre-vote; `has_no_leader` means that it has no live leader
    /// either.
    pub fn on_pre_vote_response(
        &mut self,
        now: Millis,
        round: u64,
        from: StoreId,
        has_no_leader: bool,
    ) -> ElectionStep {
        let hears_leader = self.hears_leader(now);
        match &mut self.pre_vote {
            // A late response does not count: a heartbeat has arrived since, or another round has begun.
            Some(pre_vote)
                if pre_vote.number == round
                    && !hears_leader
                    && has_no_leader
                    && pre_vote.recipients.contains(&from) =>
            {
                pre_vote.without_leader.insert(from);
                if pre_vote.without_leader.len() + 1 > pre_vote.recipients.len().div_ceil(2) {
                    return self.campaign();
                }
            }
            _ => {}
        }
        ElectionStep::WaitUntil(self.next_step_at)
    }

    fn campaign(&mut self) -> ElectionStep {
        self.pre_vote = None;
        ElectionStep::Campaign
    }
}
