//! Identity of a store: the directory in which one head keeps its log, its vote and its last snapshot.

/// Random number that identifies a store. It is generated once, when the directory is created, so a wiped
/// disk gets another number and cannot be mistaken for the store that it replaces.
pub type StoreId = u64;
