//! Handles one request whose head was received: reads its body, submits it and returns its response.

use super::HttpFrontend;
use super::body::{BodyFailure, RequestBody, memory_exhausted};
use super::close_reason::CloseReason;
use super::connection::Phase;
use super::error::RequestError;
use super::placement::parse_hexadecimal;
use super::request::{ParsedRequest, REQUEST_ID, class_name};
use super::response::Response;
use super::serve::{Answer, ClientConnection, DISCARDED_BYTES};
use crate::backend::{BackendRequest, BackendResponse};
use crate::dispatch_service::PendingRequest;
use crate::http1::{BodyFraming, RequestHead, parse_request, write_message};
use crate::metrics::OperationStatus;
use crate::request_ids::RegisterError;
use http::{Method, StatusCode};
use sedgerun_dispatch::FinalResponse;
use sedgerun_net::DiscardEnd;
use std::time::{Duration, Instant};

/// `Retry-After` in seconds for a request that the dispatch service does not accept at present.
const NOT_SUBMITTED_RETRY_SECONDS: f64 = 0.1;
/// The response that lets a client send the body that it holds back.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time in which a client must take that response.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the head of a request says, before its body is read.
enum Received {
    /// A request that is answered without its body.
    Answered(Answer),
    /// A request whose body comes next.
    Request { parsed: ParsedRequest, class: Option<usize>, keep_alive: bool, expects_continue: bool },
    /// A request that is refused by its head.
    Refused(RequestError),
}

impl ClientConnection {
    /// Handles the request whose head is in the receive buffer.
    pub(super) async fn handle(&mut self, started_at: Instant) -> Result<Answer, CloseReason> {
        let received = match parse_request(self.connection.received.unread()) {
            Ok(Some((head, length))) => {
                self.is_http_1_0 = head.is_http_1_0;
                self.request_id = request_id(&head);
                Some((self.frontend.read_head(&head), length))
            }
            _ => None,
        };
        let Some((received, length)) = received else {
            return Ok(self.refuse(&RequestError::MalformedHead));
        };
        self.connection.received.consume(length);
        let (parsed, class, keep_alive, expects_continue) = match received {
            Received::Answered(answer) => return Ok(answer),
            Received::Refused(error) => return Ok(self.refuse(&error)),
            Received::Request { parsed, class, keep_alive, expects_continue } => {
                (parsed, class, keep_alive, expects_continue)
            }
        };
        if expects_continue && self.connection.received.is_empty() {
            let written =
                write_message(&self.connection.stream, CONTINUE, &[], CONTINUE_TIMEOUT, |_| {}).await;
            written.map_err(|_| CloseReason::ClientClosed)?;
        }
        let (response, is_read) = match self.forward(parsed, started_at).await {
            Ok(response) => (response, true),
            Err(Unserved::Refused { error, is_read }) => {
                error.log(self.number, self.request_id);
                (error.response(), is_read)
            }
            Err(Unserved::Closed(reason)) => return Err(reason),
        };
        self.frontend.count(class, response.status);
        Ok(self.frontend.answer(response, keep_alive && is_read))
    }

    /// Reads a request's body, submits it to the dispatcher and waits for the final response.
    async fn forward(
        &mut self,
        mut parsed: ParsedRequest,
        started_at: Instant,
    ) -> Result<Response, Unserved> {
        let frontend = std::rc::Rc::clone(&self.frontend);
        let unread = |error| Unserved::Refused { error, is_read: false };
        let head_memory = frontend.head_budget.reserve(parsed.reserved_bytes());
        let head_memory = head_memory.ok_or_else(|| unread(memory_exhausted()))?;
        self.state.enter(Phase::ReceivingBody);
        let framing = parsed.framing;
        if let BodyFraming::Length(length) = framing {
            self.discarded_bytes_left += usize::try_from(length).unwrap_or(0);
        }
        let budget = &frontend.body_budget;
        let body = RequestBody::read(&mut self.connection, &self.state, framing, started_at, budget).await;
        let body = body.map_err(|failure| match failure {
            BodyFailure::Refused(error) => unread(error),
            BodyFailure::Closed(reason) => Unserved::Closed(reason),
        })?;
        self.discarded_bytes_left = DISCARDED_BYTES;
        let refused = |error| Unserved::Refused { error, is_read: true };
        if parsed.method == Method::GET && !body.bytes.is_empty() {
            return Err(refused(RequestError::ReadWithBody));
        }
        // The client's timeout starts at the last byte of its request.
        let timeout = std::mem::take(&mut parsed.timeout);
        let deadline = frontend.dispatch.clock().now() + timeout;
        let id_guard = frontend.ids.register(parsed.numeric_id, Duration::from_micros(timeout));
        let id_guard = id_guard.map_err(|error| {
            refused(match error {
                RegisterError::InUse => RequestError::DuplicateRequestId,
                RegisterError::Full => memory_exhausted(),
            })
        })?;
        let (spec, backend_request) = parsed.into_backend_request(deadline, body, head_memory, id_guard);
        let pending = frontend.dispatch.submit(spec, BackendRequest::Http(backend_request));
        let pending = pending.ok_or_else(|| {
            refused(RequestError::Rejected { retry_after_seconds: NOT_SUBMITTED_RETRY_SECONDS })
        })?;
        match self.await_response(pending).await.map_err(Unserved::Closed)? {
            FinalResponse::Served(BackendResponse::Http(body)) => Ok(Response::served(body)),
            FinalResponse::Rejected(retry_after) => {
                Err(refused(RequestError::Rejected { retry_after_seconds: retry_after as f64 / 1e6 }))
            }
            _ => Err(refused(RequestError::Failed)),
        }
    }

