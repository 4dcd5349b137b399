//! A process of many hollow heads on one thread, controlled by JSON lines on its standard input. It ends with its
//! input.

use super::error::ScaleError;
use super::hollow::{HollowHead, HostEnvironment};
use super::json_lines::{print_line, read_lines};
use super::network::ZoneNetwork;
use super::protocol::{HeadReport, HostAnswer, HostCommand, HostSpec, ReadyWhen};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

/// Between samples of the heads' traffic.
const SAMPLE: Duration = Duration::from_secs(1);

/// Runs a host process until its input ends.
pub fn run() -> Result<(), ScaleError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| ScaleError::failed("no runtime", error))?;
    LocalSet::new().block_on(&runtime, serve(read_lines()))
}

async fn serve(mut lines: mpsc::Receiver<String>) -> Result<(), ScaleError> {
    let Some(spec) = lines.recv().await else { return Ok(()) };
    let spec = serde_json::from_str(&spec)
        .map_err(|error| ScaleError::refused("stdin line 1", error.to_string()))?;
    let host = Rc::new(Host::new(spec));
    spawn_local(sample(Rc::clone(&host)));
    while let Some(line) = lines.recv().await {
        let answer = match serde_json::from_str(&line) {
            Ok(command) => host.obey(command),
            Err(error) => HostAnswer::Failed(error.to_string()),
        };
        print_line(&answer).map_err(|error| ScaleError::failed("stdout", error))?;
    }
    Ok(())
}

async fn sample(host: Rc<Host>) {
    let mut ticks = tokio::time::interval(SAMPLE);
    loop {
        ticks.tick().await;
        host.heads.borrow().iter().for_each(|head| head.sample());
    }
}

/// The heads of one process.
struct Host {
    environment: Rc<HostEnvironment>,
    heads: RefCell<Vec<Rc<HollowHead>>>,
    random: RefCell<ChaCha8Rng>,
    /// Why a head did not start.
    failure: RefCell<Option<String>>,
}

impl Host {
    fn new(spec: HostSpec) -> Host {
        let network = ZoneNetwork::new(spec.region, spec.zone_number);
        let random = RefCell::new(ChaCha8Rng::seed_from_u64(spec.seed));
        let environment = Rc::new(HostEnvironment { spec, network, reached: RefCell::default() });
        Host { environment, heads: RefCell::default(), random, failure: RefCell::default() }
    }

    fn obey(self: &Rc<Self>, command: HostCommand) -> HostAnswer {
        if let Some(failure) = self.failure.borrow_mut().take() {
            return HostAnswer::Failed(failure);
        }
        match command {
            HostCommand::Start { count, within_ms, ready_when } => {
                let fresh = (0..count).map(|_| self.add_head()).collect();
                self.start_all(fresh, within_ms, ready_when);
            }
            HostCommand::Stop => return self.stop_where(|_| true),
            HostCommand::StopUpstreams => {
                return self.stop_where(|report| report.depth == Some(0) && report.followers > 0);
            }
            HostCommand::Restart { within_ms, ready_when } => {
                let stopped = self.heads.borrow().iter().filter(|head| !head.is_running()).cloned().collect();
                self.start_all(stopped, within_ms, ready_when);
            }
            HostCommand::Cut => self.environment.network.set_cut(true),
            HostCommand::Heal => self.environment.network.set_cut(false),
            HostCommand::ResetPeaks => self.heads.borrow().iter().for_each(|head| head.reset_peak()),
            HostCommand::Report => {
                let heads = self.heads.borrow();
                return HostAnswer::Report(heads.iter().filter_map(|head| head.report()).collect());
            }
            HostCommand::Reached => return HostAnswer::Reached(self.environment.reached.take()),
        }
        HostAnswer::Done
    }

    fn stop_where(&self, which: impl Fn(&HeadReport) -> bool) -> HostAnswer {
        let heads = self.heads.borrow();
        let stopped = heads.iter().filter(|head| head.report().is_some_and(|report| which(&report)));
        HostAnswer::Stopped(stopped.map(|head| head.stop()).count() as u64)
    }

    fn add_head(&self) -> Rc<HollowHead> {
        let mut heads = self.heads.borrow_mut();
        let name = format!("{}{}", self.environment.spec.name_prefix, heads.len());
        let seed = self.random.borrow_mut().random();
        let head = Rc::new(HollowHead::new(name, seed, Rc::clone(&self.environment)));
        heads.push(Rc::clone(&head));
        head
    }

    /// Starts heads, each after a part of the time drawn by chance.
    fn start_all(self: &Rc<Self>, heads: Vec<Rc<HollowHead>>, within_ms: u64, ready_when: ReadyWhen) {
        for head in heads {
            let wait = Duration::from_millis(self.random.borrow_mut().random_range(0..=within_ms));
            let host = Rc::clone(self);
            spawn_local(async move {
                tokio::time::sleep(wait).await;
                if let Err(error) = head.start(ready_when).await {
                    host.failure.replace(Some(error.to_string()));
                }
            });
        }
    }
}
