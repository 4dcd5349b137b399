//! Log storage for the consensus library: reads come from memory, writes go to the writer of the
//! [disk](crate::disk).
//!
//! Only the consensus library appends and removes entries, and it determines the order of these operations.

use crate::disk::{Disk, WriteError, key};
use crate::types::{Entry, LogId, RaftTypes, StorageError, Vote};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    AnyError, EntryPayload, ErrorSubject, ErrorVerb, LogState, OptionalSend, RaftLogReader, StorageIOError,
};
use sedgerun_replication::heap_size::HeapSize;
use sedgerun_replication::record::RecordType;
use std::collections::BTreeMap;
use std::fmt::{Debug, Display};
use std::ops::RangeBounds;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The Raft log. Its entries are kept in memory, too; snapshots limit their number.
#[derive(Clone)]
pub struct RaftLog {
    disk: Disk,
    contents: Arc<Mutex<LogContents>>,
}

#[derive(Default)]
struct LogContents {
    entries: BTreeMap<u64, Entry>,
    /// The last entry that a snapshot replaced.
    purged: Option<LogId>,
    vote: Option<Vote>,
    /// Votes that the disk has not synced yet.
    unsynced_votes: usize,
    committed: Option<LogId>,
}

/// Converts a disk error for the consensus library. Only its text is passed on, which contains its sources.
pub fn storage_error(verb: ErrorVerb, error: impl Display) -> StorageError {
    StorageIOError::new(ErrorSubject::Store, verb, AnyError::error(error)).into()
}

fn write_error(error: WriteError) -> StorageError {
    storage_error(ErrorVerb::Write, error)
}

fn delete_error(error: WriteError) -> StorageError {
    storage_error(ErrorVerb::Delete, error)
}

/// Estimate of the memory that an entry takes up, in bytes.
fn entry_bytes(entry: &Entry) -> usize {
    let changes = match &entry.payload {
        EntryPayload::Normal(changes) => changes.heap_bytes(),
        EntryPayload::Membership(_) | EntryPayload::Blank => 0,
    };
    size_of::<Entry>() + changes
}

impl RaftLog {
    /// Creates the log with the contents of the disk at the start.
    pub fn new(
        disk: Disk,
        entries: BTreeMap<u64, Entry>,
        purged: Option<LogId>,
        vote: Option<Vote>,
        committed: Option<LogId>,
    ) -> RaftLog {
        let contents = LogContents { entries, purged, vote, unsynced_votes: 0, committed };
        RaftLog { disk, contents: Arc::new(Mutex::new(contents)) }
    }

    /// Whether a vote of this voter is not synced yet.
    pub fn has_unsynced_vote(&self) -> bool {
        self.lock().unsynced_votes > 0
    }

    /// Position of the last entry, or of the last entry that a snapshot replaced; `None` for an empty log.
    pub fn last(&self) -> Option<LogId> {
        let contents = self.lock();
        contents.entries.values().next_back().map(|entry| entry.log_id).or(contents.purged)
    }

    /// Number of entries in memory, and an estimate of the memory that they take up, in bytes.
    pub fn memory(&self) -> (usize, usize) {
        let contents = self.lock();
        (contents.entries.len(), contents.entries.values().map(entry_bytes).sum())
    }

    fn lock(&self) -> MutexGuard<'_, LogContents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RaftLogReader<RaftTypes> for RaftLog {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, StorageError> {
        Ok(self.lock().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<RaftTypes> for RaftLog {
    type LogReader = RaftLog;

    async fn get_log_state(&mut self) -> Result<LogState<RaftTypes>, StorageError> {
        let last_log_id = self.last();
        Ok(LogState { last_purged_log_id: self.lock().purged, last_log_id })
    }

    async fn get_log_reader(&mut self) -> RaftLog {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        {
            let mut contents = self.lock();
            contents.vote = Some(*vote);
            contents.unsynced_votes += 1;
        }
        let saved = self.disk.put(RecordType::Vote, key::VOTE, vote).await;
        self.lock().unsynced_votes -= 1;
        saved.map_err(write_error)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, StorageError> {
        Ok(self.lock().vote)
    }

    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        self.lock().committed = committed;
        if let Some(committed) = committed {
            self.disk.put_without_sync(RecordType::Position, key::COMMITTED, &committed).await;
        }
        Ok(())
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        Ok(self.lock().committed)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<RaftTypes>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<Entry> = entries.into_iter().collect();
        self.lock().entries.extend(entries.iter().map(|entry| (entry.log_id.index, entry.clone())));
        self.disk.append(&entries, callback).await.map_err(write_error)
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.lock().entries.split_off(&log_id.index);
        self.disk.truncate(log_id.index).await.map_err(delete_error)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        {
            let mut contents = self.lock();
            let remaining = contents.entries.split_off(&(log_id.index + 1));
            contents.entries = remaining;
            contents.purged = Some(log_id);
        }
        self.disk.purge(log_id).await.map_err(delete_error)
    }
}
