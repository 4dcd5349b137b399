//! Repair of the voter group: when a voter is declared dead, and which head replaces it. Membership changes
//! are made one at a time, and each keeps a reachable majority.
//!
//! The leader calls [`next_step`] with its knowledge of the group. Each membership change is committed by a
//! majority of the voters before it and of those after it, so a wrong decision here costs time but never a
//! committed entry. A change must not leave the group without a reachable majority.

use crate::store::StoreId;
use crate::view::VoterRules;
use std::cmp::Reverse;

/// Time without a response after which a member is unreachable, in milliseconds. Membership changes do not
/// count on unreachable members.
pub const UNREACHABLE_AFTER_MS: u64 = 1500;
/// Time without a response after which a voter is declared dead, in milliseconds, unless the voter rules set
/// another.
pub const DEFAULT_DEAD_AFTER_MS: u64 = 30_000;
/// Time without a response after which a learner is removed, in milliseconds.
const LEARNER_TIMEOUT_MS: u64 = {
    let tenth = DEFAULT_DEAD_AFTER_MS / 10;
    if tenth > UNREACHABLE_AFTER_MS { tenth } else { UNREACHABLE_AFTER_MS }
};
/// Maximum number of log entries that a learner may lack when it becomes a voter.
const MAX_LEARNER_LAG: u64 = 64;

/// A voter or learner of the Raft group, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// Its store.
    pub store: StoreId,
    /// Its head's name.
    pub head: String,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// Whether it is a voter; otherwise it is a learner, which only receives the log.
    pub votes: bool,
    /// Time since its last response, in milliseconds; 0 for the leader itself.
    pub ms_since_response: u64,
    /// Number of log entries that it lacks; `None` if unknown.
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
    /// Add this head as a learner, which does not vote yet.
    AddLearner(VoterCandidate),
    /// Remove the first store from the voters and make the second, a learner, a voter.
    Replace(StoreId, StoreId),
    /// Make this learner a voter.
    Promote(StoreId),
    /// Remove this store from the group.
    Remove(StoreId),
}

/// Why a voter must be removed, the most urgent reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RemovalReason {
    /// Its head has started with a new store, so the disk with this one was lost.
    Wiped,
    /// It has not responded for the time after which a voter is declared dead.
    Dead,
    /// Operators have declared its store dead.
    DeclaredDead,
    /// Operators have barred its head from voting.
    Barred,
}

/// Size of a majority of `voters` voters.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether the group may need a membership change, so that collecting candidates is worthwhile.
pub fn may_need_repair(rules: &VoterRules, members: &[GroupMember]) -> bool {
    let voters = members.iter().filter(|member| member.votes).count();
    let needs_attention = |member: &GroupMember| {
        !member.votes || !is_reachable(member) || removal_reason(member, rules, members, &[]).is_some()
    };
    voters != target_size(rules, voters) || members.iter().any(needs_attention)
}

/// The next membership change; `None` if none is needed or none is possible now.
pub fn next_step(
    rules: &VoterRules,
    members: &[GroupMember],
    candidates: &[VoterCandidate],
    leader: StoreId,
) -> Option<RepairStep> {
    let group = VoterGroup::new(rules, members, candidates, leader);
    // Without a reachable majority a change cannot be committed, and would block the next one.
    if group.reachable < majority(group.voters.len()) {
        return None;
    }
    if let Some(learner) = members.iter().find(|member| !member.votes) {
        return group.step_with_learner(learner);
    }
    if group.voters.len() > group.target {
        return group.remove_surplus_voter();
    }
    if group.to_remove.is_empty() && group.voters.len() >= group.target {
        return None;
    }
    group.best_candidate().map(|candidate| RepairStep::AddLearner(candidate.clone()))
}

fn is_reachable(member: &GroupMember) -> bool {
    member.ms_since_response < UNREACHABLE_AFTER_MS
}

/// Number of voters wanted: as the rules set it, or else the current number.
fn target_size(rules: &VoterRules, voters: usize) -> usize {
    if rules.voters == 0 { voters } else { usize::from(rules.voters) }
}

