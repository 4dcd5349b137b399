//! The administration API: tenants and their exports, listed, added, changed and removed, over HTTP with a bearer
//! token, on a listener of its own.
//!
//! `resource` has the table of paths. `tenants` answers where this head alone holds the tenants, `cluster` where a
//! fleet holds them and bans. This module owns the connections; the tenants are the registry's or the fleet's.

mod cluster;
mod resource;
mod response;
mod tenants;

use self::response::ApiResponse;
use crate::backend::MemoryBudget;
use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::frontend::ninep::NinePFrontend;
use crate::operator::Admin;
use crate::tenants::TenantRegistry;
use crate::vrrp::VrrpRunner;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use futures_util::StreamExt;
use sedgerun_cluster::ClusterHandle;
use sedgerun_replication::greeting::secrets_match;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The largest body of a request, in bytes.
const MAX_BODY: usize = 64 * 1024;
/// The most connections at once.
const MAX_CONNECTIONS: usize = 16;
/// The most connections at once with a fleet, whose changes wait for syncs and share them.
const MAX_CONNECTIONS_WITH_FLEET: usize = 64;
/// How long a request's head, and then its body, may take to come in.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection that could not be accepted: guards against a busy loop while descriptors are short.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The administration API of one head.
pub struct AdminApi {
    /// Its settings.
    pub admin: Admin,
    /// The program's configuration.
    pub config: Rc<Config>,
    /// The dispatch, for figures.
    pub dispatch: Rc<DispatchService>,
    /// The tenants.
    pub tenants: Rc<RefCell<TenantRegistry>>,
    /// The 9P front end, for figures.
    pub ninep: Rc<NinePFrontend>,
    /// The virtual router, where there is one.
    pub vrrp: Option<Rc<VrrpRunner>>,
    /// The fleet that holds the tenants, where there is one.
    pub cluster: Option<Rc<ClusterHandle>>,
    /// The memory for changes that wait for the fleet.
    pub waiting_changes: MemoryBudget,
}

impl AdminApi {
    /// Accepts connections for as long as the future is polled. Fails where the HTTP service cannot be set up.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let max_connections =
            if self.cluster.is_some() { MAX_CONNECTIONS_WITH_FLEET } else { MAX_CONNECTIONS };
        let service = fn_service(move |request: Request| {
            let api = Rc::clone(&self);
            async move { Ok::<_, Infallible>(api.respond(request).await) }
        });
        let factory = HttpService::<TcpStream, _, _>::build()
            .client_request_timeout(REQUEST_TIMEOUT)
            .h1_allow_half_closed(false)
            .h1(service);
        let handler = factory.new_service(()).await.map_err(|()| io::Error::other("no HTTP service"))?;
        let handler = Rc::new(handler);
        let permits = Rc::new(Semaphore::new(max_connections));
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            let (handler, permits) = (Rc::clone(&handler), Rc::clone(&permits));
            actix_rt::spawn(async move {
                if let Ok(_permit) = permits.try_acquire() {
                    let _ = handler.call((stream, Some(peer))).await;
                }
            });
        }
    }

    async fn respond(&self, request: Request) -> Response<BoxBody> {
        if self.is_authorized(&request) {
            return http_response(self.respond_authorized(request).await);
        }
        let denied = ApiResponse::error(StatusCode::UNAUTHORIZED, "a bearer token is needed");
        http_response(denied)
    }

    /// Whether a request brings the token.
    fn is_authorized(&self, request: &Request) -> bool {
        let value = request.headers().get("Authorization").map(actix_http::header::HeaderValue::as_bytes);
        let token = value.and_then(|value| value.strip_prefix(b"Bearer ")).unwrap_or_default();
        secrets_match(token, self.admin.token.as_bytes())
    }

    async fn respond_authorized(&self, mut request: Request) -> ApiResponse {
        let body = match tokio::time::timeout(REQUEST_TIMEOUT, read_body(&mut request)).await {
            Ok(Ok(body)) => body,
            Ok(Err(response)) => return response,
            Err(_) => return ApiResponse::error(StatusCode::REQUEST_TIMEOUT, "the body is late"),
        };
        match &self.cluster {
            Some(cluster) => self.respond_from_cluster(cluster, &request, &body).await,
            None => self.respond_locally(&request, &body),
        }
    }
}

/// An API response as HTTP.
fn http_response(ApiResponse { status, body, version }: ApiResponse) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header(("Content-Type", "application/json"));
    if status == StatusCode::UNAUTHORIZED {
        response.insert_header(("WWW-Authenticate", "Bearer"));
    }
    if let Some(version) = version {
        response.insert_header(("Fleet-Version", version));
    }
    let body = if body.is_null() { String::new() } else { format!("{body}\n") };
    let mut response = response.body(body).map_into_boxed_body();
    // What was not read to its end cannot be told from the next request.
    if !status.is_success() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn read_body(request: &mut Request) -> Result<BytesMut, ApiResponse> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| ApiResponse::bad_request("malformed body"))?;
        if body.len() + chunk.len() > MAX_BODY {
            return Err(ApiResponse::error(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
