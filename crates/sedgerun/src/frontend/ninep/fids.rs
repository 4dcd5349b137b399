//! The fids of a session: the file that each refers to, and the mode that it is open in. An operation works
//! on a copy of its fid, so that no borrow of the table is held while it waits.

use super::error::NinePError;
use crate::backend::ninep::FileIdentity;
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
    /// The file itself, wherever the path leads now; `None` until it is attached.
    pub(super) file: Option<FileIdentity>,
    /// The mode that the file is open in; `None` if it is not open.
    pub(super) open_mode: Option<u8>,
    /// Identifies the open file at backends.
    pub(super) handle: u64,
}

/// Memory of a fid besides its names, in bytes.
const FID_BYTES: usize = 192;
/// Memory of a name in a path besides its text, in bytes.
const NAME_BYTES: usize = 40;

impl Fid {
    /// The memory that the fid takes up, in bytes.
    fn bytes(&self) -> usize {
        let path: usize = self.path.iter().map(|name| NAME_BYTES + name.len()).sum();
        FID_BYTES + self.uname.len() + path
    }

    /// Changes the last name of the path. A directory's root has none, and an empty name means no change.
    pub(super) fn rename(&mut self, name: &str) {
        if let Some(last) = self.path.last_mut().filter(|_| !name.is_empty()) {
            name.clone_into(last);
        }
    }

    /// Checks that the fid is not open.
    pub(super) fn check_not_open(&self) -> Result<(), NinePError> {
        if self.open_mode.is_some() { Err(NinePError::FidIsOpen) } else { Ok(()) }
    }
}

/// The limits on the fids of a session.
#[derive(Clone, Copy, Debug)]
pub(super) struct FidLimits {
    /// Number of fids.
    pub(super) count: usize,
    /// Memory of all fids, in bytes.
    pub(super) bytes: usize,
}

#[derive(Default)]
struct FidTableContents {
    fids: HashMap<u32, Fid>,
    /// Memory of all fids, in bytes.
    bytes: usize,
}

/// The fids of a session by number.
#[derive(Default)]
pub(super) struct FidTable(RefCell<FidTableContents>);

impl FidTable {
    /// A copy of a fid.
    pub(super) fn get(&self, number: u32) -> Result<Fid, NinePError> {
        self.0.borrow().fids.get(&number).cloned().ok_or(NinePError::UnknownFid)
    }

    /// Checks that a new fid can have this number, and that the table has fewer fids than the limit.
    pub(super) fn check_available(&self, number: u32, limits: FidLimits) -> Result<(), NinePError> {
        let contents = self.0.borrow();
        if number == NO_FID || contents.fids.contains_key(&number) {
            return Err(NinePError::FidInUse);
        }
        if contents.fids.len() >= limits.count { Err(NinePError::TooManyFids) } else { Ok(()) }
    }

    /// Checks that memory suffices for a fid that is added, or takes the place of the one with this number.
    pub(super) fn check_memory(&self, number: u32, fid: &Fid, limits: FidLimits) -> Result<(), NinePError> {
        let contents = self.0.borrow();
        let replaced = contents.fids.get(&number).map_or(0, Fid::bytes);
        if contents.bytes - replaced + fid.bytes() > limits.bytes {
            return Err(NinePError::FidsTooLarge);
        }
        Ok(())
    }

    /// Adds a fid, or replaces it.
    pub(super) fn insert(&self, number: u32, fid: Fid) {
        let contents = &mut *self.0.borrow_mut();
        contents.bytes += fid.bytes();
        if let Some(replaced) = contents.fids.insert(number, fid) {
            contents.bytes -= replaced.bytes();
        }
    }

    /// Changes a fid, if it still exists.
    pub(super) fn update(&self, number: u32, change: impl FnOnce(&mut Fid)) {
        let contents = &mut *self.0.borrow_mut();
        if let Some(fid) = contents.fids.get_mut(&number) {
            contents.bytes -= fid.bytes();
            change(fid);
            contents.bytes += fid.bytes();
        }
    }

    /// Removes a fid.
    pub(super) fn remove(&self, number: u32) -> Result<Fid, NinePError> {
        let contents = &mut *self.0.borrow_mut();
        let removed = contents.fids.remove(&number).ok_or(NinePError::UnknownFid)?;
        contents.bytes -= removed.bytes();
        Ok(removed)
    }

    /// Removes and returns all fids.
    pub(super) fn take_all(&self) -> Vec<Fid> {
        std::mem::take(&mut *self.0.borrow_mut()).fids.into_values().collect()
    }
}
