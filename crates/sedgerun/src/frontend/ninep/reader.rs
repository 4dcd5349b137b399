//! Reads a client's messages and starts their operations, until the client disconnects or breaks the protocol.

use super::in_flight::{Operation, TagGuard};
use super::session::Session;
use super::{MESSAGE_TIMEOUT, NinePFrontend};
use futures_util::FutureExt;
use sedgerun_protocol_9p::{Message, NO_TAG, frame_length, peek_type_and_tag};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::OwnedSemaphorePermit;

/// Time between checks whether a client has disconnected while nothing is read from it.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The connection ends: the client has disconnected, or broken the protocol.
struct EndOfSession;

impl NinePFrontend {
    /// Reads a client's messages until it disconnects, or breaks the protocol.
    pub(super) async fn read_messages(self: &Rc<Self>, session: &Rc<Session>, mut reading: OwnedReadHalf) {
        while self.read_message(session, &mut reading).await.is_ok() {}
    }

    /// Reads one message and starts what it is for.
    async fn read_message(
        self: &Rc<Self>,
        session: &Rc<Session>,
        reading: &mut OwnedReadHalf,
    ) -> Result<(), EndOfSession> {
        let frame = read_frame(session, reading).await.ok_or(EndOfSession)?;
        let (_, tag) = peek_type_and_tag(&frame).map_err(|_| EndOfSession)?;
        match Message::decode(&frame) {
            Err(_) => {
                let ename = "malformed message".into();
                reply(session, tag, Message::Rerror { ename }).await
            }
            Ok((_, Message::Tversion { msize, version })) => {
                let answer = self.agree_on_version(session, msize, &version).ok_or(EndOfSession)?;
                // Guards against taking a tag of the new session for one that the old one still has in flight.
                let emptied = unless_disconnected(reading, session.operations.until_empty()).await;
                emptied.ok_or(EndOfSession)?;
                reply(session, tag, answer).await
            }
            // A tag that is in flight cannot be answered twice, nor told apart: the connection ends.
            Ok(_) if tag == NO_TAG || session.operations.contains(tag) => Err(EndOfSession),
            Ok((_, message)) => {
                let permit = unless_disconnected(reading, self.operation_permit(session)).await;
                let permit = permit.flatten().ok_or(EndOfSession)?;
                self.start_operation(session, tag, message, permit);
                Ok(())
            }
        }
    }

    /// Waits until one more operation may be in flight, of this session and of all; `None` where no more are given out.
    async fn operation_permit(&self, session: &Session) -> Option<OwnedSemaphorePermit> {
        session.operations.until_fewer_than(self.config.resource_limits.ninep_max_in_flight).await;
        Arc::clone(&self.operation_permits).acquire_owned().await.ok()
    }

    /// Starts a message's operation in a task of its own, which ends once its reply is queued.
    fn start_operation(
        self: &Rc<Self>,
        session: &Rc<Session>,
        tag: u16,
        message: Message,
        permit: OwnedSemaphorePermit,
    ) {
        let frontend = Rc::clone(self);
        let tag_guard = TagGuard::new(Rc::clone(session), tag, permit);
        let operation = Rc::new(Operation::new(Rc::clone(session)));
        let running = Rc::clone(&operation);
        let task = actix_rt::spawn(async move {
            let reply = match frontend.perform(&running, message).await {
                Ok(reply) => reply,
                Err(error) => Message::Rerror { ename: error.to_string() },
            };
            // The reply is queued before the tag is free, so that a flush of it is answered after it.
            running.session.reply(tag, reply).await;
            drop(tag_guard);
        });
        session.operations.insert(tag, operation, task.abort_handle());
    }
}

/// Queues a reply.
async fn reply(session: &Session, tag: u16, message: Message) -> Result<(), EndOfSession> {
    if session.reply(tag, message).await { Ok(()) } else { Err(EndOfSession) }
}

/// Reads a message without its length; `None` where the client has disconnected, has not sent it in time, or it cannot
/// be delimited, and so not be answered.
async fn read_frame(session: &Session, reading: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let mut first = [0; 1];
    let first_byte = reading.read_exact(&mut first);
    // A session may rest between messages, but not before it has begun, nor within a message.
    if session.version_agreed() {
        first_byte.await.ok()?;
    } else {
        tokio::time::timeout(MESSAGE_TIMEOUT, first_byte).await.ok()?.ok()?;
    }
    let rest = read_rest(reading, first[0], session.message_size());
    tokio::time::timeout(MESSAGE_TIMEOUT, rest).await.ok()?
}

/// Reads what follows a message's first byte: the message without its length. `None` where it cannot be
/// delimited, and so not be answered.
async fn read_rest(reading: &mut OwnedReadHalf, first: u8, message_size: u32) -> Option<Vec<u8>> {
    let mut head = [first, 0, 0, 0];
    reading.read_exact(&mut head[1..]).await.ok()?;
    let length = frame_length(head, message_size).ok()?;
    let mut frame = vec![0; length - 4];
    reading.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

/// Waits for something while nothing is read from a client; `None` once the client has disconnected. Guards against
/// operations that go on for a client that left behind bytes which nobody reads.
async fn unless_disconnected<T>(reading: &OwnedReadHalf, wait: impl Future<Output = T>) -> Option<T> {
    let mut wait = std::pin::pin!(wait);
    loop {
        tokio::select! {
            biased;
            done = &mut wait => return Some(done),
            () = tokio::time::sleep(DISCONNECT_CHECK_INTERVAL) => {}
        }
        let ready = reading.ready(Interest::READABLE).now_or_never();
        if ready.is_some_and(|ready| ready.is_ok_and(tokio::io::Ready::is_read_closed)) {
            return None;
        }
    }
}
