//! Applies the replicated state to this head: tenants and their exports to the registry, bans to the dispatch.

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::tenants::{Export, TenantRegistry};
use sedgerun_cluster::ClusterHandle;
use sedgerun_config::Pairs;
use sedgerun_replication::view::{Fields, Tenant};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Brings what the fleet holds to this head's front for as long as it is polled. It begins with what the
/// store held at the start, whether or not a majority is there.
pub async fn apply_replicated_state(
    cluster: Rc<ClusterHandle>,
    config: Rc<Config>,
    tenants: Rc<RefCell<TenantRegistry>>,
    dispatch: Rc<DispatchService>,
) {
    let mut versions = cluster.versions();
    let mut held: BTreeMap<String, u64> = BTreeMap::new();
    let mut banned: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        versions.borrow_and_update();
        let (version, changed, gone, bans) = cluster.read(|view| {
            let differs = |(name, tenant): &(&String, &Tenant)| held.get(*name) != Some(&tenant.version);
            let changed = view.tenants.iter().filter(differs);
            let changed: Vec<(String, Tenant)> =
                changed.map(|(name, tenant)| (name.clone(), tenant.clone())).collect();
            let gone = held.keys().filter(|name| !view.tenants.contains_key(*name));
            let bans = (view.bans != banned).then(|| view.bans.clone());
            (view.version, changed, gone.cloned().collect::<Vec<String>>(), bans)
        });
        if let Some(bans) = bans {
            dispatch.set_cluster_bans(bans.keys());
            banned = bans;
        }
        {
            let mut registry = tenants.borrow_mut();
            for name in gone.iter().chain(changed.iter().map(|(name, _)| name)) {
                registry.remove_tenant(name);
                held.remove(name);
            }
            for (name, tenant) in changed {
                put(&mut registry, &config, &name, &tenant);
                held.insert(name, tenant.version);
            }
        }
        cluster.set_in_force(version);
        if versions.changed().await.is_err() {
            return;
        }
    }
}

/// Puts a tenant in place as far as this head's settings know what its exports name.
fn put(registry: &mut TenantRegistry, config: &Config, name: &str, tenant: &Tenant) {
    registry.open(name);
    for (export, fields) in &tenant.exports {
        let read = read_export(config, name, export, fields);
        let added = read.and_then(|read| registry.add(name, read).map_err(|error| error.to_string()));
        if let Err(what) = added {
            tracing::warn!("fleet: tenant {name}, export {export}: {what}; not served by this head");
        }
    }
}

/// Reads an export in the operator's file's own terms against this head's settings.
pub fn read_export(config: &Config, tenant: &str, export: &str, fields: &Fields) -> Result<Export, String> {
    let mut pairs = fields.clone();
    pairs.insert("tenant".into(), tenant.to_owned());
    pairs.insert("name".into(), export.to_owned());
    let pairs = Pairs::from_map(&pairs);
    let (_, export) = Export::read(&pairs, "", config.catalogue());
    pairs.finish(export).map_err(|faults| faults.to_string())
}
