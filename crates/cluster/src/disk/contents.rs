//! The contents of a store: reading them when the store is opened, and replacing them for a forced recovery.

use super::error::StoreError;
use super::key;
use super::stored_log::StoredLog;
use super::tables::{LOG, META};
use crate::environment::random;
use crate::types::{LogId, SnapshotMeta, Vote};
use redb::{Database, ReadOnlyTable, ReadableDatabase};
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::view::View;
use sedgerun_replication::watermark::{Watermark, Watermarks};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The identity of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The identifier of the store, a random number from its creation.
    pub store: StoreId,
    /// Number of starts.
    pub incarnation: u64,
    /// Origin of the cluster that the store belongs to; `None` before it belongs to one.
    pub origin: Option<u64>,
}

/// The metadata of a snapshot and its encoded state.
pub type EncodedSnapshot = (SnapshotMeta, Vec<u8>);

/// The contents of a store when it was opened.
pub struct OpenedStore {
    /// The identity of the store, in its new incarnation if one has begun.
    pub identity: Identity,
    /// The last vote.
    pub vote: Option<Vote>,
    /// The last entry known to be committed.
    pub committed: Option<LogId>,
    /// The last entry that a snapshot replaced.
    pub purged: Option<LogId>,
    /// The log.
    pub log: StoredLog,
    /// Position of the last entry of the log; `None` if it has none.
    pub last: Option<LogId>,
    /// The watermarks of other stores.
    pub watermarks: Watermarks,
    /// The last snapshot and its encoded state.
    pub snapshot: Option<EncodedSnapshot>,
    /// The view that the head received as a follower.
    pub followed: View,
}

impl OpenedStore {
    /// The watermark of the store when it was opened: the term of its vote and its last log position.
    pub fn watermark(&self) -> Watermark {
        let snapshot = self.snapshot.as_ref().and_then(|(meta, _)| meta.last_log_id);
        let last = self.last.max(self.purged).max(snapshot);
        let position = |at: LogId| (at.leader_id.term, at.index);
        Watermark {
            vote_term: self.vote.map_or(0, |vote| vote.leader_id().term),
            last_entry: last.map_or((0, 0), position),
        }
    }

    /// Reads all contents of a database. The identity is still that of the last incarnation.
    pub(super) fn read(database: &Database) -> Result<OpenedStore, StoreError> {
        create_tables(database)?;
        let records = Records::of(database)?;
        let log = StoredLog::of(database)?;
        log.check()?;
        let last = log.last()?;
        let identity = match records.read(RecordType::Identity, key::IDENTITY)? {
            Some(identity) => identity,
            None if last.is_some() => return Err(StoreError::MissingIdentity),
            None => Identity { store: random()?, incarnation: 0, origin: None },
        };
        Ok(OpenedStore {
            identity,
            snapshot: records.read_snapshot()?,
            vote: records.read(RecordType::Vote, key::VOTE)?,
            committed: records.read(RecordType::Position, key::COMMITTED)?,
            purged: records.read(RecordType::Position, key::PURGED)?,
            log,
            last,
            watermarks: records.read(RecordType::Watermarks, key::WATERMARKS)?.unwrap_or_default(),
            followed: records.read(RecordType::View, key::VIEW)?.unwrap_or_default(),
        })
    }
}

/// Creates the tables of a new database.
fn create_tables(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(META)?;
    transaction.open_table(LOG)?;
    transaction.commit()?;
    Ok(())
}

/// The records other than log entries.
struct Records {
    meta: ReadOnlyTable<&'static str, &'static [u8]>,
}

impl Records {
    fn of(database: &Database) -> Result<Records, StoreError> {
        let transaction = database.begin_read().map_err(redb::Error::from)?;
        Ok(Records { meta: transaction.open_table(META).map_err(redb::Error::from)? })
    }

    fn read<T: DeserializeOwned>(
        &self,
        record_type: RecordType,
        key: &'static str,
    ) -> Result<Option<T>, StoreError> {
        self.read_as(record_type, key, key)
    }

    /// Reads a record that is named `name` in errors, where its key would be misleading.
    fn read_as<T: DeserializeOwned>(
        &self,
        record_type: RecordType,
        key: &'static str,
        name: &'static str,
    ) -> Result<Option<T>, StoreError> {
        let Some(bytes) = self.meta.get(key).map_err(redb::Error::from)? else { return Ok(None) };
        let value = record::decode(record_type, bytes.value())
            .map_err(|source| StoreError::CorruptRecord { key: name, source })?;
        Ok(Some(value))
    }

    fn read_snapshot(&self) -> Result<Option<EncodedSnapshot>, StoreError> {
        let Some(meta) = self.read(RecordType::SnapshotMetadata, key::SNAPSHOT_META)? else {
            return Ok(None);
        };
        let state = self.read_as(RecordType::Snapshot, key::SNAPSHOT_STATE, "snapshot state")?;
        Ok(Some((meta, state.ok_or(StoreError::MissingSnapshotState)?)))
    }
}

/// Reads the last snapshot of a store.
///
/// # Errors
/// The database cannot be read, or a record is corrupt.
pub(super) fn read_snapshot(database: &Database) -> Result<Option<EncodedSnapshot>, StoreError> {
    Records::of(database)?.read_snapshot()
}

/// Replaces all contents of a store by these records, in one transaction.
///
/// # Errors
/// The database cannot be written; then its contents are unchanged.
pub fn replace_contents(database: &Database, records: &[(&str, Vec<u8>)]) -> Result<(), redb::Error> {
    let mut transaction = database.begin_write()?;
    transaction.set_quick_repair(true);
    {
        let (mut meta, mut log) = (transaction.open_table(META)?, transaction.open_table(LOG)?);
        meta.retain(|_, _| false)?;
        log.retain(|_, _| false)?;
        for (name, bytes) in records {
            meta.insert(*name, bytes.as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}
