//! Heads that do not keep follow those that do: from whom a head hears the state, and who hangs on it.
//!
//! A follower asks one other head, its teller, for what it lacks, and waits there for the next change. A head has
//! so many followers and no more, and sends others on to its own, so that no keeper's work grows with the fleet.
//! Each answer says over which heads it came, by which a follower never follows itself, and how old it may be, by
//! which one that hangs on a head that has lost its own teller looks for another.

use crate::election::Millis;
use crate::greeting::StoreId;
use crate::view::{Behind, Gathering, Piece, View};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// News older than this sends a follower to another teller.
pub const STALE: Millis = 5000;
/// Heads that hang on one.
pub const MOST_FOLLOWERS: usize = 16;
/// A follower that has not asked for so long is gone.
pub const GONE: Millis = 5000;
/// Heads between a keeper and the last follower.
const MOST_DEPTH: usize = 12;
/// Tellers that a follower knows.
const MOST_TELLERS: usize = 64;
/// Heads told of that hang on one head.
const MOST_BELOW: usize = 512;
/// Between tries after failures: doubled from the first to the second, and half of it by chance.
const BACKOFF: (Millis, Millis) = (50, 2000);

/// A head that may be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Teller {
    /// Its name.
    pub head: String,
    /// Where it is called.
    pub address: String,
}

/// A head that follows, as told by it or by its teller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hanging {
    /// Its name and address.
    pub at: Teller,
    /// Its store.
    pub store: StoreId,
    /// Its zone, where there is one.
    pub zone: Option<String>,
    /// The version that it holds.
    pub version: u64,
    /// Its life.
    pub life: u64,
}

/// Who keeps, as settled at a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keepers {
    /// The position.
    pub at: u64,
    /// The stores with their heads.
    pub all: BTreeMap<StoreId, Teller>,
}

impl Keepers {
    /// Whether a store that knows of keepers as of its own position is one no more.
    pub fn is_out(&self, own: StoreId, at: u64) -> bool {
        // Guards against old news: a store that was let in since is not in it either.
        self.at > at && !self.all.contains_key(&own)
    }
}

/// An answer to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    /// What it lacks, or nothing where nothing has changed for as long as it wanted to wait.
    Piece {
        /// What it lacks.
        piece: Piece,
        /// The heads over which it came, a keeper first.
        lineage: Vec<String>,
        /// How long ago, in milliseconds, the keeper that it came from was sure that nothing was newer.
        age: Millis,
        /// The leader, as far as known.
        leader: Option<Teller>,
        /// Who keeps, as far as the teller knows.
        keepers: Keepers,
    },
    /// Others hang on it already; these may have room.
    Full(Vec<Teller>),
}

/// What a follower does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing before this time.
    Wait(Millis),
    /// Ask this head for what it lacks: `since` and `begun` of [`View::piece`].
    Ask(Teller, u64, u64),
}

/// Where a follower stands.
#[derive(Debug)]
pub struct Follower {
    own: String,
    rng: ChaCha8Rng,
    /// Those of the settings, which are never forgotten.
    seeds: Vec<Teller>,
    /// Those yet to be tried in this round.
    round: Vec<Teller>,
    teller: Option<Teller>,
    gathering: Gathering,
    due: Millis,
    failures: u32,
    lineage: Vec<String>,
    /// When what is held was last known to be the newest.
    fresh: Option<Millis>,
    /// The leader, as last told.
    pub leader: Option<Teller>,
    /// The keepers, as last told.
    pub keepers: Keepers,
}

impl Follower {
    /// A follower that knows these heads from its settings.
    pub fn new(own: &str, seeds: Vec<Teller>, seed: u64) -> Follower {
        Follower {
            own: own.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seeds: seeds.into_iter().filter(|teller| teller.head != own).collect(),
            round: Vec::new(),
            teller: None,
            gathering: Gathering::default(),
            due: 0,
            failures: 0,
            lineage: Vec::new(),
            fresh: None,
            leader: None,
            keepers: Keepers::default(),
        }
    }

    fn below(&mut self, most: usize) -> usize {
        if most == 0 { 0 } else { self.rng.next_u32() as usize % most }
    }

