//! Repair of the voter group: when a voter counts as dead, and which head replaces it. One change at a time, and none
//! that loses a majority.
//!
//! The leader calls [`next_step`] with what it knows. Each change of voters is itself committed by the voters before and
//! after it, so a wrong guess here costs time and never a committed entry; what must not happen is that a change leaves
//! the group without a reachable majority.

use crate::store::StoreId;
use crate::view::VoterRules;
use std::cmp::Reverse;

/// Silence after which a voter counts as unreachable, in milliseconds: no change relies on it.
pub const UNREACHABLE_AFTER_MS: u64 = 1500;
/// Silence after which a voter is declared dead, in milliseconds, unless the rules say otherwise.
pub const DEFAULT_DEAD_AFTER_MS: u64 = 30_000;
/// Silence after which a learner is dropped, in milliseconds.
const LEARNER_TIMEOUT_MS: u64 = {
    let tenth = DEFAULT_DEAD_AFTER_MS / 10;
    if tenth > UNREACHABLE_AFTER_MS { tenth } else { UNREACHABLE_AFTER_MS }
};
/// A learner that lacks no more log entries than this is promoted to a voter.
const MAX_LEARNER_LAG: u64 = 64;

/// A voter or learner of the consensus group, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// Its store.
    pub store: StoreId,
    /// Its head's name.
    pub head: String,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// It votes; otherwise it is a learner, which only receives the log.
    pub votes: bool,
    /// Time since its last answer, in milliseconds; 0 for the leader itself.
    pub ms_since_response: u64,
    /// Log entries that it lacks; `None` if that is not known.
    pub lag: Option<u64>,
}

/// A follower that could become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterCandidate {
    /// Its store.
    pub store: StoreId,
    /// Its name.
    pub head: String,
    /// The address at which other heads reach it.
    pub address: String,
    /// Its zone, if it has one.
    pub zone: Option<String>,
}

/// One membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Add this head as a learner; it does not vote yet.
    AddLearner(VoterCandidate),
    /// Replace the first store by the second as a voter.
    Replace(StoreId, StoreId),
    /// Make this learner a voter.
    Promote(StoreId),
    /// Remove this store from the group.
    Remove(StoreId),
}

/// Why a voter has to leave, the most urgent reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DepartureReason {
    /// Its head runs with another store: the disk that it had is gone.
    Wiped,
    /// It has been silent for too long.
    Dead,
    /// Operators have declared its store dead.
    DeclaredDead,
    /// Operators do not let its head vote.
    Barred,
}

/// How many of `voters` voters are a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether there may be something to do, so that it is worth collecting candidates.
pub fn may_need_repair(rules: &VoterRules, members: &[GroupMember]) -> bool {
    let voters = members.iter().filter(|member| member.votes).count();
    let needs_attention = |member: &GroupMember| {
        !member.votes || !is_reachable(member) || departure_reason(member, rules, members, &[]).is_some()
    };
    voters != target_size(rules, voters) || members.iter().any(needs_attention)
}

/// The next membership change; `None` if there is nothing to do, or nothing can be done now.
pub fn next_step(
    rules: &VoterRules,
    members: &[GroupMember],
    candidates: &[VoterCandidate],
    leader: StoreId,
) -> Option<RepairStep> {
    let group = VoterGroup::new(rules, members, candidates, leader);
    // Guards against a change that cannot be committed: it would block the next one.
    if group.reachable < majority(group.voters.len()) {
        return None;
    }
    if let Some(learner) = members.iter().find(|member| !member.votes) {
        return group.step_with_learner(learner);
    }
    if group.voters.len() > group.target {
        return group.remove_surplus_voter();
    }
    if group.leaving.is_empty() && group.voters.len() >= group.target {
        return None;
    }
    group.best_candidate().map(|candidate| RepairStep::AddLearner(candidate.clone()))
}

fn is_reachable(member: &GroupMember) -> bool {
    member.ms_since_response < UNREACHABLE_AFTER_MS
}

/// How many heads are to vote: as the rules say, or as many as there are.
fn target_size(rules: &VoterRules, voters: usize) -> usize {
    if rules.voters == 0 { voters } else { usize::from(rules.voters) }
}

/// Why a voter has to leave; `None` for one that stays.
fn departure_reason(
    member: &GroupMember,
    rules: &VoterRules,
    members: &[GroupMember],
    candidates: &[VoterCandidate],
) -> Option<DepartureReason> {
    let dead_after_ms = if rules.dead_after_ms == 0 { DEFAULT_DEAD_AFTER_MS } else { rules.dead_after_ms };
    let is_same_head = |head: &str, store: StoreId| head == member.head && store != member.store;
    let has_another_store = candidates.iter().any(|other| is_same_head(&other.head, other.store))
        || members.iter().any(|other| !other.votes && is_same_head(&other.head, other.store));
    if !is_reachable(member) && has_another_store {
        Some(DepartureReason::Wiped)
    } else if member.ms_since_response >= dead_after_ms {
        Some(DepartureReason::Dead)
    } else if rules.declared_dead.contains(&member.store) {
        Some(DepartureReason::DeclaredDead)
    } else if rules.barred_heads.contains(&member.head) {
        Some(DepartureReason::Barred)
    } else {
        None
    }
}

