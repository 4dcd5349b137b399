//! Repair of the voter group: when a voter is dead, and who replaces it. One change at a time, and none by which a
//! majority is lost.
//!
//! The leader asks [`next_step`] with what it knows. A change of voters is itself settled by the voters before and
//! after it, so a wrong guess here costs time, never a promise; what it must not do is leave the fleet with a
//! majority that is not there.

use crate::store::StoreId;
use crate::view::Rules;

/// Silence after which a voter counts as unreachable, in milliseconds: no change relies on it.
pub const UNREACHABLE_AFTER_MS: u64 = 1500;
/// Silence after which a voter is declared dead where the rules do not say, in milliseconds.
pub const DEFAULT_DEAD_AFTER_MS: u64 = 30_000;
/// A learner that lacks no more entries than this is promoted to a voter.
const MAX_LEARNER_LAG: u64 = 64;

/// A voter or learner of the consensus group as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// Its store.
    pub store: StoreId,
    /// Its head's name.
    pub head: String,
    /// Its zone, where there is one.
    pub zone: Option<String>,
    /// It votes; otherwise it is a learner, which is only brought up to date.
    pub votes: bool,
    /// How long it has been silent, in milliseconds; 0 for the leader itself.
    pub silent_ms: u64,
    /// Entries that it lacks; `None` where that is not known.
    pub lag: Option<u64>,
}

/// A follower that could become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its store.
    pub store: StoreId,
    /// Its name.
    pub head: String,
    /// Where it is called.
    pub address: String,
    /// Its zone, where there is one.
    pub zone: Option<String>,
}

/// One membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Add this head as a learner; it does not vote yet.
    AddLearner(Candidate),
    /// Replace the first store by the second as a voter.
    Replace(StoreId, StoreId),
    /// Make this learner a voter.
    Promote(StoreId),
    /// Remove this one from the group.
    Remove(StoreId),
}

fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// Why a voter has to leave, as a rank, the worst first; `None` for one that stays.
fn departure_rank(
    member: &GroupMember,
    rules: &Rules,
    members: &[GroupMember],
    candidates: &[Candidate],
) -> Option<u8> {
    let dead_after_ms = if rules.dead_after_ms == 0 { DEFAULT_DEAD_AFTER_MS } else { rules.dead_after_ms };
    // Its head is there with another store: the disk it had is gone, however short the silence.
    let named = |head: &str, store: StoreId| head == member.head && store != member.store;
    let another = candidates.iter().any(|candidate| named(&candidate.head, candidate.store))
        || members.iter().any(|other| !other.votes && named(&other.head, other.store));
    let wiped = member.silent_ms >= UNREACHABLE_AFTER_MS && another;
    match member {
        _ if wiped => Some(0),
        member if member.silent_ms >= dead_after_ms => Some(1),
        member if rules.declared_dead.contains(&member.store) => Some(2),
        member if rules.barred_heads.contains(&member.head) => Some(3),
        _ => None,
    }
}

/// Whether there may be something to do, so that it is worth asking for candidates.
pub fn may_need_repair(rules: &Rules, members: &[GroupMember]) -> bool {
    let voters = members.iter().filter(|member| member.votes).count();
    let wanted = if rules.voters == 0 { voters } else { usize::from(rules.voters) };
    let off = |member: &GroupMember| {
        !member.votes
            || member.silent_ms >= UNREACHABLE_AFTER_MS
            || departure_rank(member, rules, members, &[]).is_some()
    };
    voters != wanted || members.iter().any(off)
}

