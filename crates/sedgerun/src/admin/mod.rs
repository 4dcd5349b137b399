//! The administration API: tenants and their exports, listed, added, changed and removed, over HTTP with a
//! bearer token, on a listener of its own.

mod cluster;

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::frontend::ninep::NinePFrontend;
use crate::operator::Admin;
use crate::replicated_state::read_export;
use crate::tenants::{Export, TenantRegistry};
use crate::vrrp::VrrpRunner;
use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use futures_util::StreamExt;
use sedgerun_cluster::ClusterHandle;
use sedgerun_config::platform::flatten;
use sedgerun_replication::greeting::secrets_match;
use sedgerun_replication::view::Fields;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The largest body of a request.
const MOST_BODY: usize = 64 * 1024;
/// The most connections at once; with a fleet, whose changes wait for syncs and share them, more.
const MOST_CLIENTS: usize = 16;
const MOST_FLEET_CLIENTS: usize = 64;
/// Time that a request may take to come in.
const REQUEST_TIME: Duration = Duration::from_secs(5);

/// What the API tells and changes.
pub struct Api {
    /// Its configuration.
    pub admin: Admin,
    /// The program's.
    pub config: Rc<Config>,
    /// The dispatch, for figures.
    pub dispatch: Rc<DispatchService>,
    /// The tenants.
    pub tenants: Rc<RefCell<TenantRegistry>>,
    /// The 9P front, for figures.
    pub ninep: Rc<NinePFrontend>,
    /// The virtual router, where there is one.
    pub vrrp: Option<Rc<VrrpRunner>>,
    /// The fleet that holds the tenants, where there is one.
    pub fleet: Option<Rc<ClusterHandle>>,
}

/// An answer: its status and its body.
pub type ApiResponse = (StatusCode, Value);

/// An answer that says what is wrong.
pub fn error(status: StatusCode, what: impl Into<String>) -> ApiResponse {
    (status, json!({"error": what.into()}))
}