/// The group as the leader sees it for one decision.
struct VoterGroup<'a> {
    rules: &'a VoterRules,
    members: &'a [GroupMember],
    candidates: &'a [VoterCandidate],
    leader: StoreId,
    voters: Vec<&'a GroupMember>,
    /// Voters that can be reached.
    reachable: usize,
    /// How many heads are to vote.
    target: usize,
    /// Voters that have to leave, the most urgent first and the leader last.
    leaving: Vec<&'a GroupMember>,
}

impl<'a> VoterGroup<'a> {
    fn new(
        rules: &'a VoterRules,
        members: &'a [GroupMember],
        candidates: &'a [VoterCandidate],
        leader: StoreId,
    ) -> VoterGroup<'a> {
        let voters: Vec<&GroupMember> = members.iter().filter(|member| member.votes).collect();
        let reachable = voters.iter().filter(|voter| is_reachable(voter)).count();
        let reasons = voters.iter().filter_map(|voter| {
            let reason = departure_reason(voter, rules, members, candidates)?;
            Some((reason, *voter))
        });
        let mut leaving: Vec<(DepartureReason, &GroupMember)> = reasons.collect();
        // The leader last: its departure costs an election.
        leaving.sort_by_key(|(reason, voter)| (*reason, voter.store == leader, voter.store));
        let leaving = leaving.into_iter().map(|(_, voter)| voter).collect();
        let target = target_size(rules, voters.len());
        VoterGroup { rules, members, candidates, leader, voters, reachable, target, leaving }
    }

    /// What becomes of a learner: promoted once it is up to date, removed once it is not needed or not usable.
    fn step_with_learner(&self, learner: &GroupMember) -> Option<RepairStep> {
        // Guards against a learner that is dead itself: it would block the next.
        let has_timed_out = learner.ms_since_response >= LEARNER_TIMEOUT_MS;
        if has_timed_out || !self.may_vote(&learner.head, learner.store) {
            return Some(RepairStep::Remove(learner.store));
        }
        let is_caught_up = learner.lag.is_some_and(|lag| lag <= MAX_LEARNER_LAG);
        if !is_reachable(learner) || !is_caught_up {
            return None;
        }
        if let Some(departing) = self.leaving.first() {
            // The learner is there, so no fewer voters are reachable than before.
            return Some(RepairStep::Replace(departing.store, learner.store));
        }
        Some(if self.voters.len() < self.target {
            RepairStep::Promote(learner.store)
        } else {
            RepairStep::Remove(learner.store)
        })
    }

    /// Removes one voter too many: one that has to leave anyway, else one of the zone with the most voters.
    fn remove_surplus_voter(&self) -> Option<RepairStep> {
        let voters_in_zone_of =
            |member: &GroupMember| self.voters.iter().filter(|other| other.zone == member.zone).count();
        let by_zone =
            self.voters.iter().copied().min_by_key(|voter| {
                (voter.store == self.leader, Reverse(voters_in_zone_of(voter)), voter.store)
            });
        let departing = self.leaving.first().copied().or(by_zone)?;
        let still_reachable = self.reachable - usize::from(is_reachable(departing));
        let keeps_majority = still_reachable >= majority(self.voters.len() - 1);
        keeps_majority.then_some(RepairStep::Remove(departing.store))
    }

    /// The candidate of the zone with the fewest voters that stay, and among those the head that is replaced.
    fn best_candidate(&self) -> Option<&VoterCandidate> {
        let departing = self.leaving.first();
        let staying = |voter: &&&GroupMember| departing.is_none_or(|out| out.store != voter.store);
        let voters_in_zone_of = |candidate: &VoterCandidate| {
            self.voters.iter().filter(staying).filter(|voter| voter.zone == candidate.zone).count()
        };
        let is_another_head =
            |candidate: &VoterCandidate| departing.is_none_or(|out| out.head != candidate.head);
        let suitable = self.candidates.iter().filter(|candidate| self.is_suitable(candidate));
        suitable.min_by_key(|candidate| {
            (voters_in_zone_of(candidate), is_another_head(candidate), candidate.store)
        })
    }

    fn is_suitable(&self, candidate: &VoterCandidate) -> bool {
        self.may_vote(&candidate.head, candidate.store)
            && self.members.iter().all(|member| member.store != candidate.store)
    }

    /// Whether the operators' rules let a head with this store vote.
    fn may_vote(&self, head: &str, store: StoreId) -> bool {
        !self.rules.barred_heads.contains(head) && !self.rules.declared_dead.contains(&store)
    }
}
