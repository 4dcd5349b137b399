//! The administration API where a fleet holds the tenants: changes are settled by the voters, and reads may ask
//! for what was settled before.

use super::{Api, ApiResponse, error};
use actix_http::{HttpMessage, Method, Request, StatusCode};
use sedgerun_cluster::{ClusterHandle, new_change};
use sedgerun_replication::state::{ChangeOutcome, Command};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The longest key that a caller may give a change, in bytes.
const MAX_KEY: usize = 128;

impl Api {
    /// Answers a request; `version` is the version of the fleet's state at which the answer holds.
    pub async fn by_fleet(
        &self,
        fleet: &ClusterHandle,
        request: &Request,
        body: &[u8],
        version: &mut Option<u64>,
    ) -> ApiResponse {
        let parts: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        let tenant = match (request.method(), parts.as_slice()) {
            (
                &Method::PUT | &Method::DELETE,
                ["v1", "tenants", name] | ["v1", "tenants", name, "exports", _] | ["v1", "bans", name],
            ) => *name,
            _ => return self.read(fleet, request, body, version).await,
        };
        let asked = self.command(request.method(), &parts, body).and_then(|command| {
            let refused = |what: String| error(StatusCode::BAD_REQUEST, what);
            let key = header(request, "Idempotency-Key");
            if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
                return Err(refused(format!("Idempotency-Key is 1 to {MAX_KEY} bytes")));
            }
            new_change(key, expected(request).map_err(refused)?, command)
                .map_err(|what| error(StatusCode::INTERNAL_SERVER_ERROR, what.to_string()))
        });
        let asked = match asked {
            Ok(asked) => asked,
            Err(said) => return said,
        };
        let settled = fleet.change(asked).await;
        *version = Some(fleet.version());
        match settled {
            Ok(ChangeOutcome::Done { version: done, fresh }) => {
                *version = Some(done);
                match *request.method() {
                    Method::DELETE => (StatusCode::NO_CONTENT, Value::Null),
                    _ if parts[1] == "bans" => {
                        let status = if fresh { StatusCode::CREATED } else { StatusCode::OK };
                        (status, json!({"brick": tenant, "version": done}))
                    }
                    _ => self.written(tenant, fresh),
                }
            }
            Ok(ChangeOutcome::Missing(what)) => error(StatusCode::NOT_FOUND, what),
            Ok(ChangeOutcome::Conflict(what)) => error(StatusCode::CONFLICT, what),
            Ok(ChangeOutcome::Stale(stands)) => {
                error(StatusCode::PRECONDITION_FAILED, format!("tenant {tenant} stands at version {stands}"))
            }
            Ok(ChangeOutcome::Reused) => {
                error(StatusCode::UNPROCESSABLE_ENTITY, "this Idempotency-Key was used for another change")
            }
            Err(why) => {
                let what = format!("{}; it may still happen: repeat it with the same Idempotency-Key", why.0);
                error(StatusCode::SERVICE_UNAVAILABLE, what)
            }
        }
    }

    async fn read(
        &self,
        fleet: &ClusterHandle,
        request: &Request,
        body: &[u8],
        version: &mut Option<u64>,
    ) -> ApiResponse {
        let waited = match (header(request, "Fleet-Read"), header(request, "Fleet-At-Least")) {
            (Some("latest"), _) => fleet.latest().await,
            (Some(other), _) => {
                return error(
                    StatusCode::BAD_REQUEST,
                    format!("Fleet-Read is latest or left out, not {other}"),
                );
            }
            (None, Some(least)) => match least.parse() {
                Ok(least) => fleet.at_least(least).await,
                Err(_) => return error(StatusCode::BAD_REQUEST, "Fleet-At-Least is not a version"),
            },
            (None, None) => Ok(fleet.version()),
        };
        *version = Some(fleet.version());
        match waited {
            Ok(_) if request.method() == Method::GET && request.path().trim_matches('/') == "v1/bans" => {
                let bans = fleet.bans().into_iter();
                let bans = bans.map(|(backend, version)| json!({"brick": backend, "version": version}));
                (StatusCode::OK, json!({"bans": bans.collect::<Vec<Value>>()}))
            }
            Ok(_) => self.route(request, body),
            Err(why) => error(StatusCode::SERVICE_UNAVAILABLE, why.0),
        }
    }

    /// Reads what is to be done; exports are checked against this head's settings first.
    fn command(&self, method: &Method, parts: &[&str], body: &[u8]) -> Result<Command, ApiResponse> {
        let refused = |what: String| error(StatusCode::BAD_REQUEST, what);
        let json = || serde_json::from_slice::<Value>(body).map_err(|_| refused("malformed JSON".into()));
        let put = method == Method::PUT;
        Ok(match *parts {
            [_, "bans", backend] => Command::Ban { backend: backend.into(), banned: put },
            [_, _, tenant, _, export] if put => {
                let (fields, _) = self.export(tenant, Some(export), &json()?).map_err(refused)?;
                Command::PutExport { tenant: tenant.into(), export: export.into(), fields }
            }
            [_, _, tenant, _, export] => {
                Command::DeleteExport { tenant: tenant.into(), export: export.into() }
            }
            [_, _, tenant] if put => {
                let json = json()?;
                let listed = json.get("exports").and_then(Value::as_array);
                let listed = listed.ok_or_else(|| refused("exports is missing or is no list".into()))?;
                let mut exports = BTreeMap::new();
                for (i, export) in listed.iter().enumerate() {
                    let read = self.export(tenant, None, export);
                    let (fields, read) = read.map_err(|what| refused(format!("exports.{i}: {what}")))?;
                    if exports.insert(read.name.clone(), fields).is_some() {
                        let what = format!("there is an export {} already", read.name);
                        return Err(error(StatusCode::CONFLICT, what));
                    }
                }
                Command::PutTenant { tenant: tenant.into(), exports }
            }
            [_, _, tenant, ..] => Command::DeleteTenant { tenant: tenant.into() },
            _ => return Err(error(StatusCode::NOT_FOUND, "no such path")),
        })
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).map(|value| value.to_str().unwrap_or_default())
}

/// The version at which the tenant must stand: `If-Match: "7"`, or `If-None-Match: *` for none there.
fn expected(request: &Request) -> Result<Option<u64>, String> {
    match (header(request, "If-Match"), header(request, "If-None-Match")) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(0)),
        (Some(version), None) => match version.trim_matches('"').parse() {
            Ok(version) => Ok(Some(version)),
            Err(_) => Err("If-Match is not a version".into()),
        },
        _ => Err("If-Match with a version, or If-None-Match with *, and not both".into()),
    }
}
