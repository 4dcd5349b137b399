//! One HTTP/1.1 connection to a backend or to discovery: opens it, writes requests and reads the heads of responses.

use crate::backend::{BeginCheck, CalledOff};
use crate::descriptors::{DescriptorPermit, Descriptors};
use crate::http1::{
    BodyError, BodyFraming, HeadError, ReceiveBuffer, ResponseHead, parse_response, write_message,
};
use crate::memory_budget::{BodyTooLarge, MemoryBudget};
use sedgerun_cluster::traffic::Traffic;
use sedgerun_net::Stream;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Bytes that a connection receives at once; it has so many while a response is awaited, and none while it is idle.
pub const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// The largest response head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most informational (1xx) heads accepted before the final head.
const MAX_INFORMATIONAL_HEADS: usize = 16;
/// The informational status after which the connection no longer carries HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Bytes that go out at once on a connection with nothing in flight, though its peer reads nothing: the initial congestion
/// window of ten segments.
const INITIAL_WINDOW_BYTES: usize = 10 * 1460;
/// Bytes of a body that are written with their head in one piece.
const JOINED_BODY_BYTES: usize = 4 * 1024;
/// Time before a connection is tried again for which the system had no resources.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Failures that say that this system lacks resources for the moment: no descriptors (`ENFILE`, `EMFILE`), no memory
/// (`ENOMEM`, `ENOBUFS`), no local port (`EADDRNOTAVAIL`), no route (`ENETUNREACH`).
const LOCAL_FAILURES: [rustix::io::Errno; 6] = [
    rustix::io::Errno::NFILE,
    rustix::io::Errno::MFILE,
    rustix::io::Errno::NOMEM,
    rustix::io::Errno::NOBUFS,
    rustix::io::Errno::ADDRNOTAVAIL,
    rustix::io::Errno::NETUNREACH,
];

/// Timeouts of a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Timeout for opening a connection.
    pub dial: Duration,
    /// Time after which backends close an idle connection.
    pub idle: Duration,
}

/// What connections share.
#[derive(Clone, Debug)]
pub struct ConnectionResources {
    /// The descriptors of the program.
    pub descriptors: Descriptors,
    /// The descriptors that must be available for a connection to be opened.
    pub min_descriptors: usize,
    /// The memory for response heads larger than the buffer that each connection has.
    pub head_budget: MemoryBudget,
    /// Counters of messages and payload bytes; `None` if they are not counted.
    pub traffic: Option<Arc<Traffic>>,
}

/// Why a connection was not opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// No descriptor is available.
    #[error("no descriptor is available")]
    NoDescriptor,
    /// This system had no resources for it until the timeout.
    #[error("no resources for a connection: {0}")]
    NoResources(#[source] io::Error),
    /// It was not established within its timeout.
    #[error("the connection was not established in time")]
    TimedOut,
    /// It was refused, or broke.
    #[error(transparent)]
    Failed(io::Error),
}

/// Why a request was not written to its last byte. It never runs.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection has broken or stalled.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The attempt may not begin any more.
    #[error(transparent)]
    CalledOff(#[from] CalledOff),
}

