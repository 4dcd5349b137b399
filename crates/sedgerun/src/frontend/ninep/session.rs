//! One client's session: its fids, its operations in flight, and the replies on their way to the client.

use super::NinePFrontend;
use super::fids::FidTable;
use super::in_flight::OperationTable;
use sedgerun_protocol_9p::{IO_HEADER_SIZE, MAX_MESSAGE_SIZE, Message, VERSION};
use std::cell::Cell;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

/// Replies that may wait for a client's socket; past it, their operations wait to be over.
const MOST_QUEUED_REPLIES: usize = 4;
/// Time in which a client must take a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The smallest message size that a client may ask for.
const LEAST_MESSAGE_SIZE: u32 = 256;

/// A client's session.
pub(super) struct Session {
    replies: mpsc::Sender<Vec<u8>>,
    /// It came to an address which may pass to another head.
    is_shared: bool,
    /// Replies that the client's socket has not taken whole.
    unsent_replies: Cell<usize>,
    message_size: Cell<u32>,
    version_agreed: Cell<bool>,
    pub(super) fids: FidTable,
    pub(super) operations: OperationTable,
}

impl Session {
    /// A session, and the queue of its encoded replies.
    pub(super) fn new(is_shared: bool) -> (Session, mpsc::Receiver<Vec<u8>>) {
        let (replies, queue) = mpsc::channel(MOST_QUEUED_REPLIES);
        let session = Session {
            replies,
            is_shared,
            unsent_replies: Cell::new(0),
            message_size: Cell::new(MAX_MESSAGE_SIZE),
            version_agreed: Cell::new(false),
            fids: FidTable::default(),
            operations: OperationTable::default(),
        };
        (session, queue)
    }

    /// Whether it came to an address which may pass to another head.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }

    /// Whether no operation is in flight and no reply unsent.
    pub(super) fn is_idle(&self) -> bool {
        self.operations.is_empty() && self.unsent_replies.get() == 0
    }

    /// The largest message, in bytes.
    pub(super) fn message_size(&self) -> u32 {
        self.message_size.get()
    }

    /// The most data that one message can carry, in bytes.
    pub(super) fn most_data(&self) -> u32 {
        self.message_size.get() - IO_HEADER_SIZE
    }

    /// Whether a version has been agreed on.
    pub(super) fn version_agreed(&self) -> bool {
        self.version_agreed.get()
    }

    /// Writes replies to the client until the client no longer takes them.
    pub(super) async fn write_replies(
        &self,
        replies: &mut mpsc::Receiver<Vec<u8>>,
        writing: &mut OwnedWriteHalf,
    ) {
        while let Some(frame) = replies.recv().await {
            // Guards against clients that send requests and do not read: what they hold would shut out others.
            let written = tokio::time::timeout(WRITE_TIMEOUT, writing.write_all(&frame)).await;
            if !matches!(written, Ok(Ok(()))) {
                break;
            }
            self.unsent_replies.set(self.unsent_replies.get() - 1);
        }
    }

    /// Queues a reply, once there is a place; `false` once the session has ended.
    pub(super) async fn reply(&self, tag: u16, message: Message) -> bool {
        // Counted once it has its place. Guards against a session that a version begins anew while a reply waits
        // for one: its task ends there, and the count would never come back to none.
        let Ok(place) = self.replies.reserve().await else { return false };
        self.unsent_replies.set(self.unsent_replies.get() + 1);
        place.send(message.encode(tag));
        true
    }
}

impl NinePFrontend {
    /// Begins a session anew with a version: the reply. `None` where the client cannot be talked to.
    pub(super) fn agree_on_version(
        &self,
        session: &Session,
        message_size: u32,
        version: &str,
    ) -> Option<Message> {
        self.reset(session);
        if message_size < LEAST_MESSAGE_SIZE {
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
