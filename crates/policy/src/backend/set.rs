//! All backends, and which of them take requests.

use super::Backend;
use crate::quota::VolumeQuotas;
use crate::request::QueuedRequest;
use crate::{BackendId, Endpoint, Micros, Readiness, RequestId, Settings};
use std::collections::BTreeMap;

/// All backends that the endpoint list names, or that have something in flight still.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackendSet {
    by_id: BTreeMap<BackendId, Backend>,
    /// Those that take requests, in order.
    ready: Vec<BackendId>,
    /// The same, by shard.
    ready_by_shard: BTreeMap<u32, Vec<BackendId>>,
}

impl BackendSet {
    /// A backend, unless it has been removed.
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.by_id.get(&id)
    }

    /// A backend, unless it has been removed.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.by_id.get_mut(&id)
    }

    /// The identities of all backends, in order.
    pub(crate) fn ids(&self) -> Vec<BackendId> {
        self.by_id.keys().copied().collect()
    }

    /// The backends that take requests for a shard, in order.
    pub(crate) fn ready_in_shard(&self, shard: u32) -> &[BackendId] {
        self.ready_by_shard.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// All backends that take requests, in order.
    pub(crate) fn ready(&self) -> &[BackendId] {
        &self.ready
    }

    /// Puts a request into the queue of a backend.
    pub(crate) fn enqueue(&mut self, id: RequestId, request: &mut QueuedRequest, backend_id: BackendId) {
        if let Some(backend) = self.by_id.get_mut(&backend_id) {
            backend.queue.insert(request.due_at, id);
            request.queued_at = Some(backend_id);
        }
    }

    /// Takes a request out of the queue that it is in, if any.
    pub(crate) fn dequeue(&mut self, id: RequestId, request: &mut QueuedRequest) {
        let backend_id = request.queued_at.take();
        if let Some(backend) = backend_id.and_then(|backend_id| self.by_id.get_mut(&backend_id)) {
            backend.queue.remove(request.due_at, id);
        }
    }

    /// Lets the silence of every backend count from now on only.
    pub(crate) fn begin_silence(&mut self, now: Micros) {
        self.by_id.values_mut().for_each(|backend| backend.health.begin_silence(now));
    }

    /// Ends a control period at every backend.
    pub(crate) fn end_period(&mut self, quotas: &VolumeQuotas, settings: &Settings) {
        self.by_id.values_mut().for_each(|backend| backend.end_period(quotas, settings));
    }

    /// Takes every backend for removed, until a complete list names it again.
    pub(crate) fn mark_all_removed(&mut self) {
        self.by_id.values_mut().for_each(|backend| backend.readiness = Readiness::Removed);
    }

    /// Takes in what the list says of a backend, and returns it and whether it is a new process. Its latency
    /// objective is used while nothing was sent there.
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
        backend.slow_start.note_start(endpoint.started_at);
        (backend, has_restarted)
    }

    /// Forgets removed backends that have nothing left, works out which ones take requests, and returns the
    /// requests that wait for one that does not.
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
