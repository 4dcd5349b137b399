//! The attempts in flight, and which of them later ones have overtaken.

use crate::{BackendId, Micros, RequestId};
use std::collections::BTreeMap;

/// Responses to later attempts after which an earlier one counts as stalled: a few, since backends serve some
/// at once. In single trials on silent connections one and two scored no better, within noise.
const OVERTAKEN_LIMIT: u32 = 3;

/// An attempt without an outcome.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Where it was sent.
    pub(crate) backend: BackendId,
    /// The shard of that backend.
    pub(crate) shard: u32,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// The key of its request; 0: not ordered.
    pub(crate) key: u64,
    /// The size of its request.
    pub(crate) units: f64,
    /// Responses of its backend to attempts that were sent later, up to [`OVERTAKEN_LIMIT`].
    overtaken_by: u32,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(backend: BackendId, shard: u32, key: u64, units: f64, now: Micros) -> Attempt {
        Attempt { backend, shard, sent_at: now, key, units, overtaken_by: 0 }
    }

    /// Whether later attempts were answered before it.
    pub(crate) fn is_overtaken(&self) -> bool {
        self.overtaken_by > 0
    }

    /// Whether so many later attempts were answered that it no longer occupies the backend.
    pub(crate) fn is_stalled(&self) -> bool {
        self.overtaken_by >= OVERTAKEN_LIMIT
    }

    /// Counts the response to a later attempt. One that was sent more than `suspicion_timeout` before that
    /// says as much as a few.
    fn overtake(&mut self, later: &Attempt, suspicion_timeout: Micros) {
        let is_long_before = later.sent_at > self.sent_at + suspicion_timeout;
        let steps = if is_long_before { OVERTAKEN_LIMIT } else { 1 };
        self.overtaken_by = (self.overtaken_by + steps).min(OVERTAKEN_LIMIT);
    }
}

/// The attempts in flight by request and number.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptsInFlight {
    by_id: BTreeMap<(RequestId, u8), Attempt>,
}

impl AttemptsInFlight {
    /// Adds an attempt that was sent.
    pub(crate) fn insert(&mut self, id: RequestId, number: u8, attempt: Attempt) {
        self.by_id.insert((id, number), attempt);
    }

    /// Removes and returns an attempt that ended.
    pub(crate) fn remove(&mut self, id: RequestId, number: u8) -> Option<Attempt> {
        self.by_id.remove(&(id, number))
    }

    /// Whether a request has an attempt without an outcome.
    pub(crate) fn has_any(&self, id: RequestId) -> bool {
        self.by_id.range((id, 0)..=(id, u8::MAX)).next().is_some()
    }

    /// Counts the response to `answered` against all attempts that were sent to its backend before it, and
    /// returns how many of them are stalled since.
    ///
    /// Guards against a connection that fell silent: backends take requests in order, so an attempt that
    /// several later ones have overtaken is stalled, and occupies nothing there.
    pub(crate) fn overtake_earlier(&mut self, answered: &Attempt, suspicion_timeout: Micros) -> u32 {
        let mut newly_stalled = 0;
        for attempt in self.by_id.values_mut() {
            let is_earlier = attempt.backend == answered.backend && attempt.sent_at < answered.sent_at;
            if is_earlier && !attempt.is_stalled() {
                attempt.overtake(answered, suspicion_timeout);
                newly_stalled += u32::from(attempt.is_stalled());
            }
        }
        newly_stalled
    }
}
