//! The disk of a head, as one redb file: the identity of its store, its vote, the log, the last snapshot, and what it
//! received as a follower.
//!
//! One writer owns the file. It writes whatever jobs wait as one transaction, so that they share one sync; nobody else
//! waits for a disk. All records are checksummed ([`record`]) and read at the start, where a corrupt one is an error.
//!
//! - `open`: opens a store and begins its next incarnation
//! - `contents`: what a store contains, and how it is read and replaced
//! - `writer`: jobs, transactions and syncs
//! - `error`: typed errors
//!
//! The rest of the crate writes through [`Disk`] and never touches the file.

mod contents;
mod error;
mod open;
mod writer;

pub use contents::{Identity, OpenedStore, replace};
pub use error::{OpenError, StoreError, WriteError};
pub use open::{open, open_database, open_in_simulator};
pub use writer::SyncTimes;

use crate::types::{Entry, LogId, RaftTypes, SnapshotMeta};
use openraft::storage::LogFlushed;
use sedgerun_replication::record::{self, EncodeError, RecordType};
use serde::Serialize;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use writer::{Job, JobDone};

/// Names of the records beside the log. They are part of the disk format.
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
    /// State in the last snapshot.
    pub const SNAPSHOT_STATE: &str = "state";
    /// Watermarks of other stores.
    pub const WATERMARKS: &str = "memory";
    /// The view of a follower.
    pub const VIEW: &str = "view";
}

/// Kills the process in tests that name this point; a build for service has no such points.
pub fn crash_point(name: &str) {
    let _ = name;
    fail::fail_point!(name, |_| std::process::abort());
}

/// The handle by which all others write to the store.
#[derive(Clone)]
pub struct Disk {
    jobs: mpsc::Sender<Job>,
    /// Times of syncs since the start.
    pub sync_times: Arc<SyncTimes>,
}

impl Disk {
    /// Hands a job to the writer and waits until it is synced.
    async fn run(&self, job: impl FnOnce(JobDone) -> Job) -> Result<(), WriteError> {
        let (done, synced) = oneshot::channel();
        self.jobs.send(job(done)).await.map_err(|_| WriteError::WriterEnded)?;
        synced.await.map_err(|_| WriteError::WriterEnded)?
    }

    /// Writes a small record and syncs it.
    ///
    /// # Errors
    /// It cannot be encoded or written, or the writer has ended.
    pub async fn put<T: Serialize>(
        &self,
        record_type: RecordType,
        key: &'static str,
        value: &T,
    ) -> Result<(), WriteError> {
        let bytes = record::encode(record_type, value)?;
        self.run(|done| Job::Put(key, bytes, done)).await
    }

    /// Appends log entries; `flushed` is called when they are synced.
    ///
    /// # Errors
    /// They cannot be encoded, or the writer has ended. A failed write is reported to `flushed`.
    pub async fn append(&self, entries: &[Entry], flushed: LogFlushed<RaftTypes>) -> Result<(), WriteError> {
        let sealed =
            entries.iter().map(|entry| Ok((entry.log_id.index, record::encode(RecordType::Entry, entry)?)));
        let sealed: Result<Vec<_>, EncodeError> = sealed.collect();
        let job = Job::Append(sealed?, flushed);
        self.jobs.send(job).await.map_err(|_| WriteError::WriterEnded)
    }

    /// Writes a record that could be collected anew from other heads: at some time, without a sync of its own. Nobody
    /// learns of a failure.
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

    /// Removes log entries from an index on.
    ///
    /// # Errors
    /// They cannot be removed, or the writer has ended.
    pub async fn truncate(&self, from: u64) -> Result<(), WriteError> {
        self.run(|done| Job::Truncate(from, done)).await
    }

    /// Removes log entries up to this one, which the snapshot contains.
    ///
    /// # Errors
    /// They cannot be removed, or the writer has ended.
    pub async fn purge(&self, upto: LogId) -> Result<(), WriteError> {
        let position = record::encode(RecordType::Position, &upto)?;
        self.run(|done| Job::Purge(upto.index, position, done)).await
    }

    /// Replaces the last snapshot.
    ///
    /// # Errors
    /// It cannot be encoded or written, or the writer has ended.
    pub async fn put_snapshot(&self, meta: &SnapshotMeta, state: &Vec<u8>) -> Result<(), WriteError> {
        let meta = record::encode(RecordType::SnapshotMetadata, meta)?;
        let state = record::encode(RecordType::Snapshot, state)?;
        self.run(|done| Job::Snapshot(meta, state, done)).await
    }
}