/// Why a response cannot be used. The request may have run, and the connection cannot be reused.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The connection has broken.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The connection has ended before the response.
    #[error("the connection ended within the response")]
    UnexpectedEnd,
    /// The head is malformed.
    #[error(transparent)]
    MalformedHead(#[from] HeadError),
    /// The head is too large, or there is no memory for it.
    #[error("the response head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The head switches protocols, or exceeds the limit of informational heads.
    #[error("no final response head")]
    NoFinalHead,
    /// The body is malformed.
    #[error(transparent)]
    MalformedBody(#[from] BodyError),
    /// The body exceeds what its reader can hold.
    #[error(transparent)]
    BodyTooLarge(#[from] BodyTooLarge),
}

/// What a response's head says.
#[derive(Clone, Debug)]
pub struct ResponseSummary {
    /// The status.
    pub status: u16,
    /// Whether the backend says that it has not begun the request.
    pub not_started: bool,
    /// Whether the connection stays open behind the response.
    pub keep_alive: bool,
    /// How the end of the body is found.
    pub framing: BodyFraming,
    /// The volume's use that the backend reports (`X-Iops-Used`), as text.
    pub volume_usage: Option<String>,
    /// The units served through other heads that the backend reports (`X-Rho`), as text.
    pub units_elsewhere: Option<String>,
}

impl ResponseSummary {
    fn of(head: &ResponseHead<'_>) -> Result<ResponseSummary, BodyError> {
        let text = |name| head.fields.single(name).ok().map(str::to_owned);
        let framing = head.framing()?;
        Ok(ResponseSummary {
            status: head.status,
            not_started: head.fields.single("Not-Started") == Ok("1"),
            keep_alive: head.keep_alive() && framing != BodyFraming::UntilClose,
            framing,
            volume_usage: text("X-Iops-Used"),
            units_elsewhere: text("X-Rho"),
        })
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: Stream,
    pub(super) received: ReceiveBuffer,
    traffic: Option<Arc<Traffic>>,
    /// A request was begun to be written, and no final response has come.
    is_request_open: bool,
    /// Held for the lifetime of the connection.
    _descriptor: DescriptorPermit,
}

impl Drop for Connection {
    /// Closes the connection. What of an open request lies in the send queue would otherwise reach the backend later.
    fn drop(&mut self) {
        if self.is_request_open {
            self.stream.discard_unsent_on_close();
        }
    }
}

impl Connection {
    /// Opens a connection within `dial_timeout`. A failure for want of this system's resources passes; the connection
    /// is tried again until the timeout.
    ///
    /// # Errors
    /// No descriptor or no resources are available, or the connection fails or times out.
    pub async fn open(
        address: SocketAddr,
        dial_timeout: Duration,
        resources: &ConnectionResources,
    ) -> Result<Connection, OpenError> {
        if resources.descriptors.available() < resources.min_descriptors {
            return Err(OpenError::NoDescriptor);
        }
        let descriptor = resources.descriptors.acquire();
        let deadline = tokio::time::Instant::now() + dial_timeout;
        let stream = connect(address, deadline).await?;
        Ok(Connection {
            stream,
            received: ReceiveBuffer::new(RECEIVE_BUFFER_BYTES, &resources.head_budget),
            traffic: resources.traffic.clone(),
            is_request_open: false,
            _descriptor: descriptor,
        })
    }

    /// Writes a request. A part must be taken within `stall_time`.
    ///
    /// # Errors
    /// The connection has broken or stalled; it has not taken the request's last byte, so the request never runs.
    pub async fn send(&mut self, head: &[u8], body: &[u8], stall_time: Duration) -> io::Result<()> {
        let traffic = self.traffic.as_deref();
        write_message(&self.stream, head, body, stall_time, |bytes| {
            traffic.inspect(|traffic| traffic.add_bytes_sent(bytes));
        })
        .await?;
        traffic.inspect(|traffic| traffic.add_message_sent());
        Ok(())
    }

    /// Writes the request of an attempt, which its backend begins with the last byte. Right before that byte is written,
    /// with nothing before it left in the send queue, the attempt is checked once more. The system must take a part within
    /// `stall_time`; the caller bounds the time in which the backend takes what lies in the send queue.
    ///
    /// # Errors
    /// The attempt may not begin any more, or the connection has broken or stalled. The last byte was not written, so the
    /// request never runs.
    pub async fn send_attempt(
        &mut self,
        head: &[u8],
        body: &[u8],
        stall_time: Duration,
        check: &BeginCheck,
    ) -> Result<(), SendError> {
        self.is_request_open = true;
        if body.len() <= JOINED_BODY_BYTES {
            return self.send_end(&[head, body].concat(), stall_time, check).await;
        }
        let (front, last) = body.split_at(body.len() - 1);
        write_message(&self.stream, head, front, stall_time, |_| {}).await?;
        if head.len() + body.len() > INITIAL_WINDOW_BYTES {
            self.stream.wait_until_sent().await?;
        }
        self.send_end(last, stall_time, check).await
    }

    /// Writes the end of an attempt's request, of which nothing is in the send queue yet.
    async fn send_end(
        &self,
        mut end: &[u8],
        stall_time: Duration,
        check: &BeginCheck,
    ) -> Result<(), SendError> {
        loop {
            check.heed_news().await;
            if let Some(timeout) = check.acknowledgement_timeout() {
                self.stream.set_acknowledgement_timeout(Some(timeout));
            }
            check.ask()?;
            let written = self.stream.write_now(end)?;
            if written == end.len() {
                check.record_begun();
                return Ok(());
            }
            if written == 0 {
                let writable = tokio::time::timeout(stall_time, self.stream.writable()).await;
                writable.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            }
            let (front, last) = end[written..].split_at(end.len() - written - 1);
            self.stream.write_all(front, stall_time, |_| {}).await?;
            self.stream.wait_until_sent().await?;
            end = last;
        }
    }

    /// Lets the request of the next attempt be acknowledged at any time.
    pub(super) fn clear_acknowledgement_timeout(&self) {
        self.stream.set_acknowledgement_timeout(None);
    }

    /// Reads the final head of a response; calls `on_partial` when a part of the response has arrived and its final head
    /// is not complete.
    ///
    /// # Errors
    /// The connection ends, or the head cannot be used.
    pub async fn read_head(
        &mut self,
        mut on_partial: impl FnMut(),
    ) -> Result<ResponseSummary, ResponseError> {
        for _ in 0..=MAX_INFORMATIONAL_HEADS {
            let summary = self.read_any_head(&mut on_partial).await?;
            match summary.status {
                SWITCHING_PROTOCOLS => return Err(ResponseError::NoFinalHead),
                100..=199 => on_partial(),
                _ => {
                    self.is_request_open = false;
                    return Ok(summary);
                }
            }
        }
        Err(ResponseError::NoFinalHead)
    }

    async fn read_any_head(
        &mut self,
        on_partial: &mut impl FnMut(),
    ) -> Result<ResponseSummary, ResponseError> {
        loop {
            if let Some((head, length)) = parse_response(self.received.unread())? {
                let is_informational = (100..=199).contains(&head.status);
                let summary = match ResponseSummary::of(&head) {
                    Err(_) if is_informational => return Err(ResponseError::NoFinalHead),
                    summary => summary?,
                };
                self.received.consume(length);
                return Ok(summary);
            }
            if !self.received.is_empty() {
                on_partial();
            }
            self.received.ensure_capacity(MAX_HEAD_BYTES).map_err(|_| ResponseError::HeadTooLarge)?;
            if self.receive().await? == 0 {
                return Err(ResponseError::UnexpectedEnd);
            }
        }
    }

    /// Receives more bytes into the buffer, which has room; 0 at the end of the connection.
    pub(super) async fn receive(&mut self) -> io::Result<usize> {
        let received = self.received.fill(&self.stream).await?;
        self.traffic.as_deref().inspect(|traffic| traffic.add_bytes_received(received));
        Ok(received)
    }

    /// Counts a response that was received to its end.
    pub(super) fn count_response(&self) {
        self.traffic.as_deref().inspect(|traffic| traffic.add_message_received());
    }

    /// Whether nothing has arrived that no request was sent for, and the connection is open.
    pub(super) fn is_reusable(&self) -> bool {
        self.received.is_empty() && self.stream.is_silent()
    }
}

/// Connects by a deadline, again and again while this system has no resources for it.
async fn connect(address: SocketAddr, deadline: tokio::time::Instant) -> Result<Stream, OpenError> {
    loop {
        let connecting = tokio::time::timeout_at(deadline, Stream::connect(address));
        let error = match connecting.await {
            Err(_) => return Err(OpenError::TimedOut),
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => error,
        };
        if !is_local_failure(&error) {
            return Err(OpenError::Failed(error));
        }
        if tokio::time::Instant::now() + OPEN_RETRY_PAUSE >= deadline {
            return Err(OpenError::NoResources(error));
        }
        tokio::time::sleep(OPEN_RETRY_PAUSE).await;
    }
}

/// Whether a failure says nothing of the other side.
fn is_local_failure(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_FAILURES.iter().any(|errno| errno.raw_os_error() == code))
}
