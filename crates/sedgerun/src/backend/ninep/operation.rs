//! Runs one operation of a 9P client as messages on a backend's connection.

use super::connection::{Connection, ConnectionLost};
use super::fids::FidGuard;
use super::files::{OperationStopped, attach, resume, walk};
use super::request::{FileOperation, NinePBackendRequest};
use bytes::Bytes;
use sedgerun_protocol_9p::{MODE_REMOVE_ON_CLOSE, Message};

type Reply = Result<Message, OperationStopped>;

/// One operation on its way.
pub(super) struct Operation<'a> {
    connection: &'a Connection,
    request: &'a NinePBackendRequest,
    effect_sent: bool,
}

impl<'a> Operation<'a> {
    pub(super) fn new(connection: &'a Connection, request: &'a NinePBackendRequest) -> Operation<'a> {
        Operation { connection, request, effect_sent: false }
    }

    /// Whether the message that may take effect has left.
    pub(super) fn effect_sent(&self) -> bool {
        self.effect_sent
    }

    /// Runs the operation to the backend's reply.
    ///
    /// # Errors
    ///
    /// The connection is lost; whether anything may have run, [`effect_sent`](Self::effect_sent) says.
    pub(super) async fn run(&mut self) -> Result<Message, ConnectionLost> {
        self.connection.clunk_stale();
        match self.execute().await {
            Ok(reply) | Err(OperationStopped::Response(reply)) => Ok(reply),
            Err(OperationStopped::ConnectionLost) => Err(ConnectionLost),
        }
    }

    async fn execute(&mut self) -> Reply {
        match &self.request.op {
            FileOperation::Attach => {
                let root = attach(self.connection, self.request).await?;
                Ok(Message::Rattach { qid: root.qid })
            }
            FileOperation::Walk { names } => self.walk_names(names).await,
            FileOperation::Open { mode } => self.open(*mode).await,
            FileOperation::Create { name, perm, mode } => self.create(name, *perm, *mode).await,
            FileOperation::Read { offset, count } => self.read(*offset, *count).await,
            FileOperation::Write { offset, data } => self.write(*offset, data).await,
            FileOperation::Stat => {
                let file = self.walk().await?;
                Ok(self.connection.call(Message::Tstat { fid: file.fid() }).await?)
            }
            FileOperation::Wstat { stat } => {
                let file = self.walk().await?;
                self.call_with_effect(Message::Twstat { fid: file.fid(), stat: stat.clone() }).await
            }
            FileOperation::Remove => {
                let file = self.walk().await?;
                let fid = file.keep(); // a remove gives the fid back, whatever the reply
                self.call_with_effect(Message::Tremove { fid }).await
            }
        }
    }

    async fn walk_names(&self, names: &[String]) -> Reply {
        let from = self.walk().await?;
        let to = self.connection.new_fid();
        let walk = Message::Twalk { fid: from.fid(), newfid: to.fid(), names: names.to_vec() };
        Ok(self.connection.call(walk).await?)
    }

    async fn open(&mut self, mode: u8) -> Reply {
        let file = self.walk().await?;
        let open = Message::Topen { fid: file.fid(), mode: mode & !MODE_REMOVE_ON_CLOSE };
        let reply = self.call_with_effect(open).await?;
        if matches!(reply, Message::Ropen { .. }) {
            file.park(self.request.handle);
        }
        Ok(reply)
    }

    async fn create(&mut self, name: &str, perm: u32, mode: u8) -> Reply {
        let file = self.walk().await?;
        let (name, mode) = (name.to_owned(), mode & !MODE_REMOVE_ON_CLOSE);
        let reply = self.call_with_effect(Message::Tcreate { fid: file.fid(), name, perm, mode }).await?;
        if matches!(reply, Message::Rcreate { .. }) {
            file.park(self.request.handle);
        }
        Ok(reply)
    }

    async fn read(&self, offset: u64, count: u32) -> Reply {
        let count = count.min(self.connection.max_data_bytes());
        let fid = resume(self.connection, self.request).await?;
        Ok(self.connection.call(Message::Tread { fid, offset, count }).await?)
    }

    async fn write(&mut self, offset: u64, data: &Bytes) -> Reply {
        let most = self.connection.max_data_bytes() as usize;
        let fid = resume(self.connection, self.request).await?;
        let data = data.slice(..data.len().min(most));
        self.call_with_effect(Message::Twrite { fid, offset, data }).await
    }

    /// A new fid for the request's file.
    async fn walk(&self) -> Result<FidGuard<'a>, OperationStopped> {
        walk(self.connection, self.request).await
    }

    /// Calls with the message that may take effect.
    async fn call_with_effect(&mut self, message: Message) -> Reply {
        self.effect_sent = true;
        Ok(self.connection.call(message).await?)
    }
}
