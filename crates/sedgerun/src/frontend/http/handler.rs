//! Handles one request from its arrival to its response.

use super::HttpFrontend;
use super::body::{max_body_bytes, read_body};
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

/// `Retry-After` in seconds for a request that the dispatch service does not accept at present.
const NOT_SUBMITTED_RETRY_SECONDS: f64 = 0.1;

impl HttpFrontend {
    /// Handles a request and returns its response.
    pub(super) async fn respond(&self, mut request: Request) -> Response<BoxBody> {
        let connection = request.conn_data::<Rc<ConnectionState>>().map(Rc::clone);
        // actix-http still parses requests that it had read before the closing response. They get no
        // response: the future stays pending until the sweep closes the connection.
        if connection.as_ref().is_some_and(|connection| connection.responses_ended_at().is_some()) {
            std::future::pending::<()>().await;
        }
        // No byte has arrived since the last response, so this request was sent before that response
        // (pipelined).
        let is_pipelined =
            connection.as_ref().is_some_and(|connection| !connection.received_since_response());
        let started_at = connection.as_ref().and_then(|connection| connection.request_started_at());
        let in_progress = RequestInProgress::begin(connection);
        let mut response = if is_pipelined {
            RequestError::Pipelined.response()
        } else {
            let started_at = started_at.unwrap_or_else(Instant::now);
            self.handle(&mut request, started_at, in_progress.connection()).await
        };
        self.count(&request, response.status());
        // After a client error the connection is closed too, so that faulty clients do not hold connections.
        if self.is_closing.get() || self.is_drained.get() || response.status().is_client_error() {
            response.head_mut().set_connection_type(ConnectionType::Close);
            in_progress.connection().inspect(|connection| connection.record_closing_response());
        }
        response
    }

    /// Counts a final response under its class, if the path names one. The status alone decides: 200 counts
    /// as served, 429 and 503 as rejected, and any other as failed.
    fn count(&self, request: &Request, status: StatusCode) {
        let Some(class) = self.config.class(class_name(request.path())) else { return };
        let operation_status = match status.as_u16() {
            200 => OperationStatus::Fulfilled,
            429 | 503 => OperationStatus::Throttled,
            _ => OperationStatus::Faulted,
        };
        self.dispatch.metrics.count(class, operation_status);
    }

    /// Responds to a health check directly and forwards any other request to a backend.
    async fn handle(
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

    /// Responds to a health check: 503 if an operator has drained this head, 200 otherwise.
    fn health(&self) -> Response<BoxBody> {
        if self.is_drained.get() {
            return text_line(StatusCode::SERVICE_UNAVAILABLE, "drained");
        }
        text_line(StatusCode::OK, "ok")
    }

    /// Reads a request, submits it to the dispatcher and waits for the final response. Returns the body of a
    /// backend's 200.
    async fn forward(
        &self,
        request: &mut Request,
        started_at: Instant,
        connection: Option<&ConnectionState>,
    ) -> Result<Bytes, RequestError> {
        let parsed = ParsedRequest::read(request, &self.config, max_body_bytes(&self.body_budget))?;
        let body = read_body(request, parsed.content_length, started_at, &self.body_budget).await?;
        if parsed.method == Method::GET && !body.bytes.is_empty() {
            return Err(RequestError::ReadWithBody);
        }
        // The client's timeout starts at the last byte of its request.
        let deadline = self.dispatch.clock().now() + parsed.timeout;
        let id_guard = self.ids.register(parsed.numeric_id).ok_or(RequestError::DuplicateRequestId)?;
        let (spec, backend_request) = parsed.into_backend_request(deadline, body, id_guard);
        let pending = self
            .dispatch
            .submit(spec, BackendRequest::Http(backend_request))
            .ok_or(RequestError::Rejected { retry_after_seconds: NOT_SUBMITTED_RETRY_SECONDS })?;
        let awaiting_response = connection.map(ConnectionState::await_response);
        let response = pending.final_response().await;
        drop(awaiting_response);
        match response {
            FinalResponse::Served(BackendResponse::Http(body)) => Ok(body),
            FinalResponse::Rejected(retry_after) => {
                Err(RequestError::Rejected { retry_after_seconds: retry_after as f64 / 1e6 })
            }
            _ => Err(RequestError::Failed),
        }
    }
}
