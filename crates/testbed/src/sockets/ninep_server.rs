//! Serves the operations of heads at an emulated backend over 9P: many at once on one connection, each with its tag.

use super::backends::{AttemptVerdict, EmulatedBackend};
use super::ninep_files::{file_name, parse_file_name, receive};
use crate::auditor::Ticket;
use sedgerun_protocol_9p::{MAX_MESSAGE_SIZE, Message, Qid, VERSION};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Replies that may wait for the socket of one connection.
const MAX_QUEUED_REPLIES: usize = 1024;

/// Operations that are running, by their tags.
type OperationsByTag = Rc<RefCell<HashMap<u16, AbortHandle>>>;

/// The operations of a connection: dropped with it, they end.
struct RunningOperations(OperationsByTag);

impl Drop for RunningOperations {
    fn drop(&mut self) {
        self.0.borrow().values().for_each(AbortHandle::abort);
    }
}

/// Serves one connection of a head until it closes or breaks.
pub async fn serve_connection(backend: Rc<EmulatedBackend>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (reading, writing) = stream.into_split();
    let (replies, queued) = mpsc::channel(MAX_QUEUED_REPLIES);
    let running = RunningOperations(OperationsByTag::default());
    let session = ServerSession {
        backend,
        replies,
        running: Rc::clone(&running.0),
        tickets: HashMap::new(),
        is_new: true,
    };
    tokio::select! {
        () = write_replies(writing, queued) => {}
        _ = session.serve(reading) => {}
    }
}

async fn write_replies(mut stream: OwnedWriteHalf, mut queued: mpsc::Receiver<Vec<u8>>) {
    while let Some(bytes) = queued.recv().await {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// The state of one connection.
struct ServerSession {
    backend: Rc<EmulatedBackend>,
    replies: mpsc::Sender<Vec<u8>>,
    running: OperationsByTag,
    /// The request that each fid stands for; none for a root.
    tickets: HashMap<u32, Option<Ticket>>,
    /// Whether no operation has run on this connection yet.
    is_new: bool,
}

impl ServerSession {
    async fn serve(mut self, mut reading: OwnedReadHalf) -> io::Result<()> {
        loop {
            let (tag, message) = receive(&mut reading).await?;
            self.backend.wait_while_silent().await?;
            let is_open = match message {
                Message::Tread { fid, .. } => self.operate(tag, fid, None).await,
                Message::Twrite { fid, data, .. } => self.operate(tag, fid, Some(data.len() as u32)).await,
                other => {
                    let reply = self.reply_to(other);
                    self.replies.send(reply.encode(tag)).await.is_ok()
                }
            };
            if !is_open {
                return Ok(());
            }
        }
    }

    /// The reply to a message that is answered at once.
    fn reply_to(&mut self, message: Message) -> Message {
        match message {
            Message::Tversion { msize, .. } => {
                Message::Rversion { msize: msize.min(MAX_MESSAGE_SIZE), version: VERSION.into() }
            }
            Message::Tattach { fid, .. } => {
                self.tickets.insert(fid, None);
                Message::Rattach { qid: Qid::default() }
            }
            Message::Twalk { fid, newfid, names } => {
                let present = self.tickets.get(&fid).copied().flatten();
                let named = names.last().and_then(|name| parse_file_name(name));
                self.tickets.insert(newfid, if names.is_empty() { present } else { named });
                Message::Rwalk { qids: names.iter().map(|_| Qid::default()).collect() }
            }
            Message::Topen { .. } => Message::Ropen { qid: Qid::default(), iounit: 0 },
            Message::Tflush { oldtag } => {
                if let Some(task) = self.running.borrow_mut().remove(&oldtag) {
                    task.abort();
                }
                Message::Rflush
            }
            Message::Tclunk { fid } => {
                self.tickets.remove(&fid);
                Message::Rclunk
            }
            _ => Message::Rerror { ename: "not served here".into() },
        }
    }

    /// Begins to read, or to write so many bytes; whether the connection goes on.
    async fn operate(&mut self, tag: u16, fid: u32, written: Option<u32>) -> bool {
        let Some(ticket) = self.tickets.get(&fid).copied().flatten() else {
            let error = Message::Rerror { ename: "unknown fid".into() };
            let _ = self.replies.send(error.encode(tag)).await;
            return true;
        };
        let needs_handshake = std::mem::take(&mut self.is_new);
        let (backend, replies) = (Rc::clone(&self.backend), self.replies.clone());
        let running = Rc::clone(&self.running);
        let task = tokio::task::spawn_local(async move {
            let verdict = backend.attempt(ticket, needs_handshake).await;
            running.borrow_mut().remove(&tag);
            let _ = replies.send(operation_reply(verdict, ticket, written).encode(tag)).await;
        });
        self.running.borrow_mut().insert(tag, task.abort_handle());
        true
    }
}

fn operation_reply(verdict: AttemptVerdict, ticket: Ticket, written: Option<u32>) -> Message {
    match (verdict, written) {
        (AttemptVerdict::Served, Some(count)) => Message::Rwrite { count },
        (AttemptVerdict::Served, None) => Message::Rread { data: file_name(ticket).into_bytes().into() },
        (AttemptVerdict::Rejected, _) => Message::Rerror { ename: "not started".into() },
    }
}
