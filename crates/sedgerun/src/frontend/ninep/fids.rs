//! The fids of a session: the file that each refers to, and the mode that it is open in. An operation works
//! on a copy of its fid, so that no borrow of the table is held while it waits.

use super::error::NinePError;
use crate::tenants::Export;
use sedgerun_protocol_9p::NO_FID;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The state of a fid: the file that it refers to.
#[derive(Clone)]
pub(super) struct Fid {
    pub(super) export: Rc<Export>,
    /// The user name given at attach.
    pub(super) uname: Rc<str>,
    /// The path from the export's root, a name per element.
    pub(super) path: Vec<String>,
    /// The mode that the file is open in; `None` if it is not open.
    pub(super) open_mode: Option<u8>,
    /// Identifies the open file at backends.
    pub(super) handle: u64,
}

impl Fid {
    /// Checks that the fid is not open.
    pub(super) fn check_not_open(&self) -> Result<(), NinePError> {
        if self.open_mode.is_some() { Err(NinePError::FidIsOpen) } else { Ok(()) }
    }
}

/// The fids of a session by number.
#[derive(Default)]
pub(super) struct FidTable(RefCell<HashMap<u32, Fid>>);

impl FidTable {
    /// A copy of a fid.
    pub(super) fn get(&self, number: u32) -> Result<Fid, NinePError> {
        self.0.borrow().get(&number).cloned().ok_or(NinePError::UnknownFid)
    }

    /// Checks that a new fid can have this number, and that the table has fewer than `max` fids.
    pub(super) fn check_available(&self, number: u32, max: usize) -> Result<(), NinePError> {
        let fids = self.0.borrow();
        if number == NO_FID || fids.contains_key(&number) {
            return Err(NinePError::FidInUse);
        }
        if fids.len() >= max { Err(NinePError::TooManyFids) } else { Ok(()) }
    }

    /// Adds a fid, or replaces it.
    pub(super) fn insert(&self, number: u32, fid: Fid) {
        self.0.borrow_mut().insert(number, fid);
    }

    /// Changes a fid, if it still exists.
    pub(super) fn update(&self, number: u32, change: impl FnOnce(&mut Fid)) {
        if let Some(fid) = self.0.borrow_mut().get_mut(&number) {
            change(fid);
        }
    }

    /// Removes a fid.
    pub(super) fn remove(&self, number: u32) -> Result<Fid, NinePError> {
        self.0.borrow_mut().remove(&number).ok_or(NinePError::UnknownFid)
    }

    /// Removes and returns all fids.
    pub(super) fn take_all(&self) -> Vec<Fid> {
        std::mem::take(&mut *self.0.borrow_mut()).into_values().collect()
    }
}
