//! The requests that wait for one backend, earliest deadline first: the design's order of sending.

use crate::{Micros, RequestId};
use std::collections::BTreeSet;

/// A place in the queue. Requests that are due at the same time keep the order of their identities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    due_at: Micros,
    id: RequestId,
}

/// Requests by the time at which their response is due.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeadlineQueue {
    entries: BTreeSet<Entry>,
}

impl DeadlineQueue {
    /// Adds a request.
    pub(crate) fn insert(&mut self, due_at: Micros, id: RequestId) {
        self.entries.insert(Entry { due_at, id });
    }

    /// Removes a request if it is there.
    pub(crate) fn remove(&mut self, due_at: Micros, id: RequestId) {
        self.entries.remove(&Entry { due_at, id });
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The requests, earliest due first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.entries.iter().map(|entry| entry.id)
    }

    /// Removes and returns all requests, earliest due first.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        std::mem::take(&mut self.entries).into_iter().map(|entry| entry.id)
    }
}
