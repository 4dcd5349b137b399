//! What can go wrong with a cluster of processes.

use sedgerun_config::Faults;
use std::io;
use thiserror::Error;

/// Why a cluster of processes does not do what it is to do.
#[derive(Debug, Error)]
pub enum ClusterProcessError {
    /// A file, port or process cannot be used.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Settings that are not valid.
    #[error("{0}")]
    Settings(Faults),
    /// A head is not set up for a cluster.
    #[error("no (fleet ...)")]
    NoCluster,
    /// Something that was waited for did not come about.
    #[error("not within {seconds} s: {what}")]
    NotInTime {
        /// How long it was waited for.
        seconds: u64,
        /// What was waited for.
        what: String,
    },
    /// No head leads.
    #[error("nobody leads")]
    NoLeader,
    /// A head lacks a change that was acknowledged.
    #[error("{export} was acknowledged, and n{head} does not hold it")]
    ChangeMissing {
        /// The export.
        export: String,
        /// The head.
        head: usize,
    },
    /// A histogram cannot be made.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}
