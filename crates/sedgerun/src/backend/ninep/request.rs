//! What a 9P client wants of a backend, apart from the connection and the fids that serve it.

use bytes::Bytes;

/// What a client wants of a file.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the fields are those of the protocol's messages")]
pub enum FileOperation {
    /// The root's qid.
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

/// One operation of a 9P client.
#[derive(Debug)]
pub struct NinePBackendRequest {
    /// The user.
    pub uname: String,
    /// The tree at the backend.
    pub tree: String,
    /// The file, from the tree's root.
    pub path: Vec<String>,
    /// What the client's open file is parked under.
    pub handle: u64,
    /// The access that it was opened for.
    pub mode: u8,
    /// The operation.
    pub op: FileOperation,
}
