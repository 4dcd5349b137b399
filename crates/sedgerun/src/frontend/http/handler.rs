//! One request from its arrival to its response.

use super::HttpFrontend;
use super::body::{most_body, read_body};
use super::connection::{ConnectionState, RequestInProgress};
use super::error::RequestError;
use super::request::{ParsedRequest, class_name};
use super::response::{served, text_line};
use crate::backend::{BackendRequest, BackendResponse};
use crate::metrics::OperationStatus;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Method, Request, Response, StatusCode};
use bytes::Bytes;
use sedgerun_dispatch::FinalResponse;
use std::rc::Rc;
use std::time::Instant;

/// When a client may retry whose request the dispatcher takes none of now, in seconds.
const NOT_SUBMITTED_RETRY_SECONDS: f64 = 0.1;

impl HttpFrontend {
    /// Answers a request of a connection.
    pub(super) async fn respond(&self, mut request: Request) -> Response<BoxBody> {
        let connection = request.conn_data::<Rc<ConnectionState>>().map(Rc::clone);
        // actix-http goes on with what came behind a last answer: it gets nothing, and its connection is closed in
        // a moment.
        if connection.as_ref().is_some_and(|connection| connection.last_answer_at().is_some()) {
            std::future::pending::<()>().await;
        }
        // Nothing has come since the last answer: this request was sent ahead of it.
        let sent_ahead = connection.as_ref().is_some_and(|connection| !connection.received_since_answer());
        let started_at = connection.as_ref().and_then(|connection| connection.request_started_at());
        let in_progress = RequestInProgress::begin(connection);
        let mut response = if sent_ahead {
            RequestError::SentAhead.response()
        } else {
            let started_at = started_at.unwrap_or_else(Instant::now);
            self.answer(&mut request, started_at, in_progress.connection()).await
        };
        self.count(&request, response.status());
        // Guards against faulty clients that stay: they get their error, and their connection is closed.
        if self.is_closing.get() || self.is_drained.get() || response.status().is_client_error() {
            response.head_mut().set_connection_type(ConnectionType::Close);
            in_progress.connection().inspect(|connection| connection.record_last_answer());
        }
        response
    }

    /// Counts a final answer under its class, where the path names one: whatever the reason, a 200 is served,
    /// a 429 or 503 rejected, and anything else failed.
    fn count(&self, request: &Request, status: StatusCode) {
        let Some(class) = self.config.class(class_name(request.path())) else { return };
        let operation_status = match status.as_u16() {
            200 => OperationStatus::Fulfilled,
            429 | 503 => OperationStatus::Throttled,
            _ => OperationStatus::Faulted,
        };
        self.dispatch.metrics.count(class, operation_status);
    }

    /// Answers a health check here, and any other request with what a backend says.
    async fn answer(
        &self,
        request: &mut Request,
        started_at: Instant,
        connection: Option<&ConnectionState>,
    ) -> Response<BoxBody> {
        if request.path() == "/healthz" && request.method() == Method::GET {
            return self.health();
        }
        match self.forward(request, started_at, connection).await {
            Ok(body) => served(body),
            Err(error) => error.response(),
        }
    }

    /// Whether this head serves.
    fn health(&self) -> Response<BoxBody> {
        if self.is_drained.get() {
            return text_line(StatusCode::SERVICE_UNAVAILABLE, "drained");
        }
        text_line(StatusCode::OK, "ok")
    }

    /// Reads a request, submits it to the dispatcher and waits for the final answer: the body of a backend's 200.
    async fn forward(
        &self,
        request: &mut Request,
        started_at: Instant,
        connection: Option<&ConnectionState>,
    ) -> Result<Bytes, RequestError> {
        let parsed = ParsedRequest::read(request, &self.config, most_body(&self.body_budget))?;
        let body = read_body(request, parsed.content_length, started_at, &self.body_budget).await?;
        if parsed.method == Method::GET && !body.bytes.is_empty() {
            return Err(RequestError::ReadWithBody);
        }
        // The client's time runs from the last byte.
        let deadline = self.dispatch.clock().now() + parsed.timeout;
        let id_guard = self.ids.register(parsed.number).ok_or(RequestError::DuplicateRequestId)?;
        let (spec, backend_request) = parsed.into_backend_request(deadline, body, id_guard);
        let pending = self
            .dispatch
            .submit(spec, BackendRequest::Http(backend_request))
            .ok_or(RequestError::Rejected { retry_after_seconds: NOT_SUBMITTED_RETRY_SECONDS })?;
        let awaiting_answer = connection.map(ConnectionState::await_answer);
        let answer = pending.final_response().await;
        drop(awaiting_answer);
        match answer {
            FinalResponse::Served(BackendResponse::Http(body)) => Ok(body),
            FinalResponse::Rejected(retry_after) => {
                Err(RequestError::Rejected { retry_after_seconds: retry_after as f64 / 1e6 })
            }
            _ => Err(RequestError::Failed),
        }
    }
}
