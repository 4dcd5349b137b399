//! Simulator of the fleet's store: real heads' parts in a fleet (the consensus library, redb, and all decisions), on
//! disks, a network, a clock and random numbers of the simulator, in virtual time. Faults are injected by a seed; an
//! auditor watches that nothing acknowledged is missing, no term has two leaders, and no reader's version goes back.

pub mod auditor;
pub mod demo;
pub mod disk;
pub mod faults;
pub mod harness;
pub mod heads;
pub mod measure;
pub mod net;

use crate::draw::source;
use auditor::Auditor;
use faults::{Fault, FaultSchedule};
use heads::Heads;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sedgerun_cluster::environment::Simulator;
use sedgerun_replication::state::{Change, ChangeOutcome, Command};
use sedgerun_replication::view::Fields;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::task::LocalSet;

/// Numbers that repeat.
#[derive(Clone, Debug)]
pub struct Chance(ChaCha8Rng);

impl Chance {
    /// Numbers of a seed, for one purpose.
    pub fn new(seed: u64, purpose: u64) -> Chance {
        Chance(source(seed, purpose))
    }

    /// A number below this one.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0.next_u64() % most.max(1)
    }
}

/// A bug injected into the heads or their disks, which the auditor has to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Disks say that they have synced, and have not.
    LyingDisk,
    /// A wiped disk keeps its store's number.
    OldName,
    /// Clients read whatever a head holds as if it were settled.
    StaleRead,
}

impl InjectedBug {
    /// All there are.
    pub const ALL: [InjectedBug; 3] = [InjectedBug::LyingDisk, InjectedBug::OldName, InjectedBug::StaleRead];

    /// The one of a name.
    pub fn named(name: &str) -> Option<InjectedBug> {
        InjectedBug::ALL
            .into_iter()
            .zip(["lying-disk", "old-name", "stale-read"])
            .find(|(_, n)| *n == name)
            .map(|(p, _)| p)
    }
}

/// How a run is set up.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// Heads that keep at first, and heads in all.
    pub heads: (usize, usize),
    /// How long faults are injected, in virtual time.
    pub faults_for: Duration,
    /// What is injected.
    pub bug: Option<InjectedBug>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Faults by kind, with how often each was injected.
    pub injected: BTreeMap<Fault, u64>,
    /// Changes that were acknowledged, and calls that were not answered with one.
    pub acknowledged: u64,
    /// Calls that were refused or not answered in time.
    pub refused: u64,
    /// Rules that broke, in words; the first is what counts.
    pub broken: Vec<String>,
    /// Digest of all that was acknowledged and when.
    pub digest: u64,
}

/// What came of many runs.
#[derive(Clone, Debug, Default)]
pub struct All {
    /// How many.
    pub runs: u64,
    /// Sums over all.
    pub injected: BTreeMap<Fault, u64>,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Calls that were refused or not answered in time.
    pub refused: u64,
    /// Seeds with what broke first.
    pub broken: BTreeMap<u64, String>,
}

impl All {
    /// The counts and what broke, for people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} runs: {} changes acknowledged, {} calls refused; {} runs with a broken rule\n",
            self.runs,
            self.acknowledged,
            self.refused,
            self.broken.len()
        );
        for (fault, count) in &self.injected {
            text.push_str(&format!("{fault:?}: {count}\n").to_lowercase());
        }
        for (seed, what) in self.broken.iter().take(10) {
            text.push_str(&format!("seed {seed}: {what}\n"));
        }
        text
    }
}

/// Plays runs of many seeds, the first that of `run`, several side by side.
pub fn play_all(run: Run, seeds: u64, threads: usize) -> All {
    let (next, all) = (AtomicU64::new(0), Mutex::new(All::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= seeds {
                        return;
                    }
                    let seed = run.seed + number;
                    let report = play(Run { seed, ..run });
                    let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
                    all.runs += 1;
                    all.acknowledged += report.acknowledged;
                    all.refused += report.refused;
                    for (fault, count) in report.injected {
                        *all.injected.entry(fault).or_default() += count;
                    }
                    all.broken.extend(report.broken.into_iter().next().map(|what| (seed, what)));
                }
            });
        }
    });
    all.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Between looks of the auditor, and at connections that wait for a head.
const TICK: Duration = Duration::from_millis(2);
/// Time for all to come together once no fault is injected any more.
const HEAL: Duration = Duration::from_secs(60);

/// Plays one run.
pub fn play(run: Run) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let Ok(runtime) = runtime else {
        return Report { broken: vec!["no runtime".into()], ..Report::default() };
    };
    let report = LocalSet::new().block_on(&runtime, async {
        Simulator::begin(source(run.seed, 1));
        let report = Play::new(run).play().await;
        Simulator::end();
        report
    });
    runtime.shutdown_background();
    report
}

struct Play {
    run: Run,
    heads: Rc<RefCell<Heads>>,
    auditor: Rc<RefCell<Auditor>>,
    faults: FaultSchedule,
}

impl Play {
    fn new(run: Run) -> Play {
        let heads = Heads::new(run.heads, run.seed, run.bug);
        let faults = FaultSchedule::new(Chance::new(run.seed, 2), run.heads.1);
        Play { run, heads: Rc::new(RefCell::new(heads)), auditor: Rc::default(), faults }
    }

