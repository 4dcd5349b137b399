//! Who keeps: when a keeper is lost, and who takes its place. One change at a time, and none by which a majority
//! is lost.
//!
//! The leader asks [`next`] with what it knows. A change of keepers is itself settled by the keepers before and
//! after it, so a wrong guess here costs time, never a promise; what it must not do is leave the fleet with a
//! majority that is not there.

use crate::greeting::StoreId;
use crate::view::Rules;

/// Silence after which a keeper counts as away: no change relies on it.
pub const AWAY: u64 = 1500;
/// Silence after which a keeper is lost where the rules do not say, in milliseconds.
pub const LOST_AFTER: u64 = 30_000;
/// A newcomer that lacks no more entries than this is let vote.
const CLOSE: u64 = 64;

/// A member of the fleet's keepers as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// Its store.
    pub store: StoreId,
    /// Its head's name.
    pub head: String,
    /// Its zone, where there is one.
    pub zone: Option<String>,
    /// It votes; else it is only brought up to date.
    pub votes: bool,
    /// How long it has been silent, in milliseconds; 0 for the leader itself.
    pub silent: u64,
    /// Entries that it lacks; `None` where that is not known.
    pub lacks: Option<u64>,
}

/// A head that follows and could keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spare {
    /// Its store.
    pub store: StoreId,
    /// Its name.
    pub head: String,
    /// Where it is called.
    pub address: String,
    /// Its zone, where there is one.
    pub zone: Option<String>,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Bring this head up to date; it does not vote yet.
    Bring(Spare),
    /// From now on the second votes and the first is out.
    Swap(StoreId, StoreId),
    /// From now on this one votes, too.
    Add(StoreId),
    /// This one is out.
    Remove(StoreId),
}

fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// Why a voter is not to stay, the worst first; `None` for one that stays.
fn reason(keeper: &Keeper, rules: &Rules, keepers: &[Keeper], spares: &[Spare]) -> Option<u8> {
    let lost_after = if rules.lost_after == 0 { LOST_AFTER } else { rules.lost_after };
    // Its head is there with another store: the disk it had is gone, however short the silence.
    let named = |head: &str, store: StoreId| head == keeper.head && store != keeper.store;
    let another = spares.iter().any(|spare| named(&spare.head, spare.store))
        || keepers.iter().any(|other| !other.votes && named(&other.head, other.store));
    let wiped = keeper.silent >= AWAY && another;
    match keeper {
        _ if wiped => Some(0),
        keeper if keeper.silent >= lost_after => Some(1),
        keeper if rules.given_up.contains(&keeper.store) => Some(2),
        keeper if rules.unwanted.contains(&keeper.head) => Some(3),
        _ => None,
    }
}

/// Whether there may be something to do, so that it is worth asking who could keep.
pub fn needs(rules: &Rules, keepers: &[Keeper]) -> bool {
    let voters = keepers.iter().filter(|keeper| keeper.votes).count();
    let wanted = if rules.keepers == 0 { voters } else { usize::from(rules.keepers) };
    let off = |keeper: &Keeper| {
        !keeper.votes || keeper.silent >= AWAY || reason(keeper, rules, keepers, &[]).is_some()
    };
    voters != wanted || keepers.iter().any(off)
}

