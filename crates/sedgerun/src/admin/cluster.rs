//! The API where a fleet holds the tenants: changes are committed by the voters, and reads may wait for what was
//! committed before.

use super::AdminApi;
use super::request::ApiRequest;
use super::resource::Resource;
use super::response::ApiResponse;
use super::tenants::{no_such_path, or_error, parse_json};
use http::{Method, StatusCode};
use sedgerun_cluster::{ClusterHandle, new_change};
use sedgerun_replication::state::{ChangeOutcome, Command};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Memory that a change takes up while it waits, for each byte of its request's body.
const CHANGE_BYTES_PER_BODY_BYTE: usize = 16;
/// The longest idempotency key that a caller may give a change, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 128;

impl AdminApi {
    /// Responds from the replicated state.
    pub(super) async fn respond_from_cluster(
        &self,
        cluster: &ClusterHandle,
        request: &ApiRequest,
        body: &[u8],
    ) -> ApiResponse {
        let resource = Resource::of(request);
        let is_change = matches!(*request.method(), Method::PUT | Method::DELETE);
        match resource {
            Resource::Tenant { .. } | Resource::Export { .. } | Resource::Ban { .. } if is_change => {
                or_error(self.change(cluster, request, resource, body).await)
            }
            _ => or_error(self.read(cluster, request, resource, body).await),
        }
    }

    /// Has the voters commit a change.
    async fn change(
        &self,
        cluster: &ClusterHandle,
        request: &ApiRequest,
        resource: Resource<'_>,
        body: &[u8],
    ) -> Result<ApiResponse, ApiResponse> {
        let _waiting =
            self.waiting_changes.reserve(CHANGE_BYTES_PER_BODY_BYTE * body.len()).ok_or_else(|| {
                let what = "the changes that wait at this head take up the memory for them: repeat it later";
                ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, what)
            })?;
        let command = self.command(request.method(), resource, body)?;
        let key = idempotency_key(request)?;
        let change = new_change(key, expected_version(request)?, command)
            .map_err(|error| ApiResponse::error(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))?;
        let result = cluster.change(change).await;
        let version = cluster.serving_version();
        let outcome = result.map_err(|error| {
            let what = format!("{}; it may still happen: repeat it with the same Idempotency-Key", error.0);
            ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, what).at_version(version)
        })?;
        let version = match outcome {
            ChangeOutcome::Done { version, .. } => version,
            _ => version,
        };
        Ok(self.change_response(request.method(), resource, outcome).at_version(version))
    }

    /// The response to a change of this outcome.
    fn change_response(
        &self,
        method: &Method,
        resource: Resource<'_>,
        outcome: ChangeOutcome,
    ) -> ApiResponse {
        match outcome {
            ChangeOutcome::Done { version, created } => self.committed(method, resource, version, created),
            ChangeOutcome::Missing(what) => ApiResponse::not_found(what),
            ChangeOutcome::Conflict(what) => ApiResponse::error(StatusCode::CONFLICT, what),
            ChangeOutcome::Stale(version) => {
                let what = format!("tenant {} stands at version {version}", changed_name(resource));
                ApiResponse::error(StatusCode::PRECONDITION_FAILED, what)
            }
            ChangeOutcome::Reused => {
                let what = "this Idempotency-Key was used for another change";
                ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, what)
            }
        }
    }

    /// The response to a change that was committed at this version.
    fn committed(&self, method: &Method, resource: Resource<'_>, version: u64, is_new: bool) -> ApiResponse {
        match resource {
            _ if method == Method::DELETE => ApiResponse::no_content(),
            Resource::Ban { backend } => {
                ApiResponse::new(ApiResponse::put_status(is_new), ban_json(backend, version))
            }
            _ => self.put_response(changed_name(resource), is_new),
        }
    }

    /// Reads, once this head has the state that the request asks for.
    async fn read(
        &self,
        cluster: &ClusterHandle,
        request: &ApiRequest,
        resource: Resource<'_>,
        body: &[u8],
    ) -> Result<ApiResponse, ApiResponse> {
        let waited = match (request.text("Fleet-Read"), request.text("Fleet-At-Least")) {
            (Some("latest"), _) => cluster.wait_for_latest().await,
            (Some(other), _) => {
                let what = format!("Fleet-Read is latest or left out, not {other}");
                return Err(ApiResponse::bad_request(what));
            }
            (None, Some(version)) => {
                let version = version.parse();
                let version =
                    version.map_err(|_| ApiResponse::bad_request("Fleet-At-Least is not a version"))?;
                cluster.wait_for_version(version).await
            }
            (None, None) => Ok(cluster.serving_version()),
        };
        let version = cluster.serving_version();
        let response = match (waited, resource) {
            (Err(error), _) => ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, error.0),
            (Ok(_), Resource::BanList) if request.method() == Method::GET => ban_list(cluster),
            (Ok(_), _) => self.respond_locally(request, body),
        };
        Ok(response.at_version(version))
    }

    /// The change that a request is for; its exports are checked against this head's settings first.
    fn command(&self, method: &Method, resource: Resource<'_>, body: &[u8]) -> Result<Command, ApiResponse> {
        let is_put = method == Method::PUT;
        match resource {
            Resource::Ban { backend } => Ok(Command::Ban { backend: backend.into(), banned: is_put }),
            Resource::Export { tenant, export } if is_put => {
                let (fields, _) = self
                    .read_export(tenant, Some(export), &parse_json(body)?)
                    .map_err(|error| ApiResponse::bad_request(error.to_string()))?;
                Ok(Command::PutExport { tenant: tenant.into(), export: export.into(), fields })
            }
            Resource::Export { tenant, export } => {
                Ok(Command::DeleteExport { tenant: tenant.into(), export: export.into() })
            }
            Resource::Tenant { tenant } if is_put => self.put_tenant_command(tenant, &parse_json(body)?),
            Resource::Tenant { tenant } => Ok(Command::DeleteTenant { tenant: tenant.into() }),
            _ => Err(no_such_path()),
        }
    }

    fn put_tenant_command(&self, tenant: &str, json: &Value) -> Result<Command, ApiResponse> {
        let mut exports = BTreeMap::new();
        for read in self.read_exports(tenant, json)? {
            let (fields, export) = read?;
            if exports.insert(export.name.clone(), fields).is_some() {
                let what = format!("there is an export {} already", export.name);
                return Err(ApiResponse::error(StatusCode::CONFLICT, what));
            }
        }
        Ok(Command::PutTenant { tenant: tenant.into(), exports })
    }
}

