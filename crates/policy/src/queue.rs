//! The queue of one backend, ordered earliest deadline first (EDF) by the latency objectives of the requests.

use crate::{Micros, RequestId};
use std::collections::BTreeSet;

/// An entry of the queue. Requests with the same deadline are ordered by identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    objective_deadline: Micros,
    id: RequestId,
}

/// Requests ordered by the time at which their latency objective expires.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeadlineQueue {
    entries: BTreeSet<Entry>,
}

impl DeadlineQueue {
    pub(crate) fn insert(&mut self, objective_deadline: Micros, id: RequestId) {
        self.entries.insert(Entry { objective_deadline, id });
    }

    /// Removes a request if it is queued.
    pub(crate) fn remove(&mut self, objective_deadline: Micros, id: RequestId) {
        self.entries.remove(&Entry { objective_deadline, id });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The requests, earliest deadline first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.entries.iter().map(|entry| entry.id)
    }

    /// Removes and returns all requests, earliest deadline first.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        std::mem::take(&mut self.entries).into_iter().map(|entry| entry.id)
    }
}
