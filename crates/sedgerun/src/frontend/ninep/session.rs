//! One client's session: its fids, its operations in flight, and the queue of replies to the client.

use super::NinePFrontend;
use super::fids::FidTable;
use super::in_flight::{OperationState, OperationTable};
use sedgerun_net::Stream;
use sedgerun_protocol_9p::{IO_HEADER_SIZE, MAX_MESSAGE_SIZE, Message, VERSION};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

/// Replies that may be queued for a client's socket. Operations wait for a place in a full queue, and stay in
/// flight.
const MAX_QUEUED_REPLIES: usize = 4;
/// Time in which a client must take some part of a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The smallest message size that a client may request, in bytes.
const MIN_MESSAGE_SIZE: u32 = 256;

/// An encoded reply, with the memory that its operation holds until it is written.
pub(super) struct QueuedReply {
    frame: Vec<u8>,
    _memory: Option<OwnedSemaphorePermit>,
}

/// A client's session.
pub(super) struct Session {
    /// Identifies it in the log.
    pub(super) number: u64,
    replies: mpsc::Sender<QueuedReply>,
    /// The client connected to an address that another head may take over.
    is_shared: bool,
    /// Replies that are queued or not completely written.
    unsent_replies: Cell<usize>,
    message_size: Cell<u32>,
    version_agreed: Cell<bool>,
    pub(super) fids: FidTable,
    pub(super) operations: Rc<OperationTable>,
}

impl Session {
    /// Creates a session and the queue of its encoded replies.
    pub(super) fn new(number: u64, is_shared: bool) -> (Session, mpsc::Receiver<QueuedReply>) {
        let (replies, queue) = mpsc::channel(MAX_QUEUED_REPLIES);
        let session = Session {
            number,
            replies,
            is_shared,
            unsent_replies: Cell::new(0),
            message_size: Cell::new(MAX_MESSAGE_SIZE),
            version_agreed: Cell::new(false),
            fids: FidTable::default(),
            operations: Rc::default(),
        };
        (session, queue)
    }

    /// Whether the client connected to an address that another head may take over.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Whether no operation is in flight and no reply is unsent.
    pub(super) fn is_idle(&self) -> bool {
        self.operations.is_empty() && self.unsent_replies.get() == 0
    }

    /// The largest message size, in bytes.
    pub(super) fn message_size(&self) -> u32 {
        self.message_size.get()
    }

    /// The most data that one message can carry, in bytes.
    pub(super) fn max_data_bytes(&self) -> u32 {
        self.message_size.get() - IO_HEADER_SIZE
    }

    /// Whether a version has been negotiated.
    pub(super) fn version_agreed(&self) -> bool {
        self.version_agreed.get()
    }

    /// Writes queued replies to the client until a write fails or times out.
    pub(super) async fn write_replies(&self, replies: &mut mpsc::Receiver<QueuedReply>, stream: &Stream) {
        while let Some(reply) = replies.recv().await {
            // The timeout ends sessions of clients that do not read: their operations hold permits that
            // others need.
            if stream.write_all(&reply.frame, WRITE_TIMEOUT, |_| {}).await.is_err() {
                break;
            }
            self.unsent_replies.set(self.unsent_replies.get() - 1);
        }
    }

    /// Queues a reply with the memory of its operation, after waiting for a place in the queue; `false` if the session has ended.
    pub(super) async fn reply(
        &self,
        tag: u16,
        message: Message,
        memory: Option<OwnedSemaphorePermit>,
    ) -> bool {
        // Counted only after a place is reserved: a `Tversion` aborts tasks that wait for one, and a count
        // made before the wait would never be taken back.
        let Ok(place) = self.replies.reserve().await else { return false };
        self.unsent_replies.set(self.unsent_replies.get() + 1);
        place.send(QueuedReply { frame: message.encode(tag), _memory: memory });
        true
    }
}

/// An operation of a session.
pub(super) struct Operation {
    pub(super) session: Rc<Session>,
    pub(super) state: Rc<OperationState>,
}

impl Operation {
    /// Creates an operation of a session, without a request.
    pub(super) fn new(session: Rc<Session>) -> Operation {
        let state = session.operations.new_operation();
        Operation { session, state }
    }
}

impl NinePFrontend {
    /// Resets a session and negotiates its version; returns the reply. `None` if the client's message size is
    /// too small.
    pub(super) fn negotiate_version(
        &self,
        session: &Session,
        message_size: u32,
        version: &str,
    ) -> Option<Message> {
        self.reset(session);
        if message_size < MIN_MESSAGE_SIZE {
            return None;
        }
        let message_size = message_size.min(MAX_MESSAGE_SIZE);
        let is_known = version == VERSION || version.starts_with("9P2000.");
        session.version_agreed.set(is_known);
        session.message_size.set(message_size);
        let version = if is_known { VERSION } else { "unknown" };
        Some(Message::Rversion { msize: message_size, version: version.into() })
    }
}
