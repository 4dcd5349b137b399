//! Repair of the voter group: replacement of voters, the operators' rules, and that a majority stays
//! reachable.

use proptest::prelude::*;
use sedgerun_replication::repair::{
    DEFAULT_DEAD_AFTER_MS, GroupMember, RepairStep, UNREACHABLE_AFTER_MS, VoterCandidate, majority, next_step,
};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::view::VoterRules;
use std::collections::BTreeSet;

fn member(store: StoreId, ms_since_response: u64) -> GroupMember {
    let zone = Some(format!("z{}", store % 3));
    GroupMember { store, head: format!("h{store}"), zone, votes: true, ms_since_response, lag: Some(0) }
}

fn candidate(store: StoreId, head: &str, zone: u64) -> VoterCandidate {
    VoterCandidate { store, head: head.into(), address: String::new(), zone: Some(format!("z{zone}")) }
}

#[test]
fn a_dead_voter_is_replaced_from_the_best_zone_and_an_unreachable_one_is_not() {
    let rules = VoterRules::default();
    let candidates = [candidate(10, "h10", 0), candidate(11, "h11", 1), candidate(12, "h12", 2)];
    let mut members = vec![member(1, 0), member(2, 0), member(3, DEFAULT_DEAD_AFTER_MS - 1)];
    assert_eq!(next_step(&rules, &members, &candidates, 1), None, "an unreachable voter may come back");
    members[2].ms_since_response = DEFAULT_DEAD_AFTER_MS;
    assert_eq!(
        next_step(&rules, &members, &candidates, 1),
        Some(RepairStep::AddLearner(candidates[0].clone())),
        "zone 0 has no other voter"
    );
    members.push(GroupMember { votes: false, lag: Some(500), ..member(10, 0) });
    assert_eq!(next_step(&rules, &members, &candidates, 1), None, "the learner has not caught up");
    members[3].lag = Some(3);
    assert_eq!(next_step(&rules, &members, &candidates, 1), Some(RepairStep::Replace(3, 10)));
    members[3].ms_since_response = DEFAULT_DEAD_AFTER_MS;
    assert_eq!(
        next_step(&rules, &members, &candidates, 1),
        Some(RepairStep::Remove(10)),
        "the learner is dead itself"
    );
    members[3].ms_since_response = 0;
    members[2].ms_since_response = 0;
    assert_eq!(
        next_step(&rules, &members, &candidates, 1),
        Some(RepairStep::Remove(10)),
        "the voter responds again"
    );
}

#[test]
fn a_head_with_a_wiped_disk_replaces_its_old_store_at_once() {
    let members = [member(1, 0), member(2, 0), member(3, UNREACHABLE_AFTER_MS)];
    let candidates = [candidate(11, "h11", 0), candidate(12, "h3", 0)];
    assert_eq!(
        next_step(&VoterRules::default(), &members, &candidates, 1),
        Some(RepairStep::AddLearner(candidates[1].clone()))
    );
    assert_eq!(
        next_step(&VoterRules::default(), &members, &candidates[..1], 1),
        None,
        "unreachable, but not yet dead"
    );
    let learner = GroupMember { head: "h3".into(), votes: false, ..member(12, 0) };
    let members = [&members[..], &[learner]].concat();
    assert_eq!(
        next_step(&VoterRules::default(), &members, &candidates[..1], 1),
        Some(RepairStep::Replace(3, 12))
    );
}

#[test]
fn the_operators_rules_are_followed_and_the_leader_is_replaced_last() {
    let members = [member(1, 0), member(2, 0), member(3, 0)];
    let candidates = [candidate(10, "h10", 0)];
    let barred_heads = BTreeSet::from(["h1".to_owned(), "h2".to_owned()]);
    let rules = VoterRules { barred_heads, ..VoterRules::default() };
    assert_eq!(
        next_step(&rules, &members, &candidates, 1),
        Some(RepairStep::AddLearner(candidates[0].clone()))
    );
    let mut with_learner = members.to_vec();
    with_learner.push(GroupMember { votes: false, ..member(10, 0) });
    assert_eq!(next_step(&rules, &with_learner, &candidates, 1), Some(RepairStep::Replace(2, 10)));
    let no_candidate = VoterRules { barred_heads: BTreeSet::from(["h10".to_owned()]), ..rules };
    assert_eq!(next_step(&no_candidate, &members, &candidates, 1), None, "the only candidate is barred");
    let five_voters = VoterRules { voters: 5, ..VoterRules::default() };
    assert_eq!(
        next_step(&five_voters, &members, &candidates, 1),
        Some(RepairStep::AddLearner(candidates[0].clone()))
    );
    let one_voter = VoterRules { voters: 1, ..VoterRules::default() };
    assert!(matches!(next_step(&one_voter, &members, &candidates, 1), Some(RepairStep::Remove(2 | 3))));
}

proptest! {
    /// For any group that the leader may see, a majority of the voters is reachable after the step.
    #[test]
    fn every_step_leaves_a_reachable_majority(
        ms_since_response in prop::collection::vec(prop_oneof![Just(0u64), Just(UNREACHABLE_AFTER_MS), Just(DEFAULT_DEAD_AFTER_MS)], 2..8),
        learner in prop::option::of((any::<bool>(), 0u64..200)),
        candidate_count in 0u64..3, wanted_voters in 0u8..8, barred_head in 0u64..8, sets_voters in any::<bool>(),
    ) {
        let mut members: Vec<GroupMember> = (1..).zip(&ms_since_response).map(|(s, ms_since_response)| member(s, *ms_since_response)).collect();
        members[0].ms_since_response = 0;
        if let Some((is_reachable, lag)) = learner {
            let ms_since_response = if is_reachable { 0 } else { UNREACHABLE_AFTER_MS };
            members.push(GroupMember { votes: false, lag: Some(lag), ..member(50, ms_since_response) });
        }
        let candidates: Vec<VoterCandidate> = (0..candidate_count).map(|i| candidate(60 + i, &format!("h{}", 2 + i), i)).collect();
        let rules = VoterRules {
            voters: if sets_voters { wanted_voters } else { 0 },
            barred_heads: BTreeSet::from([format!("h{barred_head}")]),
            ..VoterRules::default()
        };
        let mut after: Vec<GroupMember> = members.clone();
        match next_step(&rules, &members, &candidates, 1) {
            Some(RepairStep::Replace(out, into)) => {
                after.retain(|member| member.store != out);
                after.iter_mut().filter(|member| member.store == into).for_each(|member| member.votes = true);
            }
            Some(RepairStep::Promote(into)) => {
                after.iter_mut().filter(|member| member.store == into).for_each(|member| member.votes = true);
            }
            Some(RepairStep::Remove(out)) => after.retain(|member| member.store != out),
            Some(RepairStep::AddLearner(_)) | None => return Ok(()),
        }
        let voters: Vec<&GroupMember> = after.iter().filter(|member| member.votes).collect();
        let reachable = voters.iter().filter(|voter| voter.ms_since_response < UNREACHABLE_AFTER_MS).count();
        prop_assert!(reachable >= majority(voters.len()), "{:?}", after);
    }
}
