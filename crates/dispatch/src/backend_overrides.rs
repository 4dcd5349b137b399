//! Backends that operators have taken out of rotation: a pure filter between the endpoint list and the dispatcher.
//!
//! Updates of the list pass through [`BackendOverrides`] on their way to the controller. A disabled backend is
//! shown as draining, whatever the list says, until it is enabled again; then its last entry is shown as just
//! started, so that the controller warms it up. [`BackendOverrides`] owns the two sets of disabled backends (this
//! head's and the cluster's) and the last entry of each listed backend; it does no I/O and has no clock.

use sedgerun_policy::{BackendId, Endpoint, Micros, Readiness, UpdateScope};
use std::collections::{BTreeMap, BTreeSet};

/// Why an override cannot be changed. The texts are answers to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The endpoint list has no such backend.
    #[error("no such brick on the list")]
    NotListed,
    /// This head has not disabled the backend.
    #[error("that brick is not disabled")]
    NotDisabled,
}

/// The backends that operators have disabled, and the last entry of each listed backend.
#[derive(Debug, Default)]
pub struct BackendOverrides {
    /// Through this head's own management address.
    disabled_by_head: BTreeSet<BackendId>,
    /// By the cluster, at all its heads.
    disabled_by_cluster: BTreeSet<BackendId>,
    listed: BTreeMap<BackendId, Endpoint>,
}

impl BackendOverrides {
    /// The backends that this head has disabled on its own.
    pub fn disabled_by_head(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.disabled_by_head.iter().copied()
    }

    /// Whether a backend is disabled, by this head or by the cluster.
    pub fn is_disabled(&self, backend: BackendId) -> bool {
        self.disabled_by_head.contains(&backend) || self.disabled_by_cluster.contains(&backend)
    }

    /// The number of backends on the list.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// The number of backends on the list that are disabled.
    pub fn out_of_rotation_count(&self) -> usize {
        let disabled = self.disabled_by_head.union(&self.disabled_by_cluster);
        disabled.filter(|backend| self.listed.contains_key(backend)).count()
    }

    /// Takes note of an update of the list, and turns the entries of disabled backends into draining ones.
    pub fn filter(&mut self, scope: UpdateScope, mut endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            self.listed.clear();
        }
        for endpoint in &mut endpoints {
            if endpoint.readiness == Readiness::Removed {
                self.listed.remove(&endpoint.backend);
            } else {
                self.listed.insert(endpoint.backend, endpoint.clone());
            }
            if self.is_disabled(endpoint.backend) {
                *endpoint = as_draining(endpoint);
            }
        }
        endpoints
    }

    /// Disables a backend at this head; the entries that change for the controller. A second call succeeds and
    /// changes nothing.
    pub fn disable(&mut self, backend: BackendId) -> Result<Vec<Endpoint>, OverrideError> {
        let endpoint = self.listed.get(&backend).ok_or(OverrideError::NotListed)?;
        self.disabled_by_head.insert(backend);
        Ok(vec![as_draining(endpoint)])
    }

    /// Enables a backend that this head has disabled; the entries that change for the controller: none while the
    /// cluster still disables it.
    pub fn enable(&mut self, backend: BackendId, now: Micros) -> Result<Vec<Endpoint>, OverrideError> {
        if !self.disabled_by_head.remove(&backend) {
            return Err(OverrideError::NotDisabled);
        }
        Ok(self.restore(backend, now).into_iter().collect())
    }

    /// From now on these are the backends that the cluster disables; the entries that change for the controller.
    pub fn set_disabled_by_cluster(&mut self, disabled: BTreeSet<BackendId>, now: Micros) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.disabled_by_cluster, disabled.clone());
        self.changes_between(&before, &disabled, now)
    }

    /// Takes over the backends that another process of this head disables, be they listed yet or not; the entries
    /// that change for the controller.
    pub fn set_disabled_by_head(&mut self, disabled: BTreeSet<BackendId>, now: Micros) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.disabled_by_head, disabled.clone());
        self.changes_between(&before, &disabled, now)
    }

    /// The entries that change for the controller as one set of disabled backends takes the place of another.
    fn changes_between(
        &mut self,
        before: &BTreeSet<BackendId>,
        after: &BTreeSet<BackendId>,
        now: Micros,
    ) -> Vec<Endpoint> {
        let added = after.difference(before).filter_map(|backend| self.listed.get(backend));
        let mut changes: Vec<Endpoint> = added.map(as_draining).collect();
        changes.extend(before.difference(after).filter_map(|backend| self.restore(*backend, now)));
        changes
    }

    /// The entry of a backend that is in rotation again; none while another override disables it. Operators
    /// restart a backend while it is out, so it counts as just started.
    fn restore(&mut self, backend: BackendId, now: Micros) -> Option<Endpoint> {
        if self.is_disabled(backend) {
            return None;
        }
        let endpoint = self.listed.get_mut(&backend)?;
        endpoint.started_at = endpoint.started_at.max(now);
        Some(endpoint.clone())
    }
}

/// An entry as the controller sees it while its backend is disabled.
fn as_draining(endpoint: &Endpoint) -> Endpoint {
    let readiness =
        if endpoint.readiness == Readiness::Ready { Readiness::Draining } else { endpoint.readiness };
    Endpoint { readiness, ..endpoint.clone() }
}
