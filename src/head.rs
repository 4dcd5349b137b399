//! The program from start to exit, as the named states of one object.

use crate::back::Backs;
use crate::back::http::{HttpBack, Spans};
use crate::back::ninep::NinepBack;
use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::Discovery;
use crate::front::http::{HttpFront, bind};
use crate::front::ninep::NinepFront;
use crate::hub::Hub;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::AbortHandle;

/// How long clients may still connect after SIGTERM, and a little more.
const STILL_COMING: Duration = Duration::from_millis(600);
/// How long a connection must have been idle before it is closed on the way out.
const RESTED: Duration = Duration::from_millis(60);
/// Time between looks at the descriptors.
const BUDGET_LOOK: Duration = Duration::from_millis(250);
/// Part of the descriptors at which idle connections are closed.
const BUDGET_EDGE: f64 = 0.8;

/// Where the program is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads the list it was given; listens to nobody.
    Starting,
    /// Takes and answers requests.
    Serving,
    /// Told to end: still takes requests, and closes connections behind the answers.
    Draining,
    /// Takes no connection any more; answers what it has taken.
    Closing,
    /// All is answered.
    Ended,
}

/// One head.
pub struct Head {
    phase: Phase,
    config: Rc<Config>,
    hub: Rc<Hub>,
    front: Rc<HttpFront>,
    ninep: Rc<NinepFront>,
    accepting: Vec<AbortHandle>,
}

/// What a head listens on, bound before it starts.
struct Listeners {
    http: TcpListener,
    ninep: Option<TcpListener>,
}

impl Listeners {
    async fn bind(config: &Config) -> Result<Listeners, String> {
        let on = async |key: &str, address: SocketAddr| {
            let failed = |error| format!("{key}: cannot bind {address}: {error}");
            let listener = bind(address).await.map_err(failed)?;
            eprintln!("{key}: {}", listener.local_addr().map_err(failed)?);
            Ok::<_, String>(listener)
        };
        let http = on("listen", config.listen).await?;
        let ninep = match config.operator.ninep {
            Some(address) => Some(on("ninep.listen", address).await?),
            None => None,
        };
        Ok(Listeners { http, ninep })
    }
}

impl Head {
    /// A head that has not begun to serve.
    pub fn new(config: Config) -> Head {
        let config = Rc::new(config);
        let clock = Clock::start();
        let spans =
            Spans { dial: Duration::from_micros(config.dial), idle: Duration::from_micros(config.idle) };
        let backs = Backs::new(HttpBack::new(spans), NinepBack::new(spans.dial));
        for node in &config.operator.boxes {
            backs.ninep.addresses.borrow_mut().insert(backs.names.node(&node.id), node.address);
        }
        let hub = Hub::new(clock, config.settings.clone(), config.seed, config.most_open, backs);
        let front = HttpFront::new(Rc::clone(&hub), Rc::clone(&config));
        let tenants = Rc::new(RefCell::new(config.operator.tenants.clone()));
        let ninep = NinepFront::new(Rc::clone(&hub), Rc::clone(&config), tenants);
        Head { phase: Phase::Starting, config, hub, front, ninep, accepting: Vec::new() }
    }

    /// Runs from start to exit.
    pub async fn run(mut self) -> Result<(), String> {
        let mut terminated =
            signal(SignalKind::terminate()).map_err(|error| format!("no signals: {error}"))?;
        let mut listeners = Some(Listeners::bind(&self.config).await?);
        while self.phase != Phase::Ended {
            let next = match self.phase {
                Phase::Starting => self.start(listeners.take()),
                Phase::Serving => {
                    self.serve(&mut terminated).await;
                    Phase::Draining
                }
                Phase::Draining => self.drain().await,
                Phase::Closing => self.close().await,
                Phase::Ended => Phase::Ended,
            };
            eprintln!("{}: {:?} -> {next:?}", self.config.name, self.phase);
            self.phase = next;
        }
        Ok(())
    }

    fn start(&mut self, listeners: Option<Listeners>) -> Phase {
        let Some(Listeners { http, ninep }) = listeners else { return Phase::Ended };
        actix_rt::spawn(Rc::clone(&self.hub).run_timers());
        let mut discovery = Discovery::new(Rc::clone(&self.hub), Rc::clone(&self.config));
        discovery.take_known();
        actix_rt::spawn(discovery.run());
        let serve = Rc::clone(&self.front).serve(http);
        let serving = actix_rt::spawn(async move {
            if let Err(error) = serve.await {
                eprintln!("front: {error}");
            }
        });
        self.accepting.push(serving.abort_handle());
        if let Some(listener) = ninep {
            let serving = actix_rt::spawn(Rc::clone(&self.ninep).serve(listener));
            self.accepting.push(serving.abort_handle());
        }
        Phase::Serving
    }

    async fn serve(&mut self, terminated: &mut tokio::signal::unix::Signal) {
        loop {
            tokio::select! {
                _ = terminated.recv() => return,
                () = tokio::time::sleep(BUDGET_LOOK) => self.keep_budget(),
            }
        }
    }

    /// Keeps clients, nodes and discovery within the descriptors that the program may hold.
    fn keep_budget(&self) {
        let held = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let edge = (self.config.sockets as f64 * BUDGET_EDGE) as usize;
        if held > edge {
            eprintln!("descriptors: {held} of {}; closing idle connections", self.config.sockets);
            self.hub.backs().http.shed_idle();
            self.front.connections.close_idle(held - edge, Duration::from_secs(1));
        }
    }

    async fn drain(&mut self) -> Phase {
        self.front.closing.set(true);
        let until = tokio::time::Instant::now() + STILL_COMING;
        while tokio::time::Instant::now() < until {
            self.front.connections.close_idle(usize::MAX, RESTED);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Phase::Closing
    }

    async fn close(&mut self) -> Phase {
        self.accepting.drain(..).for_each(|accepting| accepting.abort());
        while self.front.connections.count() + self.ninep.count() + self.hub.open() > 0 {
            self.front.connections.close_idle(usize::MAX, RESTED);
            self.ninep.close_idle();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Phase::Ended
    }
}
