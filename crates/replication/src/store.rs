//! Identity of a store: the folder in which one head keeps its log, its vote and its last snapshot.

/// Number of a store. It is drawn at random when the folder is first used, and never again: a wiped disk gets another
/// number, so it cannot be mistaken for the store that was there before.
pub type StoreId = u64;
