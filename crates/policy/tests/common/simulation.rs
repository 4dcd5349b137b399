//! A seeded simulation that passes unusual but valid events to the controllers of several heads, and checks
//! every rule on their actions. Outcomes and latencies are random; backends are not modelled.

use super::head::TestHead;
use super::random::TestRandom;
use super::rules::RuleChecker;
use super::*;
use std::collections::BTreeMap;

const BACKENDS: u64 = 4;
const START: Micros = 10 * SECOND;
/// A timer token that no controller sets.
const UNKNOWN_TIMER: u64 = 999;
/// A request that was never received.
const UNKNOWN_REQUEST: RequestId = 4_000_000;

/// Load and faults of a simulation.
pub struct Conditions {
    /// Requests per second over all heads.
    pub requests_per_second: u64,
    /// Percentage of attempts that fail.
    pub failure_percent: u64,
    /// The longest latency, in milliseconds.
    pub max_latency_ms: u64,
    /// Probability per second, in percent, that a backend starts or begins to drain. A head restarts with
    /// half of it.
    pub churn_percent: u64,
}

/// Runs a simulation under `settings` and panics if an action breaks a rule. Requests arrive for `seconds`.
/// Returns all actions, each with the index of its head.
pub fn simulate(
    settings: &Settings,
    conditions: &Conditions,
    seed: u64,
    seconds: u64,
) -> Vec<(usize, Action)> {
    let mut simulation = Simulation::new(settings, conditions, seed, seconds);
    simulation.run();
    simulation.checker.check_end();
    simulation.actions
}

/// An event of the simulation, scheduled for a later time.
enum ScheduledEvent {
    Request,
    Churn,
    Timer { head: usize, incarnation: u32, token: u64 },
    AttemptEnd { head: usize, incarnation: u32, outcome: AttemptOutcome },
}

struct SimulatedHead {
    controller: TestHead,
    incarnation: u32,
}

#[derive(Clone)]
struct SimulatedBackend {
    is_ready: bool,
    started_at: Micros,
}

struct Simulation<'a> {
    settings: &'a Settings,
    conditions: &'a Conditions,
    random: TestRandom,
    now: Micros,
    /// No request arrives after this time.
    load_ends_at: Micros,
    /// Ordered by time, then by order of insertion.
    schedule: BTreeMap<(Micros, u64), ScheduledEvent>,
    /// Number of events scheduled so far.
    scheduled: u64,
    /// Events for heads at the current time, each with the index of its head.
    inbox: Vec<(usize, Event)>,
    heads: Vec<SimulatedHead>,
    backends: Vec<SimulatedBackend>,
    requests: RequestId,
    checker: RuleChecker,
    actions: Vec<(usize, Action)>,
}