/// Why a voter must be removed; `None` if it stays.
fn removal_reason(
    member: &GroupMember,
    rules: &VoterRules,
    members: &[GroupMember],
    candidates: &[VoterCandidate],
) -> Option<RemovalReason> {
    let dead_after_ms = if rules.dead_after_ms == 0 { DEFAULT_DEAD_AFTER_MS } else { rules.dead_after_ms };
    let is_same_head = |head: &str, store: StoreId| head == member.head && store != member.store;
    let has_another_store = candidates.iter().any(|other| is_same_head(&other.head, other.store))
        || members.iter().any(|other| !other.votes && is_same_head(&other.head, other.store));
    if !is_reachable(member) && has_another_store {
        Some(RemovalReason::Wiped)
    } else if member.ms_since_response >= dead_after_ms {
        Some(RemovalReason::Dead)
    } else if rules.declared_dead.contains(&member.store) {
        Some(RemovalReason::DeclaredDead)
    } else if rules.barred_heads.contains(&member.head) {
        Some(RemovalReason::Barred)
    } else {
        None
    }
}

/// The group as the leader knows it at one decision.
struct VoterGroup<'a> {
    rules: &'a VoterRules,
    members: &'a [GroupMember],
    candidates: &'a [VoterCandidate],
    leader: StoreId,
    voters: Vec<&'a GroupMember>,
    /// Number of reachable voters.
    reachable: usize,
    /// Number of voters wanted.
    target: usize,
    /// Voters that must be removed, the most urgent reason first, and the leader last for each reason.
    to_remove: Vec<&'a GroupMember>,
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
            let reason = removal_reason(voter, rules, members, candidates)?;
            Some((reason, *voter))
        });
        let mut to_remove: Vec<(RemovalReason, &GroupMember)> = reasons.collect();
        // The leader comes last, as its removal costs an election.
        to_remove.sort_by_key(|(reason, voter)| (*reason, voter.store == leader, voter.store));
        let to_remove = to_remove.into_iter().map(|(_, voter)| voter).collect();
        let target = target_size(rules, voters.len());
        VoterGroup { rules, members, candidates, leader, voters, reachable, target, to_remove }
    }

    /// The next change while there is a learner: it is promoted once it has caught up, and removed if it is
    /// not needed or may not vote.
    fn step_with_learner(&self, learner: &GroupMember) -> Option<RepairStep> {
        // A dead learner is removed, as it would keep another candidate from being added.
        let has_timed_out = learner.ms_since_response >= LEARNER_TIMEOUT_MS;
        if has_timed_out || !self.may_vote(&learner.head, learner.store) {
            return Some(RepairStep::Remove(learner.store));
        }
        let is_caught_up = learner.lag.is_some_and(|lag| lag <= MAX_LEARNER_LAG);
        if !is_reachable(learner) || !is_caught_up {
            return None;
        }
        if let Some(outgoing) = self.to_remove.first() {
            // The learner is reachable, so the number of reachable voters does not decrease.
            return Some(RepairStep::Replace(outgoing.store, learner.store));
        }
        Some(if self.voters.len() < self.target {
            RepairStep::Promote(learner.store)
        } else {
            RepairStep::Remove(learner.store)
        })
    }

    /// Removes one surplus voter: one that must be removed anyway, or else one of the zone with the most
    /// voters.
    fn remove_surplus_voter(&self) -> Option<RepairStep> {
        let voters_in_zone_of =
            |member: &GroupMember| self.voters.iter().filter(|other| other.zone == member.zone).count();
        let by_zone =
            self.voters.iter().copied().min_by_key(|voter| {
                (voter.store == self.leader, Reverse(voters_in_zone_of(voter)), voter.store)
            });
        let outgoing = self.to_remove.first().copied().or(by_zone)?;
        let still_reachable = self.reachable - usize::from(is_reachable(outgoing));
        let keeps_majority = still_reachable >= majority(self.voters.len() - 1);
        keeps_majority.then_some(RepairStep::Remove(outgoing.store))
    }

    /// The best candidate to add: from the zone with the fewest remaining voters, and among those preferably
    /// the head whose old store is replaced.
    fn best_candidate(&self) -> Option<&VoterCandidate> {
        let outgoing = self.to_remove.first();
        let remains = |voter: &&&GroupMember| outgoing.is_none_or(|out| out.store != voter.store);
        let voters_in_zone_of = |candidate: &VoterCandidate| {
            self.voters.iter().filter(remains).filter(|voter| voter.zone == candidate.zone).count()
        };
        let is_another_head =
            |candidate: &VoterCandidate| outgoing.is_none_or(|out| out.head != candidate.head);
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
