//! The paths of the API, in one table.

use super::request::ApiRequest;

/// What a request's path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource<'a> {
    /// This head.
    Status,
    /// All tenants.
    TenantList,
    /// One tenant with its exports.
    Tenant { tenant: &'a str },
    /// One export of a tenant.
    Export { tenant: &'a str, export: &'a str },
    /// All banned backends; only a fleet keeps them.
    BanList,
    /// The ban of one backend; only a fleet keeps it.
    Ban { backend: &'a str },
    /// Nothing, but under a path that names something.
    UnknownMember,
    /// Nothing.
    Unknown,
}

impl<'a> Resource<'a> {
    /// What this request's path names.
    pub(super) fn of(request: &'a ApiRequest) -> Resource<'a> {
        let parts: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        match *parts {
            ["v1", "status"] => Resource::Status,
            ["v1", "tenants"] => Resource::TenantList,
            ["v1", "tenants", tenant] => Resource::Tenant { tenant },
            ["v1", "tenants", tenant, "exports", export] => Resource::Export { tenant, export },
            ["v1", "bans"] => Resource::BanList,
            ["v1", "bans", backend] => Resource::Ban { backend },
            ["v1", "status" | "tenants", ..] => Resource::UnknownMember,
            _ => Resource::Unknown,
        }
    }
}
