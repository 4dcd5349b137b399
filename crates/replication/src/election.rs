//! When a voter campaigns: after it has had no heartbeat of a leader for a while, and a majority of the voters says that
//! they have had none either (a pre-vote).
//!
//! The pre-vote keeps a voter that was cut off, stalled or cannot receive from ending the term of a leader that the
//! others hear from. It guarantees nothing: votes are counted by the consensus library, and this module decides only
//! when an election is worth starting. All waits are drawn anew each time, so that two voters that split the vote do not
//! campaign together again.
//!
//! [`Election`] belongs to one voter. It sends no messages; the caller carries out each [`ElectionStep`].

use crate::store::StoreId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

pub use crate::time::Millis;

/// Timeouts of elections, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ElectionTimeouts {
    /// Silence of the leader after which it is no longer followed.
    pub leader_timeout_ms: Millis,
    /// Random time added to it, at most.
    pub jitter_ms: Millis,
    /// Time to the next attempt after a pre-vote without a majority or an election that was not won, at most; it is
    /// random, and at least half of this.
    pub retry_ms: Millis,
}

/// What a voter does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Nothing before this time, in milliseconds.
    WaitUntil(Millis),
    /// Ask these voters whether they hear from a leader.
    PreVote {
        /// Number of the round, which the answers carry.
        round: u64,
        /// The voters to ask.
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
    /// Those that answered that they hear from no leader either.
    without_leader: BTreeSet<StoreId>,
}

/// Decides when one voter campaigns.
#[derive(Debug)]
pub struct Election {
    timeouts: ElectionTimeouts,
    rng: ChaCha8Rng,
    last_heartbeat_at: Millis,
    next_step_at: Millis,
    pre_vote: Option<PreVoteRound>,
    rounds: u64,
    /// A vote of this voter was not synced yet when the caller last checked.
    has_unsynced_vote: bool,
}

impl Election {
    /// A voter that starts at `now`; `seed` feeds all random waits.
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

    fn random_up_to(&mut self, most: Millis) -> Millis {
        if most == 0 { 0 } else { u64::from(self.rng.next_u32()) % (most + 1) }
    }

    /// The time to the next attempt, in milliseconds.
    fn random_retry(&mut self) -> Millis {
        let half = self.timeouts.retry_ms / 2;
        half + self.random_up_to(half)
    }

    /// A heartbeat of a leader has arrived.
    pub fn on_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        self.next_step_at = self.last_heartbeat_at
            + self.timeouts.leader_timeout_ms
            + self.random_up_to(self.timeouts.jitter_ms);
        self.pre_vote = None;
    }

    /// Whether a leader counts as alive, as answered to the pre-votes of others.
    pub fn hears_leader(&self, now: Millis) -> bool {
        now < self.last_heartbeat_at + self.timeouts.leader_timeout_ms
    }

    /// Time since the last heartbeat of a leader, in milliseconds.
    pub fn time_since_heartbeat(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_heartbeat_at)
    }

    /// A vote of this voter, for itself or for another, is not synced yet. A campaign now would replace it by a newer
    /// vote before anybody has counted it, and on disks slower than [`ElectionTimeouts::retry_ms`] no election would
    /// ever be won. The next campaign waits for the sync, and for the retry time after it.
    pub fn on_unsynced_vote(&mut self) {
        self.has_unsynced_vote = true;
        self.pre_vote = None;
    }

    /// What a voter does now, given all voters. Not to be called while a vote of this voter is unsynced
    /// ([`Election::on_unsynced_vote`]).
    pub fn step(&mut self, now: Millis, own: StoreId, voters: &BTreeSet<StoreId>) -> ElectionStep {
        if std::mem::take(&mut self.has_unsynced_vote) {
            let retry_at = now + self.random_retry();
            self.next_step_at = self.next_step_at.max(retry_at);
        }
        if now < self.next_step_at {
            return ElectionStep::WaitUntil(self.next_step_at);
        }
        self.next_step_at = now + self.random_retry();
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

    /// A voter has answered a pre-vote; `is_silent` says that it hears from no leader either.
    pub fn on_pre_vote_response(
        &mut self,
        now: Millis,
        round: u64,
        from: StoreId,
        is_silent: bool,
    ) -> ElectionStep {
        let hears_leader = self.hears_leader(now);
        match &mut self.pre_vote {
            // Guards against late answers: a heartbeat has arrived since, or another round has begun.
            Some(pre_vote)
                if pre_vote.number == round
                    && !hears_leader
                    && is_silent
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
