//! Serves one client connection: receives a request, has it handled and writes the response, again and again.

use super::body::memory_exhausted;
use super::close_reason::CloseReason;
use super::connection::{ConnectionState, Phase};
use super::error::RequestError;
use super::response::{Response, ResponseBody, ResponseFraming};
use super::{HttpFrontend, REQUEST_TIMEOUT};
use crate::backend::http::{BodyReader, StreamedBody};
use crate::descriptors::DescriptorPermit;
use crate::http1::{ReceiveError, ServerConnection, write_message};
use sedgerun_net::{DiscardEnd, Stream};
use sedgerun_policy::AttemptEnd;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which an idle client connection is closed. Clients reuse connections, and a close that races
/// with a request costs the client a new connection; but some clients keep connections open without using
/// them again.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(30);
/// Time in which a client must read some part of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection stays open after its closing response, so that the client can receive it.
pub(super) const LINGER_TIME: Duration = Duration::from_millis(300);
/// Bytes that are read and dropped for each request, beyond the body that it announces: what a client sends ahead of its
/// response, or behind one that closes the connection. Unread bytes would hide that the client has disconnected.
pub(super) const DISCARDED_BYTES: usize = 256 * 1024;
/// Time in which a backend must send some part of a response that is passed on.
const BACKEND_STALL_TIME: Duration = Duration::from_secs(10);

