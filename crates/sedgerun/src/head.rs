//! The program from start to exit, as the named states of one object.

use crate::admin::Api;
use crate::backend::Backends;
use crate::backend::answer::MemoryBudget;
use crate::backend::http::{ConnectionTimeouts, HttpBackend};
use crate::backend::ninep::NinePBackend;
use crate::clock::Clock;
use crate::config::{Config, Sources};
use crate::descriptors::Descriptors;
use crate::discovery::Discovery;
use crate::dispatch_service::DispatchService;
use crate::frontend::http::{GIVE_WAY_TIME, HttpFrontend, bind};
use crate::frontend::ninep::NinePFrontend;
use crate::management::ManagementServer;
use crate::replicated_state::apply_replicated_state;
use crate::tenants::TenantRegistry;
use crate::vrrp::VrrpRunner;
use sedgerun_cluster::ClusterHandle;
use sedgerun_policy::Micros;
use sedgerun_vrrp::State;
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

/// How long clients may still connect after SIGTERM, and a little more.
const STILL_COMING: Duration = Duration::from_millis(600);
/// What comes between SIGTERM and SIGKILL at the least, past the longest deadline, which counts up to a bound.
const KILL: Duration = Duration::from_millis(700);
const KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time before SIGKILL by which all is answered: a few turns of the program where it gets little of its core.
const KILL_SPARE: Duration = Duration::from_millis(200);
/// How long a connection must have been idle before it is closed on the way out.
const RESTED: Duration = Duration::from_millis(60);
/// Time between looks at the descriptors.
const BUDGET_LOOK: Duration = Duration::from_millis(250);

/// Where the program is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads the list it was given; listens to nobody.
    Starting,
    /// Takes and answers requests.
    Serving,
    /// Told to end: still takes requests, on the connections that clients have.
    Draining,
    /// Takes no connection any more; answers what it has taken, and closes connections behind the answers.
    Closing,
    /// All is answered.
    Ended,
}

/// The signals that the program heeds. Caught once, they never end it by themselves.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Catches them from now on.
    pub fn catch() -> Result<Signals, String> {
        let catch = |kind| signal(kind).map_err(|error| format!("no signals: {error}"));
        Ok(Signals { hangup: catch(SignalKind::hangup())?, terminate: catch(SignalKind::terminate())? })
    }

    /// The one task for signals, from start to exit: a new configuration may come while the head drains, and
    /// its end while a new configuration is read.
    async fn heed(mut self, reload: Reload, terminated: Rc<Notify>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => terminated.notify_one(),
                _ = self.hangup.recv() => reload.run(),
            }
        }
    }
}

/// What SIGHUP brings about: the configuration is read anew, and discovery is where it says.
struct Reload {
    sources: Sources,
    config: Rc<Config>,
    discovery: watch::Sender<SocketAddr>,
}

impl Reload {
    fn run(&self) {
        let fresh = match self.sources.read() {
            Ok(fresh) => fresh,
            // Guards against a file that cannot be used: what is in force stands.
            Err(what) => return tracing::error!("SIGHUP: {what}; nothing is changed"),
        };
        for key in self.config.fixed(&fresh) {
            tracing::warn!("SIGHUP: {key} differs; the next start takes it over");
        }
        let moved = self
            .discovery
            .send_if_modified(|address| std::mem::replace(address, fresh.discovery) != fresh.discovery);
        tracing::info!("SIGHUP: discovery is {} {}", if moved { "now" } else { "still" }, fresh.discovery);
    }
}

/// One head.
pub struct Head {
    phase: Phase,
    config: Rc<Config>,
    sources: Sources,
    dispatch: Rc<DispatchService>,
    /// The list that the configuration holds, until it is read at the start.
    known: Option<Box<RawValue>>,
    front: Rc<HttpFrontend>,
    ninep: Rc<NinePFrontend>,
    tenants: Rc<RefCell<TenantRegistry>>,
    vrrp: Option<Rc<VrrpRunner>>,
    accepting: Vec<AbortHandle>,
    mgmt: Rc<ManagementServer>,
    /// The fleet that it is of, where there is one.
    fleet: Option<Rc<ClusterHandle>>,
    /// The clients' listener came from the platform, which another process of this head shares.
    inherited: bool,
}

