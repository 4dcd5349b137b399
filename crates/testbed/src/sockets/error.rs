//! Why a test run on sockets cannot be played.

use sedgerun_config::Faults;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a test run on sockets cannot be played.
#[derive(Debug, Error)]
pub enum TestBedError {
    /// No runtime for the run's tasks.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The settings that the scenario leads to are not valid.
    #[error("{0}")]
    Settings(Faults),
    /// An emulated backend does not start.
    #[error("box {position}: {error}")]
    Backend {
        /// Its position.
        position: usize,
        /// The system's reason.
        #[source]
        error: io::Error,
    },
    /// The discovery server does not start.
    #[error("registry: {0}")]
    Discovery(#[source] io::Error),
    /// No free ports for the heads.
    #[error("no ports: {0}")]
    Ports(#[source] io::Error),
    /// A file or the program of a head cannot be used.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        #[source]
        error: io::Error,
    },
    /// A file for a head cannot be written.
    #[error("{0}")]
    Write(#[source] io::Error),
    /// A head has started and cannot be reached.
    #[error("head {head} does not listen: {log}")]
    HeadNotListening {
        /// The head.
        head: usize,
        /// What it has logged.
        log: String,
    },
    /// The task of the clients failed.
    #[error("clients: {0}")]
    Clients(#[source] tokio::task::JoinError),
}
