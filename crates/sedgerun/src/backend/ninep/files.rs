//! Maps a client's path to a fid on a connection: attaches trees, walks paths and reopens a client's open
//! files.
//!
//! An attempt walks from the backend's root and so needs no state of earlier attempts. The path may lead to another file
//! than before, which is neither read nor changed for the client.

use super::connection::{AttemptConnection, CallError};
use super::fids::FidGuard;
use super::file_identity::{FileReplaced, check_identity};
use super::request::{FileOperation, NinePBackendRequest};
use super::roots::{Root, TreeKey};
use sedgerun_protocol_9p::{MAX_WALK_NAMES, MODE_ACCESS_MASK, Message, NO_FID, QID_DIRECTORY, Qid};
use std::rc::Rc;

/// Why an operation ended before its last step.
pub(super) enum OperationStopped {
    /// A call has no response.
    Call(CallError),
    /// The path leads to another file than the client's.
    FileReplaced(FileReplaced),
    /// The backend's response to an earlier step, such as an error, which becomes the response to the
    /// operation.
    Response(Message),
}

impl From<CallError> for OperationStopped {
    fn from(error: CallError) -> OperationStopped {
        OperationStopped::Call(error)
    }
}

impl From<FileReplaced> for OperationStopped {
    fn from(error: FileReplaced) -> OperationStopped {
        OperationStopped::FileReplaced(error)
    }
}

/// The root of a request's tree, attached for as long as this is held.
pub(super) enum AttachedRoot<'a> {
    /// It is kept for later attempts.
    Kept(Rc<Root>),
    /// There is no memory to keep it, and its fid becomes stale at the end of the attempt.
    ForAttempt(FidGuard<'a>, Qid),
}

impl AttachedRoot<'_> {
    fn fid(&self) -> u32 {
        match self {
            AttachedRoot::Kept(root) => root.fid,
            AttachedRoot::ForAttempt(fid, _) => fid.fid(),
        }
    }

    pub(super) fn qid(&self) -> Qid {
        match self {
            AttachedRoot::Kept(root) => root.qid,
            AttachedRoot::ForAttempt(_, qid) => *qid,
        }
    }
}

/// The root of the request's tree, which is attached if none is kept.
pub(super) async fn attach<'a>(
    connection: &'a AttemptConnection,
    request: &NinePBackendRequest,
) -> Result<AttachedRoot<'a>, OperationStopped> {
    let key = TreeKey { uname: Rc::clone(&request.uname), tree: request.tree.clone() };
    if let Some(root) = connection.fids.borrow_mut().root(&key) {
        return Ok(AttachedRoot::Kept(root));
    }
    let fid = connection.new_fid();
    let (uname, aname) = (request.uname.to_string(), request.tree.clone());
    match connection.call(Message::Tattach { fid: fid.fid(), afid: NO_FID, uname, aname }).await? {
        Message::Rattach { qid } => {
            let root = Root { fid: fid.fid(), qid };
            let kept = connection.fids.borrow_mut().keep_root(key, root);
            let Some(root) = kept else { return Ok(AttachedRoot::ForAttempt(fid, qid)) };
            fid.keep();
            Ok(AttachedRoot::Kept(root))
        }
        other => Err(OperationStopped::Response(other)),
    }
}

/// Walks a new fid to the request's file.
pub(super) async fn walk<'a>(
    connection: &'a AttemptConnection,
    request: &NinePBackendRequest,
) -> Result<FidGuard<'a>, OperationStopped> {
    let root = attach(connection, request).await?;
    let file = connection.new_fid();
    let (mut from, mut qid) = (root.fid(), root.qid());
    let mut parts: Vec<&[String]> = request.path.chunks(MAX_WALK_NAMES).collect();
    if parts.is_empty() {
        parts.push(&[]);
    }
    for names in parts {
        let walk = Message::Twalk { fid: from, newfid: file.fid(), names: names.to_vec() };
        match connection.call(walk).await? {
            Message::Rwalk { qids } if qids.len() == names.len() => {
                from = file.fid();
                qid = qids.last().copied().unwrap_or(qid);
            }
            Message::Rwalk { .. } => {
                let not_found = Message::Rerror { ename: "file does not exist".into() };
                return Err(OperationStopped::Response(not_found));
            }
            other => return Err(OperationStopped::Response(other)),
        }
    }
    check_identity(request.file, qid)?;
    Ok(file)
}

/// A fid of a file: the one cached for a client's open file, or one of this attempt.
pub(super) enum LocatedFile<'a> {
    /// It refers to its file, whatever has become of the path.
    Open(u32),
    /// The path was walked.
    Walked(FidGuard<'a>),
}

impl LocatedFile<'_> {
    pub(super) fn fid(&self) -> u32 {
        match self {
            LocatedFile::Open(fid) => *fid,
            LocatedFile::Walked(fid) => fid.fid(),
        }
    }
}

/// The fid cached for a client's file, if that is open here, or a new one that was walked to it.
pub(super) async fn locate<'a>(
    connection: &'a AttemptConnection,
    request: &NinePBackendRequest,
) -> Result<LocatedFile<'a>, OperationStopped> {
    if let Some(fid) = connection.fids.borrow().cached(request.handle) {
        return Ok(LocatedFile::Open(fid));
    }
    Ok(LocatedFile::Walked(walk(connection, request).await?))
}

/// The fid cached for a client's open file. If there is none, the file is opened again, without truncating
/// it; a directory is then read up to the client's offset.
pub(super) async fn resume(
    connection: &AttemptConnection,
    request: &NinePBackendRequest,
) -> Result<u32, OperationStopped> {
    if let Some(fid) = connection.fids.borrow().cached(request.handle) {
        return Ok(fid);
    }
    let file = walk(connection, request).await?;
    let fid = file.fid();
    let qid = match connection.call(Message::Topen { fid, mode: request.mode & MODE_ACCESS_MASK }).await? {
        Message::Ropen { qid, .. } => qid,
        other => return Err(OperationStopped::Response(other)),
    };
    check_identity(request.file, qid)?;
    if let (FileOperation::Read { offset, .. }, true) = (&request.op, qid.kind & QID_DIRECTORY != 0) {
        skip_directory_entries(connection, fid, *offset).await?;
    }
    file.cache(request.handle);
    Ok(fid)
}

/// Reads a directory up to an offset, because 9P directories can only be read sequentially.
async fn skip_directory_entries(
    connection: &AttemptConnection,
    fid: u32,
    end: u64,
) -> Result<(), OperationStopped> {
    let mut offset = 0;
    while offset < end {
        let count = (end - offset).min(u64::from(connection.max_data_bytes())) as u32;
        match connection.call(Message::Tread { fid, offset, count }).await? {
            Message::Rread { data } if !data.is_empty() => offset += data.len() as u64,
            Message::Rread { .. } => break,
            other => return Err(OperationStopped::Response(other)),
        }
    }
    Ok(())
}
