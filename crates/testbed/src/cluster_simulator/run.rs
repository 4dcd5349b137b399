//! Plays runs of the cluster simulator.

use super::auditor::Auditor;
use super::client::SimulatedClient;
use super::error::SimulatedNodeError;
use super::fault_schedule::FaultSchedule;
use super::heads::SimulatedHeads;
use super::injected_bug::InjectedBug;
use super::report::{ClusterRunReport, ClusterRunSummary};
use super::seeded_random::SeededRandom;
use crate::random::source;
use sedgerun_cluster::environment::Simulator;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet};

/// Time between two observations of the auditor, and between hand-overs of connections to heads.
const TICK: Duration = Duration::from_millis(2);
/// Time for all heads to come to the same state once no fault is injected any more.
const HEAL_TIME: Duration = Duration::from_secs(60);
/// Clients of a run.
const CLIENTS: u64 = 3;
/// Purposes of random sources: the environment of the nodes, the faults, and from here on the clients.
const ENVIRONMENT_PURPOSE: u64 = 1;
const FAULT_PURPOSE: u64 = 2;
const FIRST_CLIENT_PURPOSE: u64 = 10;

/// How a run is set up.
#[derive(Clone, Copy, Debug)]
pub struct ClusterRun {
    /// Its seed.
    pub seed: u64,
    /// Heads that vote at first, and heads in all.
    pub heads: (usize, usize),
    /// How long faults are injected, in virtual time.
    pub faults_for: Duration,
    /// The injected bug, if any.
    pub bug: Option<InjectedBug>,
}

/// Plays runs of many seeds, the first that of `run`, several side by side.
pub fn play_all(run: ClusterRun, seeds: u64, threads: usize) -> ClusterRunSummary {
    let (next, summary) = (AtomicU64::new(0), Mutex::new(ClusterRunSummary::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= seeds {
                        return;
                    }
                    let seed = run.seed + number;
                    let report = play(ClusterRun { seed, ..run });
                    summary.lock().unwrap_or_else(PoisonError::into_inner).add(seed, report);
                }
            });
        }
    });
    summary.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Plays one run.
pub fn play(run: ClusterRun) -> ClusterRunReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let Ok(runtime) = runtime else {
        return ClusterRunReport { broken: vec!["no runtime".into()], ..ClusterRunReport::default() };
    };
    let report = LocalSet::new().block_on(&runtime, async {
        Simulator::begin(source(run.seed, ENVIRONMENT_PURPOSE));
        let report = RunningCluster::new(run).play().await;
        Simulator::end();
        report
    });
    runtime.shutdown_background();
    report
}

/// A run that is played.
struct RunningCluster {
    run: ClusterRun,
    heads: Rc<RefCell<SimulatedHeads>>,
    auditor: Rc<RefCell<Auditor>>,
    faults: FaultSchedule,
}

impl RunningCluster {
    fn new(run: ClusterRun) -> RunningCluster {
        let heads = SimulatedHeads::new(run.heads, run.seed, run.bug);
        let faults = FaultSchedule::new(SeededRandom::new(run.seed, FAULT_PURPOSE), run.heads.1);
        RunningCluster { run, heads: Rc::new(RefCell::new(heads)), auditor: Rc::default(), faults }
    }

    async fn play(mut self) -> ClusterRunReport {
        for head in 0..self.run.heads.1 {
            if let Err(error) = self.start(head).await {
                self.broke(format!("head {head} does not start: {error}"));
            }
        }
        if let Err(error) = self.begin().await {
            self.broke(format!("the fleet does not begin: {error}"));
        }
        let clients: Vec<_> = (0..CLIENTS).map(|client| self.spawn_client(client)).collect();
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < self.run.faults_for && self.auditor.borrow().is_well() {
            self.tick().await;
            self.inject_fault().await;
        }
        clients.into_iter().for_each(|client| client.abort());
        self.heal().await;
        let auditor = self.auditor.borrow();
        ClusterRunReport {
            injected: self.faults.injected.clone(),
            acknowledged: auditor.acknowledged(),
            rejected: auditor.rejected,
            broken: auditor.broken.clone(),
            digest: auditor.digest(),
        }
    }

    fn broke(&self, what: String) {
        self.auditor.borrow_mut().broke(what);
    }

    async fn tick(&self) {
        tokio::time::sleep(TICK).await;
        let mut heads = self.heads.borrow_mut();
        heads.take_connections();
        heads.observe(&mut self.auditor.borrow_mut());
    }

    async fn start(&self, head: usize) -> Result<(), SimulatedNodeError> {
        let starting = self.heads.borrow_mut().starting(head);
        let node = starting.await?;
        self.heads.borrow_mut().started(head, node);
        Ok(())
    }

    /// The first head begins the cluster, while the others run.
    async fn begin(&self) -> Result<(), SimulatedNodeError> {
        let (heads, result) = (Rc::clone(&self.heads), Rc::new(RefCell::new(None)));
        let done = Rc::clone(&result);
        let beginning = tokio::task::spawn_local(async move {
            let first = heads.borrow().client(0);
            let begun = match first {
                Some(first) => first.begin().await.map_err(SimulatedNodeError::cluster),
                None => Err(SimulatedNodeError::FirstHeadDown),
            };
            *done.borrow_mut() = Some(begun);
        });
        while result.borrow().is_none() {
            self.tick().await;
        }
        drop(beginning);
        let result = result.borrow_mut().take();
        result.unwrap_or(Ok(()))
    }

    async fn inject_fault(&mut self) {
        let Some(fault) = self.faults.take_due(&self.heads.borrow()) else { return };
        let to_start = self.heads.borrow_mut().inject(fault, &mut self.faults.random);
        if let Some(head) = to_start
            && let Err(error) = self.start(head).await
        {
            self.broke(format!("head {head} does not start again: {error}"));
        }
    }

    /// All faults end; then all heads come to the same state, with all that was acknowledged.
    async fn heal(&mut self) {
        if !self.auditor.borrow().is_well() {
            return;
        }
        let down = self.heads.borrow_mut().heal();
        for head in down {
            if let Err(error) = self.start(head).await {
                self.broke(format!("head {head} does not start in the end: {error}"));
            }
        }
        let begun = tokio::time::Instant::now();
        loop {
            self.tick().await;
            let difference = self.heads.borrow().difference(&self.auditor.borrow());
            let Some(difference) = difference else { return };
            if begun.elapsed() > HEAL_TIME || !self.auditor.borrow().is_well() {
                return self.broke(difference);
            }
        }
    }

    fn spawn_client(&self, number: u64) -> JoinHandle<()> {
        let client = SimulatedClient {
            number,
            heads: Rc::clone(&self.heads),
            auditor: Rc::clone(&self.auditor),
            random: SeededRandom::new(self.run.seed, FIRST_CLIENT_PURPOSE + number),
            reads_stale: self.run.bug == Some(InjectedBug::StaleRead),
        };
        tokio::task::spawn_local(client.run())
    }
}
