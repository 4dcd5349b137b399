//! Log storage for the consensus library: the latest entries are read from memory, earlier ones from the
//! [disk](crate::disk), to which all writes go.
//!
//! Only the consensus library appends and removes entries, and it determines the order of these operations.

use crate::disk::{Disk, OpenedStore, ReadError, StoreError, StoredLog, WriteError, key};
use crate::types::{Entry, LogId, RaftTypes, StorageError, Vote};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    AnyError, EntryPayload, ErrorSubject, ErrorVerb, LogState, OptionalSend, RaftLogReader, StorageIOError,
};
use sedgerun_replication::heap_size::allocation_bytes;
use sedgerun_replication::record::RecordType;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{Debug, Display};
use std::ops::{Bound, Range, RangeBounds};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes of entries that one request to another voter contains at most, unless its first entry is larger.
const MAX_REPLICATED_BYTES: usize = 1 << 20;

/// The Raft log. Its latest entries are kept in memory, too, within a limit in bytes.
#[derive(Clone)]
pub struct RaftLog {
    disk: Disk,
    contents: Arc<Mutex<LogContents>>,
}

struct LogContents {
    cache: EntryCache,
    /// The last entry, or the last entry that a snapshot replaced; `None` for an empty log.
    last: Option<LogId>,
    /// The last entry that a snapshot replaced.
    purged: Option<LogId>,
    vote: Option<Vote>,
    /// Votes that the disk has not synced yet.
    unsynced_votes: usize,
    committed: Option<LogId>,
    uncommitted: UncommittedEntries,
}

/// The sizes of the entries that are not known to be committed.
#[derive(Default)]
struct UncommittedEntries {
    /// Index and size in bytes of each entry, in order.
    sizes: VecDeque<(u64, usize)>,
    bytes: usize,
}

impl UncommittedEntries {
    fn push(&mut self, index: u64, bytes: usize) {
        self.sizes.push_back((index, bytes));
        self.bytes += bytes;
    }

    /// Removes the entries from an index on.
    fn truncate(&mut self, from: u64) {
        while let Some((_, bytes)) = self.sizes.back().filter(|(index, _)| *index >= from) {
            self.bytes -= bytes;
            self.sizes.pop_back();
        }
    }

    /// Removes the entries up to an index.
    fn commit(&mut self, up_to: u64) {
        while let Some((_, bytes)) = self.sizes.front().filter(|(index, _)| *index <= up_to) {
            self.bytes -= bytes;
            self.sizes.pop_front();
        }
    }
}

/// The latest entries of the log, without a gap.
struct EntryCache {
    entries: BTreeMap<u64, Entry>,
    /// Estimate of the memory that the entries take up, in bytes.
    bytes: usize,
    max_bytes: usize,
}

impl EntryCache {
    fn new(max_bytes: usize) -> EntryCache {
        EntryCache { entries: BTreeMap::new(), bytes: 0, max_bytes }
    }

    /// Reads the latest entries of a stored log, up to the limit.
    fn read(log: &StoredLog, max_bytes: usize) -> Result<EntryCache, StoreError> {
        let mut cache = EntryCache::new(max_bytes);
        for stored in log.entries(..)?.rev() {
            let (entry, _) = stored?;
            if cache.bytes + entry_bytes(&entry) > max_bytes {
                break;
            }
            cache.insert(entry);
        }
        Ok(cache)
    }

    /// Index of the first entry in memory; all later entries are in memory too.
    fn first(&self) -> u64 {
        self.entries.first_key_value().map_or(u64::MAX, |(index, _)| *index)
    }

    fn insert(&mut self, entry: Entry) {
        self.bytes += entry_bytes(&entry);
        if let Some(replaced) = self.entries.insert(entry.log_id.index, entry) {
            self.bytes -= entry_bytes(&replaced);
        }
    }

    /// Drops the oldest entries until the rest is within the limit.
    fn evict(&mut self) {
        while self.bytes > self.max_bytes
            && let Some((_, evicted)) = self.entries.pop_first()
        {
            self.bytes -= entry_bytes(&evicted);
        }
    }

    /// Drops the entries from an index on.
    fn truncate(&mut self, from: u64) {
        let removed = self.entries.split_off(&from);
        self.bytes -= removed.values().map(entry_bytes).sum::<usize>();
    }

    /// Drops the entries up to an index.
    fn purge(&mut self, up_to: u64) {
        let remaining = self.entries.split_off(&(up_to + 1));
        let removed = std::mem::replace(&mut self.entries, remaining);
        self.bytes -= removed.values().map(entry_bytes).sum::<usize>();
    }

    /// The first entries in a range, up to `max_bytes` bytes and at least one.
    fn first_entries(&self, range: Range<u64>, max_bytes: usize) -> Vec<Entry> {
        let (mut first, mut bytes) = (Vec::new(), 0);
        if range.is_empty() {
            return first;
        }
        for entry in self.entries.range(range).map(|(_, entry)| entry) {
            bytes += entry_bytes(entry);
            if bytes > max_bytes && !first.is_empty() {
                break;
            }
            first.push(entry.clone());
        }
        first
    }
}