/// The name of the tenant that a change is of, or of the backend.
fn changed_name(resource: Resource<'_>) -> &str {
    match resource {
        Resource::Tenant { tenant } | Resource::Export { tenant, .. } => tenant,
        Resource::Ban { backend } => backend,
        _ => "",
    }
}

fn ban_list(cluster: &ClusterHandle) -> ApiResponse {
    let bans = cluster.bans().into_iter().map(|(backend, version)| ban_json(&backend, version));
    ApiResponse::ok(json!({"bans": bans.collect::<Vec<Value>>()}))
}

fn ban_json(backend: &str, version: u64) -> Value {
    json!({"brick": backend, "version": version})
}

/// The key by which a repeated change is known as the same.
fn idempotency_key(request: &ApiRequest) -> Result<Option<&str>, ApiResponse> {
    let key = request.text("Idempotency-Key");
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY) {
        let what = format!("Idempotency-Key is 1 to {MAX_IDEMPOTENCY_KEY} bytes");
        return Err(ApiResponse::bad_request(what));
    }
    Ok(key)
}

/// The version at which the tenant must stand: `If-Match: "7"`, or `If-None-Match: *` for no such tenant.
fn expected_version(request: &ApiRequest) -> Result<Option<u64>, ApiResponse> {
    match (request.text("If-Match"), request.text("If-None-Match")) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(0)),
        (Some(version), None) => match version.trim_matches('"').parse() {
            Ok(version) => Ok(Some(version)),
            Err(_) => Err(ApiResponse::bad_request("If-Match is not a version")),
        },
        _ => {
            let what = "If-Match with a version, or If-None-Match with *, and not both";
            Err(ApiResponse::bad_request(what))
        }
    }
}
