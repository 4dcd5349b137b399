//! The names that deployments give their backends, and the numbers that the decisions use in their place.

use sedgerun_policy::BackendId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The two-way table of backend names and numbers. A number is never given twice.
#[derive(Debug, Default)]
pub struct BackendNames {
    ids: RefCell<HashMap<Rc<str>, BackendId>>,
    names: RefCell<BTreeMap<BackendId, Rc<str>>>,
    last_id: Cell<u64>,
}

impl BackendNames {
    /// The number of a name, a new one where it has none; the same name has the same one until it is forgotten.
    pub fn id_of(&self, name: &str) -> BackendId {
        if let Some(id) = self.find(name) {
            return id;
        }
        self.last_id.set(self.last_id.get() + 1);
        let id = BackendId(self.last_id.get());
        let name = Rc::<str>::from(name);
        self.ids.borrow_mut().insert(Rc::clone(&name), id);
        self.names.borrow_mut().insert(id, name);
        id
    }

    /// The number of a name that is in use; `None` for a name that no backend has.
    pub fn find(&self, name: &str) -> Option<BackendId> {
        self.ids.borrow().get(name).copied()
    }

    /// The name of a number; `None` for one that is not in use.
    pub fn name(&self, id: BackendId) -> Option<String> {
        self.names.borrow().get(&id).map(std::string::ToString::to_string)
    }

    /// All numbers in use, the lowest first.
    pub fn all(&self) -> Vec<BackendId> {
        self.names.borrow().keys().copied().collect()
    }

    /// Forgets a number; its name, should it come back, gets a new one.
    pub(super) fn forget(&self, id: BackendId) {
        if let Some(name) = self.names.borrow_mut().remove(&id) {
            self.ids.borrow_mut().remove(&name);
        }
    }
}