    /// What to do now.
    pub fn next(&mut self, now: Millis, view: &View) -> Next {
        if now < self.due {
            return Next::Wait(self.due);
        }
        if self.teller.is_none() {
            if self.round.is_empty() {
                self.round = self.seeds.clone();
                let strange = |keeper: &&Teller| {
                    keeper.head != self.own && self.seeds.iter().all(|seed| seed.head != keeper.head)
                };
                self.round.extend(self.keepers.all.values().filter(strange).cloned());
            }
            if self.round.is_empty() {
                return Next::Wait(now + BACKOFF.1);
            }
            // By chance, so that a fleet that starts together does not call one keeper together.
            let turn = self.below(self.round.len());
            self.teller = Some(self.round.swap_remove(turn));
        }
        let (since, begun) = self.gathering.ask(view);
        self.teller.clone().map_or(Next::Wait(now), |teller| Next::Ask(teller, since, begun))
    }

    /// The teller did not answer, or cannot be followed.
    pub fn failed(&mut self, now: Millis) {
        self.teller = None;
        let wait = (BACKOFF.0 << self.failures.min(6)).min(BACKOFF.1);
        self.failures += 1;
        self.due = now + wait / 2 + self.below(wait as usize / 2 + 1) as Millis;
    }

    /// The teller answered; whether the view has moved. An error says why it is left.
    pub fn told(&mut self, now: Millis, view: &mut View, told: Told) -> Result<bool, &'static str> {
        let taken = self.take(now, view, told);
        if taken.is_err() {
            self.failed(now);
        }
        taken
    }

    fn take(&mut self, now: Millis, view: &mut View, told: Told) -> Result<bool, &'static str> {
        let (piece, lineage, age, leader, keepers) = match told {
            Told::Full(others) => {
                for other in others {
                    let known =
                        other.head == self.own || self.round.iter().any(|known| known.head == other.head);
                    if !known && self.round.len() < MOST_TELLERS {
                        self.round.push(other);
                    }
                }
                return Err("others hang on it already");
            }
            Told::Piece { piece, lineage, age, leader, keepers } => (piece, lineage, age, leader, keepers),
        };
        // Guards against heads that follow each other in a ring, and tell each other what they knew.
        if lineage.contains(&self.own) {
            return Err("it follows this head");
        }
        if lineage.len() >= MOST_DEPTH {
            return Err("too many heads are between it and a keeper");
        }
        if age > STALE && self.age(now).is_none_or(|own| own <= age) && view.version >= piece.version {
            return Err("what it tells is old");
        }
        let moved = self.gathering.take(view, piece).map_err(|Behind| "it is behind this head")?;
        self.fresh = self.fresh.max(now.checked_sub(age));
        (self.lineage, self.leader) = (lineage, leader);
        // Keepers of an older position would send this head to those that are gone.
        if keepers.at >= self.keepers.at {
            self.keepers = keepers;
        }
        if age > STALE {
            return Err("what it tells is old");
        }
        (self.failures, self.round) = (0, Vec::new());
        Ok(moved)
    }

    /// Over which heads the state came here, this one last.
    pub fn lineage(&self) -> Vec<String> {
        self.lineage.iter().chain([&self.own]).cloned().collect()
    }

    /// How old what is held may be; `None` before anything was told.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.fresh.map(|fresh| now.saturating_sub(fresh))
    }
}

/// What becomes of a follower that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// It is told.
    Welcome,
    /// Enough hang on this head; it is sent on.
    Full,
    /// Another store hangs on this head under the same name.
    Twice,
}

/// The heads that hang on this one.
#[derive(Debug, Default)]
pub struct Followers {
    by_store: BTreeMap<StoreId, (Millis, Hanging, Vec<Hanging>)>,
}

impl Followers {
    /// A follower asks. What hangs on it in turn is told at times.
    pub fn ask(&mut self, now: Millis, follower: Hanging, below: Option<Vec<Hanging>>) -> Asked {
        self.by_store.retain(|_, (seen, ..)| now < *seen + GONE);
        if !self.by_store.contains_key(&follower.store) {
            if self.by_store.len() >= MOST_FOLLOWERS {
                return Asked::Full;
            }
            if self.by_store.values().any(|(_, known, _)| known.at.head == follower.at.head) {
                return Asked::Twice;
            }
        }
        let known = self.by_store.remove(&follower.store);
        let below = below.or(known.map(|(_, _, below)| below)).unwrap_or_default();
        self.by_store.insert(follower.store, (now, follower, below));
        Asked::Welcome
    }

