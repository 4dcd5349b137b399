//! Selection: which backend a request is queued at.
//!
//! The candidates are the backends that hold the data or, for a new object, a random sample of all backends.
//! Available backends come before unavailable ones, then backends whose slow-start allowance covers the
//! request before the others; among equals the shortest expected response time wins.

use crate::backend::{Backend, BackendSet};
use crate::{BackendId, Controller, Micros, RequestId};

/// Number of backends sampled for a new object. A sample keeps heads with a stale view from sending
/// everything to one backend, and the cost independent of the number of backends.
const SAMPLED_CANDIDATES: usize = 32;
/// Largest fraction of its cost that jitter adds to a candidate, so that heads with the same view do not all
/// select the same backend.
const JITTER: f64 = 0.2;
/// Factor on the random number of a selection that decorrelates the jitter from the sample.
const JITTER_SCALE: f64 = 977.0;
/// Increment of the jitter from candidate to candidate: multiples of the golden ratio spread evenly.
const JITTER_STEP: f64 = 0.618;

/// A backend that may be selected. The derived order of the fields is the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_unavailable: bool,
    /// Whether the request is larger than the backend's slow-start allowance.
    exceeds_allowance: bool,
    /// The expected response time, with jitter.
    cost: Micros,
    id: BackendId,
}

impl Controller {
    /// Selects the best backend for a request and moves the request to its queue. Without a candidate the
    /// request is in no queue until a sweep selects again.
    pub(crate) fn select_backend(&mut self, id: RequestId, now: Micros) {
        let random_fraction = self.random.next_fraction();
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.backends.dequeue(id, request);
        let class = &self.settings.classes[request.spec.class];
        // While a backend is being replaced, two backends may hold the shard; the one in slow start takes
        // requests within its allowance.
        let backend_ids = match request.required_shard(class) {
            Some(shard) => self.backends.ready_in_shard(shard).to_vec(),
            None => sample_candidates(&self.backends, random_fraction),
        };
        let candidates = backend_ids.into_iter().enumerate().filter_map(|(position, candidate_id)| {
            let backend = self.backends.get_mut(candidate_id)?;
            let allowance = backend.slow_start_allowance(&self.settings, now);
            Some(Candidate {
                is_unavailable: backend.health.is_unavailable(),
                exceeds_allowance: allowance < request.spec.units,
                cost: expected_response_time(backend, jitter(random_fraction, position), now),
                id: candidate_id,
            })
        });
        if let Some(best) = candidates.min() {
            self.backends.enqueue(id, request, best.id);
        }
    }
}

/// Consecutive ready backends from a random position on, at most [`SAMPLED_CANDIDATES`].
fn sample_candidates(backends: &BackendSet, random_fraction: f64) -> Vec<BackendId> {
    let ready = backends.ready();
    let first = (random_fraction * ready.len() as f64) as usize;
    let count = SAMPLED_CANDIDATES.min(ready.len());
    ready.iter().cycle().skip(first).take(count).copied().collect()
}

/// The jitter factor on the cost of the candidate at `position`.
fn jitter(random_fraction: f64, position: usize) -> f64 {
    1.0 + JITTER * (random_fraction * JITTER_SCALE + position as f64 * JITTER_STEP).fract()
}

/// The expected time from queueing a request at a backend to its response: the latency, and the time behind
/// the requests in flight and in the queue.
fn expected_response_time(backend: &Backend, jitter: f64, now: Micros) -> Micros {
    let requests = f64::from(backend.in_flight) + backend.queue.len() as f64;
    let utilization = backend.concurrency_limit.utilization(requests);
    let response_time = backend.expected_latency(now) * (1.0 + utilization) * jitter;
    response_time as Micros
}
