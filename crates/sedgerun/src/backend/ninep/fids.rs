//! The fids of a connection: roots of trees, files that clients have open, and those that are of no more use.

use sedgerun_protocol_9p::{NO_FID, Qid};
use std::cell::RefCell;
use std::collections::HashMap;

/// A user and a tree: what a root was attached for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TreeKey {
    pub(super) uname: String,
    pub(super) tree: String,
}

/// The root of a tree, attached for one user.
#[derive(Clone, Copy, Debug)]
pub(super) struct Root {
    pub(super) fid: u32,
    pub(super) qid: Qid,
}

/// The fids of one connection.
#[derive(Default)]
pub(super) struct FidTable {
    last_fid: u32,
    /// Roots that are attached; they stay for as long as the connection.
    pub(super) roots: HashMap<TreeKey, Root>,
    /// The fids of clients' open files, by the clients' handles.
    parked: HashMap<u64, u32>,
    /// Fids that are still to be clunked at the backend.
    stale: Vec<u32>,
}

impl FidTable {
    /// The fid that is parked for a client's open file.
    pub(super) fn parked(&self, handle: u64) -> Option<u32> {
        self.parked.get(&handle).copied()
    }

    /// Gives up what is parked for a client's open file.
    pub(super) fn release(&mut self, handle: u64) {
        if let Some(fid) = self.parked.remove(&handle) {
            self.stale.push(fid);
        }
    }

    /// Takes out all fids that are of no more use.
    pub(super) fn take_stale(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.stale)
    }

    fn park(&mut self, handle: u64, fid: u32) {
        if let Some(previous) = self.parked.insert(handle, fid) {
            self.stale.push(previous);
        }
    }
}

/// A fid of one attempt. When it is dropped it becomes stale, to be clunked, unless it was kept or parked.
pub(super) struct FidGuard<'a> {
    table: &'a RefCell<FidTable>,
    fid: u32,
    is_kept: bool,
}

impl<'a> FidGuard<'a> {
    /// A new fid.
    pub(super) fn new(table: &'a RefCell<FidTable>) -> FidGuard<'a> {
        let mut fids = table.borrow_mut();
        fids.last_fid = (fids.last_fid + 1) % NO_FID;
        FidGuard { table, fid: fids.last_fid, is_kept: false }
    }

    pub(super) fn fid(&self) -> u32 {
        self.fid
    }

    /// Leaves the fid to the caller.
    pub(super) fn keep(mut self) -> u32 {
        self.is_kept = true;
        self.fid
    }

    /// Keeps the fid for later operations on a client's open file.
    pub(super) fn park(self, handle: u64) {
        let table = self.table;
        let fid = self.keep();
        table.borrow_mut().park(handle, fid);
    }
}

impl Drop for FidGuard<'_> {
    fn drop(&mut self) {
        if !self.is_kept {
            self.table.borrow_mut().stale.push(self.fid);
        }
    }
}
