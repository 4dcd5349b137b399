//! The machines of a [`Simulator`]: processes of backends that start, end and are replaced, their own time, and the
//! endpoint list that says so.

use super::event::{Event, WireEnd};
use super::state::{BackendAttempt, Machine, Simulator, backend_of, endpoint};
use crate::drawn_scenario::types::Placement;
use crate::model::simulated_backend::SimulatedBackend;
use sedgerun_policy::{Micros, Readiness};

impl Simulator<'_> {
    /// Brings a backend to the present, and sends its answers.
    pub(super) fn advance_machine(&mut self, place: usize) {
        let now = self.now;
        let Some(backend) = &mut self.machines[place].backend else { return };
        for token in backend.advance(now) {
            let index = token as u32;
            let attempt = self.attempts[index as usize];
            if self.arrival(attempt.client_attempt).placement == Placement::NewObject {
                let shard = self.drawn.backends[self.machines[place].position].shard;
                let arrival = self.client_attempts[attempt.client_attempt as usize].arrival;
                self.written_shards.entry(arrival).or_insert(shard);
            }
            if !attempt.is_cancelled && !self.machines[place].is_silent {
                let hop = self.hop(usize::from(attempt.head), attempt.backend);
                self.schedule(now + hop, Event::AttemptEnd(index, WireEnd::Ok));
            }
        }
        self.arm_machine(place);
    }

    /// Schedules the next change of a backend.
    pub(super) fn arm_machine(&mut self, place: usize) {
        let machine = &mut self.machines[place];
        let Some(next) = machine.backend.as_ref().and_then(SimulatedBackend::next_change) else { return };
        if next != machine.armed_at {
            machine.armed_at = next;
            machine.generation += 1;
            let generation = machine.generation;
            self.schedule(next, Event::BackendChange { machine: place as u32, generation });
        }
    }

    /// A backend changes by itself, unless the event was overtaken by another.
    pub(super) fn on_backend_change(&mut self, place: usize, generation: u64) {
        if self.machines[place].generation == generation {
            self.machines[place].armed_at = Micros::MAX;
            self.advance_machine(place);
        }
    }

    /// Changes how the backend at a position runs.
    pub(super) fn adjust_backend(&mut self, position: usize, adjust: impl FnOnce(&mut SimulatedBackend)) {
        let place = self.machine_at[position];
        self.advance_machine(place);
        if let Some(backend) = &mut self.machines[place].backend {
            adjust(backend);
        }
        self.arm_machine(place);
    }

    /// A backend fails from overload: its machine stays up and answers nobody any more.
    pub(super) fn fail_machine(&mut self, place: usize) {
        self.end_process(place);
        self.set_readiness(place, Readiness::Removed);
    }

    /// A backend's process ends: its connections are reset, and its work is lost.
    pub(super) fn end_process(&mut self, place: usize) {
        let machine = &mut self.machines[place];
        let Some(backend) = machine.backend.take() else { return };
        self.figures.warm_up_peak = self.figures.warm_up_peak.max(backend.peak_load());
        machine.connections = 0;
        machine.epoch += 1;
        machine.generation += 1;
        machine.armed_at = Micros::MAX;
        for attempt in self.close_connections(place) {
            let BackendAttempt { head, backend, .. } = self.attempts[attempt as usize];
            let hop = self.hop(usize::from(head), backend);
            self.schedule(self.now + hop, Event::AttemptEnd(attempt, WireEnd::Reset));
        }
    }

    /// A process starts at a position, and warms up; nothing happens where one runs.
    pub(super) fn start_process(&mut self, position: usize) {
        let place = self.machine_at[position];
        if self.machines[place].backend.is_some() {
            return;
        }
        let seed = self.seed ^ ((position as u64 + 1) << 32) ^ self.now;
        let spec = self.drawn.backends[position].clone();
        let backend = SimulatedBackend::new(spec, self.parameters.clone(), self.now, true, seed);
        let machine = &mut self.machines[place];
        machine.backend = Some(backend);
        machine.started_at = self.now;
        self.set_readiness(place, Readiness::Ready);
    }

    /// A drained backend is removed and another takes its address; one that restarts is up again.
    pub(super) fn on_machine_replaced(&mut self, place: usize) {
        let position = self.machines[place].position;
        if self.machines[place].readiness == Readiness::Ready {
            return self.start_process(position);
        }
        self.end_process(place);
        self.set_readiness(place, Readiness::Removed);
        self.machine_at[position] = self.machines.len();
        self.machines.push(Machine::new(position));
        self.start_process(position);
    }

    /// All connections to a backend end; returns the attempts in flight on them, in their order.
    pub(super) fn close_connections(&mut self, place: usize) -> Vec<u32> {
        let backend = backend_of(place);
        let mut in_flight = Vec::new();
        for head in &mut self.heads {
            head.idle_connections.remove(&backend);
            in_flight.extend(head.in_flight.values().copied());
        }
        in_flight.retain(|attempt| self.attempts[*attempt as usize].backend == backend);
        in_flight.sort_unstable();
        in_flight
    }

    /// The endpoint list says something else of a backend.
    pub(super) fn set_readiness(&mut self, place: usize, readiness: Readiness) {
        self.machines[place].readiness = readiness;
        self.discovery.change(self.now, &endpoint(place, &self.machines[place]));
        self.arm_discovery();
    }
}
