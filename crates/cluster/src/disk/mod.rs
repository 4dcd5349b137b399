//! The store of a head, one redb file: the store's identity, its vote, the Raft log, the last snapshot, and
//! the view that the head received as a follower.
//!
//! One writer thread owns the file, so that no other thread blocks on the disk. It writes all queued jobs in
//! one transaction, which needs one sync, and then reads what queued jobs request. A transaction that fails is repeated
//! for some seconds. All records have a checksum ([`record`]) and are read when the store is opened; a corrupt record is
//! an error.
//!
//! - `open`: opens a store and begins its next incarnation
//! - `contents`: the contents of a store, and functions that read and replace them
//! - `stored_log`: the Raft log, read entry by entry
//! - `tables`: the tables of the database
//! - `writer`: jobs, transactions and syncs
//! - `error`: typed errors
//!
//! The rest of the crate writes through [`Disk`] and does not access the file.

mod contents;
mod error;
mod open;
mod stored_log;
mod tables;
mod writer;

pub use contents::{EncodedSnapshot, Identity, OpenedStore, replace_contents};
pub use error::{OpenError, ReadError, StoreError, WriteError};
pub use open::{open, open_database, open_in_simulator};
pub use stored_log::StoredLog;
pub use writer::SyncTimes;

use crate::types::{Entry, LogId, RaftTypes, SnapshotMeta};
use openraft::storage::LogFlushed;
use sedgerun_replication::record::{self, EncodeError, RecordType};
use serde::Serialize;
use std::ops::Range;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use writer::{Job, JobDone};

/// Keys of the records other than log entries. They are part of the disk format.
pub(crate) mod key {
    /// The identity of the store.
    pub const IDENTITY: &str = "identity";
    /// The last vote.
    pub const VOTE: &str = "vote";
    /// The last entry known to be committed.
    pub const COMMITTED: &str = "committed";
    /// The last entry that a snapshot replaced.
    pub const PURGED: &str = "purged";
    /// Metadata of the last snapshot.
    pub const SNAPSHOT_META: &str = "snapshot";
    /// State of the last snapshot.
    pub const SNAPSHOT_STATE: &str = "state";
    /// Watermarks of other stores.
    pub const WATERMARKS: &str = "memory";
    /// The view that this head received as a follower.
    pub const VIEW: &str = "view";
}

/// A failpoint. A test can activate it by name, to abort the process (`return`) or to delay it (`sleep`). It
/// does nothing in builds without the `failpoints` feature of the crate `fail`.
pub fn failpoint(name: &str) {
    let _ = name;
    fail::fail_point!(name, |_| std::process::abort());
}

/// The handle through which the other tasks write to the store.
#[derive(Clone)]
pub struct Disk {
    jobs: mpsc::Sender<Job>,
    /// Durations of writes since the start.
    pub sync_times: Arc<SyncTimes>,
}

impl Disk {
    /// Queues a job and waits until the writer has synced it.
    async fn run(&self, job: impl FnOnce(JobDone) -> Job) -> Result<(), WriteError> {
        let (done, synced) = oneshot::channel();
        self.jobs.send(job(done)).await.map_err(|_| WriteError::WriterEnded)?;
        synced.await.map_err(|_| WriteError::WriterEnded)?
    }

    /// Writes a small record and syncs it.
    ///
    /// # Errors
    /// The record cannot be encoded or written, or the writer has ended.
    pub async fn put<T: Serialize>(
        &self,
        record_type: RecordType,
        key: &'static str,
        value: &T,
    ) -> Result<(), WriteError> {
        let bytes = record::encode(record_type, value)?;
        self.run(|done| Job::Put(key, bytes, done)).await
    }

    /// Queues log entries to be appended; `flushed` is called when they are synced.
    ///
    /// # Errors
    /// The entries cannot be encoded, or the writer has ended. A failed write is reported to `flushed`.
    pub async fn append(&self, entries: &[Entry], flushed: LogFlushed<RaftTypes>) -> Result<(), WriteError> {
        let sealed =
            entries.iter().map(|entry| Ok((entry.log_id.index, record::encode(RecordType::Entry, entry)?)));
        let sealed: Result<Vec<_>, EncodeError> = sealed.collect();
        let job = Job::Append(sealed?, flushed);
        self.jobs.send(job).await.map_err(|_| WriteError::WriterEnded)
    }

    /// Queues a record to be written without a sync of its own, and ignores errors. For records whose latest
    /// value may be lost in a crash, because it can be collected from other heads again.
    pub async fn put_without_sync<T: Serialize>(
        &self,
        record_type: RecordType,
        key: &'static str,
        value: &T,
    ) {
        if let Ok(bytes) = record::encode(record_type, value) {
            let _ = self.jobs.send(Job::PutWithoutSync(key, bytes)).await;
        }
    }

    /// Removes the log entries from an index on.
    ///
    /// # Errors
    /// The entries cannot be removed, or the writer has ended.
    pub async fn truncate(&self, from: u64) -> Result<(), WriteError> {
        self.run(|done| Job::Truncate(from, done)).await
    }

    /// Removes the log entries up to and including `up_to`, which the snapshot contains.
    ///
    /// # Errors
    /// The entries cannot be removed, or the writer has ended.
    pub async fn purge(&self, up_to: LogId) -> Result<(), WriteError> {
        let position = record::encode(RecordType::Position, &up_to)?;
        self.run(|done| Job::Purge(up_to.index, position, done)).await
    }

    /// Reads the first log entries in a range, up to `max_bytes` bytes and at least one. What was queued
    /// before is written first.
    ///
    /// # Errors
    /// The entries cannot be read, or the writer has ended.
    pub async fn read_log(&self, range: Range<u64>, max_bytes: usize) -> Result<Vec<Entry>, ReadError> {
        let (done, read) = oneshot::channel();
        let job = Job::ReadLog(range, max_bytes, done);
        self.jobs.send(job).await.map_err(|_| ReadError::WriterEnded)?;
        Ok(read.await.map_err(|_| ReadError::WriterEnded)??)
    }

    /// Reads the last snapshot, if there is one. What was queued before is written first.
    ///
    /// # Errors
    /// The snapshot cannot be read, or the writer has ended.
    pub async fn read_snapshot(&self) -> Result<Option<EncodedSnapshot>, ReadError> {
        let (done, read) = oneshot::channel();
        self.jobs.send(Job::ReadSnapshot(done)).await.map_err(|_| ReadError::WriterEnded)?;
        Ok(read.await.map_err(|_| ReadError::WriterEnded)??)
    }

    /// Replaces the last snapshot.
    ///
    /// # Errors
    /// The snapshot cannot be encoded or written, or the writer has ended.
    pub async fn put_snapshot(&self, meta: &SnapshotMeta, state: &[u8]) -> Result<(), WriteError> {
        let meta = record::encode(RecordType::SnapshotMetadata, meta)?;
        let state = record::encode(RecordType::Snapshot, &state)?;
        self.run(|done| Job::Snapshot(meta, state, done)).await
    }
}
