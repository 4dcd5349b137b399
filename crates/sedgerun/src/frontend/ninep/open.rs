//! Opening and creating files: `Topen` and `Tcreate`.

use super::NinePFrontend;
use super::error::NinePError;
use super::session::{Operation, Session};
use super::walk::check_path_size;
use crate::backend::ninep::FileOperation;
use sedgerun_protocol_9p::Message;

impl NinePFrontend {
    /// Opens a fid's file.
    pub(super) async fn open(
        &self,
        operation: &Operation,
        number: u32,
        mode: u8,
    ) -> Result<Message, NinePError> {
        let session = &*operation.session;
        let fid = session.fids.get(number)?;
        fid.check_not_open()?;
        let reply = self.submit(operation, &fid, FileOperation::Open { mode }).await?;
        let Message::Ropen { qid, iounit } = reply else { return Ok(reply) };
        session.fids.update(number, |fid| fid.open_mode = Some(mode));
        Ok(Message::Ropen { qid, iounit: io_unit(session, iounit) })
    }

    /// Creates a file in a fid's directory and opens it; the fid then refers to the new file.
    pub(super) async fn create(
        &self,
        operation: &Operation,
        number: u32,
        name: String,
        perm: u32,
        mode: u8,
    ) -> Result<Message, NinePError> {
        let session = &*operation.session;
        let directory = session.fids.get(number)?;
        directory.check_not_open()?;
        if name.is_empty() || name == "." || name == ".." || name.contains('/') {
            return Err(NinePError::MalformedName);
        }
        let mut file = directory.clone();
        file.path.push(name.clone());
        check_path_size(&file.path)?;
        session.fids.check_memory(number, &file, self.fid_limits())?;
        let reply = self
            .submit(operation, &directory, FileOperation::Create { name: name.clone(), perm, mode })
            .await?;
        let Message::Rcreate { qid, iounit } = reply else { return Ok(reply) };
        session.fids.update(number, |fid| {
            fid.path.push(name);
            fid.file = Some(qid.into());
            fid.open_mode = Some(mode);
        });
        Ok(Message::Rcreate { qid, iounit: io_unit(session, iounit) })
    }
}

/// The `iounit` for the client: that of the backend, limited to the data that one message of the session
/// carries. A backend's 0 means no limit.
fn io_unit(session: &Session, backend_io_unit: u32) -> u32 {
    let max = session.max_data_bytes();
    if backend_io_unit == 0 { max } else { backend_io_unit.min(max) }
}