impl<'a> Simulation<'a> {
    fn new(settings: &'a Settings, conditions: &'a Conditions, seed: u64, seconds: u64) -> Self {
        let head = |index: u32| SimulatedHead {
            controller: TestHead::new(settings.clone(), seed + u64::from(index)),
            incarnation: 0,
        };
        Simulation {
            settings,
            conditions,
            random: TestRandom(seed),
            now: START,
            load_ends_at: START + seconds * SECOND,
            schedule: BTreeMap::new(),
            scheduled: 0,
            inbox: Vec::new(),
            heads: (0..settings.heads).map(head).collect(),
            backends: vec![SimulatedBackend { is_ready: true, started_at: 0 }; BACKENDS as usize],
            requests: 0,
            checker: RuleChecker::new(settings, BACKENDS as usize),
            actions: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.schedule(START, ScheduledEvent::Request);
        self.schedule(START + SECOND, ScheduledEvent::Churn);
        for head in 0..self.heads.len() {
            self.send_list(head, UpdateScope::Cached);
        }
        loop {
            self.deliver_inbox();
            let Some(((at, _), event)) = self.schedule.pop_first() else { break };
            self.now = at;
            match event {
                ScheduledEvent::Request => self.on_request(),
                ScheduledEvent::Churn => self.on_churn(),
                ScheduledEvent::Timer { head, incarnation, token } => {
                    if incarnation == self.heads[head].incarnation {
                        self.inbox.push((head, Event::Timer { token }));
                    }
                }
                ScheduledEvent::AttemptEnd { head, incarnation, outcome } => {
                    self.on_attempt_end(head, incarnation, outcome);
                }
            }
        }
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.scheduled += 1;
        self.schedule.insert((at, self.scheduled), event);
    }

    fn send_list(&mut self, head: usize, scope: UpdateScope) {
        let endpoints = self.backends.iter().zip(0..).map(|(backend, id)| {
            let readiness = if backend.is_ready { Readiness::Ready } else { Readiness::Draining };
            endpoint(id, id as u32, backend.started_at, readiness)
        });
        self.inbox.push((head, Event::EndpointList { scope, endpoints: endpoints.collect() }));
    }

    fn deliver_inbox(&mut self) {
        for (head, event) in std::mem::take(&mut self.inbox) {
            let actions = self.heads[head].controller.handle(self.now, event);
            for action in actions {
                let attempt = self.checker.check(head, &action, self.now);
                self.carry_out(head, &action, attempt);
                self.actions.push((head, action));
            }
        }
    }

    fn carry_out(&mut self, head: usize, action: &Action, attempt: Option<u8>) {
        let incarnation = self.heads[head].incarnation;
        match (action, attempt) {
            (Action::Send { id, backend, timeout_at }, Some(attempt)) => {
                let (at, end) = self.attempt_end(*timeout_at);
                let outcome = outcome(*id, attempt, backend.0, end, at - self.now);
                self.schedule(at, ScheduledEvent::AttemptEnd { head, incarnation, outcome });
            }
            (Action::SetTimer { at, token }, _) => {
                let at = (*at).max(self.now + 1);
                if at < self.load_ends_at + 10 * SECOND {
                    self.schedule(at, ScheduledEvent::Timer { head, incarnation, token: *token });
                }
            }
            _ => {}
        }
    }

    /// Draws when and how an attempt ends that is sent now and times out at `timeout_at`.
    fn attempt_end(&mut self, timeout_at: Micros) -> (Micros, AttemptEnd) {
        let fails = self.random.below(100) < self.conditions.failure_percent;
        let failures =
            [AttemptEnd::Error, AttemptEnd::Rejected, AttemptEnd::ConnectFailed, AttemptEnd::Reset];
        let end = if fails { failures[self.random.below(4) as usize] } else { AttemptEnd::Ok };
        let at = self.now + 1 + self.random.below(self.conditions.max_latency_ms * MS);
        if at >= timeout_at { (timeout_at.max(self.now + 1), AttemptEnd::Timeout) } else { (at, end) }
    }

    fn on_request(&mut self) {
        if self.now < self.load_ends_at {
            let gap = 1 + self.random.below(2 * SECOND / self.conditions.requests_per_second);
            self.schedule(self.now + gap, ScheduledEvent::Request);
        }
        let head = self.random.below(self.heads.len() as u64) as usize;
        let request = self.draw_request();
        self.checker.on_request(head, &request, self.now);
        self.inbox.push((head, Event::Request(request)));
    }

    fn draw_request(&mut self) -> Request {
        self.requests += 1;
        let random = &mut self.random;
        let class = random.below(self.settings.classes.len() as u64) as usize;
        let volume = random.below(6);
        let timeout = self.settings.classes[class].timeout;
        let time_left = if random.chance(10) { random.below(timeout) } else { timeout };
        Request {
            id: self.requests,
            class,
            plan: (volume % self.settings.plans.len() as u64) as usize,
            key: random.below(5),
            deadline: self.now + time_left,
            volume,
            units: 1.0 + random.below(self.settings.max_units as u64) as f64,
            shard: (!random.chance(40)).then(|| random.below(BACKENDS) as u32),
            volume_heads: self.heads.len() as f64,
        }
    }

    /// Backends drain and start again, heads restart and polls fail. All heads get the current list, an
    /// unknown timer and the end of an unknown request.
    fn on_churn(&mut self) {
        if self.now < self.load_ends_at {
            self.schedule(self.now + SECOND, ScheduledEvent::Churn);
        }
        for backend in 0..self.backends.len() {
            if self.random.chance(self.conditions.churn_percent) {
                self.toggle_backend(backend);
            }
        }
        for head in 0..self.heads.len() {
            if self.random.chance(self.conditions.churn_percent / 2) {
                self.restart_head(head);
                self.send_list(head, UpdateScope::Cached);
            } else if self.settings.permissions.must_poll && self.random.chance(10) {
                let failed = Event::EndpointList { scope: UpdateScope::Failed, endpoints: Vec::new() };
                self.inbox.push((head, failed));
            }
            self.send_list(head, UpdateScope::Full);
            self.inbox.push((head, Event::Timer { token: UNKNOWN_TIMER }));
            self.inbox.push((head, Event::RequestEnded { id: UNKNOWN_REQUEST }));
        }
    }

    fn toggle_backend(&mut self, index: usize) {
        let backend = &mut self.backends[index];
        backend.is_ready = !backend.is_ready;
        if backend.is_ready {
            backend.started_at = self.now;
            self.checker.on_backend_start(index, self.now);
        } else {
            self.checker.on_backend_drain(index, self.now);
        }
    }

    fn restart_head(&mut self, index: usize) {
        let head = &mut self.heads[index];
        head.incarnation += 1;
        head.controller = TestHead::new(self.settings.clone(), self.random.next());
        self.checker.on_head_restart(index);
    }

    fn on_attempt_end(&mut self, head: usize, incarnation: u32, outcome: AttemptOutcome) {
        let AttemptOutcome { id, attempt, end, .. } = outcome;
        let request_ended = self.checker.on_attempt_end(id, attempt, end, self.now);
        if incarnation == self.heads[head].incarnation {
            let outcome = AttemptOutcome { request_ended, ..outcome };
            self.inbox.push((head, Event::AttemptEnded(outcome)));
        }
    }
}
