//! The fids of a session: which file each stands for, and how it is open. No reference into the table is kept across an
//! operation, which works on a copy of its fid.

use super::error::NinePError;
use crate::tenants::Export;
use sedgerun_protocol_9p::NO_FID;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// What a fid stands for.
#[derive(Clone)]
pub(super) struct Fid {
    pub(super) export: Rc<Export>,
    /// The user that attached.
    pub(super) uname: String,
    /// The names from the export's root.
    pub(super) path: Vec<String>,
    /// The mode that it is open in.
    pub(super) open_mode: Option<u8>,
    /// What backends keep its open file under.
    pub(super) handle: u64,
}

impl Fid {
    /// Checks that the fid is not open.
    pub(super) fn check_not_open(&self) -> Result<(), NinePError> {
        if self.open_mode.is_some() { Err(NinePError::FidIsOpen) } else { Ok(()) }
    }
}

/// The fids of a session by their numbers.
#[derive(Default)]
pub(super) struct FidTable(RefCell<HashMap<u32, Fid>>);

impl FidTable {
    /// A copy of a fid.
    pub(super) fn get(&self, number: u32) -> Result<Fid, NinePError> {
        self.0.borrow().get(&number).cloned().ok_or(NinePError::UnknownFid)
    }

    /// Checks that a new fid may have this number, of at most so many fids.
    pub(super) fn check_vacant(&self, number: u32, most: usize) -> Result<(), NinePError> {
        let fids = self.0.borrow();
        if number == NO_FID || fids.contains_key(&number) {
            return Err(NinePError::FidInUse);
        }
        if fids.len() >= most { Err(NinePError::TooManyFids) } else { Ok(()) }
    }

    /// Adds a fid, or replaces it.
    pub(super) fn insert(&self, number: u32, fid: Fid) {
        self.0.borrow_mut().insert(number, fid);
    }

    /// Changes a fid, where it is still there.
    pub(super) fn update(&self, number: u32, change: impl FnOnce(&mut Fid)) {
        if let Some(fid) = self.0.borrow_mut().get_mut(&number) {
            change(fid);
        }
    }

    /// Removes a fid.
    pub(super) fn remove(&self, number: u32) -> Result<Fid, NinePError> {
        self.0.borrow_mut().remove(&number).ok_or(NinePError::UnknownFid)
    }

    /// Removes all fids.
    pub(super) fn take_all(&self) -> Vec<Fid> {
        std::mem::take(&mut *self.0.borrow_mut()).into_values().collect()
    }
}