    async fn play(mut self) -> Report {
        for head in 0..self.run.heads.1 {
            if let Err(what) = self.start(head).await {
                self.auditor.borrow_mut().broke(format!("head {head} does not start: {what}"));
            }
        }
        if let Err(what) = self.begin().await {
            self.auditor.borrow_mut().broke(format!("the fleet does not begin: {what}"));
        }
        let clients: Vec<_> = (0..3).map(|client| self.client(client)).collect();
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < self.run.faults_for && self.auditor.borrow().is_well() {
            self.tick().await;
            self.inject_fault().await;
        }
        clients.into_iter().for_each(|client| client.abort());
        self.heal().await;
        let auditor = self.auditor.borrow();
        Report {
            injected: self.faults.injected.clone(),
            acknowledged: auditor.acknowledged(),
            refused: auditor.refused,
            broken: auditor.broken.clone(),
            digest: auditor.digest(),
        }
    }

    async fn tick(&self) {
        tokio::time::sleep(TICK).await;
        let mut heads = self.heads.borrow_mut();
        heads.take_connections();
        heads.observe(&mut self.auditor.borrow_mut());
    }

    async fn start(&self, head: usize) -> Result<(), String> {
        let starting = self.heads.borrow_mut().starting(head);
        let node = starting.await?;
        self.heads.borrow_mut().started(head, node);
        Ok(())
    }

    async fn begin(&self) -> Result<(), String> {
        let (heads, begun) = (Rc::clone(&self.heads), Rc::new(RefCell::new(None)));
        let done = Rc::clone(&begun);
        let beginning = tokio::task::spawn_local(async move {
            let asked = heads.borrow().asked(0);
            *done.borrow_mut() = Some(match asked {
                Some(asked) => asked.begin().await.map_err(|error| error.to_string()),
                None => Err("head 0 is not there".into()),
            });
        });
        while begun.borrow().is_none() {
            self.tick().await;
        }
        drop(beginning);
        let begun = begun.borrow_mut().take();
        begun.unwrap_or(Ok(()))
    }

    async fn inject_fault(&mut self) {
        let Some(fault) = self.faults.due(&self.heads.borrow()) else { return };
        let up = self.heads.borrow_mut().inject(fault, &mut self.faults);
        for head in up {
            if let Err(what) = self.start(head).await {
                self.auditor.borrow_mut().broke(format!("head {head} does not start again: {what}"));
            }
        }
    }

    /// All faults end; then all heads come to hold the same, and all that was acknowledged.
    async fn heal(&mut self) {
        if !self.auditor.borrow().is_well() {
            return;
        }
        let down = self.heads.borrow_mut().heal();
        for head in down {
            if let Err(what) = self.start(head).await {
                self.auditor.borrow_mut().broke(format!("head {head} does not start in the end: {what}"));
            }
        }
        let begun = tokio::time::Instant::now();
        loop {
            self.tick().await;
            let apart = self.heads.borrow().apart(&self.auditor.borrow());
            let Some(apart) = apart else { return };
            if begun.elapsed() > HEAL || !self.auditor.borrow().is_well() {
                return self.auditor.borrow_mut().broke(apart);
            }
        }
    }

    /// A client that makes changes and reads at any head that is up.
    fn client(&self, client: u64) -> tokio::task::JoinHandle<()> {
        let (heads, auditor) = (Rc::clone(&self.heads), Rc::clone(&self.auditor));
        let mut chance = Chance::new(self.run.seed, 10 + client);
        let stale = self.run.bug == Some(InjectedBug::StaleRead);
        tokio::task::spawn_local(async move {
            for number in 0.. {
                tokio::time::sleep(Duration::from_millis(5 + chance.below(60))).await;
                let Some(asked) = heads.borrow().any(&mut chance) else { continue };
                if chance.below(3) == 0 {
                    let (since, at) = auditor.borrow().now();
                    let seen = if stale { Ok(asked.view()) } else { asked.latest().await };
                    match seen {
                        Ok(view) => auditor.borrow_mut().read(since, at, &view),
                        Err(_) => auditor.borrow_mut().refused += 1,
                    }
                    continue;
                }
                let (tenant, export) = (format!("t{}", chance.below(4)), format!("c{client}n{number}"));
                let fields = Fields::from([("shard".to_owned(), "3".to_owned())]);
                let command = Command::PutExport { tenant, export: export.clone(), fields };
                let change = Change { key: export.clone(), expect: None, command };
                let mut asked = Some(asked);
                // The same key at another head, where the answer is lost.
                for _ in 0..4 {
                    let Some(at) = asked.take() else { break };
                    match at.change(change.clone()).await {
                        Ok(ChangeOutcome::Done { version, .. }) => {
                            auditor.borrow_mut().acknowledge(&export, version);
                            break;
                        }
                        Ok(other) => {
                            auditor.borrow_mut().broke(format!("{export}: {other:?}"));
                            break;
                        }
                        Err(_) => auditor.borrow_mut().refused += 1,
                    }
                    tokio::time::sleep(Duration::from_millis(20 + chance.below(200))).await;
                    asked = heads.borrow().any(&mut chance);
                }
            }
        })
    }
}
