//! Per-key ordering: in classes with [`ordered_by_key`](crate::RequestClass::ordered_by_key), requests with
//! the same key run one at a time, in order of arrival.
//!
//! Owns the order of the open requests of each key, and the pause after an attempt that may still be running.

use crate::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// The open requests of one key.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    /// In order of arrival; only the first may run.
    requests: VecDeque<RequestId>,
    /// No request of the key may be sent before this time.
    paused_until: Micros,
}

/// The open requests of each key. Key 0 marks a request that is not ordered, and is never stored here.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyOrder {
    by_key: BTreeMap<u64, KeyQueue>,
}

impl KeyOrder {
    /// Adds a request after the others of its key.
    pub(crate) fn push(&mut self, key: u64, id: RequestId) {
        if key != 0 {
            self.by_key.entry(key).or_default().requests.push_back(id);
        }
    }

    /// Whether a request may be sent now: it is the first of its key and the key is not paused.
    pub(crate) fn allows(&self, key: u64, id: RequestId, now: Micros) -> bool {
        let Some(queue) = self.by_key.get(&key) else { return true };
        queue.requests.front() == Some(&id) && now >= queue.paused_until
    }

    /// Holds back all requests of a key until `until`, because an attempt for it may still be running.
    pub(crate) fn pause(&mut self, key: u64, until: Micros) {
        if let Some(queue) = self.by_key.get_mut(&key) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    pub(crate) fn remove(&mut self, key: u64, id: RequestId) {
        if let Some(queue) = self.by_key.get_mut(&key) {
            queue.requests.retain(|other| *other != id);
        }
    }

    /// Drops keys without requests once their pause is over.
    pub(crate) fn drop_idle(&mut self, now: Micros) {
        self.by_key.retain(|_, queue| !queue.requests.is_empty() || now < queue.paused_until);
    }
}
