//! The memory for changes that wait to be committed.

use crate::change_error::CommitError;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes of all changes that wait to be committed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PendingBytes {
    /// Memory of the changes themselves.
    pub changes: usize,
    /// Memory that they add to the state.
    pub growth: usize,
}

/// The memory that is reserved for changes that wait to be committed.
#[derive(Clone, Debug, Default)]
pub struct PendingMemory(Arc<Mutex<PendingBytes>>);

impl PendingMemory {
    /// Memory that the waiting changes add to the state, in bytes.
    pub fn growth(&self) -> usize {
        self.lock().growth
    }

    /// Reserves the memory for a change. A change that is larger than the limit is admitted if no other waits.
    ///
    /// # Errors
    /// The changes that wait take up too much.
    pub fn reserve(&self, reserved: PendingBytes, limit: usize) -> Result<Reservation, CommitError> {
        let mut all = self.lock();
        let bytes = all.changes + reserved.changes;
        if bytes > limit && all.changes > 0 {
            return Err(CommitError::PendingChanges { bytes, limit });
        }
        all.changes = bytes;
        all.growth += reserved.growth;
        Ok(Reservation { pending: self.clone(), reserved })
    }

    fn lock(&self) -> MutexGuard<'_, PendingBytes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory of one change that waits to be committed, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    pending: PendingMemory,
    reserved: PendingBytes,
}

impl Reservation {
    /// Memory of the change itself, in bytes.
    pub fn change_bytes(&self) -> usize {
        self.reserved.changes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut reserved = self.pending.lock();
        reserved.changes -= self.reserved.changes;
        reserved.growth -= self.reserved.growth;
    }
}