/// The one thing to do next; `None` where all is well, or nothing can be done.
pub fn next(rules: &Rules, keepers: &[Keeper], spares: &[Spare], leader: StoreId) -> Option<Step> {
    let voters: Vec<&Keeper> = keepers.iter().filter(|keeper| keeper.votes).collect();
    let there = |keeper: &&&Keeper| keeper.silent < AWAY;
    let alive = voters.iter().filter(there).count();
    // Guards against a change that nobody can settle: it would stand in the way of the next.
    if alive < majority(voters.len()) {
        return None;
    }
    let wanted = if rules.keepers == 0 { voters.len() } else { usize::from(rules.keepers) };
    let mut leaving: Vec<(u8, &Keeper)> =
        voters.iter().filter_map(|voter| Some((reason(voter, rules, keepers, spares)?, *voter))).collect();
    // The leader last: its going costs an election.
    leaving.sort_by_key(|(reason, voter)| (*reason, voter.store == leader, voter.store));
    let fits = |spare: &&Spare| {
        !rules.unwanted.contains(&spare.head)
            && !rules.given_up.contains(&spare.store)
            && keepers.iter().all(|keeper| keeper.store != spare.store)
    };
    if let Some(newcomer) = keepers.iter().find(|keeper| !keeper.votes) {
        // Guards against a newcomer that is lost itself: it would keep the place of the next.
        let lost = newcomer.silent >= AWAY.max(LOST_AFTER / 10);
        if lost || rules.unwanted.contains(&newcomer.head) || rules.given_up.contains(&newcomer.store) {
            return Some(Step::Remove(newcomer.store));
        }
        let ready = newcomer.silent < AWAY && newcomer.lacks.is_some_and(|lacks| lacks <= CLOSE);
        if !ready {
            return None;
        }
        if let Some((_, out)) = leaving.first() {
            // The newcomer is there, so that no fewer are than before.
            return Some(Step::Swap(out.store, newcomer.store));
        }
        return Some(if voters.len() < wanted {
            Step::Add(newcomer.store)
        } else {
            Step::Remove(newcomer.store)
        });
    }
    if voters.len() > wanted {
        let mut crowd: Vec<&Keeper> = voters.clone();
        let crowded = |keeper: &Keeper| voters.iter().filter(|other| other.zone == keeper.zone).count();
        crowd
            .sort_by_key(|keeper| (keeper.store == leader, std::cmp::Reverse(crowded(keeper)), keeper.store));
        let out = leaving.first().map(|(_, voter)| *voter).or(crowd.first().copied())?;
        let left = alive - usize::from(out.silent < AWAY);
        return (left >= majority(voters.len() - 1)).then_some(Step::Remove(out.store));
    }
    if leaving.is_empty() && voters.len() >= wanted {
        return None;
    }
    // The zone with the fewest of those that stay; then the head that had the place before.
    let stay = |keeper: &&&Keeper| leaving.first().is_none_or(|(_, out)| out.store != keeper.store);
    let in_zone = |spare: &Spare| voters.iter().filter(stay).filter(|voter| voter.zone == spare.zone).count();
    let before = |spare: &Spare| leaving.first().is_none_or(|(_, out)| out.head != spare.head);
    let best = spares.iter().filter(fits).min_by_key(|spare| (in_zone(spare), before(spare), spare.store));
    best.map(|spare| Step::Bring(spare.clone()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    fn keeper(store: StoreId, silent: u64) -> Keeper {
        let zone = Some(format!("z{}", store % 3));
        Keeper { store, head: format!("h{store}"), zone, votes: true, silent, lacks: Some(0) }
    }

    fn spare(store: StoreId, head: &str, zone: u64) -> Spare {
        Spare { store, head: head.into(), address: String::new(), zone: Some(format!("z{zone}")) }
    }

    #[test]
    fn a_lost_keeper_is_replaced_in_a_zone_that_fits_and_a_late_one_is_not() {
        let rules = Rules::default();
        let spares = [spare(10, "h10", 0), spare(11, "h11", 1), spare(12, "h12", 2)];
        let mut keepers = vec![keeper(1, 0), keeper(2, 0), keeper(3, LOST_AFTER - 1)];
        assert_eq!(next(&rules, &keepers, &spares, 1), None, "it may come back");
        keepers[2].silent = LOST_AFTER;
        assert_eq!(
            next(&rules, &keepers, &spares, 1),
            Some(Step::Bring(spares[0].clone())),
            "zone 0 has none left"
        );
        keepers.push(Keeper { votes: false, lacks: Some(500), ..keeper(10, 0) });
        assert_eq!(next(&rules, &keepers, &spares, 1), None, "it is not up to date");
        keepers[3].lacks = Some(3);
        assert_eq!(next(&rules, &keepers, &spares, 1), Some(Step::Swap(3, 10)));
        keepers[3].silent = LOST_AFTER;
        assert_eq!(next(&rules, &keepers, &spares, 1), Some(Step::Remove(10)), "the newcomer is lost itself");
        keepers[3].silent = 0;
        keepers[2].silent = 0;
        assert_eq!(next(&rules, &keepers, &spares, 1), Some(Step::Remove(10)), "the lost one came back");
    }

    #[test]
    fn a_wiped_machine_takes_its_own_place_at_once() {
        let keepers = [keeper(1, 0), keeper(2, 0), keeper(3, AWAY)];
        let spares = [spare(11, "h11", 0), spare(12, "h3", 0)];
        assert_eq!(next(&Rules::default(), &keepers, &spares, 1), Some(Step::Bring(spares[1].clone())));
        assert_eq!(next(&Rules::default(), &keepers, &spares[..1], 1), None, "silent, and no more than that");
        let newcomer = Keeper { head: "h3".into(), votes: false, ..keeper(12, 0) };
        let keepers = [&keepers[..], &[newcomer]].concat();
        assert_eq!(next(&Rules::default(), &keepers, &spares[..1], 1), Some(Step::Swap(3, 12)));
    }

    #[test]
    fn operators_words_are_followed_and_the_leader_goes_last() {
        let keepers = [keeper(1, 0), keeper(2, 0), keeper(3, 0)];
        let spares = [spare(10, "h10", 0)];
        let unwanted = BTreeSet::from(["h1".to_owned(), "h2".to_owned()]);
        let rules = Rules { unwanted, ..Rules::default() };
        assert_eq!(next(&rules, &keepers, &spares, 1), Some(Step::Bring(spares[0].clone())));
        let mut more = keepers.to_vec();
        more.push(Keeper { votes: false, ..keeper(10, 0) });
        assert_eq!(next(&rules, &more, &spares, 1), Some(Step::Swap(2, 10)));
        let none = Rules { unwanted: BTreeSet::from(["h10".to_owned()]), ..rules };
        assert_eq!(next(&none, &keepers, &spares, 1), None, "nobody may take the place");
        let more = Rules { keepers: 5, ..Rules::default() };
        assert_eq!(next(&more, &keepers, &spares, 1), Some(Step::Bring(spares[0].clone())));
        let fewer = Rules { keepers: 1, ..Rules::default() };
        assert!(matches!(next(&fewer, &keepers, &spares, 1), Some(Step::Remove(2 | 3))));
    }

    proptest! {
        /// Whatever the leader sees: a majority of those that keep after a step is there.
        #[test]
        fn no_step_leaves_a_majority_that_is_not_there(
            silent in prop::collection::vec(prop_oneof![Just(0u64), Just(AWAY), Just(LOST_AFTER)], 2..8),
            newcomer in prop::option::of((any::<bool>(), 0u64..200)),
            spared in 0u64..3, wanted in 0u8..8, bad in 0u64..8, up in any::<bool>(),
        ) {
            let mut keepers: Vec<Keeper> = (1..).zip(&silent).map(|(s, silent)| keeper(s, *silent)).collect();
            keepers[0].silent = 0;
            if let Some((there, lacks)) = newcomer {
                let silent = if there { 0 } else { AWAY };
                keepers.push(Keeper { votes: false, lacks: Some(lacks), ..keeper(50, silent) });
            }
            let spares: Vec<Spare> = (0..spared).map(|i| spare(60 + i, &format!("h{}", 2 + i), i)).collect();
            let rules = Rules {
                keepers: if up { wanted } else { 0 },
                unwanted: BTreeSet::from([format!("h{bad}")]),
                ..Rules::default()
            };
            let mut after: Vec<Keeper> = keepers.clone();
            match next(&rules, &keepers, &spares, 1) {
                Some(Step::Swap(out, into)) => {
                    after.retain(|keeper| keeper.store != out);
                    after.iter_mut().filter(|keeper| keeper.store == into).for_each(|keeper| keeper.votes = true);
                }
                Some(Step::Add(into)) => {
                    after.iter_mut().filter(|keeper| keeper.store == into).for_each(|keeper| keeper.votes = true);
                }
                Some(Step::Remove(out)) => after.retain(|keeper| keeper.store != out),
                Some(Step::Bring(_)) | None => return Ok(()),
            }
            let voters: Vec<&Keeper> = after.iter().filter(|keeper| keeper.votes).collect();
            let alive = voters.iter().filter(|voter| voter.silent < AWAY).count();
            prop_assert!(alive >= majority(voters.len()), "{:?}", after);
        }
    }
}
