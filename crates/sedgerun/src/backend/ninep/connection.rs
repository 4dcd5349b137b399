//! A connection to a 9P backend, shared by all attempts at it: calls, responses, flushes and close.
//!
//! Two tasks serve a connection: [`super::frame_writer`] writes queued frames, the other delivers responses. Both end
//! with the connection. This module only exchanges messages; [`super::operation`] composes operations of them.

use super::fids::{FidGuard, FidTable};
use super::frame_writer::{FrameRole, QueuedFrame, write_frames};
use super::in_flight::{InFlightTags, UnexpectedResponse};
use crate::backend::{AttemptContext, AttemptProgress, BeginCheck, CalledOff};
use crate::descriptors::DescriptorPermit;
use crate::memory_budget::MemoryBudget;
use futures_util::FutureExt;
use sedgerun_dispatch::AttemptStage;
use sedgerun_net::Stream;
use sedgerun_protocol_9p::{
    IO_HEADER_SIZE, MAX_MESSAGE_SIZE, MalformedMessage, Message, NO_TAG, VERSION, frame_length,
};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::{Rc, Weak};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Capacity of the queue of frames to write. The limit on attempts at a backend is well below it.
const MAX_QUEUED_FRAMES: usize = 512;
/// The length field of a frame.
const LENGTH_BYTES: usize = 4;
/// The length, type and tag of a frame.
const HEADER_BYTES: usize = LENGTH_BYTES + 3;

/// The connection could not be established, has ended, or is no longer usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("connection to the 9P backend lost")]
pub(super) struct ConnectionLost;

/// Why a call of an attempt has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CallError {
    /// The connection has ended.
    #[error(transparent)]
    ConnectionLost(#[from] ConnectionLost),
    /// The message was not sent, as the attempt may not go on.
    #[error(transparent)]
    CalledOff(#[from] CalledOff),
}

/// Why no further response is read from a connection.
#[derive(Debug, Error)]
enum ReadError {
    /// It has ended or broken.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// A frame is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// A response came that no call waits for.
    #[error(transparent)]
    Unexpected(#[from] UnexpectedResponse),
}

/// A connection to a 9P backend.
pub(super) struct Connection {
    address: SocketAddr,
    stream: Rc<Stream>,
    frames: mpsc::Sender<QueuedFrame>,
    in_flight: RefCell<InFlightTags>,
    pub(super) fids: RefCell<FidTable>,
    is_closed: Cell<bool>,
    /// The negotiated message size limit (`msize`), in bytes.
    max_message_bytes: Cell<u32>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Held for the lifetime of the connection.
    _descriptor: DescriptorPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.end();
    }
}

/// A call that waits for its response. Dropping it before the response sends a `Tflush` to the backend.
struct PendingCall<'a> {
    connection: &'a Connection,
    tag: u16,
    is_complete: bool,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.connection.flush(self.tag);
        }
    }
}

/// A connection as one attempt uses it.
pub(super) struct AttemptConnection {
    connection: Rc<Connection>,
    progress: AttemptProgress,
    begin_check: BeginCheck,
}

impl AttemptConnection {
    pub(super) fn new(connection: Rc<Connection>, context: &AttemptContext) -> AttemptConnection {
        let (progress, begin_check) = (context.progress.clone(), context.begin_check.clone());
        AttemptConnection { connection, progress, begin_check }
    }

    /// Sends a message that prepares the operation, and waits for its response; a response that comes in parts updates
    /// the progress. Dropping the future sends a `Tflush` for the message.
    pub(super) async fn call(&self, message: Message) -> Result<Message, CallError> {
        self.call_as(FrameRole::Preparation(self.begin_check.clone()), message).await
    }

    /// As [`call`](Self::call), for the message with which the backend begins the operation.
    pub(super) async fn begin(&self, message: Message) -> Result<Message, CallError> {
        self.call_as(FrameRole::Beginning(self.begin_check.clone()), message).await
    }