/// The one thing to do next; `None` where all is well, or nothing can be done.
pub fn next_step(
    rules: &Rules,
    members: &[GroupMember],
    candidates: &[Candidate],
    leader: StoreId,
) -> Option<Step> {
    let voters: Vec<&GroupMember> = members.iter().filter(|member| member.votes).collect();
    let is_reachable = |member: &&&GroupMember| member.silent_ms < UNREACHABLE_AFTER_MS;
    let reachable = voters.iter().filter(is_reachable).count();
    // Guards against a change that nobody can settle: it would stand in the way of the next.
    if reachable < majority(voters.len()) {
        return None;
    }
    let wanted = if rules.voters == 0 { voters.len() } else { usize::from(rules.voters) };
    let mut leaving: Vec<(u8, &GroupMember)> = voters
        .iter()
        .filter_map(|voter| Some((departure_rank(voter, rules, members, candidates)?, *voter)))
        .collect();
    // The leader last: its going costs an election.
    leaving.sort_by_key(|(rank, voter)| (*rank, voter.store == leader, voter.store));
    let fits = |candidate: &&Candidate| {
        !rules.barred_heads.contains(&candidate.head)
            && !rules.declared_dead.contains(&candidate.store)
            && members.iter().all(|member| member.store != candidate.store)
    };
    if let Some(newcomer) = members.iter().find(|member| !member.votes) {
        // Guards against a newcomer that is dead itself: it would block the next.
        let lost = newcomer.silent_ms >= UNREACHABLE_AFTER_MS.max(DEFAULT_DEAD_AFTER_MS / 10);
        if lost
            || rules.barred_heads.contains(&newcomer.head)
            || rules.declared_dead.contains(&newcomer.store)
        {
            return Some(Step::Remove(newcomer.store));
        }
        let ready = newcomer.silent_ms < UNREACHABLE_AFTER_MS
            && newcomer.lag.is_some_and(|lag| lag <= MAX_LEARNER_LAG);
        if !ready {
            return None;
        }
        if let Some((_, out)) = leaving.first() {
            // The newcomer is there, so that no fewer are than before.
            return Some(Step::Replace(out.store, newcomer.store));
        }
        return Some(if voters.len() < wanted {
            Step::Promote(newcomer.store)
        } else {
            Step::Remove(newcomer.store)
        });
    }
    if voters.len() > wanted {
        let mut crowd: Vec<&GroupMember> = voters.clone();
        let crowded = |member: &GroupMember| voters.iter().filter(|other| other.zone == member.zone).count();
        crowd
            .sort_by_key(|member| (member.store == leader, std::cmp::Reverse(crowded(member)), member.store));
        let out = leaving.first().map(|(_, voter)| *voter).or(crowd.first().copied())?;
        let left = reachable - usize::from(out.silent_ms < UNREACHABLE_AFTER_MS);
        return (left >= majority(voters.len() - 1)).then_some(Step::Remove(out.store));
    }
    if leaving.is_empty() && voters.len() >= wanted {
        return None;
    }
    // The zone with the fewest of those that stay; then the head that had the place before.
    let stay = |member: &&&GroupMember| leaving.first().is_none_or(|(_, out)| out.store != member.store);
    let in_zone = |candidate: &Candidate| {
        voters.iter().filter(stay).filter(|voter| voter.zone == candidate.zone).count()
    };
    let before = |candidate: &Candidate| leaving.first().is_none_or(|(_, out)| out.head != candidate.head);
    let best = candidates
        .iter()
        .filter(fits)
        .min_by_key(|candidate| (in_zone(candidate), before(candidate), candidate.store));
    best.map(|candidate| Step::AddLearner(candidate.clone()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    fn member(store: StoreId, silent_ms: u64) -> GroupMember {
        let zone = Some(format!("z{}", store % 3));
        GroupMember { store, head: format!("h{store}"), zone, votes: true, silent_ms, lag: Some(0) }
    }

    fn candidate(store: StoreId, head: &str, zone: u64) -> Candidate {
        Candidate { store, head: head.into(), address: String::new(), zone: Some(format!("z{zone}")) }
    }

    #[test]
    fn a_lost_keeper_is_replaced_in_a_zone_that_fits_and_a_late_one_is_not() {
        let rules = Rules::default();
        let candidates = [candidate(10, "h10", 0), candidate(11, "h11", 1), candidate(12, "h12", 2)];
        let mut members = vec![member(1, 0), member(2, 0), member(3, DEFAULT_DEAD_AFTER_MS - 1)];
        assert_eq!(next_step(&rules, &members, &candidates, 1), None, "it may come back");
        members[2].silent_ms = DEFAULT_DEAD_AFTER_MS;
        assert_eq!(
            next_step(&rules, &members, &candidates, 1),
            Some(Step::AddLearner(candidates[0].clone())),
            "zone 0 has none left"
        );
        members.push(GroupMember { votes: false, lag: Some(500), ..member(10, 0) });
        assert_eq!(next_step(&rules, &members, &candidates, 1), None, "it is not up to date");
        members[3].lag = Some(3);
        assert_eq!(next_step(&rules, &members, &candidates, 1), Some(Step::Replace(3, 10)));
        members[3].silent_ms = DEFAULT_DEAD_AFTER_MS;
        assert_eq!(
            next_step(&rules, &members, &candidates, 1),
            Some(Step::Remove(10)),
            "the newcomer is lost itself"
        );
        members[3].silent_ms = 0;
        members[2].silent_ms = 0;
        assert_eq!(
            next_step(&rules, &members, &candidates, 1),
            Some(Step::Remove(10)),
            "the lost one came back"
        );
    }

    #[test]
    fn a_wiped_machine_takes_its_own_place_at_once() {
        let members = [member(1, 0), member(2, 0), member(3, UNREACHABLE_AFTER_MS)];
        let candidates = [candidate(11, "h11", 0), candidate(12, "h3", 0)];
        assert_eq!(
            next_step(&Rules::default(), &members, &candidates, 1),
            Some(Step::AddLearner(candidates[1].clone()))
        );
        assert_eq!(
            next_step(&Rules::default(), &members, &candidates[..1], 1),
            None,
            "silent, and no more than that"
        );
        let newcomer = GroupMember { head: "h3".into(), votes: false, ..member(12, 0) };
        let members = [&members[..], &[newcomer]].concat();
        assert_eq!(next_step(&Rules::default(), &members, &candidates[..1], 1), Some(Step::Replace(3, 12)));
    }

    #[test]
    fn operators_words_are_followed_and_the_leader_goes_last() {
        let members = [member(1, 0), member(2, 0), member(3, 0)];
        let candidates = [candidate(10, "h10", 0)];
        let barred_heads = BTreeSet::from(["h1".to_owned(), "h2".to_owned()]);
        let rules = Rules { barred_heads, ..Rules::default() };
        assert_eq!(
            next_step(&rules, &members, &candidates, 1),
            Some(Step::AddLearner(candidates[0].clone()))
        );
        let mut more = members.to_vec();
        more.push(GroupMember { votes: false, ..member(10, 0) });
        assert_eq!(next_step(&rules, &more, &candidates, 1), Some(Step::Replace(2, 10)));
        let none = Rules { barred_heads: BTreeSet::from(["h10".to_owned()]), ..rules };
        assert_eq!(next_step(&none, &members, &candidates, 1), None, "nobody may take the place");
        let more = Rules { voters: 5, ..Rules::default() };
        assert_eq!(next_step(&more, &members, &candidates, 1), Some(Step::AddLearner(candidates[0].clone())));
        let fewer = Rules { voters: 1, ..Rules::default() };
        assert!(matches!(next_step(&fewer, &members, &candidates, 1), Some(Step::Remove(2 | 3))));
    }

    proptest! {
        /// Whatever the leader sees: a majority of the voters after a step is reachable.
        #[test]
        fn no_step_leaves_a_majority_that_is_not_there(
            silent_ms in prop::collection::vec(prop_oneof![Just(0u64), Just(UNREACHABLE_AFTER_MS), Just(DEFAULT_DEAD_AFTER_MS)], 2..8),
            newcomer in prop::option::of((any::<bool>(), 0u64..200)),
            candidate_count in 0u64..3, wanted in 0u8..8, bad in 0u64..8, up in any::<bool>(),
        ) {
            let mut members: Vec<GroupMember> = (1..).zip(&silent_ms).map(|(s, silent_ms)| member(s, *silent_ms)).collect();
            members[0].silent_ms = 0;
            if let Some((is_reachable, lag)) = newcomer {
                let silent_ms = if is_reachable { 0 } else { UNREACHABLE_AFTER_MS };
                members.push(GroupMember { votes: false, lag: Some(lag), ..member(50, silent_ms) });
            }
            let candidates: Vec<Candidate> = (0..candidate_count).map(|i| candidate(60 + i, &format!("h{}", 2 + i), i)).collect();
            let rules = Rules {
                voters: if up { wanted } else { 0 },
                barred_heads: BTreeSet::from([format!("h{bad}")]),
                ..Rules::default()
            };
            let mut after: Vec<GroupMember> = members.clone();
            match next_step(&rules, &members, &candidates, 1) {
                Some(Step::Replace(out, into)) => {
                    after.retain(|member| member.store != out);
                    after.iter_mut().filter(|member| member.store == into).for_each(|member| member.votes = true);
                }
                Some(Step::Promote(into)) => {
                    after.iter_mut().filter(|member| member.store == into).for_each(|member| member.votes = true);
                }
                Some(Step::Remove(out)) => after.retain(|member| member.store != out),
                Some(Step::AddLearner(_)) | None => return Ok(()),
            }
            let voters: Vec<&GroupMember> = after.iter().filter(|member| member.votes).collect();
            let reachable = voters.iter().filter(|voter| voter.silent_ms < UNREACHABLE_AFTER_MS).count();
            prop_assert!(reachable >= majority(voters.len()), "{:?}", after);
        }
    }
}
