//! Plays a test run: takes the events in their order and hands each to the part that it concerns.

use super::event::Event;
use super::state::{START, Simulator};
use crate::model::simulated_backend::SimulatedBackend;
use sedgerun_policy::Micros;
use std::cmp::Reverse;

/// Time after the last second in which open requests may still end, us.
const DRAIN_TIME: Micros = 10_000_000;

impl Simulator<'_> {
    /// Plays the run to its end, and returns the digest of all that happened.
    pub fn run(&mut self) -> u64 {
        self.schedule_first_events();
        let end = START + (self.scenario.seconds * 1e6) as Micros + DRAIN_TIME;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.events += 1;
            self.add_to_digest(event);
            self.play(event);
        }
        for machine in &self.machines {
            let peak = machine.backend.as_ref().map_or(0, SimulatedBackend::peak_load);
            self.figures.warm_up_peak = self.figures.warm_up_peak.max(peak);
        }
        self.auditor.finish(self.now);
        self.digest.digest()
    }

    fn schedule_first_events(&mut self) {
        for head in 0..self.heads.len() {
            self.start_head(head);
        }
        if let Some(first) = self.drawn.arrivals.first() {
            self.schedule(START + first.at, Event::Arrival(0));
        }
        for (i, step) in self.scenario.steps.iter().enumerate() {
            self.schedule(START + step.at, Event::ScriptStep(i as u32));
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Arrival(arrival) => self.on_arrival(arrival),
            Event::ClientRequest(client_attempt) => self.on_client_request(client_attempt),
            Event::ClientDeadline(client_attempt) => self.on_client_deadline(client_attempt),
            Event::FinalAnswer(client_attempt) => self.on_final_answer(client_attempt),
            Event::HeadTimer { head, incarnation } => self.on_head_timer(usize::from(head), incarnation),
            Event::HeadStart(head) => self.start_head(usize::from(head)),
            Event::AttemptAtBackend(attempt) => self.on_attempt_at_backend(attempt),
            Event::BackendChange { machine, generation } => {
                self.on_backend_change(machine as usize, generation);
            }
            Event::AttemptEnd(attempt, end) => self.on_attempt_end(attempt, end.into()),
            Event::AttemptCancelled(attempt) => self.on_attempt_cancelled(attempt),
            Event::DiscoveryUpdate => {
                self.discovery_armed_at = Micros::MAX;
                self.deliver_updates();
            }
            Event::ScriptStep(step) => self.on_script_step(step as usize),
            Event::MachineReplaced(machine) => self.on_machine_replaced(machine as usize),
        }
    }
}
