//! Backends that operators take out of rotation, at this head or through the cluster. What the controller is shown
//! follows at once.

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

    /// The number of backends on the list, and of those of them that are out of rotation.
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

    /// Takes over the backends that another process of this head has disabled.
    pub fn set_disabled_by_head(self: &Rc<Self>, disabled: BTreeSet<BackendId>) {
        let now = self.clock.now();
        let changes = self.overrides.borrow_mut().set_disabled_by_head(disabled, now);
        self.notify_of_changes(now, changes);
    }

    /// From now on these are the backends, by name, that the cluster disables.
    pub fn set_disabled_by_cluster<'a>(self: &Rc<Self>, names: impl Iterator<Item = &'a String>) {
        let now = self.clock.now();
        let disabled = names.map(|name| self.backends.names.id_of(name)).collect();
        let changes = self.overrides.borrow_mut().set_disabled_by_cluster(disabled, now);
        self.notify_of_changes(now, changes);
    }

    /// Shows the controller the entries that an override changed, as changes of the list.
    fn notify_of_changes(self: &Rc<Self>, now: Micros, changes: Vec<Endpoint>) {
        if !changes.is_empty() {
            self.notify_controller(now, UpdateScope::Delta, changes);
        }
    }
}
