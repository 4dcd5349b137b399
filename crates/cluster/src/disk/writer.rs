//! The writer of a store. It owns the database, writes all queued jobs in one transaction, and reports the
//! result to the sender of each job.

use super::contents::{EncodedSnapshot, read_snapshot};
use super::error::{StoreError, WriteError};
use super::stored_log::StoredLog;
use super::tables::{LOG, META};
use super::{failpoint, key};
use crate::types::{Entry, RaftTypes};
use openraft::storage::LogFlushed;
use redb::{Database, DatabaseError, Durability};
use std::io;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of jobs in one transaction.
const MAX_BATCH: usize = 512;

/// Time for which a failed write is repeated: a full or faulty disk may recover within it. After it the write has
/// failed, and the voter stops.
const RETRY_TIME: Duration = Duration::from_secs(10);
/// Delay before the first repetition of a failed write; it doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest delay between repetitions of a failed write.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Opens the database again; it is closed by then.
pub(super) type Reopen = Box<dyn FnMut() -> Result<Database, DatabaseError> + Send>;

/// Reports the result of a job to its sender.
pub(super) type JobDone = oneshot::Sender<Result<(), WriteError>>;

/// Returns what a job has read to its sender.
pub(super) type ReadDone<T> = oneshot::Sender<Result<T, StoreError>>;

/// A write to the store, whose records are already encoded and have their checksums, or a read from it.
pub(super) enum Job {
    /// Append these log entries, each with its index.
    Append(Vec<(u64, Vec<u8>)>, LogFlushed<RaftTypes>),
    /// Put a record under a key.
    Put(&'static str, Vec<u8>, JobDone),
    /// Put a record without a sync of its own, because its latest value may be lost in a crash: the committed
    /// position and the watermarks.
    PutWithoutSync(&'static str, Vec<u8>),
    /// Remove log entries from an index on.
    Truncate(u64, JobDone),
    /// Remove log entries up to an index, and put the position of the last one.
    Purge(u64, Vec<u8>, JobDone),
    /// Put the metadata and the state of a snapshot.
    Snapshot(Vec<u8>, Vec<u8>, JobDone),
    /// Read the first log entries in a range, up to a number of bytes.
    ReadLog(Range<u64>, usize, ReadDone<Vec<Entry>>),
    /// Read the last snapshot.
    ReadSnapshot(ReadDone<Option<EncodedSnapshot>>),
}

impl Job {
    fn is_read(&self) -> bool {
        matches!(self, Job::ReadLog(..) | Job::ReadSnapshot(_))
    }

    /// Reports the result of the write to the job's sender, or reads what the job requests.
    fn finish(self, result: &Result<(), WriteError>, database: Option<&Database>) {
        match self {
            Job::Append(_, flushed) => {
                // Only the text is passed on: it contains the sources, which the consensus library would
                // append again.
                let result = result.as_ref().map_err(|error| io::Error::other(error.to_string()));
                flushed.log_io_completed(result.copied());
            }
            Job::Put(_, _, done)
            | Job::Truncate(_, done)
            | Job::Purge(_, _, done)
            | Job::Snapshot(_, _, done) => drop(done.send(result.clone())),
            Job::PutWithoutSync(..) => {}
            Job::ReadLog(range, max_bytes, done) => {
                let read = opened(database)
                    .and_then(StoredLog::of)
                    .and_then(|log| log.first_entries(range, max_bytes));
                drop(done.send(read));
            }
            Job::ReadSnapshot(done) => drop(done.send(opened(database).and_then(read_snapshot))),
        }
    }
}

/// The database, unless it is closed behind a failed write.
fn opened(database: Option<&Database>) -> Result<&Database, StoreError> {
    database.ok_or(StoreError::Database(redb::Error::DatabaseClosed))
}

/// Durations of write transactions since the start, recorded by the writer.
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

    /// The number of write transactions, and the longest and the mean duration in microseconds.
    pub fn summary(&self) -> (u64, u64, u64) {
        let (count, total_us) = (self.count.load(Ordering::Relaxed), self.total_us.load(Ordering::Relaxed));
        (count, self.longest_us.load(Ordering::Relaxed), total_us / count.max(1))
    }
}

/// Writes jobs to the database.
pub(super) struct Writer {
    /// `None` while it is closed, behind a failed write.
    database: Option<Database>,
    /// Opens it again; `None` where a failed write is final.
    reopen: Option<Reopen>,
    /// The file's name in error messages.
    file: String,
    waiting: mpsc::Receiver<Job>,
    sync_times: Arc<SyncTimes>,
}

impl Writer {
    pub(super) fn new(
        database: Database,
        reopen: Option<Reopen>,
        file: String,
        waiting: mpsc::Receiver<Job>,
        sync_times: Arc<SyncTimes>,
    ) -> Writer {
        Writer { database: Some(database), reopen, file, waiting, sync_times }
    }

