//! Serves one client connection: receives a request, has it handled and writes the response, again and again.

use super::body::memory_exhausted;
use super::close_reason::CloseReason;
use super::connection::{ConnectionState, Phase};
use super::error::RequestError;
use super::response::{Response, ResponseBody, ResponseFraming};
use super::{HttpFrontend, REQUEST_TIMEOUT};
use crate::backend::http::StreamedBody;
use crate::descriptors::DescriptorPermit;
use crate::http1::{ReceiveError, ServerConnection, close_sending, discard, write_all};
use http::StatusCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time after which an idle client connection is closed. Clients reuse connections, and a close that races
/// with a request costs the client a new connection; but some clients keep connections open without using
/// them again.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(30);
/// Time in which a client must read some part of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection stays open after its closing response, so that the client can receive it.
pub(super) const LINGER_TIME: Duration = Duration::from_millis(300);
/// Time past the client's deadline that a head waits, in all, for the rest of a response that it passes on.
const OVERDUE_WAIT: Duration = Duration::from_millis(300);

/// A connection to a client, with what serves it.
pub(super) struct ClientConnection {
    pub(super) frontend: Rc<HttpFrontend>,
    pub(super) state: Rc<ConnectionState>,
    pub(super) connection: ServerConnection,
    accepted_at: Instant,
    /// A request has been received on this connection.
    has_served: bool,
    /// Bytes arrived while a response was pending, and were discarded: at least a part of a request that was sent
    /// ahead of the response.
    pub(super) has_discarded: bool,
    _descriptor: DescriptorPermit,
}

/// A response and whether the connection closes behind it.
pub(super) struct Answer {
    pub(super) response: Response,
    pub(super) closes: bool,
}

impl Answer {
    /// A response behind which the connection closes.
    pub(super) fn closing(response: Response) -> Answer {
        Answer { response, closes: true }
    }
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub(super) fn new(
        frontend: Rc<HttpFrontend>,
        stream: TcpStream,
        state: Rc<ConnectionState>,
        descriptor: DescriptorPermit,
    ) -> ClientConnection {
        let connection = ServerConnection::new(stream, &frontend.head_budget);
        ClientConnection {
            frontend,
            state,
            connection,
            accepted_at: Instant::now(),
            has_served: false,
            has_discarded: false,
            _descriptor: descriptor,
        }
    }