    /// Those that hang on this head itself, and may have room.
    pub fn tellers(&self) -> Vec<Teller> {
        self.by_store.values().map(|(_, follower, _)| follower.at.clone()).collect()
    }

    /// All that hang on this head, by themselves and over others.
    pub fn all(&self, now: Millis) -> Vec<Hanging> {
        let there = self.by_store.values().filter(|(seen, ..)| now < *seen + GONE);
        let all = there.flat_map(|(_, follower, below)| [follower].into_iter().chain(below));
        all.take(MOST_BELOW).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::{Item, Name, Thing};

    fn teller(head: &str) -> Teller {
        Teller { head: head.into(), address: format!("{head}:1") }
    }

    fn news(view: &View, since: u64, lineage: &[&str], age: Millis) -> Told {
        let lineage = lineage.iter().map(|head| (*head).to_owned()).collect();
        Told::Piece {
            piece: view.piece(since, 0, 1 << 20),
            lineage,
            age,
            leader: None,
            keepers: Keepers::default(),
        }
    }

    fn banned(version: u64) -> View {
        let mut view = View::default();
        view.put(Item { version, name: Name::Brick("b".into()), thing: Some(Thing::Ban) });
        view
    }

    #[test]
    fn a_ring_an_old_teller_and_one_that_is_behind_are_left() {
        let mut follower = Follower::new("f1", vec![teller("k1"), teller("f1")], 1);
        let mut view = View::default();
        assert_eq!(follower.next(1000, &view), Next::Ask(teller("k1"), 0, 0));
        assert_eq!(follower.told(1000, &mut view, news(&banned(3), 0, &["k1"], 10)), Ok(true));
        assert_eq!((view.version, follower.age(1050)), (3, Some(60)));
        assert_eq!(follower.lineage(), ["k1", "f1"]);
        assert!(follower.told(1060, &mut view, news(&banned(9), 0, &["k1", "f1", "f2"], 10)).is_err());
        assert!(matches!(follower.next(1060, &view), Next::Wait(_)), "it tries again at once");
        assert!(follower.told(1070, &mut view, news(&banned(2), 0, &["k2"], 10)).is_err());
        assert!(follower.told(1080, &mut view, news(&View::default(), 0, &["f7"], STALE + 1)).is_err());
        assert_eq!(view.version, 3);
        // News is news, however old: it is taken, and another teller looked for.
        assert!(follower.told(1090, &mut view, news(&banned(4), 3, &["f7"], STALE + 1)).is_err());
        assert_eq!((view.version, follower.age(1090)), (4, Some(100)));
    }

    #[test]
    fn a_full_teller_sends_on_to_its_followers() {
        let mut followers = Followers::default();
        let hanging =
            |i: u64| Hanging { at: teller(&format!("f{i}")), store: i, zone: None, version: 0, life: 1 };
        for i in 0..MOST_FOLLOWERS as u64 {
            assert_eq!(followers.ask(0, hanging(i), None), Asked::Welcome);
        }
        assert_eq!(followers.ask(1, hanging(3), Some(vec![hanging(100)])), Asked::Welcome, "it asks again");
        assert_eq!(followers.ask(1, hanging(99), None), Asked::Full);
        assert_eq!(followers.all(1).len(), MOST_FOLLOWERS + 1);
        let mut follower = Follower::new("f99", vec![teller("k1")], 1);
        let mut view = View::default();
        assert!(follower.told(1, &mut view, Told::Full(followers.tellers())).is_err());
        let Next::Wait(due) = follower.next(1, &view) else { panic!("at once") };
        assert!(matches!(follower.next(due, &view), Next::Ask(at, 0, 0) if at.head.starts_with('f')));
        assert_eq!(followers.ask(GONE + 1, hanging(99), None), Asked::Welcome, "the others are gone");
        let twin = Hanging { store: 98, ..hanging(99) };
        assert_eq!(followers.ask(GONE + 2, twin.clone(), None), Asked::Twice);
        assert_eq!(followers.all(GONE + 2).len(), 1);
        assert_eq!(followers.ask(2 * GONE + 2, twin, None), Asked::Welcome, "the first is gone");
    }
}
