//! Opens a store and begins its next incarnation.

use super::contents::OpenedStore;
use super::error::{OpenError, StoreError};
use super::writer::{Job, Reopen, SyncTimes, Writer, write};
use super::{Disk, key};
use redb::{Builder, Database, StorageBackend};
use sedgerun_replication::record::{self, RecordType};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Name of the store's file in its folder.
const FILE: &str = "fleet.redb";
/// Memory that redb may use as a cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;
/// Capacity of the writer's queue of jobs; senders wait while it is full.
const MAX_WAITING_JOBS: usize = 1024;
/// The name of a simulated disk in error messages.
const SIMULATED_DISK: &str = "simulated disk";

/// Opens or creates the store in a folder, begins its next incarnation, and starts the writer on its own
/// thread.
///
/// # Errors
/// The folder or the file cannot be used, or a record is corrupt; the text names the file and the record.
pub fn open(folder: &Path) -> Result<(Disk, OpenedStore), OpenError> {
    let created = std::fs::create_dir_all(folder);
    created.map_err(|source| OpenError::Folder { folder: folder.to_owned(), source })?;
    let (database, opened) = open_database(folder)?;
    let file = file_name(folder);
    let path = folder.join(FILE);
    let reopen: Reopen = Box::new(move || builder().create(&path));
    let (disk, writer, opened) = begin_incarnation(database, opened, &file, Some(reopen))?;
    sync_folder(folder).map_err(StoreError::SyncFolder).map_err(OpenError::in_file(&file))?;
    let thread = std::thread::Builder::new().name("fleet-disk".into());
    let spawned = thread.spawn(move || writer.run());
    spawned.map_err(StoreError::Thread).map_err(OpenError::in_file(&file))?;
    Ok((disk, opened))
}

/// Opens or creates the store in a folder and reads its contents, without beginning an incarnation.
///
/// # Errors
/// The file cannot be used, or a record is corrupt; the text names the file and the record.
pub fn open_database(folder: &Path) -> Result<(Database, OpenedStore), OpenError> {
    let file = file_name(folder);
    let database = builder().create(folder.join(FILE));
    let database = database.map_err(StoreError::Open).map_err(OpenError::in_file(&file))?;
    let opened = OpenedStore::read(&database).map_err(OpenError::in_file(&file))?;
    Ok((database, opened))
}

/// Opens a store on a simulated disk and begins its next incarnation. The writer is a task of the simulator's
/// runtime; `sync_time` returns the simulated duration of the next write.
///
/// # Errors
/// The disk cannot be used, or a record is corrupt.
pub fn open_in_simulator(
    backend: impl StorageBackend,
    mut sync_time: impl FnMut() -> Duration + Send + 'static,
) -> Result<(Disk, OpenedStore), OpenError> {
    let database = builder().create_with_backend(backend).map_err(StoreError::Open)?;
    let opened = OpenedStore::read(&database)?;
    let (disk, mut writer, opened) = begin_incarnation(database, opened, SIMULATED_DISK, None)?;
    tokio::spawn(async move {
        while let Some(first) = writer.next_job().await {
            tokio::time::sleep(sync_time()).await;
            writer.write_batch(first);
        }
    });
    Ok((disk, opened))
}

fn file_name(folder: &Path) -> String {
    folder.join(FILE).display().to_string()
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    // A full check when the file is opened finds files that were damaged or altered.
    builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
    builder
}

/// Increments the incarnation of a store, syncs it and creates the writer.
fn begin_incarnation(
    database: Database,
    mut opened: OpenedStore,
    file: &str,
    reopen: Option<Reopen>,
) -> Result<(Disk, Writer, OpenedStore), OpenError> {
    opened.identity.incarnation += 1;
    let identity = record::encode(RecordType::Identity, &opened.identity);
    let identity = identity.map_err(StoreError::Encode).map_err(OpenError::in_file(file))?;
    let job = Job::Put(key::IDENTITY, identity, oneshot::channel().0);
    write(&database, &[job]).map_err(StoreError::Database).map_err(OpenError::in_file(file))?;
    let (jobs, waiting) = mpsc::channel(MAX_WAITING_JOBS);
    let sync_times = Arc::new(SyncTimes::default());
    let writer = Writer::new(database, reopen, file.to_owned(), waiting, Arc::clone(&sync_times));
    Ok((Disk { jobs, sync_times }, writer, opened))
}

/// Syncs a folder, so that the directory entry of a new file survives a power failure.
fn sync_folder(folder: &Path) -> io::Result<()> {
    std::fs::File::open(folder)?.sync_all()
}