/// The decisions of a head with their backends, by its configuration.
pub fn new_dispatch_service(config: &Config) -> Rc<DispatchService> {
    let (dial, idle) = (Duration::from_micros(config.dial), Duration::from_micros(config.idle));
    let spans = ConnectionTimeouts { dial, idle };
    let room = MemoryBudget::new(config.resource_limits.answers, config.resource_limits.answer);
    let descriptors = Descriptors::new(config.sockets);
    let http = HttpBackend::new(spans, room, descriptors.clone(), 2 * config.resource_limits.boxes);
    let backends = Backends::new(http, NinePBackend::new(spans.dial, descriptors.clone()), descriptors);
    for node in &config.operator.boxes {
        backends.ninep.addresses.borrow_mut().insert(backends.names.node(&node.id), node.address);
    }
    DispatchService::new(Clock::start(), config.settings.clone(), config.seed, config.most_open, backends)
}

/// What a head listens on, bound before it starts.
struct Listeners {
    http: TcpListener,
    inherited: bool,
    mgmt: Option<TcpListener>,
    ninep: Option<TcpListener>,
    admin: Option<TcpListener>,
    vrrp: Option<UdpSocket>,
}

impl Listeners {
    async fn bind(config: &Config) -> Result<Listeners, String> {
        let on = async |key: &str, address: SocketAddr| {
            let failed = |error| format!("{key}: cannot bind {address}: {error}");
            let listener = bind(address).await.map_err(failed)?;
            tracing::info!("{key}: {}", listener.local_addr().map_err(failed)?);
            Ok::<_, String>(listener)
        };
        let (http, inherited) = match inherited()? {
            Some(http) => (http, true),
            None => (on("listen", config.listen).await?, false),
        };
        let mgmt = match config.mgmt {
            Some(address) => Some(on("mgmt", address).await?),
            None => None,
        };
        let ninep = match config.operator.ninep {
            Some(address) => Some(on("ninep.listen", address).await?),
            None => None,
        };
        let admin = match &config.operator.admin {
            Some(admin) => Some(on("admin.listen", admin.listen).await?),
            None => None,
        };
        let vrrp = match &config.operator.vrrp {
            Some(vrrp) => {
                let bound = UdpSocket::bind(vrrp.listen).await;
                Some(bound.map_err(|error| format!("vrrp.listen: cannot bind {}: {error}", vrrp.listen))?)
            }
            None => None,
        };
        Ok(Listeners { http, inherited, mgmt, ninep, admin, vrrp })
    }
}

impl Head {
    /// A head that has not begun to serve.
    pub fn new(mut config: Config, sources: Sources, fleet: Option<ClusterHandle>) -> Head {
        let known = config.known.take();
        let config = Rc::new(config);
        let dispatch = new_dispatch_service(&config);
        let front = HttpFrontend::new(Rc::clone(&dispatch), Rc::clone(&config));
        let tenants = Rc::new(RefCell::new(config.operator.tenants.clone()));
        let ninep = NinePFrontend::new(Rc::clone(&dispatch), Rc::clone(&config), Rc::clone(&tenants));
        let (phase, vrrp, accepting) = (Phase::Starting, None, Vec::new());
        let (inherited, fleet) = (false, fleet.map(Rc::new));
        let mgmt =
            ManagementServer::new(Rc::clone(&dispatch), Rc::clone(&front), Rc::clone(&config), fleet.clone());
        Head {
            phase,
            config,
            sources,
            dispatch,
            known,
            front,
            ninep,
            tenants,
            vrrp,
            accepting,
            mgmt,
            fleet,
            inherited,
        }
    }

    /// Runs from start to exit.
    pub async fn run(mut self, signals: Signals) -> Result<(), String> {
        let terminated = Rc::new(Notify::new());
        let (discovery, at) = watch::channel(self.config.discovery);
        let reload = Reload { sources: self.sources.clone(), config: Rc::clone(&self.config), discovery };
        actix_rt::spawn(signals.heed(reload, Rc::clone(&terminated)));
        let mut listeners = Some(Listeners::bind(&self.config).await?);
        while self.phase != Phase::Ended {
            let next = match self.phase {
                Phase::Starting => self.start(listeners.take(), at.clone()),
                Phase::Serving => {
                    self.serve(&terminated).await;
                    Phase::Draining
                }
                Phase::Draining => self.drain().await,
                Phase::Closing => self.close().await,
                Phase::Ended => Phase::Ended,
            };
            tracing::info!("{}: {:?} -> {next:?}", self.config.name, self.phase);
            self.phase = next;
        }
        Ok(())
    }

