//! Why a store cannot be opened, read or written.

use crate::environment::EntropyError;
use sedgerun_replication::record::{CorruptRecord, EncodeError};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use thiserror::Error;

/// Why a store cannot be opened; the text names the folder or the file.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The folder cannot be created.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The store in this file cannot be used.
    #[error("{file}: {source}")]
    Store {
        /// The file, or the simulator's name for a disk.
        file: String,
        /// Why.
        source: StoreError,
    },
    /// The store on a simulated disk cannot be read.
    #[error(transparent)]
    SimulatedDisk(#[from] StoreError),
}

impl OpenError {
    /// Names the file of a store that cannot be used.
    pub(super) fn in_file(file: &str) -> impl FnOnce(StoreError) -> OpenError + use<> {
        let file = file.to_owned();
        move |source| OpenError::Store { file, source }
    }
}

/// What is wrong with a store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file is not a usable database.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// The database cannot be read or written.
    #[error(transparent)]
    Database(#[from] redb::Error),
    /// A record is corrupt.
    #[error("record {key}: {source}")]
    CorruptRecord {
        /// Its name.
        key: &'static str,
        /// What is wrong with it.
        source: CorruptRecord,
    },
    /// A log entry is corrupt.
    #[error("log entry {index}: {source}")]
    CorruptEntry {
        /// Its index.
        index: u64,
        /// What is wrong with it.
        source: CorruptRecord,
    },
    /// The store has a log, and no identity.
    #[error("record identity: missing, though there is a log")]
    MissingIdentity,
    /// The store has the metadata of a snapshot, and no state.
    #[error("record snapshot state: missing")]
    MissingSnapshotState,
    /// A new record cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// A new store cannot be numbered.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// The folder cannot be synced.
    #[error(transparent)]
    SyncFolder(io::Error),
    /// The writer's thread cannot be started.
    #[error("no thread: {0}")]
    Thread(#[source] io::Error),
}

/// Why something was not written. It is cloned for all that wait for the same sync.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// The writer has ended.
    #[error("the writer of the store has ended")]
    WriterEnded,
    /// The database cannot be written.
    #[error("{file}: {source}")]
    Database {
        /// The file, or the simulator's name for a disk.
        file: String,
        /// Why.
        source: Arc<redb::Error>,
    },
    /// The record cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
}
