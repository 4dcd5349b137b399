//! The program from start to exit, as the phases of one object.
//!
//! [`Head`] owns every part of a head and spawns their tasks. `listeners` binds what it listens on, `signals` handles
//! SIGTERM and SIGHUP, `drain` is the graceful shutdown, and `virtual_addresses` serves what VRRP gives this head.

mod drain;
mod error;
mod listeners;
mod phase;
mod signals;
mod virtual_addresses;

pub use error::HeadError;
pub use phase::Phase;
pub use signals::Signals;

use crate::admin::AdminApi;
use crate::backend::Backends;
use crate::backend::http::{ConnectionTimeouts, HttpBackend};
use crate::backend::ninep::NinePBackend;
use crate::clock::Clock;
use crate::config::{Config, Sources};
use crate::descriptors::Descriptors;
use crate::discovery::Discovery;
use crate::dispatch_service::DispatchService;
use crate::frontend::http::{HttpFrontend, MIN_EVICTION_IDLE};
use crate::frontend::ninep::NinePFrontend;
use crate::management::ManagementServer;
use crate::memory_budget::MemoryBudget;
use crate::replicated_state::apply_replicated_state;
use crate::request_ids::{RequestIds, SharedRequestIds};
use crate::tenants::TenantRegistry;
use crate::vrrp::VrrpRunner;
use listeners::Listeners;
use sedgerun_cluster::ClusterHandle;
use sedgerun_net::{DatagramSocket, Listener};
use serde_json::value::RawValue;
use signals::Reload;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use virtual_addresses::VirtualAddresses;

/// Time between sweeps of the descriptors and connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// One head.
pub struct Head {
    phase: Phase,
    config: Rc<Config>,
    sources: Sources,
    dispatch: Rc<DispatchService>,
    /// The endpoint list that the configuration holds, until it is read at the start.
    known_endpoints: Option<Box<RawValue>>,
    http_frontend: Rc<HttpFrontend>,
    ninep_frontend: Rc<NinePFrontend>,
    tenants: Rc<RefCell<TenantRegistry>>,
    vrrp: Option<Rc<VrrpRunner>>,
    /// The tasks that accept clients.
    accept_tasks: Vec<AbortHandle>,
    management: Rc<ManagementServer>,
    /// The cluster that it is a member of, where there is one.
    cluster: Option<Rc<ClusterHandle>>,
    /// The platform passed the clients' listener on: another process of this head accepts on it too.
    listener_is_shared: bool,
}

/// The dispatcher of a head with its backends, by its configuration.
pub fn new_dispatch_service(config: &Config) -> Rc<DispatchService> {
    let limits = &config.resource_limits;
    let (dial, idle) =
        (Duration::from_micros(config.connect_timeout), Duration::from_micros(config.idle_timeout));
    let timeouts = ConnectionTimeouts { dial, idle };
    let body_budget = MemoryBudget::new(limits.response_body_bytes, limits.max_whole_response_bytes);
    let head_budget = MemoryBudget::new(limits.response_head_bytes, limits.response_head_bytes);
    let descriptors = Descriptors::new(config.max_descriptors);
    let spare_descriptors = 2 * limits.descriptors_for_backends;
    let http = HttpBackend::new(timeouts, body_budget, head_budget, descriptors.clone(), spare_descriptors);
    let ninep = NinePBackend::new(timeouts.dial, descriptors.clone(), limits.ninep_root_bytes);
    let backends = Backends::new(http, ninep, descriptors);
    for backend in &config.operator.ninep_backends {
        backends.ninep.addresses.borrow_mut().insert(backends.names.id_of(&backend.id), backend.address);
    }
    DispatchService::new(
        Clock::start(),
        config.settings.clone(),
        config.seed,
        config.max_open_requests,
        backends,
    )
}

