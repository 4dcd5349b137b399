//! An endpoint list, as discovery sends it and as `known` in the configuration holds it: its entries, its bounds, and
//! what may be wrong with it. `document` reads the JSON.

mod document;

use self::document::read_document;
pub use crate::resource_limits::ListBounds;
use sedgerun_policy::{Micros, Readiness};
use std::fmt;
use std::net::SocketAddr;

/// An endpoint list, or the changes of one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it is the full list, not only changes.
    pub is_full: bool,
    /// Its entries, in order; an id may be there more than once, and its last entry holds.
    pub entries: Vec<EndpointEntry>,
}

/// A checked entry of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The backend's id, not empty.
    pub id: String,
    /// What its `lifecycle` says.
    pub readiness: Readiness,
    /// Where it listens; only a backend that was removed may have no address.
    pub address: Option<SocketAddr>,
    /// The shard that it holds; 0 for one that was removed and names none.
    pub shard: u32,
    /// The position of its zone in the settings; 0 for a zone that they do not name.
    pub zone: u16,
    /// When its process started, in microseconds of Unix time; 0 for long ago.
    pub started_at: Micros,
}

/// What the size of a list counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeUnit {
    /// Bytes of its text.
    Bytes,
    /// Its entries.
    Entries,
}

impl fmt::Display for SizeUnit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SizeUnit::Bytes => "bytes",
            SizeUnit::Entries => "entries",
        })
    }
}

/// A list that this head cannot hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the list is too large: {size} {unit} or more, over the {limit} that limits.memory_mb allows")]
pub struct TooLarge {
    /// Its size, as far as it was read or announced.
    pub size: u64,
    /// The largest size that can be held.
    pub limit: usize,
    /// What both count.
    pub unit: SizeUnit,
}

/// What is wrong with a list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not JSON.
    #[error(transparent)]
    Syntax(serde_json::Error),
    /// `generation` is missing or of another type.
    #[error("generation is not a number")]
    Generation,
    /// `reset` is missing or of another type.
    #[error("reset is neither true nor false")]
    Reset,
    /// `instances` is missing or of another type.
    #[error("instances is not a list")]
    Instances,
    /// A key of an entry is missing, or its value cannot be used.
    #[error("instances.{index}.{key} is missing or malformed")]
    Entry {
        /// The entry's position.
        index: usize,
        /// The key.
        key: &'static str,
    },
    /// It cannot be held.
    #[error(transparent)]
    TooLarge(TooLarge),
}

/// Reads a list of at most this size. `zones` names the zones of the settings, in order. Unknown keys are
/// ignored; of a key that is there twice, the last value holds.
pub fn read_list(text: &[u8], zones: &[String], bounds: ListBounds) -> Result<EndpointList, ListError> {
    if text.len() > bounds.bytes {
        let (size, bound) = (text.len() as u64, bounds.bytes);
        return Err(ListError::TooLarge(TooLarge { size, limit: bound, unit: SizeUnit::Bytes }));
    }
    read_document(text, zones, bounds.entries)
}
