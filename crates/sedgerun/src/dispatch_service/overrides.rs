//! Backends that operators disable at this head or through the cluster. The controller is notified of each
//! change at once.

use super::DispatchService;
use sedgerun_dispatch::OverrideError;
use sedgerun_policy::{BackendId, Endpoint, Micros, UpdateScope};
use std::collections::BTreeSet;
use std::rc::Rc;

impl DispatchService {
    /// Whether operators have disabled a backend, at this head or through the cluster.
    pub fn is_disabled(&self, backend: BackendId) -> bool {
        self.overrides.borrow().is_disabled(backend)
    }

    /// The backends that operators have disabled at this head.
    pub fn disabled_by_head(&self) -> BTreeSet<BackendId> {
        self.overrides.borrow().disabled_by_head().collect()
    }

    /// The number of backends on the endpoint list, and the number of these that are out of rotation.
    pub fn rotation(&self) -> (usize, usize) {
        let overrides = self.overrides.borrow();
        (overrides.listed_count(), overrides.out_of_rotation_count())
    }

    /// Disables a backend at this head.
    pub fn disable(self: &Rc<Self>, backend: BackendId) -> Result<(), OverrideError> {
        let changes = self.overrides.borrow_mut().disable(backend)?;
        self.notify_of_changes(self.clock.now(), changes);
        Ok(())
    }

    /// Enables a backend that was disabled at this head.
    pub fn enable(self: &Rc<Self>, backend: BackendId) -> Result<(), OverrideError> {
        let now = self.clock.now();
        let changes = self.overrides.borrow_mut().enable(backend, now)?;
        self.notify_of_changes(now, changes);
        Ok(())
    }

    /// Sets the backends disabled at this head to those received from another process of this head.
    pub fn set_disabled_by_head(self: &Rc<Self>, disabled: BTreeSet<BackendId>) {
        let now = self.clock.now();
        let changes = self.overrides.borrow_mut().set_disabled_by_head(disabled, now);
        self.notify_of_changes(now, changes);
    }

    /// Sets the backends, by name, that are disabled through the cluster.
    pub fn set_disabled_by_cluster<'a>(self: &Rc<Self>, names: impl Iterator<Item = &'a String>) {
        let now = self.clock.now();
        let disabled = names.map(|name| self.backends.names.id_of(name)).collect();
        let changes = self.overrides.borrow_mut().set_disabled_by_cluster(disabled, now);
        self.notify_of_changes(now, changes);
    }

    /// Sends the endpoints that an override changed to the controller as a delta of the endpoint list.
    fn notify_of_changes(self: &Rc<Self>, now: Micros, changes: Vec<Endpoint>) {
        if !changes.is_empty() {
            self.notify_controller(now, UpdateScope::Delta, changes);
        }
    }
}