    async fn call_as(&self, role: FrameRole, message: Message) -> Result<Message, CallError> {
        self.progress.advance(AttemptStage::AwaitingResponse);
        let tag = self.connection.next_free_tag()?;
        self.connection.call_with_tag(tag, role, message, Some(self.progress.clone())).await
    }
}

impl Deref for AttemptConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl Connection {
    /// Connects, and negotiates the protocol version and the message size.
    pub(super) async fn open(
        address: SocketAddr,
        descriptor: DescriptorPermit,
        roots: MemoryBudget,
    ) -> Result<Rc<Connection>, ConnectionLost> {
        let stream = Rc::new(Stream::connect(address).await.map_err(|_| ConnectionLost)?);
        let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        let connection = Rc::new(Connection {
            address,
            stream: Rc::clone(&stream),
            frames,
            in_flight: RefCell::default(),
            fids: RefCell::new(FidTable::new(roots)),
            is_closed: Cell::new(false),
            max_message_bytes: Cell::new(MAX_MESSAGE_SIZE),
            tasks: RefCell::default(),
            _descriptor: descriptor,
        });
        let writer = actix_rt::spawn(write_frames(queue, Rc::clone(&stream), Rc::downgrade(&connection)));
        let reader = actix_rt::spawn(deliver_responses(stream, Rc::downgrade(&connection)));
        connection.tasks.borrow_mut().extend([writer.abort_handle(), reader.abort_handle()]);
        connection.negotiate_version().await?;
        Ok(connection)
    }

    async fn negotiate_version(&self) -> Result<(), ConnectionLost> {
        let version = Message::Tversion { msize: MAX_MESSAGE_SIZE, version: VERSION.into() };
        let response = self.call_with_tag(NO_TAG, FrameRole::Housekeeping, version, None).await;
        match response.map_err(|_| ConnectionLost)? {
            Message::Rversion { msize, version } if version == VERSION && msize > 2 * IO_HEADER_SIZE => {
                self.max_message_bytes.set(msize.min(MAX_MESSAGE_SIZE));
                Ok(())
            }
            _ => Err(ConnectionLost),
        }
    }

    /// Closes the connection. Calls that wait for a response fail.
    pub(super) fn close(&self, reason: &impl std::fmt::Display) {
        tracing::info!("9P connection to {}: closed: {reason}", self.address);
        self.is_closed.set(true);
        self.in_flight.borrow_mut().clear();
        self.end();
    }

    /// Ends the tasks and, with them, the connection. What was not sent yet never reaches the backend.
    fn end(&self) {
        self.stream.discard_unsent_on_close();
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
    }

