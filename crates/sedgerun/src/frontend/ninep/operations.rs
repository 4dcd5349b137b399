//! Carries out the messages of a client.

use super::NinePFrontend;
use super::error::NinePError;
use super::fids::Fid;
use super::session::Operation;
use super::walk::check_path_size;
use crate::backend::ninep::FileOperation;
use bytes::Bytes;
use sedgerun_protocol_9p::{MODE_ACCESS_MASK, MODE_REMOVE_ON_CLOSE, MODE_WRITE, Message, NO_FID, stat_name};

/// The mode of a fid that is open for both reading and writing.
const MODE_READ_WRITE: u8 = 2;

/// Closes a client's open file at the backends when dropped.
struct HandleRelease<'a> {
    frontend: &'a NinePFrontend,
    handle: u64,
}

impl Drop for HandleRelease<'_> {
    fn drop(&mut self) {
        self.frontend.release_handle(self.handle);
    }
}

impl NinePFrontend {
    /// Carries out a message and returns its reply.
    pub(super) async fn perform(
        &self,
        operation: &Operation,
        message: Message,
    ) -> Result<Message, NinePError> {
        let session = &*operation.session;
        if !session.version_agreed() {
            return Err(NinePError::NoVersion);
        }
        match message {
            Message::Tauth { .. } => Err(NinePError::NoAuthentication),
            Message::Tattach { fid, afid, uname, aname } => {
                self.attach(operation, fid, afid, uname, &aname).await
            }
            Message::Tflush { oldtag } => Ok(self.flush(&operation.state, &session.operations, oldtag).await),
            Message::Twalk { fid, newfid, names } => self.walk(operation, fid, newfid, names).await,
            Message::Topen { fid, mode } => self.open(operation, fid, mode).await,
            Message::Tcreate { fid, name, perm, mode } => self.create(operation, fid, name, perm, mode).await,
            Message::Tread { fid, offset, count } => self.read(operation, fid, offset, count).await,
            Message::Twrite { fid, offset, data } => self.write(operation, fid, offset, data).await,
            Message::Tclunk { fid } => self.clunk(operation, fid).await,
            Message::Tremove { fid } => self.remove(operation, fid).await,
            Message::Tstat { fid } => {
                self.submit(operation, &session.fids.get(fid)?, FileOperation::Stat).await
            }
            Message::Twstat { fid, stat } => self.wstat(operation, fid, stat).await,
            _ => Err(NinePError::NotARequest),
        }
    }

    /// Creates a fid for the root of an export.
    async fn attach(
        &self,
        operation: &Operation,
        number: u32,
        authentication_fid: u32,
        uname: String,
        export_name: &str,
    ) -> Result<Message, NinePError> {
        if authentication_fid != NO_FID {
            return Err(NinePError::NoAuthentication);
        }
        let (fids, limits) = (&operation.session.fids, self.fid_limits());
        fids.check_available(number, limits)?;
        let export = self.tenants.borrow().export(export_name);
        let export = export.ok_or_else(|| NinePError::UnknownExport(export_name.to_owned()))?;
        let mut root = Fid {
            export,
            uname: uname.into(),
            path: Vec::new(),
            file: None,
            open_mode: None,
            handle: self.new_handle(),
        };
        fids.check_memory(number, &root, limits)?;
        let reply = self.submit(operation, &root, FileOperation::Attach).await?;
        // Another operation of the session may have used the number in the meantime.
        fids.check_available(number, limits)?;
        fids.check_memory(number, &root, limits)?;
        if let Message::Rattach { qid } = reply {
            root.file = Some(qid.into());
            fids.insert(number, root);
        }
        Ok(reply)
    }

    /// Reads from an open file, at most the data that one message can carry.
    async fn read(
        &self,
        operation: &Operation,
        number: u32,
        offset: u64,
        count: u32,
    ) -> Result<Message, NinePError> {
        let fid = operation.session.fids.get(number)?;
        let mode = fid.open_mode.ok_or(NinePError::FidIsNotOpen)?;
        if mode & MODE_ACCESS_MASK == MODE_WRITE {
            return Err(NinePError::NotOpenForReading);
        }
        let count = count.min(operation.session.max_data_bytes());
        self.submit(operation, &fid, FileOperation::Read { offset, count }).await
    }

    /// Writes to an open file.
    async fn write(
        &self,
        operation: &Operation,
        number: u32,
        offset: u64,
        data: Bytes,
    ) -> Result<Message, NinePError> {
        let fid = operation.session.fids.get(number)?;
        let mode = fid.open_mode.ok_or(NinePError::FidIsNotOpen)?;
        if !matches!(mode & MODE_ACCESS_MASK, MODE_WRITE | MODE_READ_WRITE) {
            return Err(NinePError::NotOpenForWriting);
        }
        self.submit(operation, &fid, FileOperation::Write { offset, data }).await
    }

    /// Removes a fid, and its file if the file was opened with remove-on-close.
    async fn clunk(&self, operation: &Operation, number: u32) -> Result<Message, NinePError> {
        let fid = operation.session.fids.remove(number)?;
        let _release = HandleRelease { frontend: self, handle: fid.handle };
        if fid.open_mode.is_some_and(|mode| mode & MODE_REMOVE_ON_CLOSE != 0) {
            // As 9P specifies, the clunk succeeds whether or not the file could be removed.
            let _ = self.submit(operation, &fid, FileOperation::Remove).await;
        }
        Ok(Message::Rclunk)
    }

    /// Removes a file and its fid. The fid is removed even if the file could not be.
    async fn remove(&self, operation: &Operation, number: u32) -> Result<Message, NinePError> {
        let fid = operation.session.fids.remove(number)?;
        let _release = HandleRelease { frontend: self, handle: fid.handle };
        if fid.path.is_empty() {
            return Err(NinePError::RootNotRemovable);
        }
        self.submit(operation, &fid, FileOperation::Remove).await
    }

    /// Changes a file's directory entry, and updates the fid's path if the file is renamed.
    async fn wstat(&self, operation: &Operation, number: u32, stat: Bytes) -> Result<Message, NinePError> {
        let fids = &operation.session.fids;
        let fid = fids.get(number)?;
        let name = stat_name(&stat)?;
        let mut renamed = fid.clone();
        renamed.rename(&name);
        check_path_size(&renamed.path)?;
        fids.check_memory(number, &renamed, self.fid_limits())?;
        let reply = self.submit(operation, &fid, FileOperation::Wstat { stat }).await?;
        if matches!(reply, Message::Rwstat) && !name.is_empty() {
            fids.update(number, |fid| fid.rename(&name));
        }
        Ok(reply)
    }
}
