//! The attached roots of trees at a backend, which are kept for later attempts within a limit in bytes.

use crate::memory_budget::{MemoryBudget, MemoryReservation};
use sedgerun_protocol_9p::Qid;
use std::collections::HashMap;
use std::rc::Rc;

/// Memory of a root besides its names, in bytes.
const ROOT_BYTES: usize = 160;

/// The user and tree that a root is attached for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TreeKey {
    pub(super) uname: Rc<str>,
    pub(super) tree: String,
}

impl TreeKey {
    fn bytes(&self) -> usize {
        ROOT_BYTES + self.uname.len() + self.tree.len()
    }
}

/// The root of a tree, attached for one user.
#[derive(Clone, Copy, Debug)]
pub(super) struct Root {
    pub(super) fid: u32,
    pub(super) qid: Qid,
}

#[derive(Debug)]
struct KeptRoot {
    root: Rc<Root>,
    last_use: u64,
    /// Held for as long as the root is kept.
    _memory: MemoryReservation,
}

/// The roots that one connection keeps.
#[derive(Debug)]
pub(super) struct RootTable {
    roots: HashMap<TreeKey, KeptRoot>,
    uses: u64,
    /// The memory for the roots of all connections.
    memory: MemoryBudget,
}

impl RootTable {
    pub(super) fn new(memory: MemoryBudget) -> RootTable {
        RootTable { roots: HashMap::new(), uses: 0, memory }
    }

    /// The root kept for a key. It stays attached for as long as the result is held.
    pub(super) fn get(&mut self, key: &TreeKey) -> Option<Rc<Root>> {
        self.uses += 1;
        let kept = self.roots.get_mut(key)?;
        kept.last_use = self.uses;
        Some(Rc::clone(&kept.root))
    }

    /// Reserves the memory for a root with this key. Unused roots are removed for it, the least recently used
    /// first; returns their fids, too.
    pub(super) fn reserve(&mut self, key: &TreeKey) -> (Vec<u32>, Option<MemoryReservation>) {
        let mut evicted = Vec::new();
        loop {
            if let Some(memory) = self.memory.reserve(key.bytes()) {
                return (evicted, Some(memory));
            }
            let unused = self.roots.iter().filter(|(_, kept)| Rc::strong_count(&kept.root) == 1);
            let oldest = unused.min_by_key(|(_, kept)| kept.last_use).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { return (evicted, None) };
            evicted.extend(self.roots.remove(&oldest).map(|removed| removed.root.fid));
        }
    }

    /// Whether a root is kept for a key.
    pub(super) fn contains(&self, key: &TreeKey) -> bool {
        self.roots.contains_key(key)
    }

    /// Keeps a root for a key that has none.
    pub(super) fn insert(&mut self, key: TreeKey, root: Rc<Root>, memory: MemoryReservation) {
        self.uses += 1;
        self.roots.insert(key, KeptRoot { root, last_use: self.uses, _memory: memory });
    }
}