    fn start(&mut self, listeners: Option<Listeners>, at: watch::Receiver<SocketAddr>) -> Phase {
        let Some(Listeners { http, inherited, mgmt, ninep, admin, vrrp }) = listeners else {
            return Phase::Ended;
        };
        self.inherited = inherited;
        actix_rt::spawn(Rc::clone(&self.mgmt).follow());
        if let Some(listener) = mgmt {
            actix_rt::spawn(Rc::clone(&self.mgmt).serve(listener));
        }
        actix_rt::spawn(Rc::clone(&self.dispatch).run_timers());
        if let Some(fleet) = &self.fleet {
            let (config, tenants) = (Rc::clone(&self.config), Rc::clone(&self.tenants));
            actix_rt::spawn(apply_replicated_state(
                Rc::clone(fleet),
                config,
                tenants,
                Rc::clone(&self.dispatch),
            ));
        }
        let mut discovery = Discovery::new(Rc::clone(&self.dispatch), Rc::clone(&self.config));
        discovery.load_cached(self.known.take());
        actix_rt::spawn(discovery.run(at));
        let serve = Rc::clone(&self.front).serve(http);
        let serving = actix_rt::spawn(async move {
            if let Err(error) = serve.await {
                tracing::error!("front: {error}");
            }
        });
        self.accepting.push(serving.abort_handle());
        if let Some(listener) = ninep {
            let serving = actix_rt::spawn(Rc::clone(&self.ninep).serve(listener, false));
            self.accepting.push(serving.abort_handle());
        }
        if let (Some(socket), Some(vrrp)) = (vrrp, &self.config.operator.vrrp) {
            let carrier =
                VrrpRunner::new(vrrp.router.clone(), vrrp.peers.clone(), socket, self.dispatch.clock());
            actix_rt::spawn(Rc::clone(&carrier).run());
            actix_rt::spawn(follow(Rc::clone(&carrier), Rc::clone(&self.ninep), Rc::clone(&self.config)));
            self.vrrp = Some(carrier);
        }
        if let (Some(listener), Some(admin)) = (admin, &self.config.operator.admin) {
            let api = Rc::new(Api {
                admin: admin.clone(),
                config: Rc::clone(&self.config),
                dispatch: Rc::clone(&self.dispatch),
                tenants: Rc::clone(&self.tenants),
                ninep: Rc::clone(&self.ninep),
                vrrp: self.vrrp.clone(),
                fleet: self.fleet.clone(),
            });
            actix_rt::spawn(async move {
                if let Err(error) = api.serve(listener).await {
                    tracing::error!("admin: {error}");
                }
            });
        }
        self.dispatch.backends().descriptors().count_others();
        self.mgmt.ready.set(true);
        Phase::Serving
    }

    async fn serve(&mut self, terminated: &Notify) {
        loop {
            tokio::select! {
                () = terminated.notified() => return,
                () = tokio::time::sleep(BUDGET_LOOK) => self.keep_budget(),
            }
        }
    }

    /// Keeps clients, nodes and discovery within the descriptors that the program may hold.
    fn keep_budget(&self) {
        self.front.connections.sweep(self.config.resource_limits.clients);
        if self.front.drained.get() {
            // Drained: clients are sent away, and none is held idle.
            self.front.connections.close_idle(usize::MAX, Duration::ZERO);
        }
        let descriptors = self.dispatch.backends().descriptors();
        descriptors.count_others();
        if descriptors.left() < self.config.resource_limits.boxes {
            // Idle connections to nodes go, and some of the idle clients: those that wait for an answer need theirs.
            self.dispatch.backends().http.shed_idle();
            self.front.connections.close_idle(self.config.resource_limits.boxes, GIVE_WAY_TIME);
        }
    }

