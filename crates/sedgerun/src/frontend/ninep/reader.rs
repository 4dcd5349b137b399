//! Reads a client's messages and starts their operations, until the client disconnects or violates the
//! protocol.

use super::close_reason::CloseReason;
use super::in_flight::TagGuard;
use super::session::{Operation, Session};
use super::{KIB, MESSAGE_TIMEOUT, NinePFrontend};
use sedgerun_net::Stream;
use sedgerun_protocol_9p::{IO_HEADER_SIZE, Message, NO_TAG, frame_length, peek_type_and_tag};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Interval between checks for a disconnected client while no message is read.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The largest reply without data, in bytes.
const MAX_SMALL_REPLY_BYTES: usize = 1024;

impl NinePFrontend {
    /// Reads a client's messages until it disconnects or violates the protocol; why the session ends.
    pub(super) async fn read_messages(
        self: &Rc<Self>,
        session: &Rc<Session>,
        stream: &Stream,
    ) -> CloseReason {
        loop {
            if let Err(reason) = self.read_message(session, stream).await {
                return reason;
            }
        }
    }

    /// Reads one message and starts its operation; a `Tversion` is handled directly.
    async fn read_message(
        self: &Rc<Self>,
        session: &Rc<Session>,
        stream: &Stream,
    ) -> Result<(), CloseReason> {
        let frame = read_frame(session, stream).await?;
        let (_, tag) = peek_type_and_tag(&frame).map_err(|_| CloseReason::UnusableTag)?;
        match Message::decode(&frame) {
            Err(_) => {
                let ename = "malformed message".into();
                reply(session, tag, Message::Rerror { ename }).await
            }
            Ok((_, Message::Tversion { msize, version })) => {
                let version_reply = self.negotiate_version(session, msize, &version);
                let version_reply = version_reply.ok_or(CloseReason::MessageSizeTooSmall)?;
                // Waits for operations from before the `Tversion` to end, so that their tags are free in the
                // new session.
                let emptied = unless_disconnected(stream, session.operations.until_empty()).await;
                emptied.ok_or(CloseReason::Disconnected)?;
                reply(session, tag, version_reply).await
            }
            // Replies to two operations with the same tag cannot be told apart: a tag in flight ends the
            // connection.
            Ok(_) if tag == NO_TAG || session.operations.contains(tag) => Err(CloseReason::UnusableTag),
            Ok((_, message)) => {
                let bytes = operation_bytes(frame.len(), &message, session.message_size());
                drop(frame);
                let permits = unless_disconnected(stream, self.operation_permits(session, bytes)).await;
                let permits = permits.flatten().ok_or(CloseReason::Disconnected)?;
                self.start_operation(session, tag, message, permits);
                Ok(())
            }
        }
    }

    /// Waits until the limits of this session and of the front end allow one more operation, whose messages take up so
    /// many bytes; `None` if a semaphore is closed. No further message of the session is read meanwhile.
    async fn operation_permits(&self, session: &Session, bytes: usize) -> Option<OperationPermits> {
        session.operations.until_fewer_than(self.config.resource_limits.ninep_max_in_flight).await;
        let operation = Arc::clone(&self.operation_permits).acquire_owned().await.ok()?;
        let kib = u32::try_from(bytes.div_ceil(KIB)).unwrap_or(u32::MAX);
        let memory = Arc::clone(&self.message_memory).acquire_many_owned(kib).await.ok()?;
        Some(OperationPermits { operation, memory })
    }

    /// Starts a message's operation in a task of its own, which ends once its reply is queued.
    fn start_operation(
        self: &Rc<Self>,
        session: &Rc<Session>,
        tag: u16,
        message: Message,
        permits: OperationPermits,
    ) {
        let frontend = Rc::clone(self);
        let OperationPermits { operation, memory } = permits;
        let tag_guard = TagGuard::new(Rc::clone(&session.operations), tag, operation);
        let operation = Operation::new(Rc::clone(session));
        let state = Rc::clone(&operation.state);
        let task = actix_rt::spawn(async move {
            let reply = match frontend.perform(&operation, message).await {
                Ok(reply) => reply,
                Err(error) => {
                    error.log(operation.session.number, tag);
                    Message::Rerror { ename: error.to_string() }
                }
            };
            // The reply is queued before the tag is freed, so that the reply to a flush follows it.
            operation.session.reply(tag, reply, Some(memory)).await;
            drop(tag_guard);
        });
        session.operations.insert(tag, state, task.abort_handle());
    }
}

/// What an operation may use.
struct OperationPermits {
    /// Its place among the operations of all clients.
    operation: OwnedSemaphorePermit,
    /// The memory for its messages.
    memory: OwnedSemaphorePermit,
}

/// The memory that the messages of an operation take up: the client's, which is copied to the backend, and the reply,
/// which is copied to the client.
fn operation_bytes(frame_bytes: usize, message: &Message, message_size: u32) -> usize {
    let reply_bytes = match message {
        Message::Tread { count, .. } => count.saturating_add(IO_HEADER_SIZE).min(message_size) as usize,
        _ => MAX_SMALL_REPLY_BYTES,
    };
    2 * (frame_bytes + reply_bytes)
}

/// Queues a reply.
async fn reply(session: &Session, tag: u16, message: Message) -> Result<(), CloseReason> {
    if session.reply(tag, message, None).await { Ok(()) } else { Err(CloseReason::ReplyNotTaken) }
}

/// Reads a message without its length field.
async fn read_frame(session: &Session, stream: &Stream) -> Result<Vec<u8>, CloseReason> {
    let mut first = [0; 1];
    let first_byte = stream.read_exact(&mut first);
    // A session may be idle between messages, but not before its version is negotiated, nor within a message.
    let received = if session.version_agreed() {
        first_byte.await
    } else {
        let received = tokio::time::timeout(MESSAGE_TIMEOUT, first_byte).await;
        received.map_err(|_| CloseReason::MessageOverdue)?
    };
    received.map_err(|_| CloseReason::Disconnected)?;
    let rest = read_rest(stream, first[0], session.message_size());
    tokio::time::timeout(MESSAGE_TIMEOUT, rest).await.map_err(|_| CloseReason::MessageOverdue)?
}

/// Reads the rest of a message after its first byte, and returns the message without its length field. Behind an
/// invalid length the end of the message is unknown, and no reply is possible.
async fn read_rest(stream: &Stream, first: u8, message_size: u32) -> Result<Vec<u8>, CloseReason> {
    let mut length_field = [first, 0, 0, 0];
    stream.read_exact(&mut length_field[1..]).await.map_err(|_| CloseReason::Disconnected)?;
    let length = frame_length(length_field, message_size).map_err(|_| CloseReason::InvalidLength)?;
    let mut frame = vec![0; length - 4];
    stream.read_exact(&mut frame).await.map_err(|_| CloseReason::Disconnected)?;
    Ok(frame)
}

/// Waits for a future while no message is read from the client; `None` once the client has disconnected.
/// Checks the socket, since unread bytes hide the end of the stream, and operations would continue for a
/// disconnected client.
async fn unless_disconnected<T>(stream: &Stream, wait: impl Future<Output = T>) -> Option<T> {
    let mut wait = std::pin::pin!(wait);
    loop {
        tokio::select! {
            biased;
            done = &mut wait => return Some(done),
            () = tokio::time::sleep(DISCONNECT_CHECK_INTERVAL) => {}
        }
        if stream.is_read_closed().await {
            return None;
        }
    }
}
