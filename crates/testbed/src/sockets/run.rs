//! Plays a test run on sockets: starts its parts, lets the clients and the script act, and gathers the figures.

use super::backends::EmulatedBackend;
use super::clients::Clients;
use super::discovery::DiscoveryService;
use super::error::TestBedError;
use super::heads::HeadProcesses;
use super::listeners::{start_backend, start_process};
use super::test_bed::TestBed;
use crate::drawn_scenario::DrawnScenario;
use crate::model::simulated_backend::SimulatedBackend;
use crate::scenario::Scenario;
use crate::script::ScriptTarget;
use sedgerun_policy::{Micros, Readiness};
use serde_json::Value;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet};

/// Time after the last request in which open ones may still end.
const DRAIN_TIME: Duration = Duration::from_millis(4500);
/// Time between two lines of progress.
const PROGRESS_EVERY: Duration = Duration::from_millis(500);

/// Plays a scenario on sockets, with heads of this program, and returns its figures. `watch` gets lines of progress
/// while it plays.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    watch: &dyn Fn(&str),
) -> Result<Value, TestBedError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(TestBedError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let mut run = SocketRun::start(scenario.clone(), seed, program).await?;
        let clients = Clients::new(Rc::clone(&run.test_bed), Rc::clone(&run.heads));
        let playing = tokio::task::spawn_local(clients.play());
        let test_bed = Rc::clone(&run.test_bed);
        tokio::select! {
            ended = run.play_script(playing) => ended?,
            () = report_progress(&test_bed, watch) => {}
        }
        Ok(run.finish().await)
    })
}

async fn report_progress(test_bed: &TestBed, watch: &dyn Fn(&str)) {
    loop {
        tokio::time::sleep(PROGRESS_EVERY).await;
        watch(&test_bed.progress_line());
    }
}

/// The parts of a test run, on which the script acts.
struct SocketRun {
    test_bed: Rc<TestBed>,
    backends: Vec<Rc<EmulatedBackend>>,
    heads: Rc<HeadProcesses>,
    discovery: Rc<DiscoveryService>,
}

impl SocketRun {
    async fn start(scenario: Scenario, seed: u64, program: &Path) -> Result<SocketRun, TestBedError> {
        let drawn = DrawnScenario::draw(&scenario, seed).map_err(TestBedError::Settings)?;
        let test_bed = Rc::new(TestBed::new(scenario, drawn, seed));
        let mut backends = Vec::new();
        for position in 0..test_bed.drawn.backends.len() {
            let started = start_backend(Rc::clone(&test_bed), position).await;
            backends.push(started.map_err(|error| TestBedError::Backend { position, error })?);
        }
        let discovery = DiscoveryService::start(Rc::clone(&test_bed), &backends).await;
        let discovery = discovery.map_err(TestBedError::Discovery)?;
        let heads = HeadProcesses::start(&test_bed, &backends, &discovery, program).await?;
        Ok(SocketRun { test_bed, backends, heads, discovery })
    }

    /// Takes the steps of the script at their times, and waits for the clients and their open requests.
    async fn play_script(&mut self, clients: JoinHandle<()>) -> Result<(), TestBedError> {
        let test_bed = Rc::clone(&self.test_bed);
        for step in &test_bed.scenario.steps {
            test_bed.sleep_until(step.at).await;
            test_bed.figures.borrow_mut().marks.push((step.at, step.label.clone()));
            step.apply(self, test_bed.seed);
        }
        clients.await.map_err(TestBedError::Clients)?;
        let end = test_bed.instant((test_bed.scenario.seconds * 1e6) as Micros);
        tokio::time::sleep_until(end + DRAIN_TIME).await;
        Ok(())
    }

    /// Ends the heads, and returns the figures.
    async fn finish(self) -> Value {
        let cpu_us = self.heads.stop().await;
        for backend in &self.backends {
            backend.note_peak();
        }
        let test_bed = &self.test_bed;
        let (mut auditor, figures) = (test_bed.auditor.borrow_mut(), test_bed.figures.borrow());
        auditor.finish(test_bed.now());
        let mut result = figures.to_json(&test_bed.scenario, test_bed.seed, "sockets", &auditor);
        result["cpu_us_a_request"] = (cpu_us as f64 / figures.requests().max(1) as f64).into();
        result
    }

    /// A backend's process starts after a time, and the endpoint list says so.
    fn start_process_after(&self, position: usize, after: Duration) {
        let (backend, discovery) = (Rc::clone(&self.backends[position]), Rc::clone(&self.discovery));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            start_process(&backend).await;
            discovery.change(&backend, Readiness::Ready);
        });
    }
}

impl ScriptTarget for SocketRun {
    fn size(&self) -> (usize, usize) {
        (self.backends.len(), self.heads.count())
    }

    fn slow(&mut self, position: usize, times: f64) {
        self.backends[position].adjust(|model: &mut SimulatedBackend| model.slow_down(times));
    }

    fn die(&mut self, position: usize) {
        self.backends[position].end_process();
        self.discovery.change(&self.backends[position], Readiness::Removed);
    }

    fn start(&mut self, position: usize) {
        self.start_process_after(position, Duration::ZERO);
    }

    fn restart(&mut self, position: usize) {
        self.backends[position].end_process();
        let restart_s = self.test_bed.scenario.backend.restart_s;
        self.start_process_after(position, Duration::from_secs_f64(restart_s));
    }

    fn drain(&mut self, position: usize, is_draining: bool) {
        let readiness = if is_draining { Readiness::Draining } else { Readiness::Ready };
        self.discovery.change(&self.backends[position], readiness);
    }

    fn replace(&mut self, position: usize, after: Micros) {
        self.discovery.change(&self.backends[position], Readiness::Draining);
        let (backend, discovery) = (Rc::clone(&self.backends[position]), Rc::clone(&self.discovery));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_micros(after)).await;
            backend.end_process();
            discovery.change(&backend, Readiness::Removed);
            discovery.renumber(&backend);
            start_process(&backend).await;
            discovery.change(&backend, Readiness::Ready);
        });
    }

    fn silence(&mut self, position: usize, is_silent: bool) {
        self.backends[position].set_silent(is_silent);
    }

    fn pause(&mut self, position: usize, time: Micros) {
        let now = self.test_bed.now();
        self.backends[position].adjust(|model: &mut SimulatedBackend| model.pause(now, time));
    }

    fn delay_list(&mut self, delay: Micros) {
        self.discovery.set_extra_delay(delay);
    }

    fn set_discovery_down(&mut self, is_down: bool) {
        self.discovery.set_down(is_down);
    }

    fn kill_head(&mut self, head: usize, restart_after: Micros) {
        self.heads.kill(head, Duration::from_micros(restart_after));
    }
}
