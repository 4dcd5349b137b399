//! The writer of a store: it owns the database, writes the jobs that wait as one transaction, and reports to those that
//! wait for them.

use super::contents::{LOG, META};
use super::error::WriteError;
use super::{crash_point, key};
use crate::types::RaftTypes;
use openraft::storage::LogFlushed;
use redb::{Database, Durability};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// Jobs that share one sync, at most.
const MAX_BATCH: usize = 512;

/// Notifies whoever waits for a job.
pub(super) type JobDone = oneshot::Sender<Result<(), WriteError>>;

/// Something to be written. Records are sealed already.
pub(super) enum Job {
    /// Append these log entries, each with its index.
    Append(Vec<(u64, Vec<u8>)>, LogFlushed<RaftTypes>),
    /// Put a record under a key.
    Put(&'static str, Vec<u8>, JobDone),
    /// Put a record that is worth keeping, and not worth a sync: the committed position, and watermarks.
    PutWithoutSync(&'static str, Vec<u8>),
    /// Remove log entries from an index on.
    Truncate(u64, JobDone),
    /// Remove log entries up to an index, and put the position of the last one.
    Purge(u64, Vec<u8>, JobDone),
    /// Put the metadata and the state of a snapshot.
    Snapshot(Vec<u8>, Vec<u8>, JobDone),
}

impl Job {
    /// Reports the result to whoever waits for the job.
    fn finish(self, result: &Result<(), WriteError>) {
        match self {
            Job::Append(_, flushed) => {
                // The text alone, as the consensus library would append the sources to it a second time.
                let result = result.as_ref().map_err(|error| io::Error::other(error.to_string()));
                flushed.log_io_completed(result.copied());
            }
            Job::Put(_, _, done)
            | Job::Truncate(_, done)
            | Job::Purge(_, _, done)
            | Job::Snapshot(_, _, done) => drop(done.send(result.clone())),
            Job::PutWithoutSync(..) => {}
        }
    }
}

/// Times of syncs since the start, written by the writer and read by others.
#[derive(Debug, Default)]
pub struct SyncTimes {
    count: AtomicU64,
    longest_us: AtomicU64,
    total_us: AtomicU64,
}

impl SyncTimes {
    fn add(&self, time_us: u64) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(time_us, Ordering::Relaxed);
        self.longest_us.fetch_max(time_us, Ordering::Relaxed);
    }

    /// How many syncs there were, and the longest and the mean time of one in microseconds.
    pub fn summary(&self) -> (u64, u64, u64) {
        let (count, total_us) = (self.count.load(Ordering::Relaxed), self.total_us.load(Ordering::Relaxed));
        (count, self.longest_us.load(Ordering::Relaxed), total_us / count.max(1))
    }
}

/// The one that writes.
pub(super) struct Writer {
    database: Database,
    /// The file's name for messages.
    file: String,
    waiting: mpsc::Receiver<Job>,
    sync_times: Arc<SyncTimes>,
}

impl Writer {
    pub(super) fn new(
        database: Database,
        file: String,
        waiting: mpsc::Receiver<Job>,
        sync_times: Arc<SyncTimes>,
    ) -> Writer {
        Writer { database, file, waiting, sync_times }
    }

    /// Writes on the calling thread until all handles are dropped.
    pub(super) fn run(mut self) {
        while let Some(first) = self.waiting.blocking_recv() {
            self.write_batch(first);
        }
    }

    /// Waits for a job; `None` once all handles are dropped.
    pub(super) async fn next_job(&mut self) -> Option<Job> {
        self.waiting.recv().await
    }

    /// Writes a job and whatever waits behind it, syncs them together, and reports to those that wait.
    pub(super) fn write_batch(&mut self, first: Job) {
        let mut jobs = vec![first];
        while jobs.len() < MAX_BATCH
            && let Ok(job) = self.waiting.try_recv()
        {
            jobs.push(job);
        }
        let begun = Instant::now();
        let written = write(&self.database, &jobs);
        self.sync_times.add(begun.elapsed().as_micros() as u64);
        let result = written
            .map_err(|error| WriteError::Database { file: self.file.clone(), source: Arc::new(error) });
        if let Err(error) = &result {
            tracing::error!("fleet: {error}");
        }
        for job in jobs {
            job.finish(&result);
        }
    }
}

/// Writes jobs in their order as one transaction, with one sync.
pub(super) fn write(database: &Database, jobs: &[Job]) -> Result<(), redb::Error> {
    crash_point("a slow disk");
    fail::fail_point!("a full disk", |_| Err(redb::Error::Io(io::ErrorKind::StorageFull.into())));
    let mut transaction = database.begin_write()?;
    // Guards against a commit that vanishes: with one phase, a store that was killed and of which one page is corrupt is
    // silently rolled back to the commit before, and what was acknowledged since is lost.
    transaction.set_quick_repair(true);
    if jobs.iter().all(|job| matches!(job, Job::PutWithoutSync(..))) {
        transaction.set_durability(Durability::None)?;
    }
    {
        let (mut meta, mut log) = (transaction.open_table(META)?, transaction.open_table(LOG)?);
        for job in jobs {
            match job {
                Job::Append(entries, _) => {
                    for (index, entry) in entries {
                        log.insert(index, entry.as_slice())?;
                    }
                }
                Job::Put(key, bytes, _) | Job::PutWithoutSync(key, bytes) => {
                    drop(meta.insert(key, bytes.as_slice())?);
                }
                Job::Truncate(from, _) => log.retain_in::<u64, _>(*from.., |_, _| false)?,
                Job::Purge(upto, position, _) => {
                    log.retain_in::<u64, _>(..=*upto, |_, _| false)?;
                    meta.insert(key::PURGED, position.as_slice())?;
                }
                Job::Snapshot(snapshot_meta, state, _) => {
                    meta.insert(key::SNAPSHOT_META, snapshot_meta.as_slice())?;
                    meta.insert(key::SNAPSHOT_STATE, state.as_slice())?;
                }
            }
        }
    }
    crash_point("before the sync");
    transaction.commit()?;
    crash_point("after the sync");
    Ok(())
}