/// Estimate of the memory that an entry takes up, in bytes.
fn entry_bytes(entry: &Entry) -> usize {
    let changes = match &entry.payload {
        EntryPayload::Normal(changes) => allocation_bytes(changes.encoded_len()),
        EntryPayload::Membership(_) | EntryPayload::Blank => 0,
    };
    // A node of a map that was filled in ascending order is half full.
    2 * size_of::<(u64, Entry)>() + changes
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

/// The sizes of a store's entries that it does not know to be committed.
fn read_uncommitted(opened: &OpenedStore) -> Result<UncommittedEntries, StoreError> {
    let first = opened.committed.map_or(0, |committed| committed.index + 1);
    let mut uncommitted = UncommittedEntries::default();
    for stored in opened.log.entries(first..)? {
        let (entry, _) = stored?;
        uncommitted.push(entry.log_id.index, entry_bytes(&entry));
    }
    Ok(uncommitted)
}

impl RaftLog {
    /// Creates the log with the contents of the disk at the start; it keeps up to `max_cached_bytes` bytes of
    /// the latest entries in memory.
    ///
    /// # Errors
    /// The stored entries cannot be read.
    pub fn new(
        disk: Disk,
        opened: &OpenedStore,
        vote: Option<Vote>,
        max_cached_bytes: usize,
    ) -> Result<RaftLog, StoreError> {
        let contents = LogContents {
            cache: EntryCache::read(&opened.log, max_cached_bytes)?,
            last: opened.last.or(opened.purged),
            purged: opened.purged,
            vote,
            unsynced_votes: 0,
            committed: opened.committed,
            uncommitted: read_uncommitted(opened)?,
        };
        Ok(RaftLog { disk, contents: Arc::new(Mutex::new(contents)) })
    }

    /// Whether a vote of this voter is not synced yet.
    pub fn has_unsynced_vote(&self) -> bool {
        self.lock().unsynced_votes > 0
    }

    /// Position of the last entry, or of the last entry that a snapshot replaced; `None` for an empty log.
    pub fn last(&self) -> Option<LogId> {
        self.lock().last
    }

    /// Number of entries in memory, and an estimate of the memory that they take up, in bytes.
    pub fn memory(&self) -> (usize, usize) {
        let contents = self.lock();
        (contents.cache.entries.len(), contents.cache.bytes)
    }

    /// Size of the entries that are not known to be committed, in bytes.
    pub fn uncommitted_bytes(&self) -> usize {
        self.lock().uncommitted.bytes
    }

    /// Reads all entries after an index, or all entries.
    ///
    /// # Errors
    /// The entries cannot be read.
    pub async fn entries_after(&self, index: Option<u64>) -> Result<Vec<Entry>, ReadError> {
        self.read(index.map_or(0, |index| index + 1)..u64::MAX, usize::MAX).await
    }

    /// Reads the first entries in a range, up to `max_bytes` bytes and at least one, if there is one.
    async fn read(&self, range: Range<u64>, max_bytes: usize) -> Result<Vec<Entry>, ReadError> {
        let (stored, cached) = {
            let contents = self.lock();
            let first_cached = contents.cache.first();
            let first = contents.purged.map_or(0, |purged| purged.index + 1).max(range.start);
            let end = contents.last.map_or(0, |last| last.index + 1).min(range.end);
            let stored = first..end.min(first_cached);
            (stored, contents.cache.first_entries(first.max(first_cached)..end.max(first_cached), max_bytes))
        };
        if stored.is_empty() {
            return Ok(cached);
        }
        let length = stored.end - stored.start;
        let mut entries = self.disk.read_log(stored, max_bytes).await?;
        if max_bytes == usize::MAX && entries.len() as u64 == length {
            entries.extend(cached);
        }
        Ok(entries)
    }

    fn lock(&self) -> MutexGuard<'_, LogContents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The half-open range of indexes with these bounds.
fn half_open(bounds: &impl RangeBounds<u64>) -> Range<u64> {
    let start = match bounds.start_bound() {
        Bound::Included(start) => *start,
        Bound::Excluded(before) => before.saturating_add(1),
        Bound::Unbounded => 0,
    };
    let end = match bounds.end_bound() {
        Bound::Included(last) => last.saturating_add(1),
        Bound::Excluded(end) => *end,
        Bound::Unbounded => u64::MAX,
    };
    start..end
}

impl RaftLogReader<RaftTypes> for RaftLog {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, StorageError> {
        let entries = self.read(half_open(&range), usize::MAX).await;
        entries.map_err(|error| storage_error(ErrorVerb::Read, error))
    }

    async fn limited_get_log_entries(&mut self, start: u64, end: u64) -> Result<Vec<Entry>, StorageError> {
        let entries = self.read(start..end, MAX_REPLICATED_BYTES).await;
        entries.map_err(|error| storage_error(ErrorVerb::Read, error))
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
            self.lock().uncommitted.commit(committed.index);
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
        {
            let mut contents = self.lock();
            contents.last = entries.last().map(|entry| entry.log_id).or(contents.last);
            for entry in &entries {
                contents.uncommitted.push(entry.log_id.index, entry_bytes(entry));
                contents.cache.insert(entry.clone());
            }
        }
        self.disk.append(&entries, callback).await.map_err(write_error)?;
        // Only now, as the disk reads an entry after the jobs that were queued before.
        self.lock().cache.evict();
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        {
            let mut contents = self.lock();
            contents.cache.truncate(log_id.index);
            contents.uncommitted.truncate(log_id.index);
        }
        self.disk.truncate(log_id.index).await.map_err(delete_error)?;
        let last = self.read(log_id.index.saturating_sub(1)..log_id.index, usize::MAX).await;
        let last = last.map_err(|error| storage_error(ErrorVerb::Read, error))?;
        let mut contents = self.lock();
        contents.last = last.last().map(|entry| entry.log_id).or(contents.purged);
        Ok(())
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        {
            let mut contents = self.lock();
            contents.cache.purge(log_id.index);
            contents.uncommitted.commit(log_id.index);
            contents.purged = Some(log_id);
            contents.last = contents.last.max(Some(log_id));
        }
        self.disk.purge(log_id).await.map_err(delete_error)
    }
}
