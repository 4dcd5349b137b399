//! The tables of a store's database.

use redb::TableDefinition;

/// Records by key ([`key`](super::key)).
pub(super) const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
/// Log entries by index.
pub(super) const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
