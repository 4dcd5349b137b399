//! Maps the names that deployments give their backends to the numeric ids that the policy uses, and back.

use sedgerun_policy::BackendId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A two-way map between backend names and ids. An id is never reused.
#[derive(Debug, Default)]
pub struct BackendNames {
    ids: RefCell<HashMap<Rc<str>, BackendId>>,
    names: RefCell<BTreeMap<BackendId, Rc<str>>>,
    last_id: Cell<u64>,
}

impl BackendNames {
    /// The id of a name, which is assigned on first use and kept until it is removed.
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

    /// The id of a name; `None` if no backend has the name.
    pub fn find(&self, name: &str) -> Option<BackendId> {
        self.ids.borrow().get(name).copied()
    }

    /// The name of an id; `None` if the id is not in use.
    pub fn name(&self, id: BackendId) -> Option<String> {
        self.names.borrow().get(&id).map(std::string::ToString::to_string)
    }

    /// All ids in use, in ascending order.
    pub fn all(&self) -> Vec<BackendId> {
        self.names.borrow().keys().copied().collect()
    }

    /// Removes an id. If its name is used again, it gets a new id.
    pub(super) fn remove(&self, id: BackendId) {
        if let Some(name) = self.names.borrow_mut().remove(&id) {
            self.ids.borrow_mut().remove(&name);
        }
    }
}
