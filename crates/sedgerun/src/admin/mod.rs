//! The administration API: tenants and their exports, listed, added, changed and removed, over HTTP with a bearer
//! token, on a listener of its own.
//!
//! `resource` has the table of paths. `tenants` answers where this head alone holds the tenants, `cluster` where a
//! fleet holds them and bans. This module owns the connections; the tenants are the registry's or the fleet's.

mod cluster;
mod connection;
mod request;
mod resource;
mod response;
mod tenants;

use self::request::ApiRequest;
use self::response::ApiResponse;
use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::frontend::ninep::NinePFrontend;
use crate::memory_budget::MemoryBudget;
use crate::operator::Admin;
use crate::tenants::TenantRegistry;
use crate::vrrp::VrrpRunner;
use sedgerun_cluster::ClusterHandle;
use sedgerun_replication::greeting::secrets_match;
use std::cell::RefCell;
use std::rc::Rc;

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
    /// The memory for requests that are received.
    pub request_memory: MemoryBudget,
    /// The memory for responses that are being written.
    pub response_memory: MemoryBudget,
}

impl AdminApi {
    /// Whether a request brings the token.
    fn is_authorized(&self, request: &ApiRequest) -> bool {
        let value = request.bytes("Authorization");
        let token = value.and_then(|value| value.strip_prefix(b"Bearer ")).unwrap_or_default();
        secrets_match(token, self.admin.token.as_bytes())
    }

    /// Responds to a request that brings the token.
    async fn respond(&self, request: &ApiRequest, body: &[u8]) -> ApiResponse {
        match &self.cluster {
            Some(cluster) => self.respond_from_cluster(cluster, request, body).await,
            None => self.respond_locally(request, body),
        }
    }
}
