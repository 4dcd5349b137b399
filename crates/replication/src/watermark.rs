//! Detection of rolled-back stores: each head remembers what every other store has acknowledged to it.
//!
//! A store that is restored from an older copy of its disk keeps its number, but may lack a vote or log
//! entries that it acknowledged before. If its vote counted, a majority could elect a leader that lacks
//! committed entries. Each head therefore remembers the highest vote term and log entry that each store has
//! acknowledged, and in which incarnation; a store that recovers with less is rejected from then on. A store
//! that has just started checks with the other voters before it votes or acknowledges anything.
//!
//! [`Watermarks`] belongs to one head, which saves it to its disk. The caller decides what happens to a
//! rolled-back store.

use crate::store::StoreId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The progress of a store: as the store itself reports it, or as far as it has acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watermark {
    /// The term of its last vote.
    pub vote_term: u64,
    /// Term and index of its last log entry. The term is compared first, as a new leader may truncate the
    /// log.
    pub last_entry: (u64, u64),
}

impl Watermark {
    /// Whether a store at this watermark lacks a vote or entries up to the other.
    fn is_behind(self, other: Watermark) -> bool {
        self.vote_term < other.vote_term || self.last_entry < other.last_entry
    }

    /// The maximum of each field.
    fn max(self, other: Watermark) -> Watermark {
        Watermark {
            vote_term: self.vote_term.max(other.vote_term),
            last_entry: self.last_entry.max(other.last_entry),
        }
    }
}

/// An incarnation of a store: the time from one start of its process to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Number of starts; incremented and synced to disk at each start.
    pub count: u64,
    /// Random number of this start. It tells apart two copies of one disk that were both started: their
    /// counts are equal.
    pub nonce: u64,
}

/// The watermarks of all other stores, as remembered by one head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watermarks {
    stores: BTreeMap<StoreId, (Incarnation, Watermark)>,
}

impl Watermarks {
    /// Records what a store has acknowledged in an incarnation. Returns whether anything has changed, so that
    /// the watermarks must be saved.
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

    /// Whether a store that started this incarnation at the `initial` watermark was rolled back to an older
    /// copy of its disk.
    pub fn is_rolled_back(&self, store: StoreId, incarnation: Incarnation, initial: Watermark) -> bool {
        match self.stores.get(&store) {
            Some((known, _)) if incarnation.count < known.count => true,
            Some((known, _)) if incarnation.count == known.count => incarnation.nonce != known.nonce,
            // A later incarnation must start with everything that the earlier ones acknowledged.
            Some((_, acknowledged)) => initial.is_behind(*acknowledged),
            None => false,
        }
    }
}