    /// Whether the connection is open and no `Tflush` is overdue.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_closed.get() && !self.in_flight.borrow().has_overdue_flush()
    }

    /// The largest data payload of one message, in bytes.
    pub(super) fn max_data_bytes(&self) -> u32 {
        self.max_message_bytes.get() - IO_HEADER_SIZE
    }

    /// The fid cached for a client's open file, which becomes stale at the end of the attempt unless it is kept.
    pub(super) fn take_open_file(&self, handle: u64) -> Option<FidGuard<'_>> {
        FidGuard::take_open_file(&self.fids, handle)
    }

    /// A new fid, which becomes stale at the end of the attempt unless it is kept or cached.
    pub(super) fn new_fid(&self) -> FidGuard<'_> {
        FidGuard::new(&self.fids)
    }

    async fn call_with_tag(
        &self,
        tag: u16,
        role: FrameRole,
        message: Message,
        progress: Option<AttemptProgress>,
    ) -> Result<Message, CallError> {
        if self.is_closed.get() {
            return Err(ConnectionLost.into());
        }
        let receiver = self.in_flight.borrow_mut().insert_call(tag, progress);
        let mut call = PendingCall { connection: self, tag, is_complete: false };
        let is_queued = self.send(tag, role, &message);
        let response = if is_queued {
            receiver.await.map_err(|_| ConnectionLost)
        } else {
            self.in_flight.borrow_mut().remove(tag);
            Err(ConnectionLost)
        };
        call.is_complete = true;
        Ok(response??)
    }

    /// Fails the call with a tag, whose message was not sent.
    pub(super) fn call_off(&self, tag: u16, called_off: CalledOff) {
        self.in_flight.borrow_mut().call_off(tag, called_off);
    }

    /// Whether no message but the one with this tag is in flight.
    pub(super) fn is_only_call(&self, tag: u16) -> bool {
        self.in_flight.borrow().has_only(tag)
    }

    /// Sends a `Tflush` for a call whose caller has been dropped.
    fn flush(&self, flushed_tag: u16) {
        let Ok(tag) = self.next_free_tag() else { return };
        let mut in_flight = self.in_flight.borrow_mut();
        in_flight.cancel(flushed_tag);
        if self.send(tag, FrameRole::Housekeeping, &Message::Tflush { oldtag: flushed_tag }) {
            in_flight.insert_flush(tag, flushed_tag);
        }
    }

    /// Sends a `Tclunk` for each stale fid of earlier attempts. This is called at the start of an attempt, so
    /// that a backend that receives no new attempts receives no clunks either.
    pub(super) fn clunk_stale(&self) {
        let stale = self.fids.borrow_mut().take_stale();
        for fid in stale {
            let Ok(tag) = self.next_free_tag() else { return };
            if self.send(tag, FrameRole::Housekeeping, &Message::Tclunk { fid }) {
                // Recorded as a flush of its own tag: any response frees the tag.
                self.in_flight.borrow_mut().insert_flush(tag, tag);
            }
        }
    }

    fn next_free_tag(&self) -> Result<u16, ConnectionLost> {
        self.in_flight.borrow_mut().next_free().ok_or(ConnectionLost)
    }

    /// Queues a message. Returns `false` if the queue is full or the connection is closed.
    fn send(&self, tag: u16, role: FrameRole, message: &Message) -> bool {
        self.frames.try_send(QueuedFrame { tag, bytes: message.encode(tag), role }).is_ok()
    }
}

/// Delivers responses until the connection is dropped. Closes the connection at the end of the socket's stream, or
/// after a response that is malformed or that nobody waits for.
async fn deliver_responses(stream: Rc<Stream>, connection: Weak<Connection>) {
    loop {
        let received = read_message(&stream, &connection).await;
        let Some(connection) = connection.upgrade() else { return };
        let delivered = received.and_then(|(tag, message)| {
            let mut in_flight = connection.in_flight.borrow_mut();
            in_flight.deliver(tag, message).map_err(ReadError::Unexpected)
        });
        if let Err(error) = delivered {
            return connection.close(&error);
        }
    }
}

/// Reads one message from a backend's connection. The progress of a call is updated if its response
/// is incomplete.
async fn read_message(stream: &Stream, connection: &Weak<Connection>) -> Result<(u16, Message), ReadError> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let [l0, l1, l2, l3, _, t0, t1] = header;
    let frame_bytes = frame_length([l0, l1, l2, l3], MAX_MESSAGE_SIZE)?;
    let mut frame = vec![0; frame_bytes - LENGTH_BYTES];
    let (type_and_tag, rest) = frame.split_at_mut(HEADER_BYTES - LENGTH_BYTES);
    type_and_tag.copy_from_slice(&header[LENGTH_BYTES..]);
    read_rest(stream, rest, u16::from_le_bytes([t0, t1]), connection).await?;
    Ok(Message::decode(&frame)?)
}

/// Reads the rest of a message. The progress of the call with its tag is updated if the rest has not arrived yet.
async fn read_rest(
    stream: &Stream,
    rest: &mut [u8],
    tag: u16,
    connection: &Weak<Connection>,
) -> io::Result<()> {
    let mut reading = std::pin::pin!(stream.read_exact(rest));
    if let Some(read) = reading.as_mut().now_or_never() {
        return read;
    }
    if let Some(connection) = connection.upgrade() {
        let progress = connection.in_flight.borrow().progress_of(tag);
        progress.inspect(|progress| progress.advance(AttemptStage::ReceivingResponse));
    }
    reading.await
}
