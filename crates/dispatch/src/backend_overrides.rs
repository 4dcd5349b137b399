//! Backends that operators have taken out of rotation: a filter between the endpoint list and the dispatcher.
//!
//! Updates of the endpoint list pass through [`BackendOverrides`] on their way to the controller. A disabled
//! backend that the list gives as ready is passed on as draining. When it is enabled again, its last known
//! entry is passed on with the current time as its start time, so that the controller applies slow start.
//! [`BackendOverrides`] owns the two sets of disabled backends (this head's and the cluster's) and the last
//! entry of each listed backend. It performs no I/O and reads no clock.

use sedgerun_policy::{BackendId, Endpoint, Micros, Readiness, UpdateScope};
use std::collections::{BTreeMap, BTreeSet};

/// Why an override cannot be changed. The messages are responses to operators, whose scripts may match them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The endpoint list does not contain the backend.
    #[error("no such brick on the list")]
    NotListed,
    /// The backend is not disabled by this head.
    #[error("that brick is not disabled")]
    NotDisabled,
}

/// The backends that operators have disabled, and the last entry of each listed backend.
#[derive(Debug, Default)]
pub struct BackendOverrides {
    /// Disabled on this head's management address; applies to this head alone.
    disabled_by_head: BTreeSet<BackendId>,
    /// Disabled by the cluster; applies to all heads.
    disabled_by_cluster: BTreeSet<BackendId>,
    /// The last entry of each backend on the endpoint list, as the list gave it.
    listed: BTreeMap<BackendId, Endpoint>,
}

impl BackendOverrides {
    /// The backends that are disabled at this head alone.
    pub fn disabled_by_head(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.disabled_by_head.iter().copied()
    }

    /// Whether a backend is disabled, by this head or by the cluster.
    pub fn is_disabled(&self, backend: BackendId) -> bool {
        self.disabled_by_head.contains(&backend) || self.disabled_by_cluster.contains(&backend)
    }

    /// The number of backends on the endpoint list.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// The number of backends on the endpoint list that are disabled.
    pub fn out_of_rotation_count(&self) -> usize {
        let disabled = self.disabled_by_head.union(&self.disabled_by_cluster);
        disabled.filter(|backend| self.listed.contains_key(backend)).count()
    }

    /// Records an update of the endpoint list and returns it with the ready entries of disabled backends
    /// changed to draining.
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

    /// Disables a backend at this head and returns the changed entry for the controller. Disabling it again
    /// also succeeds and has no further effect.
    pub fn disable(&mut self, backend: BackendId) -> Result<Vec<Endpoint>, OverrideError> {
        let endpoint = self.listed.get(&backend).ok_or(OverrideError::NotListed)?;
        self.disabled_by_head.insert(backend);
        Ok(vec![as_draining(endpoint)])
    }

    /// Enables a backend that this head has disabled and returns the changed entry for the controller; no
    /// entry if the cluster still disables the backend.
    pub fn enable(&mut self, backend: BackendId, now: Micros) -> Result<Vec<Endpoint>, OverrideError> {
        if !self.disabled_by_head.remove(&backend) {
            return Err(OverrideError::NotDisabled);
        }
        Ok(self.return_to_rotation(backend, now).into_iter().collect())
    }

    /// Replaces the set of backends that the cluster disables and returns the changed entries for the
    /// controller.
    pub fn set_disabled_by_cluster(&mut self, disabled: BTreeSet<BackendId>, now: Micros) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.disabled_by_cluster, disabled.clone());
        self.changes_between(&before, &disabled, now)
    }

    /// Replaces the set of backends that this head disables, as handed over by another process of this head,
    /// and returns the changed entries for the controller. The backends need not be on the endpoint list yet.
    pub fn set_disabled_by_head(&mut self, disabled: BTreeSet<BackendId>, now: Micros) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.disabled_by_head, disabled.clone());
        self.changes_between(&before, &disabled, now)
    }

    /// The changed entries for the controller after one set of disabled backends has replaced another.
    fn changes_between(
        &mut self,
        before: &BTreeSet<BackendId>,
        after: &BTreeSet<BackendId>,
        now: Micros,
    ) -> Vec<Endpoint> {
        let added = after.difference(before).filter_map(|backend| self.listed.get(backend));
        let mut changes: Vec<Endpoint> = added.map(as_draining).collect();
        changes.extend(before.difference(after).filter_map(|backend| self.return_to_rotation(*backend, now)));
        changes
    }

    /// The entry of a backend that is back in rotation; `None` if the other override still disables it or the
    /// endpoint list does not contain it. Operators restart backends while they are out of rotation, so the
    /// entry's start time is set to `now`.
    fn return_to_rotation(&mut self, backend: BackendId, now: Micros) -> Option<Endpoint> {
        if self.is_disabled(backend) {
            return None;
        }
        let endpoint = self.listed.get_mut(&backend)?;
        endpoint.started_at = endpoint.started_at.max(now);
        Some(endpoint.clone())
    }
}

/// The entry that the controller gets for a disabled backend. Entries that are not ready stay as they are.
fn as_draining(endpoint: &Endpoint) -> Endpoint {
    let readiness =
        if endpoint.readiness == Readiness::Ready { Readiness::Draining } else { endpoint.readiness };
    Endpoint { readiness, ..endpoint.clone() }
}
