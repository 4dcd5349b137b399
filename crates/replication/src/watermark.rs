//! Detection of disks that were rolled back, by what heads remember of each other's stores.
//!
//! A store that was restored from an older copy of its disk keeps its number, but may have forgotten a vote or entries
//! that it acknowledged. If it counted, a majority could consist of voters that lack what was committed. So each head
//! remembers what each store has acknowledged to it, and in which incarnation; a store that recovers with less is
//! rejected from then on. A store that has just started asks the others before it votes or acknowledges anything.
//!
//! [`Watermarks`] belongs to one head, which saves it; nothing here decides what happens to a rolled-back store.

use crate::store::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a store is, by its own statement or by what it has acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watermark {
    /// The term of its vote.
    pub vote_term: u64,
    /// Its last entry: term and index. Compared in this order, as a new leader may shorten a log.
    pub last_entry: (u64, u64),
}

impl Watermark {
    /// Whether a store at this watermark may have forgotten something of the other.
    fn is_behind(self, other: Watermark) -> bool {
        self.vote_term < other.vote_term || self.last_entry < other.last_entry
    }

    /// The highest of both, field by field.
    fn max(self, other: Watermark) -> Watermark {
        Watermark {
            vote_term: self.vote_term.max(other.vote_term),
            last_entry: self.last_entry.max(other.last_entry),
        }
    }
}

/// An incarnation of a store: from one start of its process to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Counted up and synced at each start.
    pub count: u64,
    /// Drawn at each start. A copy of the disk that is started as well has the same count, and another nonce.
    pub nonce: u64,
}

/// What a head remembers of all other stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watermarks {
    stores: BTreeMap<StoreId, (Incarnation, Watermark)>,
}

impl Watermarks {
    /// A store has acknowledged this much in this incarnation. Returns whether that is new.
    pub fn observe(&mut self, store: StoreId, incarnation: Incarnation, watermark: Watermark) -> bool {
        let initial = (incarnation, Watermark::default());
        let (known_incarnation, known_watermark) = self.stores.entry(store).or_insert(initial);
        let latest =
            if incarnation.count > known_incarnation.count { incarnation } else { *known_incarnation };
        let next = (latest, known_watermark.max(watermark));
        let has_changed = next != (*known_incarnation, *known_watermark);
        (*known_incarnation, *known_watermark) = next;
        has_changed
    }

    /// Whether a store that began this incarnation at this watermark is an older copy of the store that is remembered.
    pub fn is_rolled_back(&self, store: StoreId, incarnation: Incarnation, initial: Watermark) -> bool {
        match self.stores.get(&store) {
            Some((known, _)) if incarnation.count < known.count => true,
            Some((known, _)) if incarnation.count == known.count => incarnation.nonce != known.nonce,
            // A later incarnation must recover with all that the earlier ones acknowledged.
            Some((_, acknowledged)) => initial.is_behind(*acknowledged),
            None => false,
        }
    }
}