impl Api {
    /// Accepts connections for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let api = Rc::clone(&self);
        let service = fn_service(move |request: Request| {
            let api = Rc::clone(&api);
            async move { Ok::<_, Infallible>(api.respond(request).await) }
        });
        let factory = HttpService::<TcpStream, _, _>::build()
            .client_request_timeout(REQUEST_TIME)
            .h1_allow_half_closed(false)
            .h1(service);
        let handler = factory.new_service(()).await.map_err(|()| io::Error::other("no HTTP service"))?;
        let handler = Rc::new(handler);
        let most = if self.fleet.is_some() { MOST_FLEET_CLIENTS } else { MOST_CLIENTS };
        let room = Rc::new(tokio::sync::Semaphore::new(most));
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let (handler, room) = (Rc::clone(&handler), Rc::clone(&room));
            actix_rt::spawn(async move {
                if let Ok(_place) = room.try_acquire() {
                    let _ = handler.call((stream, Some(peer))).await;
                }
            });
        }
    }

    async fn respond(&self, mut request: Request) -> Response<BoxBody> {
        let mut version = None;
        let (status, body) = if self.allowed(&request) {
            match tokio::time::timeout(REQUEST_TIME, read_body(&mut request)).await {
                Ok(Ok(body)) => match &self.fleet {
                    Some(fleet) => self.by_fleet(fleet, &request, &body, &mut version).await,
                    None => self.route(&request, &body),
                },
                Ok(Err(said)) => said,
                Err(_) => error(StatusCode::REQUEST_TIMEOUT, "the body is late"),
            }
        } else {
            error(StatusCode::UNAUTHORIZED, "a bearer token is needed")
        };
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

    /// Whether a request brings the token.
    fn allowed(&self, request: &Request) -> bool {
        let value = request.headers().get("Authorization").map(|value| value.as_bytes());
        let brought = value.and_then(|value| value.strip_prefix(b"Bearer ")).unwrap_or_default();
        secrets_match(brought, self.admin.token.as_bytes())
    }

    /// Answers from what this head works with.
    pub fn route(&self, request: &Request, body: &[u8]) -> ApiResponse {
        let parts: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        let method = request.method();
        match (method, parts.as_slice()) {
            (&Method::GET, ["v1", "status"]) => self.status(),
            (&Method::GET, ["v1", "tenants"]) => {
                let tenants = self.tenants.borrow();
                let all: Vec<Value> =
                    tenants.all().iter().map(|(name, exports)| self.tenant(name, exports)).collect();
                (StatusCode::OK, json!({"tenants": all}))
            }
            (&Method::GET, ["v1", "tenants", name]) => match self.tenants.borrow().all().get(*name) {
                Some(exports) => (StatusCode::OK, self.tenant(name, exports)),
                None => error(StatusCode::NOT_FOUND, format!("no tenant {name}")),
            },
            (&Method::PUT, ["v1", "tenants", name]) => self.put_tenant(name, body),
            (&Method::DELETE, ["v1", "tenants", name]) => {
                if self.tenants.borrow_mut().remove_tenant(name) {
                    (StatusCode::NO_CONTENT, Value::Null)
                } else {
                    error(StatusCode::NOT_FOUND, format!("no tenant {name}"))
                }
            }
            (&Method::PUT, ["v1", "tenants", name, "exports", export]) => self.put_export(name, export, body),
            (&Method::DELETE, ["v1", "tenants", name, "exports", export]) => {
                if self.tenants.borrow_mut().remove_export(name, export) {
                    (StatusCode::NO_CONTENT, Value::Null)
                } else {
                    error(StatusCode::NOT_FOUND, format!("no export {export} of tenant {name}"))
                }
            }
            (_, ["v1", "status" | "tenants", ..]) => error(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
            _ => error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn status(&self) -> ApiResponse {
        let vrrp = self.vrrp.as_ref().map(|vrrp| format!("{:?}", vrrp.state()));
        let status = json!({"name": self.config.name, "open": self.dispatch.open_requests(),
            "ninepSessions": self.ninep.count(), "vrrp": vrrp});
        (StatusCode::OK, status)
    }

    fn put_tenant(&self, name: &str, body: &[u8]) -> ApiResponse {
        let listed = serde_json::from_slice::<Value>(body).ok();
        let Some(listed) = listed.as_ref().and_then(|json| json.get("exports")?.as_array()) else {
            return error(StatusCode::BAD_REQUEST, "exports is missing or is no list");
        };
        let mut exports = Vec::new();
        for (i, export) in listed.iter().enumerate() {
            match self.export(name, None, export) {
                Ok((_, export)) => exports.push(export),
                Err(what) => return error(StatusCode::BAD_REQUEST, format!("exports.{i}: {what}")),
            }
        }
        // All of it or nothing: a tenant half changed would serve what nobody asked for.
        let mut changed = self.tenants.borrow().clone();
        let fresh = !changed.remove_tenant(name);
        changed.open(name);
        for export in exports {
            if let Err(what) = changed.add(name, export) {
                return error(StatusCode::CONFLICT, what.to_string());
            }
        }
        *self.tenants.borrow_mut() = changed;
        self.written(name, fresh)
    }

    fn put_export(&self, name: &str, export: &str, body: &[u8]) -> ApiResponse {
        let Ok(json) = serde_json::from_slice::<Value>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed JSON");
        };
        let read = match self.export(name, Some(export), &json) {
            Ok((_, read)) => read,
            Err(what) => return error(StatusCode::BAD_REQUEST, what),
        };
        let mut changed = self.tenants.borrow().clone();
        let fresh = !changed.remove_export(name, export);
        if let Err(what) = changed.add(name, read) {
            return error(StatusCode::CONFLICT, what.to_string());
        }
        *self.tenants.borrow_mut() = changed;
        self.written(name, fresh)
    }

    /// The answer to a tenant that was put in place.
    pub fn written(&self, name: &str, fresh: bool) -> ApiResponse {
        let status = if fresh { StatusCode::CREATED } else { StatusCode::OK };
        let tenants = self.tenants.borrow();
        (status, tenants.all().get(name).map_or(Value::Null, |exports| self.tenant(name, exports)))
    }

    /// Reads an export in the operator's file's own terms: its fields but tenant and name, and what they mean here.
    pub fn export(&self, tenant: &str, name: Option<&str>, json: &Value) -> Result<(Fields, Export), String> {
        let mut fields = json.as_object().ok_or("an export is an object")?.clone();
        if let Some(unknown) = fields.keys().find(|key| !Export::KEYS.contains(&key.as_str())) {
            return Err(format!("setting {unknown} is unknown"));
        }
        fields.remove("tenant");
        let own = fields.remove("name");
        let name = name.or(own.as_ref().and_then(Value::as_str)).unwrap_or_default();
        let mut plain = BTreeMap::new();
        flatten("", &Value::Object(fields), &mut plain);
        let export = read_export(&self.config, tenant, name, &plain)?;
        Ok((plain, export))
    }

    fn tenant(&self, name: &str, exports: &BTreeMap<String, Rc<Export>>) -> Value {
        let config = &self.config;
        let exports = exports.values().map(|export| {
            json!({"name": export.name, "tree": export.tree, "volume": format!("{:016x}", export.volume),
                "plan": config.plans[export.plan], "shard": export.shard, "heads": export.heads,
                "readClass": config.classes[export.read], "writeClass": config.classes[export.write],
                "largeClass": config.classes[export.large], "largeBytes": export.large_bytes,
                "unitBytes": export.unit_bytes})
        });
        let mut told = json!({"tenant": name, "exports": exports.collect::<Vec<Value>>()});
        if let Some(fleet) = &self.fleet {
            told["version"] = fleet.tenant_version(name).into();
        }
        told
    }
}

async fn read_body(request: &mut Request) -> Result<BytesMut, ApiResponse> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| error(StatusCode::BAD_REQUEST, "malformed body"))?;
        if body.len() + chunk.len() > MOST_BODY {
            return Err(error(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
