//! What can end a scale run before its time.

use std::fmt;
use thiserror::Error;

/// Why a scale run ended early.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScaleError {
    /// An argument that cannot be used; nothing was started and nothing was written.
    #[error("{place}: {what}")]
    Refused {
        /// Where: an option of the command line, or a file.
        place: String,
        /// What is wrong with it.
        what: String,
    },
    /// The operator stopped it.
    #[error("stopped")]
    Stopped,
    /// A process, or the machine, failed.
    #[error("{0}")]
    Failed(String),
}

impl ScaleError {
    /// An argument that cannot be used.
    pub fn refused(place: impl Into<String>, what: impl Into<String>) -> ScaleError {
        ScaleError::Refused { place: place.into(), what: what.into() }
    }

    /// A failure while doing something.
    pub fn failed(doing: &str, error: impl fmt::Display) -> ScaleError {
        ScaleError::Failed(format!("{doing}: {error}"))
    }
}
