//! Selection: which backend a request waits for.
//!
//! The backends that hold its data are ranked; for a new object a few of all backends are drawn. The best is
//! the one with the least expected wait among those that are available and past their slow start, or have
//! allowance left in it.

use crate::backend::{Backend, BackendSet};
use crate::{BackendId, Controller, Micros, RequestId};

/// Backends that are drawn for a new object to choose from: a few keep a stale view from sending all to one
/// backend, and the cost flat in the size of the fleet.
const DRAWN_CANDIDATES: usize = 32;
/// Part of its cost that chance adds to a candidate at the most, so that heads with the same view do not all
/// select the same backend.
const JITTER: f64 = 0.2;
/// Factor on the random number of a selection, so that the jitter does not follow the draw of the candidates.
const JITTER_SCALE: f64 = 977.0;
/// Step of the jitter from candidate to candidate: the golden ratio spreads them evenly.
const JITTER_STEP: f64 = 0.618;

/// A backend that may be selected. Ordered by preference: the first difference counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_unavailable: bool,
    is_short_of_allowance: bool,
    /// The expected wait, in microseconds.
    cost: Micros,
    id: BackendId,
}

impl Controller {
    /// Selects the backend that a request waits for, in place of the one that it waits for now, and queues it
    /// there. Without a candidate it waits for none, until a sweep selects again.
    pub(crate) fn select_backend(&mut self, id: RequestId, now: Micros) {
        let chance = self.random.next_fraction();
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.backends.dequeue(id, request);
        let class = &self.settings.classes[request.spec.class];
        // While a backend is replaced two may hold the shard; one in slow start takes what it has allowance
        // for.
        let drawn = match request.required_shard(class) {
            Some(shard) => self.backends.ready_in_shard(shard).to_vec(),
            None => draw_candidates(&self.backends, chance),
        };
        let candidates = drawn.into_iter().enumerate().filter_map(|(position, candidate_id)| {
            let backend = self.backends.get_mut(candidate_id)?;
            let allowance = backend.slow_start_allowance(&self.settings, now);
            Some(Candidate {
                is_unavailable: backend.health.is_unavailable(),
                is_short_of_allowance: allowance < request.spec.units,
                cost: expected_wait(backend, jitter(chance, position), now),
                id: candidate_id,
            })
        });
        if let Some(best) = candidates.min() {
            self.backends.enqueue(id, request, best.id);
        }
    }
}

/// The ready backends from a random one on, as many as are to be compared.
fn draw_candidates(backends: &BackendSet, chance: f64) -> Vec<BackendId> {
    let ready = backends.ready();
    let first = (chance * ready.len() as f64) as usize;
    let count = DRAWN_CANDIDATES.min(ready.len());
    ready.iter().cycle().skip(first).take(count).copied().collect()
}

/// The factor that chance puts on the cost of the candidate at `position`.
fn jitter(chance: f64, position: usize) -> f64 {
    1.0 + JITTER * (chance * JITTER_SCALE + position as f64 * JITTER_STEP).fract()
}

/// How long a request will take at a backend, the wait behind those that are there included, in microseconds.
fn expected_wait(backend: &Backend, jitter: f64, now: Micros) -> Micros {
    let requests = f64::from(backend.in_flight) + backend.queue.len() as f64;
    let utilization = backend.concurrency_limit.utilization(requests);
    let wait = backend.expected_latency(now) * (1.0 + utilization) * jitter;
    wait as Micros
}