/// The request ids that this process shares with the other one of an upgrade. Only a process whose listener was passed
/// on to it may have another beside it.
fn shared_request_ids() -> Option<SharedRequestIds> {
    std::env::var_os("LB_ACCEPT_FD").filter(|descriptor| !descriptor.is_empty())?;
    let folder = PathBuf::from(std::env::var_os("TMPDIR")?);
    let opened = SharedRequestIds::open(&folder);
    opened
        .inspect_err(|error| tracing::warn!("request ids are not shared in {}: {error}", folder.display()))
        .ok()
}

impl Head {
    /// A head that has not begun to serve.
    pub fn new(mut config: Config, sources: Sources, cluster: Option<ClusterHandle>) -> Head {
        let known_endpoints = config.cached_list.take();
        let config = Rc::new(config);
        let cluster = cluster.map(Rc::new);
        let dispatch = new_dispatch_service(&config);
        let tenants = Rc::new(RefCell::new(config.operator.tenants.clone()));
        let ids = RequestIds::new(config.resource_limits.request_ids, shared_request_ids());
        let http_frontend = HttpFrontend::new(Rc::clone(&dispatch), Rc::clone(&config), ids);
        let ninep_frontend =
            NinePFrontend::new(Rc::clone(&dispatch), Rc::clone(&config), Rc::clone(&tenants));
        let management = ManagementServer::new(
            Rc::clone(&dispatch),
            Rc::clone(&http_frontend),
            Rc::clone(&config),
            cluster.clone(),
        );
        Head {
            phase: Phase::Starting,
            config,
            sources,
            dispatch,
            known_endpoints,
            http_frontend,
            ninep_frontend,
            tenants,
            vrrp: None,
            accept_tasks: Vec::new(),
            management,
            cluster,
            listener_is_shared: false,
        }
    }

    /// Runs from start to exit.
    pub async fn run(mut self, signals: Signals) -> Result<(), HeadError> {
        let terminated = Rc::new(Notify::new());
        let (discovery, discovery_address) = watch::channel(self.config.discovery);
        let reload = Reload { sources: self.sources.clone(), config: Rc::clone(&self.config), discovery };
        actix_rt::spawn(signals.handle(reload, Rc::clone(&terminated)));
        let mut listeners = Some(Listeners::bind(&self.config).await?);
        while self.phase != Phase::Ended {
            let next = match self.phase {
                Phase::Starting => self.start(listeners.take(), discovery_address.clone()),
                Phase::Serving => self.serve(&terminated).await,
                Phase::Draining => self.drain().await,
                Phase::Closing => self.close().await,
                Phase::Ended => Phase::Ended,
            };
            tracing::info!("{}: {:?} -> {next:?}", self.config.name, self.phase);
            self.phase = next;
        }
        Ok(())
    }

    /// Spawns the tasks of all parts.
    fn start(
        &mut self,
        listeners: Option<Listeners>,
        discovery_address: watch::Receiver<SocketAddr>,
    ) -> Phase {
        let Some(listeners) = listeners else { return Phase::Ended };
        let Listeners { http, http_is_shared, management, ninep, admin, vrrp } = listeners;
        self.listener_is_shared = http_is_shared;
        self.start_management(management);
        actix_rt::spawn(Rc::clone(&self.dispatch).run_timers());
        let dispatch = Rc::clone(&self.dispatch);
        actix_rt::spawn(async move { dispatch.metrics.event_loop.run().await });
        self.start_replication();
        self.start_discovery(discovery_address);
        self.start_http(http);
        self.start_ninep(ninep);
        self.start_vrrp(vrrp);
        self.start_admin(admin);
        self.dispatch.backends().descriptors().count_others();
        self.management.ready.set(true);
        Phase::Serving
    }

    fn start_management(&self, listener: Option<Listener>) {
        actix_rt::spawn(Rc::clone(&self.management).follow_overrides());
        if let Some(listener) = listener {
            actix_rt::spawn(Rc::clone(&self.management).serve(listener));
        }
    }