    /// Writes jobs on the calling thread until all handles are dropped.
    pub(super) fn run(mut self) {
        while let Some(first) = self.waiting.blocking_recv() {
            self.write_batch(first);
        }
    }

    /// Waits for a job; `None` once all handles are dropped.
    pub(super) async fn next_job(&mut self) -> Option<Job> {
        self.waiting.recv().await
    }

    /// Writes a job together with queued jobs in one transaction, and reports the result to their senders. What
    /// jobs read follows the writes.
    pub(super) fn write_batch(&mut self, first: Job) {
        let mut jobs = vec![first];
        while jobs.len() < MAX_BATCH
            && let Ok(job) = self.waiting.try_recv()
        {
            jobs.push(job);
        }
        let result = if jobs.iter().all(Job::is_read) { Ok(()) } else { self.write_with_retries(&jobs) };
        if let Err(error) = &result {
            tracing::error!("fleet: cannot write to the store: {error}");
        }
        for job in jobs {
            job.finish(&result, self.database.as_ref());
        }
    }

    /// Writes jobs, again and again for [`RETRY_TIME`] while the disk fails. The jobs may be repeated: each puts or
    /// removes what it names. The database is opened anew first, as it refuses all further use behind a failed write;
    /// it is checked then, so that no page counts as written that a failed sync has dropped.
    fn write_with_retries(&mut self, jobs: &[Job]) -> Result<(), WriteError> {
        let begun = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let Err(error) = self.write_timed(jobs) else {
                if delay > MIN_RETRY_DELAY {
                    tracing::info!("fleet: {}: written again after {:?}", self.file, begun.elapsed());
                }
                return Ok(());
            };
            if self.reopen.is_none() || begun.elapsed() + delay > RETRY_TIME {
                let source = Arc::new(error);
                return Err(WriteError::Database { file: self.file.clone(), source });
            }
            tracing::warn!("fleet: {}: {error}; trying again in {delay:?}", self.file);
            std::thread::sleep(delay);
            delay = (2 * delay).min(MAX_RETRY_DELAY);
        }
    }

    fn write_timed(&mut self, jobs: &[Job]) -> Result<(), redb::Error> {
        let begun = Instant::now();
        let written = self.database().and_then(|database| write(database, jobs));
        self.sync_times.add(begun.elapsed().as_micros() as u64);
        if written.is_err() && self.reopen.is_some() {
            self.database = None;
        }
        written
    }

    /// The database, which is opened first if it is closed.
    fn database(&mut self) -> Result<&Database, redb::Error> {
        let database = match (self.database.take(), &mut self.reopen) {
            (Some(database), _) => database,
            (None, Some(reopen)) => reopen()?,
            (None, None) => return Err(redb::Error::DatabaseClosed),
        };
        Ok(self.database.insert(database))
    }
}

/// Writes jobs in their order as one transaction, with one sync.
pub(super) fn write(database: &Database, jobs: &[Job]) -> Result<(), redb::Error> {
    failpoint("a slow disk");
    fail::fail_point!("a full disk", |_| Err(redb::Error::Io(io::ErrorKind::StorageFull.into())));
    let mut transaction = database.begin_write()?;
    // Quick repair makes redb commit in two phases. With one phase, redb silently rolls a store back to the
    // previous commit if the process was killed and a page is corrupt, and acknowledged entries would be
    // lost.
    transaction.set_quick_repair(true);
    if jobs.iter().all(|job| job.is_read() || matches!(job, Job::PutWithoutSync(..))) {
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
                Job::Purge(up_to, position, _) => {
                    log.retain_in::<u64, _>(..=*up_to, |_, _| false)?;
                    meta.insert(key::PURGED, position.as_slice())?;
                }
                Job::Snapshot(snapshot_meta, state, _) => {
                    meta.insert(key::SNAPSHOT_META, snapshot_meta.as_slice())?;
                    meta.insert(key::SNAPSHOT_STATE, state.as_slice())?;
                }
                Job::ReadLog(..) | Job::ReadSnapshot(_) => {}
            }
        }
    }
    failpoint("before the sync");
    transaction.commit()?;
    failpoint("after the sync");
    Ok(())
}
