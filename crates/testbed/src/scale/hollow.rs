//! One hollow head: the control code of a head alone. Its store follows the fleet's, its tenants and bans are kept,
//! it watches discovery and its decisions keep the list; it has no clients and makes no requests.

use super::boot_clock::now_us;
use super::memory_disk::MemoryDisk;
use super::network::ZoneNetwork;
use super::protocol::{HeadReport, HostSpec, Ready, ReadyWhen};
use super::scale_fleet::region_name;
use sedgerun::config::{Config, Sources};
use sedgerun::discovery::Discovery;
use sedgerun::dispatch_service::DispatchService;
use sedgerun::head::new_dispatch_service;
use sedgerun::replicated_state::apply_replicated_state;
use sedgerun_cluster::ClusterHandle;
use sedgerun_cluster::disk::open_in_simulator;
use sedgerun_cluster::node::{Node, NodeSetup};
use sedgerun_cluster::settings::{DEFAULT_MEMORY, DEFAULT_SOCKETS, Settings};
use sedgerun_config::Faults;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

/// How long a hollow head's disk takes for a sync.
const SYNC_TIME: Duration = Duration::from_millis(2);
/// Descriptors of a relay, so that it has room for as many followers as a relay ever takes.
const RELAY_SOCKETS: usize = 2048;
/// Time between checks whether a head that starts is ready.
const READY_POLL: Duration = Duration::from_millis(20);
/// Wait after a connection that could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// When the heads of a process came to act on versions, us on the boot clock.
pub type ReachedTimes = RefCell<BTreeMap<u64, Vec<u64>>>;

/// What the heads of a process have in common.
pub struct HostEnvironment {
    /// The settings of the process.
    pub spec: HostSpec,
    /// Their network.
    pub network: ZoneNetwork,
    /// When they came to act on versions.
    pub reached: ReachedTimes,
}

/// Why a hollow head does not start.
#[derive(Debug, Error)]
pub enum HollowHeadError {
    /// Its listener cannot be used.
    #[error("{0}")]
    Listener(#[from] io::Error),
    /// Its configuration is not valid.
    #[error("{0}")]
    Config(Faults),
    /// The cluster's own reason.
    #[error("{0}")]
    Cluster(String),
}

impl HollowHeadError {
    fn cluster(reason: impl ToString) -> HollowHeadError {
        HollowHeadError::Cluster(reason.to_string())
    }
}

/// One hollow head.
pub struct HollowHead {
    name: String,
    seed: u64,
    disk: MemoryDisk,
    environment: Rc<HostEnvironment>,
    running: RefCell<Option<Running>>,
    ready: Cell<Option<Ready>>,
    /// Payload in both directions when it was last sampled, and the most between two samples.
    sampled_bytes: Cell<u64>,
    peak_bytes: Cell<u64>,
}

/// A hollow head that runs.
struct Running {
    fleet: Rc<ClusterHandle>,
    dispatch: Rc<DispatchService>,
    node: Rc<RefCell<Option<Node>>>,
    tasks: Vec<AbortHandle>,
    /// Keeps discovery's watch alive: it ends where nobody can move it.
    _discovery: watch::Sender<SocketAddr>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        // Where the process ends there is no runtime left in which a node could end by itself.
        if let Some(node) = self.node.take().filter(|_| Handle::try_current().is_ok()) {
            node.stop();
        }
    }
}

impl HollowHead {
    /// A head that has never started.
    pub fn new(name: String, seed: u64, environment: Rc<HostEnvironment>) -> HollowHead {
        HollowHead {
            name,
            seed,
            disk: MemoryDisk::default(),
            environment,
            running: RefCell::default(),
            ready: Cell::default(),
            sampled_bytes: Cell::default(),
            peak_bytes: Cell::default(),
        }
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        self.running.borrow().is_some()
    }

    /// Starts it with what its disk holds.
    pub async fn start(self: Rc<Self>, ready_when: ReadyWhen) -> Result<(), HollowHeadError> {
        let started_us = now_us();
        self.ready.set(None);
        self.sampled_bytes.set(0);
        let listener = self.environment.network.listen()?;
        let address = listener.local_addr()?;
        let (disk, opened) =
            open_in_simulator(self.disk.open(), || SYNC_TIME).map_err(HollowHeadError::cluster)?;
        let dial = Arc::new(self.environment.network.clone());
        let (settings, head) = (self.settings(address), self.name.clone());
        let setup = NodeSetup { settings, head, address, disk, opened, dial };
        let node = Node::start(setup).await.map_err(HollowHeadError::cluster)?;
        let fleet = Rc::new(ClusterHandle::of(&node));
        let mut config = self.config()?;
        let known = config.cached_list.take();
        let config = Rc::new(config);
        let dispatch = new_dispatch_service(&config);
        let node = Rc::new(RefCell::new(Some(node)));
        let (moves, discovery_at) = watch::channel(config.discovery);
        let mut discovery = Discovery::new(Rc::clone(&dispatch), Rc::clone(&config));
        discovery.load_cached(known);
        let tenants = Rc::new(RefCell::new(config.operator.tenants.clone()));
        let tasks = [
            spawn_local(accept(listener, self.environment.network.clone(), Rc::clone(&node))),
            spawn_local(Rc::clone(&dispatch).run_timers()),
            spawn_local(apply_replicated_state(Rc::clone(&fleet), config, tenants, Rc::clone(&dispatch))),
            spawn_local(discovery.run(discovery_at)),
            spawn_local(Rc::clone(&self).watch_versions(Rc::clone(&fleet))),
            spawn_local(Rc::clone(&self).watch_ready(started_us, ready_when)),
        ];
        let tasks = tasks.iter().map(tokio::task::JoinHandle::abort_handle).collect();
        self.running.replace(Some(Running { fleet, dispatch, node, tasks, _discovery: moves }));
        Ok(())
    }