    fn start_replication(&self) {
        let Some(cluster) = &self.cluster else { return };
        actix_rt::spawn(apply_replicated_state(
            Rc::clone(cluster),
            Rc::clone(&self.config),
            Rc::clone(&self.tenants),
            Rc::clone(&self.dispatch),
        ));
    }

    fn start_discovery(&mut self, address: watch::Receiver<SocketAddr>) {
        let mut discovery = Discovery::new(Rc::clone(&self.dispatch), Rc::clone(&self.config));
        discovery.load_cached(self.known_endpoints.take());
        actix_rt::spawn(discovery.run(address));
    }

    fn start_http(&mut self, listener: Listener) {
        let task = actix_rt::spawn(Rc::clone(&self.http_frontend).serve(listener));
        self.accept_tasks.push(task.abort_handle());
    }

    fn start_ninep(&mut self, listener: Option<Listener>) {
        let Some(listener) = listener else { return };
        let task = actix_rt::spawn(Rc::clone(&self.ninep_frontend).serve(listener, false));
        self.accept_tasks.push(task.abort_handle());
    }

    fn start_vrrp(&mut self, socket: Option<DatagramSocket>) {
        let (Some(socket), Some(setup)) = (socket, &self.config.operator.vrrp) else { return };
        let runner =
            VrrpRunner::new(setup.router.clone(), setup.peers.clone(), socket, self.dispatch.clock());
        actix_rt::spawn(Rc::clone(&runner).run());
        let ninep = Rc::clone(&self.ninep_frontend);
        actix_rt::spawn(VirtualAddresses::new(Rc::clone(&runner), ninep, &self.config).run());
        self.vrrp = Some(runner);
    }

    fn start_admin(&self, listener: Option<Listener>) {
        let (Some(listener), Some(admin)) = (listener, &self.config.operator.admin) else { return };
        let limits = &self.config.resource_limits;
        let waiting_bytes = limits.waiting_change_bytes;
        let api = Rc::new(AdminApi {
            admin: admin.clone(),
            config: Rc::clone(&self.config),
            dispatch: Rc::clone(&self.dispatch),
            tenants: Rc::clone(&self.tenants),
            ninep: Rc::clone(&self.ninep_frontend),
            vrrp: self.vrrp.clone(),
            cluster: self.cluster.clone(),
            waiting_changes: MemoryBudget::new(waiting_bytes, waiting_bytes),
            request_memory: MemoryBudget::new(limits.admin_request_bytes, limits.admin_request_bytes),
            response_memory: MemoryBudget::new(limits.admin_response_bytes, limits.admin_response_bytes),
        });
        actix_rt::spawn(api.serve(listener));
    }

    /// Serves until SIGTERM.
    async fn serve(&mut self, terminated: &Notify) -> Phase {
        loop {
            tokio::select! {
                () = terminated.notified() => return Phase::Draining,
                () = tokio::time::sleep(SWEEP_INTERVAL) => self.enforce_resource_limits(),
            }
        }
    }

    /// Keeps clients, backends and discovery within the descriptors that the program may hold.
    fn enforce_resource_limits(&self) {
        let limits = &self.config.resource_limits;
        let connections = &self.http_frontend.connections;
        self.dispatch.backends().http.close_unusable_connections();
        connections.sweep(limits.idle_client_threshold);
        if self.http_frontend.is_drained.get() {
            // Drained: clients are sent away, and none is kept idle.
            connections.close_idle(usize::MAX, Duration::ZERO);
        }
        let descriptors = self.dispatch.backends().descriptors();
        descriptors.count_others();
        if descriptors.available() < limits.descriptors_for_backends {
            // Idle connections to backends are closed, and some of the idle clients: those that wait for an answer
            // need theirs.
            self.dispatch.backends().http.close_idle_connections();
            connections.close_idle(limits.descriptors_for_backends, MIN_EVICTION_IDLE);
        }
    }
}
