//! The attempts in flight, and which of them were overtaken by later attempts to the same backend.

use crate::{BackendId, Micros, RequestId};
use std::collections::BTreeMap;

/// Responses to later attempts after which an earlier one counts as stalled. A backend serves several
/// requests concurrently, so a few may complete out of order; limits of 1 and 2 showed no gain with
/// unresponsive connections.
const OVERTAKEN_LIMIT: u32 = 3;

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The backend that it was sent to.
    pub(crate) backend: BackendId,
    /// The shard of that backend.
    pub(crate) shard: u32,
    pub(crate) sent_at: Micros,
    /// The ordering key of its request; 0: not ordered.
    pub(crate) key: u64,
    /// The size of its request, in units.
    pub(crate) units: f64,
    /// A part of its response has arrived; it waits no longer, and holds no place at its backend.
    pub(crate) response_began: bool,
    /// Number of responses to later attempts at the same backend, up to [`OVERTAKEN_LIMIT`].
    overtaken_by: u32,
}

impl Attempt {
    /// An attempt that is sent at `now`.
    pub(crate) fn new(backend: BackendId, shard: u32, key: u64, units: f64, now: Micros) -> Attempt {
        Attempt { backend, shard, sent_at: now, key, units, response_began: false, overtaken_by: 0 }
    }

    /// Whether a later attempt got its response first.
    pub(crate) fn is_overtaken(&self) -> bool {
        self.overtaken_by > 0
    }

    /// Whether so many later attempts got their responses first that it does not count as in flight any more.
    pub(crate) fn is_stalled(&self) -> bool {
        self.overtaken_by >= OVERTAKEN_LIMIT
    }

    /// Counts the response to a later attempt. An attempt sent more than `suspicion_timeout` earlier is
    /// stalled at the first such response.
    fn record_overtaking(&mut self, later: &Attempt, suspicion_timeout: Micros) {
        let is_much_earlier = later.sent_at > self.sent_at + suspicion_timeout;
        let increment = if is_much_earlier { OVERTAKEN_LIMIT } else { 1 };
        self.overtaken_by = (self.overtaken_by + increment).min(OVERTAKEN_LIMIT);
    }
}

/// The attempts in flight, by request and attempt number.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptsInFlight {
    by_id: BTreeMap<(RequestId, u8), Attempt>,
}

impl AttemptsInFlight {
    /// Adds an attempt that was sent.
    pub(crate) fn insert(&mut self, id: RequestId, number: u8, attempt: Attempt) {
        self.by_id.insert((id, number), attempt);
    }

    /// An attempt.
    pub(crate) fn get_mut(&mut self, id: RequestId, number: u8) -> Option<&mut Attempt> {
        self.by_id.get_mut(&(id, number))
    }

    /// Removes and returns an attempt that ended.
    pub(crate) fn remove(&mut self, id: RequestId, number: u8) -> Option<Attempt> {
        self.by_id.remove(&(id, number))
    }

    /// Whether a request has an attempt in flight.
    pub(crate) fn has_any(&self, id: RequestId) -> bool {
        self.by_id.range((id, 0)..=(id, u8::MAX)).next().is_some()
    }

    /// Counts the response to `completed` for all attempts that were sent to its backend earlier, and returns
    /// how many of them became stalled by it.
    ///
    /// Backends take requests in order, so an attempt that several later ones have overtaken is on an
    /// unresponsive connection and uses no capacity of the backend.
    pub(crate) fn overtake_earlier(&mut self, completed: &Attempt, suspicion_timeout: Micros) -> u32 {
        let mut newly_stalled = 0;
        for attempt in self.by_id.values_mut() {
            let is_earlier = attempt.backend == completed.backend && attempt.sent_at < completed.sent_at;
            if is_earlier && !attempt.response_began && !attempt.is_stalled() {
                attempt.record_overtaking(completed, suspicion_timeout);
                newly_stalled += u32::from(attempt.is_stalled());
            }
        }
        newly_stalled
    }
}
