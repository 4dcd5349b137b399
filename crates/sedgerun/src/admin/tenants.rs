//! The API where this head alone holds the tenants: requests are answered from, and change, its registry.

use super::AdminApi;
use super::request::ApiRequest;
use super::resource::Resource;
use super::response::ApiResponse;
use crate::replicated_state::read_export;
use crate::tenants::{Export, TenantRegistry};
use http::{Method, StatusCode};
use sedgerun_config::Faults;
use sedgerun_config::platform::flatten;
use sedgerun_replication::view::ExportFields;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why an export in a request cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExportError {
    /// It is of another JSON type.
    #[error("an export is an object")]
    NotAnObject,
    /// It has a key that no export has.
    #[error("setting {0} is unknown")]
    UnknownSetting(String),
    /// A value in it is missing, malformed or unknown to this head.
    #[error(transparent)]
    Invalid(#[from] Faults),
}

impl AdminApi {
    /// Responds from this head's registry.
    pub(super) fn respond_locally(&self, request: &ApiRequest, body: &[u8]) -> ApiResponse {
        match (request.method(), Resource::of(request)) {
            (&Method::GET, Resource::Status) => self.status(),
            (&Method::GET, Resource::TenantList) => self.tenant_list(),
            (&Method::GET, Resource::Tenant { tenant }) => self.tenant(tenant),
            (&Method::PUT, Resource::Tenant { tenant }) => or_error(self.put_tenant(tenant, body)),
            (&Method::DELETE, Resource::Tenant { tenant }) => self.delete_tenant(tenant),
            (&Method::PUT, Resource::Export { tenant, export }) => {
                or_error(self.put_export(tenant, export, body))
            }
            (&Method::DELETE, Resource::Export { tenant, export }) => self.delete_export(tenant, export),
            (_, Resource::BanList | Resource::Ban { .. } | Resource::Unknown) => no_such_path(),
            _ => ApiResponse::error(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
        }
    }

    fn status(&self) -> ApiResponse {
        let vrrp = self.vrrp.as_ref().map(|vrrp| format!("{:?}", vrrp.state()));
        ApiResponse::ok(json!({"name": self.config.name, "open": self.dispatch.open_requests(),
            "ninepSessions": self.ninep.count(), "vrrp": vrrp}))
    }

    fn tenant_list(&self) -> ApiResponse {
        let tenants = self.tenants.borrow();
        let tenants = tenants.all().iter().map(|(name, exports)| self.tenant_json(name, exports));
        ApiResponse::ok(json!({"tenants": tenants.collect::<Vec<Value>>()}))
    }

    fn tenant(&self, name: &str) -> ApiResponse {
        match self.tenants.borrow().all().get(name) {
            Some(exports) => ApiResponse::ok(self.tenant_json(name, exports)),
            None => ApiResponse::not_found(format!("no tenant {name}")),
        }
    }

    fn put_tenant(&self, name: &str, body: &[u8]) -> Result<ApiResponse, ApiResponse> {
        let json = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let exports: Vec<(ExportFields, Export)> =
            self.read_exports(name, &json)?.collect::<Result<_, _>>()?;
        // All of it or nothing: a tenant half changed would serve what nobody requested.
        let mut changed = self.tenants.borrow().clone();
        let is_new = !changed.remove_tenant(name);
        changed.add_tenant(name);
        for (_, export) in exports {
            add_export(&mut changed, name, export)?;
        }
        self.replace_tenants(changed)?;
        Ok(self.put_response(name, is_new))
    }

    fn put_export(&self, tenant: &str, export: &str, body: &[u8]) -> Result<ApiResponse, ApiResponse> {
        let json = parse_json(body)?;
        let (_, read) = self
            .read_export(tenant, Some(export), &json)
            .map_err(|error| ApiResponse::bad_request(error.to_string()))?;
        let mut changed = self.tenants.borrow().clone();
        let is_new = !changed.remove_export(tenant, export);
        add_export(&mut changed, tenant, read)?;
        self.replace_tenants(changed)?;
        Ok(self.put_response(tenant, is_new))
    }

    /// Puts changed tenants in place, unless they take up more memory than before and than they may.
    fn replace_tenants(&self, changed: TenantRegistry) -> Result<(), ApiResponse> {
        let (bytes, limit) = (changed.memory_bytes(), self.config.resource_limits.tenant_bytes);
        if bytes > limit && bytes > self.tenants.borrow().memory_bytes() {
            let what = format!(
                "the change would take the tenants to {bytes} bytes of memory, over the {limit} that limits.memory_mb allows"
            );
            return Err(ApiResponse::error(StatusCode::CONFLICT, what));
        }
        *self.tenants.borrow_mut() = changed;
        Ok(())
    }

    fn delete_tenant(&self, name: &str) -> ApiResponse {
        if !self.tenants.borrow_mut().remove_tenant(name) {
            return ApiResponse::not_found(format!("no tenant {name}"));
        }
        ApiResponse::no_content()
    }

    fn delete_export(&self, tenant: &str, export: &str) -> ApiResponse {
        if !self.tenants.borrow_mut().remove_export(tenant, export) {
            return ApiResponse::not_found(format!("no export {export} of tenant {tenant}"));
        }
        ApiResponse::no_content()
    }

    /// The response to a tenant that was put in place, or of which an export was.
    pub(super) fn put_response(&self, tenant: &str, is_new: bool) -> ApiResponse {
        let tenants = self.tenants.borrow();
        let body = tenants.all().get(tenant).map_or(Value::Null, |exports| self.tenant_json(tenant, exports));
        ApiResponse::new(ApiResponse::put_status(is_new), body)
    }

    /// Reads the exports of a tenant from the body of a request, one by one.
    pub(super) fn read_exports<'a>(
        &'a self,
        tenant: &'a str,
        json: &'a Value,
    ) -> Result<impl Iterator<Item = Result<(ExportFields, Export), ApiResponse>>, ApiResponse> {
        let exports = json.get("exports").and_then(Value::as_array);
        let exports = exports.ok_or_else(|| ApiResponse::bad_request("exports is missing or is no list"))?;
        Ok(exports.iter().enumerate().map(move |(index, export)| {
            let read = self.read_export(tenant, None, export);
            read.map_err(|error| ApiResponse::bad_request(format!("exports.{index}: {error}")))
        }))
    }

    /// Reads an export in the operator's file's own terms: its fields but tenant and name, and what they mean to this
    /// head. Without a `name`, the JSON names it.
    pub(super) fn read_export(
        &self,
        tenant: &str,
        name: Option<&str>,
        json: &Value,
    ) -> Result<(ExportFields, Export), ExportError> {
        let mut fields = json.as_object().ok_or(ExportError::NotAnObject)?.clone();
        if let Some(unknown) = fields.keys().find(|key| !Export::KEYS.contains(&key.as_str())) {
            return Err(ExportError::UnknownSetting(unknown.clone()));
        }
        fields.remove("tenant");
        let own_name = fields.remove("name");
        let name = name.or(own_name.as_ref().and_then(Value::as_str)).unwrap_or_default();
        let mut flat_fields = BTreeMap::new();
        flatten("", &Value::Object(fields), &mut flat_fields);
        let export = read_export(&self.config, tenant, name, &flat_fields)?;
        Ok((flat_fields, export))
    }

    fn tenant_json(&self, name: &str, exports: &BTreeMap<String, Rc<Export>>) -> Value {
        let exports: Vec<Value> = exports.values().map(|export| self.export_json(export)).collect();
        let mut json = json!({"tenant": name, "exports": exports});
        if let Some(fleet) = &self.cluster {
            json["version"] = fleet.tenant_version(name).into();
        }
        json
    }

    fn export_json(&self, export: &Export) -> Value {
        let config = &self.config;
        json!({"name": export.name, "tree": export.tree, "volume": format!("{:016x}", export.volume),
            "plan": config.plans[export.plan], "shard": export.shard, "heads": export.heads,
            "readClass": config.classes[export.read_class], "writeClass": config.classes[export.write_class],
            "largeClass": config.classes[export.large_class], "largeBytes": export.large_bytes,
            "unitBytes": export.unit_bytes})
    }
}

/// Adds an export to a registry, whose names of exports are unique.
fn add_export(registry: &mut TenantRegistry, tenant: &str, export: Export) -> Result<(), ApiResponse> {
    let added = registry.add(tenant, export);
    added.map_err(|duplicate| ApiResponse::error(StatusCode::CONFLICT, duplicate.to_string()))
}

/// Parses the body of a request.
pub(super) fn parse_json(body: &[u8]) -> Result<Value, ApiResponse> {
    serde_json::from_slice(body).map_err(|_| ApiResponse::bad_request("malformed JSON"))
}

/// The response to a path that names nothing.
pub(super) fn no_such_path() -> ApiResponse {
    ApiResponse::not_found("no such path")
}

/// The response of either kind.
pub(super) fn or_error(result: Result<ApiResponse, ApiResponse>) -> ApiResponse {
    result.unwrap_or_else(|error| error)
}
