//! The connections of the API: receives requests, and writes responses.

use super::AdminApi;
use super::request::ApiRequest;
use super::response::ApiResponse;
use crate::http1::{BodyDecoder, BodyFraming, ReceiveError, ServerConnection, parse_request, write_message};
use crate::memory_budget::MemoryReservation;
use http::{Method, StatusCode};
use sedgerun_net::{Listener, Stream};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// The largest body of a request, in bytes.
const MAX_BODY: usize = 64 * 1024;
/// The most connections at once.
pub(super) const MAX_CONNECTIONS: usize = 16;
/// The most connections at once with a fleet, whose changes wait for syncs and share them.
const MAX_CONNECTIONS_WITH_FLEET: usize = 64;
/// How long a request's head, and then its body, may take to come in.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a client must take a part of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection stays open after its last response, so that the client can receive it.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// Pause after a connection that could not be accepted: guards against a busy loop while descriptors are short.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The connection has ended, or is to end.
struct Closed;

impl From<ReceiveError> for Closed {
    fn from(_: ReceiveError) -> Closed {
        Closed
    }
}

impl AdminApi {
    /// Accepts connections for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: Listener) {
        let max_connections =
            if self.cluster.is_some() { MAX_CONNECTIONS_WITH_FLEET } else { MAX_CONNECTIONS };
        let permits = Rc::new(Semaphore::new(max_connections));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            let (api, permits) = (Rc::clone(&self), Rc::clone(&permits));
            actix_rt::spawn(async move {
                match permits.try_acquire() {
                    Ok(_permit) => api.serve_connection(stream).await,
                    Err(_) => {
                        tracing::info!("admin: a connection is closed unread, as many as may be are open");
                    }
                }
            });
        }
    }

    async fn serve_connection(&self, stream: Stream) {
        let mut connection = ServerConnection::new(stream, &self.request_memory);
        while self.serve_request(&mut connection).await.is_ok() {}
        connection.close(LINGER_TIME, MAX_BODY).await;
    }

    async fn serve_request(&self, connection: &mut ServerConnection) -> Result<(), Closed> {
        if connection.received.is_empty() {
            connection.received.release();
            tokio::time::timeout(IDLE_TIMEOUT, connection.receive()).await.map_err(|_| Closed)??;
        }
        let timed_out = tokio::time::timeout(REQUEST_TIMEOUT, receive_head(connection)).await;
        timed_out.map_err(|_| Closed)??;
        let parsed = match parse_request(connection.received.unread()) {
            Ok(Some((head, length))) => {
                Some((ApiRequest::of(&head), head.framing(), head.keep_alive(), length))
            }
            _ => None,
        };
        let Some((Some(request), Ok(framing), keep_alive, length)) = parsed else {
            let response = ApiResponse::bad_request("malformed request");
            return send(connection, response, false).await;
        };
        connection.received.consume(length);
        if !self.is_authorized(&request) {
            let denied = ApiResponse::error(StatusCode::UNAUTHORIZED, "a bearer token is needed");
            return send(connection, denied, false).await;
        }
        let body = tokio::time::timeout(REQUEST_TIMEOUT, self.receive_body(connection, framing)).await;
        let (body, _memory) = match body {
            Ok(Ok(body)) => body,
            Ok(Err(response)) => return send(connection, response, false).await,
            Err(_) => {
                let overdue = ApiResponse::error(StatusCode::REQUEST_TIMEOUT, "the body is late");
                return send(connection, overdue, false).await;
            }
        };
        let (response, _memory) = self.within_memory(&request, self.respond(&request, &body).await);
        // What a refused request sent ahead is not read.
        let keeps_open = keep_alive && response.status.is_success();
        send(connection, response, keeps_open).await
    }

    /// The response to a read with the memory reserved for its text, or the refusal of one that there is no memory for.
    /// That to a change is no longer than the change, and tells what has become of it.
    fn within_memory(&self, request: &ApiRequest, response: ApiResponse) -> (ApiResponse, MemoryReservation) {
        let mut memory = self.response_memory.empty_reservation();
        let bytes = response.text().len();
        if *request.method() != Method::GET || memory.grow(bytes as u64).is_ok() {
            return (response, memory);
        }
        let what = format!(
            "the response has {bytes} bytes, more than limits.memory_mb leaves now: request single tenants, or repeat it \
             later"
        );
        (ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, what), memory)
    }

    /// Receives a body, with the memory reserved for it.
    async fn receive_body(
        &self,
        connection: &mut ServerConnection,
        framing: BodyFraming,
    ) -> Result<(Vec<u8>, MemoryReservation), ApiResponse> {
        let mut decoder = BodyDecoder::new(framing);
        let (mut body, mut memory) = (Vec::new(), self.request_memory.empty_reservation());
        loop {
            let data = connection.body_data(&mut decoder);
            let data = data.map_err(|_| ApiResponse::bad_request("malformed body"))?;
            let Some(data) = data else { return Ok((body, memory)) };
            let length = data.len();
            if body.len() + length > MAX_BODY {
                return Err(ApiResponse::error(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
            }
            memory.grow(length as u64).map_err(|_| {
                let what = "the requests at this head take up the memory for them: repeat it later";
                ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, what)
            })?;
            body.reserve_exact(length);
            body.extend_from_slice(data);
            connection.received.consume(length);
            if length == 0 {
                let received = connection.receive().await;
                received.map_err(|_| ApiResponse::bad_request("malformed body"))?;
            }
        }
    }
}

async fn receive_head(connection: &mut ServerConnection) -> Result<(), ReceiveError> {
    while !connection.has_head()? {
        connection.receive().await?;
    }
    Ok(())
}

/// Writes a response; the connection goes on if it `keeps_open` and the client has taken it.
async fn send(connection: &ServerConnection, response: ApiResponse, keeps_open: bool) -> Result<(), Closed> {
    let (head, body) = (response_head(&response, keeps_open), response.text());
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    if !response.status.is_success() {
        tracing::info!("admin: a request is answered {}", response.status.as_u16());
    }
    let written = write_message(&connection.stream, head.as_bytes(), body.as_bytes(), WRITE_TIMEOUT, |_| {});
    written.await.map_err(|_| Closed)?;
    if keeps_open { Ok(()) } else { Err(Closed) }
}

/// The head of a response, without its length.
fn response_head(response: &ApiResponse, keeps_open: bool) -> String {
    let (status, reason) = (response.status, response.status.canonical_reason().unwrap_or_default());
    let mut head = format!("HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\n", status.as_str());
    if status == StatusCode::UNAUTHORIZED {
        head.push_str("WWW-Authenticate: Bearer\r\n");
    }
    if let Some(version) = response.version {
        let _ = write!(head, "Fleet-Version: {version}\r\n");
    }
    if !keeps_open {
        head.push_str("Connection: close\r\n");
    }
    head
}
