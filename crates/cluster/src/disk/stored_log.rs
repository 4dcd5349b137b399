//! The Raft log in a store, read entry by entry: a log may be larger than the memory for it.

use super::error::StoreError;
use super::tables::LOG;
use crate::types::{Entry, LogId};
use redb::{Database, ReadOnlyTable, ReadableDatabase};
use sedgerun_replication::record::{self, RecordType};
use std::ops::RangeBounds;

/// The Raft log of a store as it was at one time. Entries written later are not in it.
pub struct StoredLog {
    table: ReadOnlyTable<u64, &'static [u8]>,
}

impl StoredLog {
    /// The log of a database as it is now.
    pub(super) fn of(database: &Database) -> Result<StoredLog, StoreError> {
        let transaction = database.begin_read().map_err(redb::Error::from)?;
        Ok(StoredLog { table: transaction.open_table(LOG).map_err(redb::Error::from)? })
    }

    /// The entries in a range of indexes, each with the length of its record in bytes.
    ///
    /// # Errors
    /// The database cannot be read, or an entry is corrupt.
    pub fn entries(
        &self,
        range: impl RangeBounds<u64>,
    ) -> Result<impl DoubleEndedIterator<Item = Result<(Entry, usize), StoreError>>, StoreError> {
        let stored = self.table.range(range).map_err(redb::Error::from)?;
        Ok(stored.map(|found| {
            let (index, bytes) = found.map_err(redb::Error::from)?;
            let (index, bytes) = (index.value(), bytes.value());
            let entry = record::decode(RecordType::Entry, bytes)
                .map_err(|source| StoreError::CorruptEntry { index, source })?;
            Ok((entry, bytes.len()))
        }))
    }

    /// The first entries in a range, up to `max_bytes` bytes and at least one.
    ///
    /// # Errors
    /// As of [`entries`](StoredLog::entries).
    pub fn first_entries(
        &self,
        range: impl RangeBounds<u64>,
        max_bytes: usize,
    ) -> Result<Vec<Entry>, StoreError> {
        let (mut first, mut bytes) = (Vec::new(), 0);
        for found in self.entries(range)? {
            let (entry, entry_bytes) = found?;
            bytes += entry_bytes;
            if bytes > max_bytes && !first.is_empty() {
                break;
            }
            first.push(entry);
        }
        Ok(first)
    }

    /// Position of the last entry; `None` for an empty log.
    ///
    /// # Errors
    /// As of [`entries`](StoredLog::entries).
    pub fn last(&self) -> Result<Option<LogId>, StoreError> {
        let last = self.entries(..)?.next_back().transpose()?;
        Ok(last.map(|(entry, _)| entry.log_id))
    }

    /// Reads all entries, so that a corrupt one is found.
    ///
    /// # Errors
    /// As of [`entries`](StoredLog::entries).
    pub(super) fn check(&self) -> Result<(), StoreError> {
        self.entries(..)?.try_for_each(|found| found.map(drop))
    }
}
