//! Hands endpoint lists to the dispatch: numbers and places their backends, adds those of the operator's file, and
//! forgets those that are no longer listed. Owns the sets of listed backends; makes no calls.

use super::list::{EndpointEntry, EndpointList};
use crate::config::Config;
use crate::dispatch_service::DispatchService;
use sedgerun_policy::{BackendId, Endpoint, Micros, Readiness, UpdateScope};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The endpoint list in force, and where it is delivered.
pub(super) struct ListDelivery {
    dispatch: Rc<DispatchService>,
    /// The backends of the operator's file, and their shards.
    operator_backends: BTreeMap<BackendId, u32>,
    /// Those of them that discovery has ever listed: it alone knows what has become of those.
    operator_backends_listed: BTreeSet<BackendId>,
    /// The backends on discovery's list, each with when its process started, as the list says and by this program's
    /// clock; both 0: long ago.
    listed: BTreeMap<BackendId, StartTime>,
    /// The same of the full list before, while a new one is placed.
    listed_before: BTreeMap<BackendId, StartTime>,
}

/// When a backend's process started.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// By the wall clock that the list names it in.
    reported: Micros,
    /// By this program's clock, as reckoned when the list first said so.
    local: Micros,
}

impl ListDelivery {
    /// A delivery to this dispatch, with an empty list.
    pub(super) fn new(dispatch: Rc<DispatchService>, config: &Config) -> ListDelivery {
        let names = &dispatch.backends().names;
        let backends = config.operator.ninep_backends.iter();
        let operator_backends = backends.map(|backend| (names.id_of(&backend.id), backend.shard)).collect();
        ListDelivery {
            dispatch,
            operator_backends,
            operator_backends_listed: BTreeSet::new(),
            listed: BTreeMap::new(),
            listed_before: BTreeMap::new(),
        }
    }

    /// The most entries that the list in force may have once this one is delivered.
    pub(super) fn size_after(&self, list: &EndpointList) -> usize {
        if list.is_full {
            return list.entries.len();
        }
        let names = &self.dispatch.backends().names;
        let is_new =
            |entry: &&EndpointEntry| names.find(&entry.id).is_none_or(|id| !self.listed.contains_key(&id));
        let added = list.entries.iter().filter(|entry| entry.readiness != Readiness::Removed).filter(is_new);
        self.listed.len() + added.count()
    }

    /// Delivers a list, or changes of it, to the dispatch; whether it is a full one that has lost more than half of
    /// the backends.
    pub(super) fn deliver(&mut self, scope: UpdateScope, entries: Vec<EndpointEntry>) -> bool {
        let size_before = self.listed.len();
        if scope != UpdateScope::Delta {
            self.listed_before = std::mem::take(&mut self.listed);
        }
        let mut endpoints: Vec<Endpoint> = entries.into_iter().map(|entry| self.place(entry)).collect();
        self.listed_before.clear();
        let has_shrunk = scope == UpdateScope::Full && 2 * self.listed.len() < size_before;
        if scope != UpdateScope::Delta {
            endpoints.extend(self.unlisted_operator_backends());
        }
        self.dispatch.update_endpoints(scope, endpoints);
        self.forget_unlisted();
        has_shrunk
    }

    /// Delivers the backends of the operator's file alone, where no list is cached.
    pub(super) fn deliver_operator_backends(&self) {
        self.dispatch.update_endpoints(UpdateScope::Cached, self.unlisted_operator_backends());
    }

    /// Notes where a backend listens; its entry as the controller takes it.
    fn place(&mut self, entry: EndpointEntry) -> Endpoint {
        let backends = self.dispatch.backends();
        let EndpointEntry { id, readiness, address, shard, zone, started_at } = entry;
        let backend = backends.names.id_of(&id);
        if self.operator_backends.contains_key(&backend) {
            self.operator_backends_listed.insert(backend);
        }
        let started_at = self.local_start_time(backend, started_at);
        if readiness == Readiness::Removed {
            self.listed.remove(&backend);
        } else {
            self.listed.insert(backend, started_at);
            self.dispatch.backends().set_address(backend, address);
        }
        let started_at = started_at.local;
        Endpoint { backend, shard, zone, started_at, readiness }
    }

    /// When a backend started, by this program's clock. Reckoned once for each process of the backend: the wall clock
    /// may be stepped afterwards.
    fn local_start_time(&self, backend: BackendId, reported: Micros) -> StartTime {
        let known = self.listed.get(&backend).or_else(|| self.listed_before.get(&backend));
        match known.filter(|known| known.reported == reported) {
            Some(known) => *known,
            None if reported == 0 => StartTime { reported, local: 0 },
            None => StartTime { reported, local: self.dispatch.clock().time_of_wall(reported) },
        }
    }

    /// Forgets the backends that are no longer listed. Guards against growing with every backend that is ever
    /// replaced. One with an attempt in flight is forgotten with a later list; those come at least once a poll.
    fn forget_unlisted(&self) {
        let backends = self.dispatch.backends();
        for backend in backends.names.all() {
            // A banned backend keeps its number, so that its ban holds when it is listed again.
            let is_needed = self.listed.contains_key(&backend)
                || self.operator_backends.contains_key(&backend)
                || self.dispatch.is_disabled(backend);
            if !is_needed && !self.dispatch.has_attempt_at(backend) {
                backends.remove(backend);
            }
        }
    }

    /// The backends of the operator's file that discovery has never listed: they count as ready.
    fn unlisted_operator_backends(&self) -> Vec<Endpoint> {
        let unlisted =
            self.operator_backends.iter().filter(|(id, _)| !self.operator_backends_listed.contains(id));
        let readiness = Readiness::Ready;
        unlisted
            .map(|(&backend, &shard)| Endpoint { backend, shard, zone: 0, started_at: 0, readiness })
            .collect()
    }
}