    /// Waits for the final response while the client is connected. What it sends meanwhile is discarded, so that its
    /// disconnect is noticed at once; no attempt begins for it any more then. Nor does one begin for a client that
    /// sends more than is discarded, as its disconnect could not be noticed.
    async fn await_response(
        &mut self,
        pending: PendingRequest,
    ) -> Result<FinalResponse<BackendResponse>, CloseReason> {
        self.state.enter(Phase::AwaitingResponse);
        // A buffer that is empty is not needed until the next request.
        self.connection.received.release();
        let id = pending.id();
        let mut response = std::pin::pin!(pending.final_response());
        let discarded = tokio::select! {
            biased;
            response = &mut response => return Ok(response),
            discarded = self.connection.stream.discard(&mut self.discarded_bytes_left) => discarded,
        };
        if discarded == DiscardEnd::Disconnected {
            return Err(CloseReason::ClientLeft);
        }
        self.frontend.dispatch.cancel(id);
        Ok(response.await)
    }

    /// Logs that a request is not served; the answer to it.
    pub(super) fn refuse(&self, error: &RequestError) -> Answer {
        error.log(self.number, self.request_id);
        Answer::closing(error.response())
    }
}

/// The id of a request, where it can be read.
fn request_id(head: &RequestHead<'_>) -> Option<u64> {
    head.fields.single(REQUEST_ID).ok().and_then(parse_hexadecimal)
}

/// Why a request was not served.
enum Unserved {
    /// It gets this error; `is_read` says whether its body was read to the end.
    Refused { error: RequestError, is_read: bool },
    /// Its connection has ended.
    Closed(CloseReason),
}

impl HttpFrontend {
    /// Reads a request's head: responds to a health check and to what is malformed directly.
    fn read_head(&self, head: &RequestHead<'_>) -> Received {
        let Ok(framing) = head.framing() else {
            return Received::Refused(RequestError::MalformedHead);
        };
        let path = head.target.split('?').next().unwrap_or_default();
        if path == "/healthz" && head.method == Method::GET.as_str() {
            let is_read = framing == BodyFraming::Length(0);
            return Received::Answered(self.answer(self.health(), head.keep_alive() && is_read));
        }
        let class = self.config.class(class_name(path));
        match ParsedRequest::read(head, framing, &self.config, self.body_budget.max_body_bytes()) {
            Ok(parsed) => Received::Request {
                parsed,
                class,
                keep_alive: head.keep_alive(),
                expects_continue: head.expects_continue(),
            },
            Err(error) => {
                self.count(class, error.status());
                Received::Refused(error)
            }
        }
    }

    /// A response on a connection that its client keeps open. After a client error the connection is closed, so that
    /// faulty clients do not hold connections.
    fn answer(&self, response: Response, keep_alive: bool) -> Answer {
        let closes = !keep_alive
            || self.is_closing.get()
            || self.is_drained.get()
            || response.status.is_client_error();
        Answer { response, closes }
    }

    /// Counts a final response under its class, if the path names one. The status alone decides: 200 counts
    /// as served, 429 and 503 as rejected, and any other as failed.
    fn count(&self, class: Option<usize>, status: StatusCode) {
        let Some(class) = class else { return };
        let operation_status = match status.as_u16() {
            200 => OperationStatus::Fulfilled,
            429 | 503 => OperationStatus::Throttled,
            _ => OperationStatus::Faulted,
        };
        self.dispatch.metrics.count(class, operation_status);
    }

    /// Responds to a health check: 503 if an operator has drained this head, 200 otherwise.
    fn health(&self) -> Response {
        if self.is_drained.get() {
            return Response::text_line(StatusCode::SERVICE_UNAVAILABLE, "drained");
        }
        Response::text_line(StatusCode::OK, "ok")
    }
}
