//! The attached roots of trees at a backend, which are kept for later attempts within a limit in bytes.

use sedgerun_protocol_9p::Qid;
use std::cell::Cell;
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

/// The memory for the roots of all connections.
#[derive(Clone, Debug)]
pub(super) struct RootMemory {
    used: Rc<Cell<usize>>,
    max: usize,
}

impl RootMemory {
    pub(super) fn new(max: usize) -> RootMemory {
        RootMemory { used: Rc::default(), max }
    }

    fn fits(&self, bytes: usize) -> bool {
        self.used.get() + bytes <= self.max
    }

    fn take(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
    }

    fn give_back(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }
}

#[derive(Debug)]
struct KeptRoot {
    root: Rc<Root>,
    last_use: u64,
}

/// The roots that one connection keeps.
#[derive(Debug)]
pub(super) struct RootTable {
    roots: HashMap<TreeKey, KeptRoot>,
    uses: u64,
    memory: RootMemory,
}

impl RootTable {
    pub(super) fn new(memory: RootMemory) -> RootTable {
        RootTable { roots: HashMap::new(), uses: 0, memory }
    }

    /// The root kept for a key. It stays attached for as long as the result is held.
    pub(super) fn get(&mut self, key: &TreeKey) -> Option<Rc<Root>> {
        self.uses += 1;
        let kept = self.roots.get_mut(key)?;
        kept.last_use = self.uses;
        Some(Rc::clone(&kept.root))
    }

    /// Removes unused roots, the least recently used first, until a root with this key fits. Returns their
    /// fids, and whether it fits.
    pub(super) fn make_room(&mut self, key: &TreeKey) -> (Vec<u32>, bool) {
        let mut evicted = Vec::new();
        while !self.memory.fits(key.bytes()) {
            let unused = self.roots.iter().filter(|(_, kept)| Rc::strong_count(&kept.root) == 1);
            let oldest = unused.min_by_key(|(_, kept)| kept.last_use).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { return (evicted, false) };
            evicted.extend(self.remove(&oldest));
        }
        (evicted, true)
    }

    /// Whether a root is kept for a key.
    pub(super) fn contains(&self, key: &TreeKey) -> bool {
        self.roots.contains_key(key)
    }

    /// Keeps a root for a key that has none, and for which there is room.
    pub(super) fn insert(&mut self, key: TreeKey, root: Rc<Root>) {
        self.uses += 1;
        self.memory.take(key.bytes());
        self.roots.insert(key, KeptRoot { root, last_use: self.uses });
    }

    fn remove(&mut self, key: &TreeKey) -> Option<u32> {
        let removed = self.roots.remove(key)?;
        self.memory.give_back(key.bytes());
        Some(removed.root.fid)
    }
}

impl Drop for RootTable {
    fn drop(&mut self) {
        self.memory.give_back(self.roots.keys().map(TreeKey::bytes).sum());
    }
}
