//! Applies the replicated state to this head: tenants and their exports to the registry, overrides of backends to
//! the dispatch service.
//!
//! The replicated state is owned by `sedgerun-cluster`, which also notifies of its versions; what is remembered here
//! is only what this head has in force.

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::tenants::{DuplicateExport, Export, TenantRegistry};
use sedgerun_cluster::ClusterHandle;
use sedgerun_config::{Faults, Pairs};
use sedgerun_replication::view::{ExportFields, Tenant, View};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use thiserror::Error;

/// Brings the replicated state into force at this head for as long as it is polled. It begins with what the store
/// held at the start, whether or not a majority of voters is there.
pub async fn apply_replicated_state(
    cluster: Rc<ClusterHandle>,
    config: Rc<Config>,
    tenants: Rc<RefCell<TenantRegistry>>,
    dispatch: Rc<DispatchService>,
) {
    let mut versions = cluster.watch_replicated_version();
    let mut in_force = InForce::default();
    loop {
        versions.borrow_and_update();
        let changes = cluster.read(|view| in_force.changes_to(view));
        let version = changes.version;
        if let Some(bans) = &changes.bans {
            dispatch.set_disabled_by_cluster(bans.keys());
        }
        changes.apply_to_registry(&mut tenants.borrow_mut(), &config);
        in_force.note(changes);
        cluster.set_serving_version(version);
        if versions.changed().await.is_err() {
            return;
        }
    }
}

/// What this head has in force of the replicated state.
#[derive(Default)]
struct InForce {
    /// The version of each tenant, by its name.
    tenants: BTreeMap<String, u64>,
    /// The version of each override, by its backend's name.
    bans: BTreeMap<String, u64>,
}

/// What differs between a version of the replicated state and what is in force.
struct Changes {
    version: u64,
    /// Tenants that are new or differ, by their names.
    changed_tenants: Vec<(String, Tenant)>,
    removed_tenants: Vec<String>,
    /// All overrides, if any differs.
    bans: Option<BTreeMap<String, u64>>,
}

impl InForce {
    fn changes_to(&self, view: &View) -> Changes {
        let has_changed = |name: &String, tenant: &Tenant| self.tenants.get(name) != Some(&tenant.version);
        let changed_tenants = view.tenants.iter().filter(|(name, tenant)| has_changed(name, tenant));
        let removed_tenants = self.tenants.keys().filter(|name| !view.tenants.contains_key(*name));
        Changes {
            version: view.version,
            changed_tenants: changed_tenants.map(|(name, tenant)| (name.clone(), tenant.clone())).collect(),
            removed_tenants: removed_tenants.cloned().collect(),
            bans: (view.bans != self.bans).then(|| view.bans.clone()),
        }
    }

    fn note(&mut self, changes: Changes) {
        for name in &changes.removed_tenants {
            self.tenants.remove(name);
        }
        for (name, tenant) in changes.changed_tenants {
            self.tenants.insert(name, tenant.version);
        }
        if let Some(bans) = changes.bans {
            self.bans = bans;
        }
    }
}

impl Changes {
    fn apply_to_registry(&self, registry: &mut TenantRegistry, config: &Config) {
        let changed_names = self.changed_tenants.iter().map(|(name, _)| name);
        for name in self.removed_tenants.iter().chain(changed_names) {
            registry.remove_tenant(name);
        }
        for (name, tenant) in &self.changed_tenants {
            add_tenant(registry, config, name, tenant);
        }
    }
}

/// Adds a tenant as far as this head's settings know what its exports name.
fn add_tenant(registry: &mut TenantRegistry, config: &Config, name: &str, tenant: &Tenant) {
    registry.add_tenant(name);
    for (export_name, fields) in &tenant.exports {
        if let Err(error) = add_export(registry, config, name, export_name, fields) {
            tracing::warn!("fleet: tenant {name}, export {export_name}: {error}; not served by this head");
        }
    }
}

/// Why this head does not serve an export of the replicated state.
#[derive(Debug, Error)]
enum ExportNotServed {
    /// Its fields do not fit this head's settings.
    #[error(transparent)]
    Invalid(#[from] Faults),
    /// Another tenant has an export of this name.
    #[error(transparent)]
    Duplicate(#[from] DuplicateExport),
}

fn add_export(
    registry: &mut TenantRegistry,
    config: &Config,
    tenant: &str,
    export_name: &str,
    fields: &ExportFields,
) -> Result<(), ExportNotServed> {
    let export = read_export(config, tenant, export_name, fields)?;
    registry.add(tenant, export)?;
    Ok(())
}

/// Reads an export, in the terms of the operator's file, against this head's settings.
///
/// # Errors
/// Every field at fault.
pub fn read_export(
    config: &Config,
    tenant: &str,
    export: &str,
    fields: &ExportFields,
) -> Result<Export, Faults> {
    let mut pairs = fields.clone();
    pairs.insert("tenant".into(), tenant.to_owned());
    pairs.insert("name".into(), export.to_owned());
    let pairs = Pairs::from_map(&pairs);
    let (_, export) = Export::read(&pairs, "", config.catalogue());
    pairs.finish(export)
}