    /// Serves requests until the connection ends; why it did.
    pub(super) async fn serve(mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.serve_request().await {
                return reason;
            }
        }
    }

    async fn serve_request(&mut self) -> Result<(), CloseReason> {
        self.state.enter(Phase::Idle);
        self.connection.received.release();
        let started_at = self.wait_for_request().await?;
        let answer = match self.receive_head(started_at).await {
            Ok(()) => self.handle(started_at).await?,
            Err(ReceiveFailure::Closed(reason)) => return Err(reason),
            Err(ReceiveFailure::Refused(response)) => Answer::closing(response),
        };
        self.has_served = true;
        let closes = answer.closes;
        self.send(answer.response, closes).await?;
        if closes {
            return Err(self.linger().await);
        }
        if !self.connection.received.is_empty() || self.has_discarded {
            self.send(RequestError::Pipelined.response(), true).await?;
            return Err(self.linger().await);
        }
        Ok(())
    }

    /// Waits for the first byte of a request; when it counts as begun.
    async fn wait_for_request(&mut self) -> Result<Instant, CloseReason> {
        let (deadline, overdue) = if self.has_served {
            (Instant::now() + KEEP_ALIVE_TIME, CloseReason::Idle)
        } else {
            (self.accepted_at + REQUEST_TIMEOUT, CloseReason::NoRequest)
        };
        let received = tokio::time::timeout_at(deadline.into(), self.connection.receive()).await;
        received.map_err(|_| overdue)?.map_err(|_| CloseReason::ClientClosed)?;
        self.state.record_received();
        Ok(if self.has_served { Instant::now() } else { self.accepted_at })
    }

    /// Receives the rest of a request's head.
    async fn receive_head(&mut self, started_at: Instant) -> Result<(), ReceiveFailure> {
        self.state.enter(Phase::ReceivingHead);
        let deadline = started_at + REQUEST_TIMEOUT;
        while !self.connection.has_head()? {
            let received = tokio::time::timeout_at(deadline.into(), self.connection.receive()).await;
            let overdue = |_| ReceiveFailure::Refused(Response::empty(StatusCode::REQUEST_TIMEOUT));
            received.map_err(overdue)??;
            self.state.record_received();
        }
        Ok(())
    }

    /// Writes a response. A client that reads slowly has [`WRITE_TIMEOUT`] for each part.
    async fn send(&mut self, response: Response, closes: bool) -> Result<(), CloseReason> {
        self.state.enter(Phase::SendingResponse);
        let head = response.head(closes);
        let framing = response.framing();
        match response.body {
            ResponseBody::Text(text) => self.write(head.as_bytes(), text.as_bytes()).await,
            ResponseBody::Whole(body) => self.write(head.as_bytes(), &body.bytes).await,
            ResponseBody::Streamed { body, deadline } => {
                self.write(head.as_bytes(), &[]).await?;
                self.stream(*body, framing, deadline).await
            }
        }
    }

    async fn write(&self, head: &[u8], body: &[u8]) -> Result<(), CloseReason> {
        let written = write_all(&self.connection.stream, head, body, WRITE_TIMEOUT, |_| {
            self.state.record_written();
        });
        written.await.map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => CloseReason::ResponseNotRead,
            _ => CloseReason::ClientClosed,
        })
    }

    /// Passes a backend's body on while it comes in, each part as soon as the client has taken the one before. The
    /// connection closes within the body if the backend does not complete it.
    async fn stream(
        &mut self,
        body: StreamedBody,
        framing: ResponseFraming,
        deadline: Instant,
    ) -> Result<(), CloseReason> {
        let StreamedBody { received, mut rest, .. } = body;
        self.write_part(&received.bytes, framing).await?;
        drop(received);
        let mut overdue_left = OVERDUE_WAIT;
        loop {
            let begun = Instant::now();
            let limit = deadline.max(begun) + overdue_left;
            let stream = &self.connection.stream;
            let has_discarded = &mut self.has_discarded;
            let has_data = tokio::select! {
                biased;
                has_data = rest.wait_for_data() => has_data.map_err(|_| CloseReason::BackendResponseBroken)?,
                _ = discard(stream, |_| *has_discarded = true) => return Err(CloseReason::ClientClosed),
                () = tokio::time::sleep_until(limit.into()) => return Err(CloseReason::BackendResponseOverdue),
            };
            let overdue = Instant::now().saturating_duration_since(deadline.max(begun));
            overdue_left = overdue_left.saturating_sub(overdue);
            if !has_data {
                break;
            }
            self.write_part(rest.data(), framing).await?;
            rest.consume_data();
        }
        rest.finish();
        match framing {
            ResponseFraming::Length(_) => Ok(()),
            ResponseFraming::Chunked => self.write(b"0\r\n\r\n", &[]).await,
        }
    }

    /// Writes one part of a body in its framing.
    async fn write_part(&self, part: &[u8], framing: ResponseFraming) -> Result<(), CloseReason> {
        if part.is_empty() {
            return Ok(());
        }
        if framing != ResponseFraming::Chunked {
            return self.write(&[], part).await;
        }
        self.write(format!("{:x}\r\n", part.len()).as_bytes(), part).await?;
        self.write(b"\r\n", &[]).await
    }

    async fn linger(&mut self) -> CloseReason {
        self.state.enter(Phase::Lingering);
        linger(&mut self.connection.stream).await;
        CloseReason::Answered
    }
}

/// Ends the sending side and waits for the client to close its own. Closing a socket with unread bytes resets the
/// connection, which can lose a response in transit; so bytes that arrive now are discarded.
pub(super) async fn linger(stream: &mut TcpStream) {
    close_sending(stream).await;
    let _ = tokio::time::timeout(LINGER_TIME, discard(stream, |_| {})).await;
}

/// Why no request was received.
enum ReceiveFailure {
    /// The client gets this response.
    Refused(Response),
    /// The connection ends without one.
    Closed(CloseReason),
}

impl From<ReceiveError> for ReceiveFailure {
    fn from(error: ReceiveError) -> ReceiveFailure {
        let response = match error {
            ReceiveError::Disconnected => return ReceiveFailure::Closed(CloseReason::ClientClosed),
            ReceiveError::HeadTooLarge => Response::empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            ReceiveError::MemoryExhausted => memory_exhausted().response(),
            ReceiveError::MalformedHead | ReceiveError::MalformedBody(_) => {
                Response::empty(StatusCode::BAD_REQUEST)
            }
        };
        ReceiveFailure::Refused(response)
    }
}
