//! Runs one operation of a 9P client as a sequence of messages on a backend's connection.

use super::connection::{AttemptConnection, CallError};
use super::fids::FidGuard;
use super::file_identity::{FileReplaced, check_identity};
use super::files::{OperationStopped, attach, locate, resume, walk};
use super::request::{FileOperation, NinePBackendRequest};
use bytes::Bytes;
use sedgerun_protocol_9p::{MODE_REMOVE_ON_CLOSE, Message};
use thiserror::Error;

/// Why an operation has no response of its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum OperationError {
    /// A call has no response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Another file has taken the place of the client's.
    #[error(transparent)]
    FileReplaced(#[from] FileReplaced),
}

type OperationResult = Result<Message, OperationStopped>;

/// One operation in progress.
pub(super) struct Operation<'a> {
    connection: &'a AttemptConnection,
    request: &'a NinePBackendRequest,
}

impl<'a> Operation<'a> {
    pub(super) fn new(connection: &'a AttemptConnection, request: &'a NinePBackendRequest) -> Operation<'a> {
        Operation { connection, request }
    }

    /// Runs the operation and returns the backend's response.
    ///
    /// # Errors
    ///
    /// The connection was lost, the attempt was called off before the operation began, or the path leads to another file.
    pub(super) async fn run(&self) -> Result<Message, OperationError> {
        self.connection.clunk_stale();
        match self.execute().await {
            Ok(response) | Err(OperationStopped::Response(response)) => Ok(response),
            Err(OperationStopped::Call(error)) => Err(error.into()),
            Err(OperationStopped::FileReplaced(error)) => Err(error.into()),
        }
    }

    async fn execute(&self) -> OperationResult {
        match &self.request.op {
            FileOperation::Attach => {
                let root = attach(self.connection, self.request).await?;
                Ok(Message::Rattach { qid: root.qid() })
            }
            FileOperation::Walk { names } => self.walk_names(names).await,
            FileOperation::Open { mode } => self.open(*mode).await,
            FileOperation::Create { name, perm, mode } => self.create(name, *perm, *mode).await,
            FileOperation::Read { offset, count } => self.read(*offset, *count).await,
            FileOperation::Write { offset, data } => self.write(*offset, data).await,
            FileOperation::Stat => {
                let file = locate(self.connection, self.request).await?;
                self.begin(Message::Tstat { fid: file.fid() }).await
            }
            FileOperation::Wstat { stat } => {
                let file = locate(self.connection, self.request).await?;
                self.begin(Message::Twstat { fid: file.fid(), stat: stat.clone() }).await
            }
            FileOperation::Remove => {
                let file = self.fid_to_remove().await?;
                let response = self.begin(Message::Tremove { fid: file.fid() }).await?;
                file.keep(); // Tremove has clunked the fid even if it has failed.
                Ok(response)
            }
        }
    }

    async fn walk_names(&self, names: &[String]) -> OperationResult {
        let from = self.walk().await?;
        let to = self.connection.new_fid();
        let walk = Message::Twalk { fid: from.fid(), newfid: to.fid(), names: names.to_vec() };
        self.begin(walk).await
    }

    async fn open(&self, mode: u8) -> OperationResult {
        let file = self.walk().await?;
        let open = Message::Topen { fid: file.fid(), mode: mode & !MODE_REMOVE_ON_CLOSE };
        let response = self.begin(open).await?;
        if let Message::Ropen { qid, .. } = response {
            check_identity(self.request.file, qid)?;
            file.cache(self.request.handle);
        }
        Ok(response)
    }

    async fn create(&self, name: &str, perm: u32, mode: u8) -> OperationResult {
        let file = self.walk().await?;
        let (name, mode) = (name.to_owned(), mode & !MODE_REMOVE_ON_CLOSE);
        let response = self.begin(Message::Tcreate { fid: file.fid(), name, perm, mode }).await?;
        if matches!(response, Message::Rcreate { .. }) {
            file.cache(self.request.handle);
        }
        Ok(response)
    }

    async fn read(&self, offset: u64, count: u32) -> OperationResult {
        let count = count.min(self.connection.max_data_bytes());
        let fid = resume(self.connection, self.request).await?;
        self.begin(Message::Tread { fid, offset, count }).await
    }

    async fn write(&self, offset: u64, data: &Bytes) -> OperationResult {
        let max_bytes = self.connection.max_data_bytes() as usize;
        let fid = resume(self.connection, self.request).await?;
        let data = data.slice(..data.len().min(max_bytes));
        self.begin(Message::Twrite { fid, offset, data }).await
    }

    /// Walks a new fid to the request's file.
    async fn walk(&self) -> Result<FidGuard<'a>, OperationStopped> {
        walk(self.connection, self.request).await
    }

    /// The fid of the client's open file, which is closed with it, or a new one that was walked to its file.
    async fn fid_to_remove(&self) -> Result<FidGuard<'a>, OperationStopped> {
        match self.connection.take_open_file(self.request.handle) {
            Some(file) => Ok(file),
            None => self.walk().await,
        }
    }

    /// Sends the message with which the backend begins the operation, and waits for its response.
    async fn begin(&self, message: Message) -> OperationResult {
        Ok(self.connection.begin(message).await?)
    }
}
