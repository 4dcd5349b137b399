//! All known backends, and which of them are ready.

use super::Backend;
use crate::quota::VolumeQuotas;
use crate::request::OpenRequest;
use crate::{BackendId, Endpoint, Micros, Readiness, RequestId, Settings};
use std::collections::BTreeMap;

/// The most pairs of a volume and a backend whose demand is tracked.
const MAX_DEMANDS: usize = 8192;

/// All backends that are in the endpoint list, or still have attempts in flight or requests queued.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendSet {
    by_id: BTreeMap<BackendId, Backend>,
    /// The ready backends, in order of their identifiers.
    ready: Vec<BackendId>,
    /// The ready backends of each shard, in order of their identifiers.
    ready_by_shard: BTreeMap<u32, Vec<BackendId>>,
    /// The number of pairs of a volume and a backend whose demand is tracked.
    demands: usize,
}

impl BackendSet {
    /// The backend with an identifier, if it is known.
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.by_id.get(&id)
    }

    /// The backend with an identifier, if it is known.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.by_id.get_mut(&id)
    }

    /// The identifiers of all backends, in order.
    pub(crate) fn ids(&self) -> Vec<BackendId> {
        self.by_id.keys().copied().collect()
    }

    /// The ready backends of a shard, in order of their identifiers.
    pub(crate) fn ready_in_shard(&self, shard: u32) -> &[BackendId] {
        self.ready_by_shard.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// All ready backends, in order of their identifiers.
    pub(crate) fn ready(&self) -> &[BackendId] {
        &self.ready
    }

    /// Adds a request to the queue of a backend.
    pub(crate) fn enqueue(&mut self, id: RequestId, request: &mut OpenRequest, backend_id: BackendId) {
        if let Some(backend) = self.by_id.get_mut(&backend_id) {
            backend.queue.insert(request.objective_deadline, id);
            request.queued_at = Some(backend_id);
        }
    }

    /// Removes a request from the queue that it is in, if any.
    pub(crate) fn dequeue(&mut self, id: RequestId, request: &mut OpenRequest) {
        let backend_id = request.queued_at.take();
        if let Some(backend) = backend_id.and_then(|backend_id| self.by_id.get_mut(&backend_id)) {
            backend.queue.remove(request.objective_deadline, id);
        }
    }

    /// Counts the time without a response of every backend from `now` on.
    pub(crate) fn restart_response_clocks(&mut self, now: Micros) {
        self.by_id.values_mut().for_each(|backend| backend.health.restart_response_clock(now));
    }

    /// Records a request for a volume that is queued at a backend on arrival. Past [`MAX_DEMANDS`] the demand of a
    /// volume that is new there counts in the backend's total alone.
    pub(crate) fn on_demand(&mut self, backend: BackendId, volume: u64, units: f64) {
        let may_track = self.demands < MAX_DEMANDS;
        let Some(backend) = self.by_id.get_mut(&backend) else { return };
        if backend.rate_control.on_demand(volume, units, may_track) {
            self.demands += 1;
        }
    }

    /// The number of pairs of a volume and a backend whose demand is tracked.
    pub(crate) fn demands(&self) -> usize {
        self.demands
    }

    /// Ends the control period of every backend.
    pub(crate) fn end_period(&mut self, quotas: &VolumeQuotas, settings: &Settings) {
        self.by_id.values_mut().for_each(|backend| backend.end_period(quotas, settings));
        self.demands = self.by_id.values().map(|backend| backend.rate_control.demands()).sum();
    }

    /// Marks every backend as removed; the entries of the complete list that follows undo this.
    pub(crate) fn mark_all_removed(&mut self) {
        self.by_id.values_mut().for_each(|backend| backend.readiness = Readiness::Removed);
    }

    /// Applies an entry of the endpoint list; returns the backend, and whether its process has restarted.
    /// `objective` is the latency objective of a new process until requests are sent to it.
    pub(crate) fn update(
        &mut self,
        endpoint: &Endpoint,
        objective: Micros,
        now: Micros,
    ) -> (&mut Backend, bool) {
        let backend = self.by_id.entry(endpoint.backend).or_insert_with(|| Backend::new(objective, now));
        let has_restarted = endpoint.started_at > backend.slow_start.started_at();
        if has_restarted {
            backend.restart(objective, now);
        }
        backend.shard = endpoint.shard;
        backend.readiness = endpoint.readiness;
        backend.slow_start.record_start(endpoint.started_at);
        (backend, has_restarted)
    }

    /// Drops removed backends without attempts and requests, lists the ready ones anew, and returns the
    /// requests that were queued at backends which are not ready.
    pub(crate) fn finish_update(&mut self) -> Vec<RequestId> {
        self.by_id.retain(|_, backend| {
            let is_in_use = backend.in_flight > 0 || !backend.queue.is_empty();
            backend.readiness != Readiness::Removed || is_in_use
        });
        self.ready.clear();
        self.ready_by_shard.clear();
        let mut stranded = Vec::new();
        for (id, backend) in &mut self.by_id {
            if backend.readiness == Readiness::Ready {
                self.ready.push(*id);
                self.ready_by_shard.entry(backend.shard).or_default().push(*id);
            } else {
                stranded.extend(backend.queue.take_all());
            }
        }
        stranded
    }
}