/// A connection to a client, with what serves it.
pub(super) struct ClientConnection {
    pub(super) frontend: Rc<HttpFrontend>,
    pub(super) state: Rc<ConnectionState>,
    pub(super) connection: ServerConnection,
    accepted_at: Instant,
    /// A request has been received on this connection.
    has_served: bool,
    /// Identifies the connection in the log.
    pub(super) number: u64,
    /// The id of the last request, where it had one.
    pub(super) request_id: Option<u64>,
    /// The last request is of HTTP/1.0.
    pub(super) is_http_1_0: bool,
    /// Bytes that are still read and dropped for the last request.
    pub(super) discarded_bytes_left: usize,
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
        number: u64,
        stream: Stream,
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
            number,
            request_id: None,
            is_http_1_0: false,
            discarded_bytes_left: DISCARDED_BYTES,
            _descriptor: descriptor,
        }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn serve(mut self) {
        let reason = loop {
            if let Err(reason) = self.serve_request().await {
                break reason;
            }
        };
        reason.log(self.number, self.request_id);
    }

    async fn serve_request(&mut self) -> Result<(), CloseReason> {
        self.state.enter(Phase::Idle);
        self.connection.received.release();
        let started_at = self.wait_for_request().await?;
        self.discarded_bytes_left = DISCARDED_BYTES;
        let answer = match self.receive_head(started_at).await {
            Ok(()) => self.handle(started_at).await?,
            Err(ReceiveFailure::Closed(reason)) => return Err(reason),
            Err(ReceiveFailure::Refused(error)) => self.refuse(&error),
        };
        self.has_served = true;
        let closes = self.send(answer).await?;
        if closes {
            return Err(self.linger().await);
        }
        // At least a part of a request was sent ahead of the response.
        let has_discarded = self.discarded_bytes_left < DISCARDED_BYTES;
        if has_discarded || !self.connection.received.is_empty() {
            let refusal = self.refuse(&RequestError::Pipelined);
            self.send(refusal).await?;
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
            let overdue = |_| ReceiveFailure::Refused(RequestError::HeadOverdue);
            received.map_err(overdue)??;
            self.state.record_received();
        }
        Ok(())
    }

    /// Writes a response; whether the connection closes behind it. A client that reads slowly has [`WRITE_TIMEOUT`] for
    /// each part.
    async fn send(&mut self, answer: Answer) -> Result<bool, CloseReason> {
        self.state.enter(Phase::SendingResponse);
        let response = answer.response;
        let framing = response.framing(self.is_http_1_0);
        let closes = answer.closes || framing == ResponseFraming::UntilClose;
        let head = response.head(framing, closes);
        match response.body {
            ResponseBody::Text(text) => self.write(head.as_bytes(), text.as_bytes()).await?,
            ResponseBody::Whole(body) => self.write(head.as_bytes(), &body.bytes).await?,
            ResponseBody::Streamed(body) => {
                self.write(head.as_bytes(), &[]).await?;
                self.stream(*body, framing).await?;
            }
        }
        Ok(closes)
    }

    async fn write(&self, head: &[u8], body: &[u8]) -> Result<(), CloseReason> {
        let written = write_message(&self.connection.stream, head, body, WRITE_TIMEOUT, |_| {
            self.state.record_written();
        });
        written.await.map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => CloseReason::ResponseNotRead,
            _ => CloseReason::ClientLeftResponse,
        })
    }

    /// Passes a backend's body on while it comes in, each part as soon as the client has taken the one before. The
    /// connection closes within the body if the backend does not complete it, or the backend or the client stalls.
    async fn stream(&mut self, body: StreamedBody, framing: ResponseFraming) -> Result<(), CloseReason> {
        let StreamedBody { received, mut rest, mut transfer, .. } = body;
        self.write_part(&received.bytes, framing).await?;
        drop(received);
        loop {
            match self.next_part(&mut rest).await {
                Ok(true) => transfer.record_progress(),
                Ok(false) => break,
                Err(reason) => {
                    transfer.end(transfer_end(reason));
                    return Err(reason);
                }
            }
            self.write_part(rest.data(), framing).await?;
            rest.consume_data();
        }
        rest.finish();
        transfer.end(AttemptEnd::Ok);
        match framing {
            ResponseFraming::Length(_) | ResponseFraming::UntilClose => Ok(()),
            ResponseFraming::Chunked => self.write(b"0\r\n\r\n", &[]).await,
        }
    }

    /// Waits for the next part of a backend's body while the client is connected; `false` at the end of the body.
    async fn next_part(&mut self, rest: &mut BodyReader) -> Result<bool, CloseReason> {
        let stream = &self.connection.stream;
        let discarded = &mut self.discarded_bytes_left;
        let client_leaves = async {
            if stream.discard(discarded).await == DiscardEnd::LimitReached {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            received = tokio::time::timeout(BACKEND_STALL_TIME, rest.wait_for_data()) => {
                let received = received.map_err(|_| CloseReason::BackendResponseStalled)?;
                received.map_err(|_| CloseReason::BackendResponseBroken)
            }
            () = client_leaves => Err(CloseReason::ClientLeftResponse),
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

    /// Closes the connection behind its last response, once the client has had time to receive it.
    async fn linger(&mut self) -> CloseReason {
        self.state.enter(Phase::Lingering);
        self.connection.close(LINGER_TIME, self.discarded_bytes_left).await;
        CloseReason::Answered
    }
}

/// How a transfer ended behind which its client's connection closes.
fn transfer_end(reason: CloseReason) -> AttemptEnd {
    match reason {
        CloseReason::BackendResponseBroken => AttemptEnd::Reset,
        CloseReason::BackendResponseStalled => AttemptEnd::Timeout,
        _ => AttemptEnd::Cancelled,
    }
}

/// Why no request was received.
enum ReceiveFailure {
    /// The client gets this error.
    Refused(RequestError),
    /// The connection ends without one.
    Closed(CloseReason),
}

impl From<ReceiveError> for ReceiveFailure {
    fn from(error: ReceiveError) -> ReceiveFailure {
        let error = match error {
            ReceiveError::Disconnected => return ReceiveFailure::Closed(CloseReason::ClientClosed),
            ReceiveError::HeadTooLarge => RequestError::HeadTooLarge,
            ReceiveError::MemoryExhausted => memory_exhausted(),
            ReceiveError::MalformedHead | ReceiveError::MalformedBody(_) => RequestError::MalformedHead,
        };
        ReceiveFailure::Refused(error)
    }
}