    /// Stops it at once, as a loss of power would.
    pub fn stop(&self) {
        self.disk.detach();
        self.running.take();
    }

    fn settings(&self, address: SocketAddr) -> Settings {
        let spec = &self.environment.spec;
        Settings {
            name: spec.fleet.clone(),
            secret: spec.secret.clone(),
            listen: address,
            dir: PathBuf::new(),
            voters: spec.voters.clone(),
            heads: BTreeMap::new(),
            address: Some(address),
            zone: Some(spec.zone.clone()),
            region: Some(region_name(spec.region)),
            relay: spec.relay,
            sockets: if spec.relay { RELAY_SOCKETS } else { DEFAULT_SOCKETS },
            memory: DEFAULT_MEMORY,
        }
    }

    fn config(&self) -> Result<Config, HollowHeadError> {
        let file = self.environment.spec.config.display().to_string();
        let read = Sources { config: file, operator: None }.read();
        let config = read.map_err(HollowHeadError::Config)?;
        Ok(Config { name: self.name.clone(), seed: self.seed, ..config })
    }

    /// Notes when it comes to act on versions, once it is ready: what it lacks at its start is not overdue.
    async fn watch_versions(self: Rc<Self>, fleet: Rc<ClusterHandle>) {
        let mut versions = fleet.watch_serving_version();
        let mut last = *versions.borrow_and_update();
        while versions.changed().await.is_ok() {
            let version = *versions.borrow_and_update();
            if self.ready.get().is_some() {
                let (now, mut reached) = (now_us(), self.environment.reached.borrow_mut());
                for version in last + 1..=version {
                    reached.entry(version).or_default().push(now);
                }
            }
            last = version;
        }
    }

    async fn watch_ready(self: Rc<Self>, started_us: u64, ready_when: ReadyWhen) {
        loop {
            let bytes_in = self.running.borrow().as_ref().and_then(|running| running.ready(ready_when));
            if let Some(bytes_in) = bytes_in {
                let elapsed_ms = (now_us() - started_us) as f64 / 1000.0;
                self.ready.set(Some(Ready { elapsed_ms, bytes_in }));
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Samples its traffic, once a second.
    pub fn sample(&self) {
        let Some(bytes) = self.running.borrow().as_ref().map(Running::payload) else { return };
        let since_last = bytes - self.sampled_bytes.replace(bytes);
        self.peak_bytes.set(self.peak_bytes.get().max(since_last));
    }

    /// Forgets the largest sample.
    pub fn reset_peak(&self) {
        self.peak_bytes.set(0);
    }

    /// How it stands; `None` where it does not run.
    pub fn report(&self) -> Option<HeadReport> {
        let running = self.running.borrow();
        let running = running.as_ref()?;
        let status = running.fleet.status();
        Some(HeadReport {
            name: self.name.clone(),
            version: running.fleet.serving_version(),
            depth: status.depth(),
            followers: status.followers.len() as u64,
            age_ms: status.age_ms,
            backends: running.dispatch.rotation().0 as u64,
            fleet: running.fleet.traffic(),
            discovery: running.dispatch.metrics.discovery.totals(),
            peak_bytes: self.peak_bytes.get(),
            ready: self.ready.get(),
        })
    }
}

impl Running {
    /// Payload received, where the head is ready.
    fn ready(&self, when: ReadyWhen) -> Option<u64> {
        let holds_list = self.dispatch.rotation().0 as u64 >= when.backends;
        let holds_version = self.fleet.serving_version() >= when.version;
        let received =
            self.fleet.traffic().bytes_received + self.dispatch.metrics.discovery.totals().bytes_received;
        (holds_list && holds_version).then_some(received)
    }

    /// Payload in both directions.
    fn payload(&self) -> u64 {
        let (fleet, discovery) = (self.fleet.traffic(), self.dispatch.metrics.discovery.totals());
        fleet.bytes_received + fleet.bytes_sent + discovery.bytes_received + discovery.bytes_sent
    }
}

/// Accepts other heads for as long as it is polled.
async fn accept(listener: TcpListener, network: ZoneNetwork, node: Rc<RefCell<Option<Node>>>) {
    loop {
        let accepted = match listener.accept().await {
            Ok((stream, peer)) => network.accept(stream, peer),
            Err(error) => Err(error),
        };
        match accepted {
            Ok(Some(connection)) => {
                if let Some(node) = node.borrow_mut().as_mut() {
                    node.accept(connection);
                }
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}
