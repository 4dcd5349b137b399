//! This head's part in a fleet that keeps state for its heads: sockets, disk and the consensus library round the
//! decisions of `sedgerun_fleet`. All of it runs on threads of its own, beside the one that serves.

mod api;
mod change;
pub mod client;
pub mod disk;
pub mod environment;
mod follow;
pub mod force_recovery;
mod frame;
mod link;
mod log;
mod machine;
mod member;
pub mod node;
mod node_setup;
mod peer_connection;
mod pending;
mod recovery;
mod relay;
mod repair;
mod serve;
pub mod settings;
pub mod types;
mod upstream;
mod voter_connection;

use crate::config::Config;
use crate::hub::Hub;
use crate::tenants::{Export, Registry};
use crate::traffic::TrafficTotals;
use environment::{Tcp, random};
use member::Member;
use node::{Node, NodeSetup};
pub use pending::Unsettled;
use sedgerun_fleet::state::{Change, Command, Outcome};
use sedgerun_fleet::view::{Fields, Tenant};
use sedgerun_settings::Pairs;
use settings::Settings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use types::Status;

/// Time that a change may take to reach this head's own front once it is settled.
const REACH: Duration = Duration::from_millis(500);

/// What passes between this head and others of the fleet, as `show-stat` names it.
const FLEET_TRAFFIC: [&str; 4] =
    ["fleet_bytes_received", "fleet_bytes_sent", "fleet_messages_received", "fleet_messages_sent"];

/// The serving thread's end of the fleet.
pub struct Fleet {
    runtime: Handle,
    member: Arc<Member>,
    /// The version that the front works with.
    in_force: watch::Sender<u64>,
}

