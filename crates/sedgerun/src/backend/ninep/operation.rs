//! Runs one operation of a 9P client as a sequence of messages on a backend's connection.

use super::connection::{AttemptConnection, CallError};
use super::fids::FidGuard;
use super::files::{OperationStopped, attach, resume, walk};
use super::request::{FileOperation, NinePBackendRequest};
use bytes::Bytes;
use sedgerun_protocol_9p::{MODE_REMOVE_ON_CLOSE, Message};

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
    /// The connection was lost, or the attempt was called off before the operation began.
    pub(super) async fn run(&self) -> Result<Message, CallError> {
        self.connection.clunk_stale();
        match self.execute().await {
            Ok(response) | Err(OperationStopped::Response(response)) => Ok(response),
            Err(OperationStopped::Call(error)) => Err(error),
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
                let file = self.walk().await?;
                self.begin(Message::Tstat { fid: file.fid() }).await
            }
            FileOperation::Wstat { stat } => {
                let file = self.walk().await?;
                self.begin(Message::Twstat { fid: file.fid(), stat: stat.clone() }).await
            }
            FileOperation::Remove => {
                let file = self.walk().await?;
                let fid = file.keep(); // Tremove clunks the fid even if it fails
                self.begin(Message::Tremove { fid }).await
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
        if matches!(response, Message::Ropen { .. }) {
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

    /// Sends the message with which the backend begins the operation, and waits for its response.
    async fn begin(&self, message: Message) -> OperationResult {
        Ok(self.connection.begin(message).await?)
    }
}
