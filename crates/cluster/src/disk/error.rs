//! Errors of opening, reading and writing a store.

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
        /// Why it cannot be created.
        source: io::Error,
    },
    /// The store in this file cannot be used.
    #[error("{file}: {source}")]
    Store {
        /// The path of the file, or `simulated disk`.
        file: String,
        /// What is wrong with the store.
        source: StoreError,
    },
    /// The store on a simulated disk cannot be read.
    #[error(transparent)]
    SimulatedDisk(#[from] StoreError),
}

impl OpenError {
    /// Returns a function that adds the file's name to a store error.
    pub(super) fn in_file(file: &str) -> impl FnOnce(StoreError) -> OpenError + use<> {
        let file = file.to_owned();
        move |source| OpenError::Store { file, source }
    }
}

/// Why the store in a file or on a simulated disk cannot be used.
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
        /// The record's name.
        key: &'static str,
        /// What is wrong with it.
        source: CorruptRecord,
    },
    /// A log entry is corrupt.
    #[error("log entry {index}: {source}")]
    CorruptEntry {
        /// The entry's log index.
        index: u64,
        /// What is wrong with it.
        source: CorruptRecord,
    },
    /// The store has log entries but no identity.
    #[error("record identity is missing although there are log entries")]
    MissingIdentity,
    /// The store has the metadata of a snapshot but not its state.
    #[error("record snapshot state is missing although there is snapshot metadata")]
    MissingSnapshotState,
    /// A new record cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// No random number is available for the identifier of a new store.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// The folder cannot be synced.
    #[error(transparent)]
    SyncFolder(io::Error),
    /// The writer's thread cannot be started.
    #[error("cannot start the writer's thread: {0}")]
    Thread(#[source] io::Error),
}

/// Why a job was not read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The writer has ended.
    #[error("the writer of the store has ended")]
    WriterEnded,
    /// The store cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Why a job was not written. It is cloned for each job of the failed transaction.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// The writer has ended.
    #[error("the writer of the store has ended")]
    WriterEnded,
    /// The database cannot be written.
    #[error("{file}: {source}")]
    Database {
        /// The path of the file, or `simulated disk`.
        file: String,
        /// Why it cannot be written.
        source: Arc<redb::Error>,
    },
    /// The record cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
}