impl Fleet {
    /// Opens the store and joins the fleet on a thread of its own. An error names what is wrong with the store,
    /// or with the address.
    pub fn start(settings: &Settings, head: &str) -> Result<Fleet, String> {
        let (disk, held) = disk::open(&settings.dir)?;
        let (store, incarnation) = (held.identity.store, held.identity.incarnation);
        let bound = std::net::TcpListener::bind(settings.listen)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .map_err(|error| format!("fleet.listen: cannot bind {}: {error}", settings.listen))?;
        let at = bound.local_addr().map_err(|error| format!("fleet.listen: {error}"))?;
        tracing::info!("fleet.listen: {at}");
        let address = settings.address.unwrap_or(at);
        let (started, starting) = std::sync::mpsc::channel();
        let (settings, name) = (settings.clone(), head.to_owned());
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(error) => return drop(started.send(Err(format!("fleet: no runtime: {error}")))),
            };
            runtime.block_on(async {
                let listener = tokio::net::TcpListener::from_std(bound).map_err(|error| error.to_string());
                let node = match listener {
                    Ok(listener) => {
                        let dial = Arc::new(Tcp);
                        let setup = NodeSetup { settings, head: name, address, disk, held, dial };
                        let node = Node::start(setup).await;
                        node.map(|node| (node, listener))
                    }
                    Err(what) => Err(what),
                };
                match node {
                    Ok((node, listener)) => {
                        let _ = started.send(Ok((Handle::current(), Arc::clone(&node.member))));
                        serve::serve(Arc::clone(&node.member), listener).await;
                        // Its tasks end with it.
                        drop(node);
                    }
                    Err(what) => drop(started.send(Err(what))),
                }
            });
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(run);
        thread.map_err(|error| format!("fleet: no thread: {error}"))?;
        let (runtime, member) = starting.recv().map_err(|_| "fleet: ended at its start".to_owned())??;
        tracing::info!("fleet: {head} holds store {store:016x} in incarnation {incarnation}");
        Ok(Fleet { runtime, member, in_force: watch::Sender::new(0) })
    }

    /// The serving thread's end of a head's part that runs in this very runtime.
    pub fn of(node: &Node) -> Fleet {
        Fleet {
            runtime: Handle::current(),
            member: Arc::clone(&node.member),
            in_force: watch::Sender::new(0),
        }
    }

    /// Makes a change: settled once it is synced at a majority of the voters. On return this head's own front
    /// works with it.
    pub async fn change(&self, change: Change) -> Result<Outcome, Unsettled> {
        let member = Arc::clone(&self.member);
        let settled = self.on_fleet(async move { member.change(change).await }).await?;
        if let Outcome::Done { version, .. } = settled {
            // Late or not, it is settled: what the caller hears stays true.
            let _ = self.reach(version).await;
        }
        Ok(settled)
    }

    /// Bans a backend at all heads, or lifts that ban.
    pub async fn ban(&self, backend: &str, banned: bool) -> Result<Outcome, Unsettled> {
        let command = Command::Ban { backend: backend.to_owned(), banned };
        self.change(change(None, None, command).map_err(Unsettled)?).await
    }

    /// Waits until the front works with all that was settled when it was asked; the version.
    pub async fn latest(&self) -> Result<u64, Unsettled> {
        let member = Arc::clone(&self.member);
        let version = self.on_fleet(async move { member.latest().await }).await?;
        self.reach(version).await
    }

    /// Waits until the front works with a version.
    pub async fn at_least(&self, version: u64) -> Result<u64, Unsettled> {
        let member = Arc::clone(&self.member);
        self.on_fleet(async move { member.at_least(version, REACH).await }).await?;
        self.reach(version).await
    }

    /// The version that the front works with.
    pub fn version(&self) -> u64 {
        *self.in_force.borrow()
    }

    /// The version at which a tenant was last changed; 0 for none there.
    pub fn tenant_version(&self, tenant: &str) -> u64 {
        self.member.machine.read(|view| view.tenants.get(tenant).map_or(0, |tenant| tenant.version))
    }

    /// The backends that are banned at all heads, each with the version since when.
    pub fn bans(&self) -> BTreeMap<String, u64> {
        self.member.machine.read(|view| view.bans.clone())
    }

    /// The version that the front works with, as it changes.
    pub fn in_force(&self) -> watch::Receiver<u64> {
        self.in_force.subscribe()
    }

    /// What has passed between this head and others of the fleet.
    pub fn traffic(&self) -> TrafficTotals {
        self.member.links.traffic()
    }

    /// How this head stands.
    pub fn status(&self) -> Status {
        self.member.status()
    }

    /// How this head stands, as pairs of a name and a figure.
    pub fn figures(&self) -> Vec<(&'static str, u64)> {
        let status = self.member.status();
        let distribution = self.member.distribution();
        let lag = status.age.unwrap_or(u64::MAX);
        let mut figures = vec![
            ("fleet_term", status.term),
            ("fleet_is_leader", u64::from(status.role == "leader")),
            ("fleet_is_voter", u64::from(self.member.votes())),
            // Deprecated spelling of `fleet_is_voter`, for one release more.
            ("fleet_is_keeper", u64::from(self.member.votes())),
            ("fleet_stopped", u64::from(status.role == "stopped")),
            ("fleet_version", status.version),
            ("fleet_age_milliseconds", lag),
            ("fleet_followers", u64::from(distribution.all_followers)),
            ("fleet_direct_followers", u64::from(distribution.direct_followers)),
            ("fleet_is_relay", u64::from(self.member.settings.relay)),
            ("fleet_relays", distribution.relays.len() as u64),
            ("fleet_syncs", status.syncs.0),
            ("fleet_sync_longest_microseconds", status.syncs.1),
            ("fleet_sync_mean_microseconds", status.syncs.2),
            ("fleet_repairs", status.repairs),
            ("fleet_frames_refused", status.refused),
        ];
        figures.extend(status.depth().map(|depth| ("fleet_depth", depth)));
        figures.extend(self.traffic().named(FLEET_TRAFFIC));
        figures
    }

    async fn on_fleet<T: Send + 'static>(
        &self,
        work: impl Future<Output = Result<T, Unsettled>> + Send + 'static,
    ) -> Result<T, Unsettled> {
        let done = self.runtime.spawn(work).await;
        done.unwrap_or_else(|_| Err(Unsettled("the fleet's thread has ended".into())))
    }

    async fn reach(&self, version: u64) -> Result<u64, Unsettled> {
        let mut in_force = self.in_force.subscribe();
        let reached = tokio::time::timeout(REACH, in_force.wait_for(|held| *held >= version)).await;
        match reached {
            Ok(Ok(held)) => Ok(*held),
            _ => Err(Unsettled(format!("this head works with version {}, not {version}", self.version()))),
        }
    }

    /// Brings what the fleet holds to this head's front for as long as it is polled. It begins with what the
    /// store held at the start, whether or not a majority is there.
    pub async fn follow(self: Rc<Self>, config: Rc<Config>, tenants: Rc<RefCell<Registry>>, hub: Rc<Hub>) {
        let mut versions = self.member.machine.version();
        let mut held: BTreeMap<String, u64> = BTreeMap::new();
        let mut banned: BTreeMap<String, u64> = BTreeMap::new();
        loop {
            versions.borrow_and_update();
            let (version, changed, gone, bans) = self.member.machine.read(|view| {
                let differs = |(name, tenant): &(&String, &Tenant)| held.get(*name) != Some(&tenant.version);
                let changed = view.tenants.iter().filter(differs);
                let changed: Vec<(String, Tenant)> =
                    changed.map(|(name, tenant)| (name.clone(), tenant.clone())).collect();
                let gone = held.keys().filter(|name| !view.tenants.contains_key(*name));
                let bans = (view.bans != banned).then(|| view.bans.clone());
                (view.version, changed, gone.cloned().collect::<Vec<String>>(), bans)
            });
            if let Some(bans) = bans {
                hub.ban_for_all(bans.keys());
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
            self.in_force.send_replace(version);
            if versions.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Puts a tenant in place as far as this head's settings know what its exports name.
fn put(registry: &mut Registry, config: &Config, name: &str, tenant: &Tenant) {
    registry.open(name);
    for (export, fields) in &tenant.exports {
        let read = read_export(config, name, export, fields);
        let added = read.and_then(|read| registry.add(name, read));
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

/// What the fleet is asked for, with the key under which it happens once.
pub fn change(key: Option<&str>, expect: Option<u64>, command: Command) -> Result<Change, String> {
    let key = match key {
        Some(key) => format!("caller {key}"),
        None => format!("{:016x}{:016x}", random()?, random()?),
    };
    Ok(Change { key, expect, command })
}

/// Where the command line finds this head: its own address as others know it, or where it listens.
pub fn own_address(settings: &Settings, head: &str) -> SocketAddr {
    settings.routes().get(head).copied().or(settings.address).unwrap_or(settings.listen)
}
