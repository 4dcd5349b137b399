//! The fids of a connection: roots of trees, clients' open files, and stale fids to be clunked.

use super::roots::{Root, RootTable, TreeKey};
use crate::memory_budget::MemoryBudget;
use sedgerun_protocol_9p::NO_FID;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The fids of one connection.
pub(super) struct FidTable {
    last_fid: u32,
    /// Attached roots.
    roots: RootTable,
    /// Fids of clients' open files, by the clients' handles.
    open_files: HashMap<u64, u32>,
    /// Unused fids that are still to be clunked at the backend.
    stale: Vec<u32>,
}

impl FidTable {
    /// A table without fids, whose roots share this memory with those of other connections.
    pub(super) fn new(roots: MemoryBudget) -> FidTable {
        FidTable { last_fid: 0, roots: RootTable::new(roots), open_files: HashMap::new(), stale: Vec::new() }
    }

    /// The root kept for a user and a tree.
    pub(super) fn root(&mut self, key: &TreeKey) -> Option<Rc<Root>> {
        self.roots.get(key)
    }

    /// Keeps a root, if memory suffices for it and another attempt has not kept one for the same key;
    /// otherwise its fid remains the caller's. Roots that give way are marked as stale.
    pub(super) fn keep_root(&mut self, key: TreeKey, root: Root) -> Option<Rc<Root>> {
        if self.roots.contains(&key) {
            return None;
        }
        let (evicted, memory) = self.roots.reserve(&key);
        self.stale.extend(evicted);
        let (root, memory) = (Rc::new(root), memory?);
        self.roots.insert(key, Rc::clone(&root), memory);
        Some(root)
    }

    /// The fid cached for a client's open file.
    pub(super) fn cached(&self, handle: u64) -> Option<u32> {
        self.open_files.get(&handle).copied()
    }

    /// Marks the fid cached for a client's open file as stale.
    pub(super) fn release(&mut self, handle: u64) {
        if let Some(fid) = self.open_files.remove(&handle) {
            self.stale.push(fid);
        }
    }

    /// Removes and returns all stale fids.
    pub(super) fn take_stale(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.stale)
    }

    fn cache(&mut self, handle: u64, fid: u32) {
        if let Some(previous) = self.open_files.insert(handle, fid) {
            self.stale.push(previous);
        }
    }
}

/// A fid of one attempt. Dropping it marks the fid as stale, unless it was kept or cached.
pub(super) struct FidGuard<'a> {
    table: &'a RefCell<FidTable>,
    fid: u32,
    is_kept: bool,
}

impl<'a> FidGuard<'a> {
    /// Allocates a fid.
    pub(super) fn new(table: &'a RefCell<FidTable>) -> FidGuard<'a> {
        let mut fids = table.borrow_mut();
        fids.last_fid = (fids.last_fid + 1) % NO_FID;
        FidGuard { table, fid: fids.last_fid, is_kept: false }
    }

    /// Takes over the fid cached for a client's open file; `None` if there is none.
    pub(super) fn take_open_file(table: &'a RefCell<FidTable>, handle: u64) -> Option<FidGuard<'a>> {
        let fid = table.borrow_mut().open_files.remove(&handle)?;
        Some(FidGuard { table, fid, is_kept: false })
    }

    pub(super) fn fid(&self) -> u32 {
        self.fid
    }

    /// Transfers the fid to the caller, so that it does not become stale.
    pub(super) fn keep(mut self) -> u32 {
        self.is_kept = true;
        self.fid
    }

    /// Caches the fid for later operations on a client's open file. A fid cached before becomes stale.
    pub(super) fn cache(self, handle: u64) {
        let table = self.table;
        let fid = self.keep();
        table.borrow_mut().cache(handle, fid);
    }
}

impl Drop for FidGuard<'_> {
    fn drop(&mut self) {
        if !self.is_kept {
            self.table.borrow_mut().stale.push(self.fid);
        }
    }
}
