//! What a head remembers of the stores of others, by which an older copy of a disk is known.
//!
//! A store that was put back to an earlier copy has its right number, and may have forgotten a vote or entries
//! that it has acknowledged. Were it counted, a majority could be made of keepers that hold nothing of what was
//! promised. So each head notes what each store has acknowledged to it, and in which life, and a store that wakes
//! with less is spoken to no more. A store that has just woken asks the others before it votes or acknowledges.

use crate::greeting::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a store is, as it says itself or as it has acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// The term of its vote.
    pub vote: u64,
    /// Its last entry: term and index. Compared in this order, as a new leader may shorten a log.
    pub last: (u64, u64),
}

impl Mark {
    /// Whether a store at this mark may have forgotten something of the other.
    fn lacks(self, other: Mark) -> bool {
        self.vote < other.vote || self.last < other.last
    }

    fn most(self, other: Mark) -> Mark {
        Mark { vote: self.vote.max(other.vote), last: self.last.max(other.last) }
    }
}

/// A life of a store: from one start of its process to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Counted up and synced at each start.
    pub count: u64,
    /// Drawn at each start: a copy of the disk that is started again counts the same life, and draws another.
    pub birth: u64,
}

/// What is remembered of all stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    stores: BTreeMap<StoreId, (Life, Mark)>,
}

impl Memory {
    /// A store has acknowledged this much in this life; whether that is news.
    pub fn note(&mut self, store: StoreId, life: Life, mark: Mark) -> bool {
        let (known, held) = self.stores.entry(store).or_insert((life, Mark::default()));
        let latest = if life.count > known.count { life } else { *known };
        let next = (latest, held.most(mark));
        let news = next != (*known, *held);
        (*known, *held) = next;
        news
    }

    /// Whether a store that began this life at this mark is an older copy of the one that was known.
    pub fn is_older(&self, store: StoreId, life: Life, woke: Mark) -> bool {
        match self.stores.get(&store) {
            Some((known, _)) if life.count < known.count => true,
            Some((known, _)) if life.count == known.count => life.birth != known.birth,
            // In a later life it has to wake with all that it acknowledged in the earlier ones.
            Some((_, held)) => woke.lacks(*held),
            None => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_that_wakes_with_less_than_it_acknowledged_is_an_older_copy() {
        let mark = |vote, term, index| Mark { vote, last: (term, index) };
        let life = |count| Life { count, birth: 100 + count };
        let mut memory = Memory::default();
        assert!(!memory.is_older(1, life(1), Mark::default()), "nothing is known of it");
        assert!(memory.note(1, life(2), mark(3, 3, 10)) && !memory.note(1, life(2), mark(3, 3, 9)));
        assert!(!memory.is_older(1, life(3), mark(3, 3, 10)), "it wakes with all");
        assert!(memory.is_older(1, life(3), mark(3, 3, 9)), "an entry is gone");
        assert!(memory.is_older(1, life(3), mark(2, 3, 10)), "a vote is gone");
        assert!(memory.is_older(1, life(1), mark(3, 3, 10)), "an earlier life");
        assert!(!memory.is_older(1, life(3), mark(4, 4, 8)), "a later leader has shortened its log");
        assert!(!memory.is_older(1, life(2), mark(1, 1, 1)), "the same life has gone on since it woke");
        let twin = Life { count: 2, birth: 7 };
        assert!(memory.is_older(1, twin, mark(3, 3, 10)), "a copy that counts the same life");
        assert!(!memory.is_older(2, life(1), Mark::default()), "another store");
    }
}
