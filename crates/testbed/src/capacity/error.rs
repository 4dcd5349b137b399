//! What can be wrong with the input of the capacity page.

use sedgerun_config::Faults;
use std::fmt;
use std::path::{Path, PathBuf};

/// An input that cannot be used. Its text is one line that names the place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapacityError {
    /// A file or directory cannot be read or written.
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The system's reason.
        reason: String,
    },
    /// A results document is not one, or holds a figure that cannot be.
    Document {
        /// The document.
        path: PathBuf,
        /// The place and the reason.
        reason: String,
    },
    /// The target file has a fault.
    Target {
        /// The target file.
        path: PathBuf,
        /// The key, line, column and reason of the first fault.
        reason: String,
    },
    /// The page's markers cannot be used.
    Page {
        /// The page.
        path: PathBuf,
        /// Line, counted from 1; absent where the page as a whole is at fault.
        line: Option<usize>,
        /// The reason.
        reason: String,
    },
}

impl CapacityError {
    /// An error of the system at a path.
    pub fn io(path: &Path, error: &std::io::Error) -> CapacityError {
        CapacityError::Io { path: path.to_owned(), reason: error.to_string() }
    }

    /// A fault of a document.
    pub fn document(path: &Path, reason: impl Into<String>) -> CapacityError {
        CapacityError::Document { path: path.to_owned(), reason: reason.into() }
    }

    /// A fault of a page, at a line or as a whole.
    pub fn page(path: &Path, line: Option<usize>, reason: impl Into<String>) -> CapacityError {
        CapacityError::Page { path: path.to_owned(), line, reason: reason.into() }
    }

    /// The first of the faults of a target file.
    pub fn target(path: &Path, faults: &Faults) -> CapacityError {
        let first = faults.0.first().map_or_else(String::new, ToString::to_string);
        CapacityError::Target { path: path.to_owned(), reason: first }
    }
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (path, reason) = match self {
            CapacityError::Io { path, reason }
            | CapacityError::Document { path, reason }
            | CapacityError::Target { path, reason }
            | CapacityError::Page { path, line: None, reason } => (path, reason.clone()),
            CapacityError::Page { path, line: Some(line), reason } => {
                (path, format!("line {line}: {reason}"))
            }
        };
        // One line, whatever a library's message holds.
        write!(f, "{}: {}", path.display(), reason.replace('\n', " "))
    }
}

impl std::error::Error for CapacityError {}
