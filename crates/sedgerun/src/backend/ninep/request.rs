//! A 9P client's operation, independent of the connection and fids that serve it.

use super::file_identity::FileIdentity;
use bytes::Bytes;
use std::rc::Rc;

/// An operation on a file.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the fields are those of the protocol's messages")]
pub enum FileOperation {
    /// Returns the qid of the tree's root.
    Attach,
    Walk {
        names: Vec<String>,
    },
    Open {
        mode: u8,
    },
    Create {
        name: String,
        perm: u32,
        mode: u8,
    },
    Read {
        offset: u64,
        count: u32,
    },
    Write {
        offset: u64,
        data: Bytes,
    },
    Stat,
    Wstat {
        stat: Bytes,
    },
    Remove,
}

impl FileOperation {
    /// Whether it may change something at the backend.
    pub fn has_effect(&self) -> bool {
        match self {
            FileOperation::Open { .. }
            | FileOperation::Create { .. }
            | FileOperation::Write { .. }
            | FileOperation::Wstat { .. }
            | FileOperation::Remove => true,
            FileOperation::Attach
            | FileOperation::Walk { .. }
            | FileOperation::Read { .. }
            | FileOperation::Stat => false,
        }
    }

    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FileOperation::Attach => "attach",
            FileOperation::Walk { .. } => "walk",
            FileOperation::Open { .. } => "open",
            FileOperation::Create { .. } => "create",
            FileOperation::Read { .. } => "read",
            FileOperation::Write { .. } => "write",
            FileOperation::Stat => "stat",
            FileOperation::Wstat { .. } => "wstat",
            FileOperation::Remove => "remove",
        }
    }
}

/// One operation of a 9P client, with the file that it applies to.
#[derive(Debug)]
pub struct NinePBackendRequest {
    /// User name for the attach.
    pub uname: Rc<str>,
    /// Name of the file tree at the backend (`aname`).
    pub tree: String,
    /// Path of the file from the tree's root.
    pub path: Vec<String>,
    /// The file that the client means, wherever the path leads now; `None` before it is known.
    pub file: Option<FileIdentity>,
    /// Handle of the client's open file, under which its fid is cached.
    pub handle: u64,
    /// The mode that the client opened the file with.
    pub mode: u8,
    /// The operation.
    pub op: FileOperation,
}