    /// The next start comes no sooner for an early end, and clients that lose their connection find no head in
    /// the meantime. So those that they have stay for as long as what comes on them can be answered.
    async fn drain(&mut self) -> Phase {
        if let Some(vrrp) = &self.vrrp {
            vrrp.stop();
        }
        if self.inherited {
            // Another process accepts on the same socket: new clients go there, and these are sent on.
            self.accepting.drain(..).for_each(|accepting| accepting.abort());
            self.front.closing.set(true);
        }
        let classes = &self.config.settings.classes;
        let longest = classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let aim = classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        let last = Duration::from_micros(longest).min(KILL_DEADLINE) + KILL - KILL_SPARE;
        self.dispatch.set_final_deadline(self.dispatch.clock().now() + last.as_micros() as Micros);
        let begun = Instant::now();
        let stay = last.saturating_sub(Duration::from_micros(aim)).max(STILL_COMING);
        let left = || self.front.connections.count() + self.ninep.count() + self.dispatch.open_requests();
        while begun.elapsed() < STILL_COMING || (begun.elapsed() < stay && left() > 0) {
            self.front.connections.sweep(self.config.resource_limits.clients);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Phase::Closing
    }

    async fn close(&mut self) -> Phase {
        self.front.closing.set(true);
        self.accepting.drain(..).for_each(|accepting| accepting.abort());
        while self.front.connections.count() + self.ninep.count() + self.dispatch.open_requests() > 0 {
            self.front.connections.close_idle(usize::MAX, RESTED);
            self.ninep.close_idle(true);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Phase::Ended
    }
}

/// Serves 9P at the virtual addresses for as long as this head's virtual router is active.
async fn follow(vrrp: Rc<VrrpRunner>, ninep: Rc<NinePFrontend>, config: Rc<Config>) {
    let Some(setup) = &config.operator.vrrp else { return };
    let mut serving: Vec<AbortHandle> = Vec::new();
    let mut missing: Vec<SocketAddr> = Vec::new();
    let all = setup.router.addresses.iter().map(|address| SocketAddr::new((*address).into(), setup.port));
    let all: Vec<SocketAddr> = all.collect();
    let mut was = State::Initialize;
    loop {
        let active = vrrp.state() == State::Active;
        if active && was != State::Active {
            missing.clone_from(&all);
        }
        if !active {
            missing.clear();
            serving.drain(..).for_each(|serving| serving.abort());
            ninep.close_idle(false);
        }
        was = vrrp.state();
        // The last one to be active may still hold an address for a moment.
        let mut left = Vec::new();
        for address in missing.drain(..) {
            match bind(address).await {
                Ok(listener) => {
                    let task = actix_rt::spawn(Rc::clone(&ninep).serve(listener, true));
                    serving.push(task.abort_handle());
                }
                Err(_) => left.push(address),
            }
        }
        missing = left;
        if !missing.is_empty() || (!active && ninep.shared() > 0) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        } else if vrrp.stopped() {
            return;
        } else {
            vrrp.changed.notified().await;
        }
    }
}

/// The clients' listener that the platform hands on at an upgrade, as `$LB_ACCEPT_FD` names it; `None` where it
/// names none. `run` tells it to `listenfd` as `LISTEN_FDS_FIRST_FD` and `LISTEN_FDS`.
fn inherited() -> Result<Option<TcpListener>, String> {
    let Some(named) = std::env::var("LB_ACCEPT_FD").ok().filter(|fd| !fd.is_empty()) else { return Ok(None) };
    let failed = |error: std::io::Error| format!("LB_ACCEPT_FD {named}: {error}");
    let mut fds = listenfd::ListenFd::from_env();
    let Some(listener) = fds.take_tcp_listener(0).map_err(failed)? else {
        return Err(format!(
            "LB_ACCEPT_FD {named}: LISTEN_FDS does not hand it on; see deploy/balancer.toml"
        ));
    };
    listener.set_nonblocking(true).map_err(failed)?;
    let listener = TcpListener::from_std(listener).map_err(failed)?;
    tracing::info!("listen: descriptor {named}, {:?}", listener.local_addr());
    Ok(Some(listener))
}
