//! What the script does to a [`Simulator`], and the updates of the discovery server that follow from it.

use super::event::{Event, WireEnd};
use super::injected_bug::InjectedBug;
use super::state::{Simulator, backend_of};
use crate::model::discovery_server::EndpointUpdate;
use crate::script::ScriptTarget;
use sedgerun_policy::{BackendId, Micros, Readiness, UpdateScope};

impl ScriptTarget for Simulator<'_> {
    fn size(&self) -> (usize, usize) {
        (self.machine_at.len(), self.heads.len())
    }

    fn slow(&mut self, position: usize, times: f64) {
        self.adjust_backend(position, |backend| backend.slow_down(times));
    }

    fn die(&mut self, position: usize) {
        let place = self.machine_at[position];
        self.end_process(place);
        self.set_readiness(place, Readiness::Removed);
    }

    fn start(&mut self, position: usize) {
        self.start_process(position);
    }

    fn restart(&mut self, position: usize) {
        let place = self.machine_at[position];
        self.end_process(place);
        let restart_time = (self.scenario.backend.restart_s * 1e6) as Micros;
        self.schedule(self.now + restart_time, Event::MachineReplaced(place as u32));
    }

    fn drain(&mut self, position: usize, is_draining: bool) {
        let readiness = if is_draining { Readiness::Draining } else { Readiness::Ready };
        self.set_readiness(self.machine_at[position], readiness);
    }

    fn replace(&mut self, position: usize, after: Micros) {
        let place = self.machine_at[position];
        self.set_readiness(place, Readiness::Draining);
        self.schedule(self.now + after, Event::MachineReplaced(place as u32));
    }

    /// Connections of a machine that is cut off are silent while it is, and reset after.
    fn silence(&mut self, position: usize, is_silent: bool) {
        let place = self.machine_at[position];
        self.advance_machine(place);
        self.machines[place].is_silent = is_silent;
        if !is_silent {
            self.machines[place].connections = 0;
            for attempt in self.close_connections(place) {
                self.schedule(self.now, Event::AttemptEnd(attempt, WireEnd::Reset));
            }
        }
    }

    fn pause(&mut self, position: usize, time: Micros) {
        let now = self.now;
        self.adjust_backend(position, |backend| backend.pause(now, time));
    }

    fn delay_list(&mut self, delay: Micros) {
        self.discovery.set_extra_delay(delay);
    }

    fn set_discovery_down(&mut self, is_down: bool) {
        self.discovery.set_down(self.now, is_down);
        self.arm_discovery();
    }

    fn kill_head(&mut self, head: usize, restart_after: Micros) {
        self.stop_head(head, restart_after);
    }
}

impl Simulator<'_> {
    pub(super) fn on_script_step(&mut self, step: usize) {
        let scenario = self.scenario;
        let step = &scenario.steps[step];
        self.figures.marks.push((step.at, step.label.clone()));
        step.apply(self, self.seed);
    }

    /// Schedules the next delivery of the discovery server.
    pub(super) fn arm_discovery(&mut self) {
        let next = self.discovery.next_delivery();
        if let Some(next) = next.filter(|next| *next < self.discovery_armed_at) {
            self.discovery_armed_at = next;
            self.schedule(next, Event::DiscoveryUpdate);
        }
    }

    /// Delivers the updates of the discovery server that have come to their time, to the heads that run.
    pub(super) fn deliver_updates(&mut self) {
        let known: Vec<BackendId> = (0..self.machines.len()).map(backend_of).collect();
        for update in self.discovery.take_due(self.now) {
            if self.heads[update.head].dispatcher.is_some() {
                self.deliver_update(update, &known);
            }
        }
        self.arm_discovery();
    }

    fn deliver_update(&mut self, mut update: EndpointUpdate, known: &[BackendId]) {
        let delivered: Vec<(BackendId, Readiness)> =
            update.endpoints.iter().map(|endpoint| (endpoint.backend, endpoint.readiness)).collect();
        match update.scope {
            UpdateScope::Full => {
                self.auditor.head_notified_of_list(self.now, update.head, &delivered, known);
            }
            UpdateScope::Delta => {
                for (backend, readiness) in &delivered {
                    self.auditor.head_notified(self.now, update.head, *backend, *readiness);
                }
            }
            UpdateScope::Cached | UpdateScope::Failed => {}
        }
        if self.bug == Some(InjectedBug::IgnoreDrains) {
            update.endpoints.retain(|endpoint| endpoint.readiness == Readiness::Ready);
        }
        let removed = delivered.iter().filter(|(_, readiness)| *readiness == Readiness::Removed);
        for (backend, _) in removed {
            self.heads[update.head].idle_connections.remove(backend);
        }
        self.with_dispatcher(update.head, |dispatcher, now| {
            dispatcher.update_endpoints(now, update.scope, update.endpoints);
        });
    }
}
