//! A simulated fleet of heads that send to one backend, and then to one in slow start that replaces it.

use super::head::TestHead;
use super::random::TestRandom;
use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// When the backend starts.
const START: Micros = 10 * SECOND;
/// Volumes that are asked for; five of them come through the few heads of [`Fleet::asked_heads`].
const VOLUMES: u64 = 7;
const VOLUMES_OF_FEW_HEADS: u64 = 5;

/// How a fleet sends to one backend.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub heads: u32,
    /// Those of them through which five of its seven volumes come; the other two come through any.
    pub asked_heads: u32,
    /// Units that a backend which has just started always bears, from all together.
    pub safe_units: f64,
    /// The part of them that the settings name.
    pub named_part: f64,
    /// What is demanded in all, as a multiple of what the backend can do at full capacity.
    pub load: f64,
    /// Percent of attempts that end in an error or a rejection, and may be retried.
    pub failing: u64,
    /// Nothing is demanded for so long from the backend's start on.
    pub lull: Micros,
    pub seed: u64,
}

impl Fleet {
    fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.heads = self.heads;
        settings.rules.slow_start.safe_units = self.named_part * self.safe_units;
        settings.rules.retry_budget.window = 0;
        // Volumes are sized for seven tenths of the full capacity, and demand more or less.
        settings.plans[RESERVED].nominal_rate =
            0.7 * full_capacity(self.safe_units, &settings) / VOLUMES as f64;
        settings
    }
}

/// Units a second that a backend which always bears `safe_units` can do at full capacity.
pub fn full_capacity(safe_units: f64, settings: &Settings) -> f64 {
    let limits = &settings.rules.slow_start;
    let overload = limits.overload_factor * limits.initial_capacity;
    safe_units / (overload * limits.overload_window as f64 / SECOND as f64)
}

/// What happens to a head.
enum Occurrence {
    /// A request for a volume that comes through so many heads.
    Request(u64, u32),
    Timer(u64),
    AttemptEnd(RequestId, u8, u64, AttemptEnd),
    List(UpdateScope, Vec<Endpoint>),
}

/// Occurrences in the order of their times; those of one time in the order in which they were added.
#[derive(Default)]
struct Schedule {
    times: BinaryHeap<Reverse<(Micros, usize, u32)>>,
    occurrences: Vec<Option<Occurrence>>,
}

impl Schedule {
    fn add(&mut self, at: Micros, head: u32, occurrence: Occurrence) {
        self.times.push(Reverse((at, self.occurrences.len(), head)));
        self.occurrences.push(Some(occurrence));
    }

    fn pop(&mut self) -> Option<(Micros, u32, Occurrence)> {
        let Reverse((at, index, head)) = self.times.pop()?;
        let occurrence = self.occurrences[index].take().expect("an occurrence is taken once");
        Some((at, head, occurrence))
    }
}

/// A fleet of heads that send to backend 1, and then to backend 2, which replaces it.
struct Simulation {
    fleet: Fleet,
    settings: Settings,
    random: TestRandom,
    heads: Vec<TestHead>,
    schedule: Schedule,
    requests: RequestId,
    /// When attempts were sent to backend 2.
    sent_at: Vec<Micros>,
}

impl Simulation {
    fn new(fleet: Fleet) -> Simulation {
        let settings = fleet.settings();
        let heads = (0..fleet.heads)
            .map(|index| TestHead::new(settings.clone(), u64::from(index) * 77 + fleet.seed))
            .collect();
        Simulation {
            fleet,
            settings,
            random: TestRandom(fleet.seed),
            heads,
            schedule: Schedule::default(),
            requests: 0,
            sent_at: Vec::new(),
        }
    }

    /// When the backend has its full capacity.
    fn end(&self) -> Micros {
        START + self.settings.rules.slow_start.duration
    }

    fn run(&mut self) {
        self.schedule_lists();
        self.schedule_requests();
        while let Some((now, head, occurrence)) = self.schedule.pop() {
            if now >= self.end() {
                break;
            }
            let event = self.event(now, occurrence);
            let actions = self.heads[head as usize].handle(now, event);
            self.carry_out(now, head, actions);
        }
    }

    fn schedule_lists(&mut self) {
        for head in 0..self.fleet.heads {
            let first = Occurrence::List(UpdateScope::Full, vec![ready(1, 1)]);
            self.schedule.add(SECOND, head, first);
            // They are notified of the replacement at about the same time.
            let notified_at = START + self.random.below(300) * MS;
            let replacement =
                vec![endpoint(1, 1, 0, Readiness::Removed), endpoint(2, 1, START, Readiness::Ready)];
            self.schedule.add(notified_at, head, Occurrence::List(UpdateScope::Delta, replacement));
        }
    }

    fn schedule_requests(&mut self) {
        let rate = self.fleet.load * full_capacity(self.fleet.safe_units, &self.settings);
        let mean_gap = (SECOND as f64 * self.settings.mean_units / rate) as u64;
        let lull = START..START + self.fleet.lull;
        let mut at = 2 * SECOND;
        while at < self.end() {
            at += 1 + self.random.below(2 * mean_gap);
            let volume = self.random.below(VOLUMES);
            if lull.contains(&at) {
                continue;
            }
            let is_of_few_heads = volume < VOLUMES_OF_FEW_HEADS;
            let heads = if is_of_few_heads { self.fleet.asked_heads } else { self.fleet.heads };
            let head = self.random.below(u64::from(heads)) as u32;
            self.schedule.add(at, head, Occurrence::Request(volume, heads));
        }
    }

    fn event(&mut self, now: Micros, occurrence: Occurrence) -> Event {
        match occurrence {
            Occurrence::Request(volume, heads) => {
                self.requests += 1;
                let request = request(self.requests, IDEMPOTENT, Some(1), now + 2 * SECOND);
                Event::Request(Request { volume, volume_heads: f64::from(heads), ..request })
            }
            Occurrence::Timer(token) => Event::Timer { token },
            Occurrence::AttemptEnd(id, attempt, backend, end) => {
                Event::AttemptEnded(outcome(id, attempt, backend, end, 20 * MS))
            }
            Occurrence::List(scope, endpoints) => Event::EndpointList { scope, endpoints },
        }
    }

    fn carry_out(&mut self, now: Micros, head: u32, actions: Vec<Action>) {
        let mut attempts: BTreeMap<RequestId, u8> = BTreeMap::new();
        for action in actions {
            match action {
                Action::SetTimer { at, token } => self.schedule.add(at, head, Occurrence::Timer(token)),
                Action::Send { id, backend, .. } => {
                    if backend == BackendId(2) {
                        self.sent_at.push(now);
                    }
                    let attempt = attempts.entry(id).or_insert(0);
                    let end = self.attempt_end();
                    let ended = Occurrence::AttemptEnd(id, *attempt, backend.0, end);
                    self.schedule.add(now + 20 * MS, head, ended);
                    *attempt += 1;
                }
                _ => {}
            }
        }
    }

    fn attempt_end(&mut self) -> AttemptEnd {
        let fails = self.random.chance(self.fleet.failing);
        match (fails, self.random.chance(50)) {
            (true, true) => AttemptEnd::Error,
            (true, false) => AttemptEnd::Rejected,
            (false, _) => AttemptEnd::Ok,
        }
    }

    /// The highest count of calls within the window of the rule, as a part of what is allowed then.
    fn worst_overload(&self) -> f64 {
        let limits = &self.settings.rules.slow_start;
        let mut worst: f64 = 0.0;
        for (last, at) in self.sent_at.iter().enumerate() {
            let first = self.sent_at.partition_point(|sent| sent + limits.overload_window <= *at);
            let growth =
                1.0 + (1.0 / limits.initial_capacity - 1.0) * (at - START) as f64 / limits.duration as f64;
            let bears = self.fleet.safe_units / self.settings.mean_units * growth;
            worst = worst.max((last + 1 - first) as f64 / (bears + 2.0 * bears.sqrt() + 2.0));
        }
        worst
    }
}

/// The highest count of calls within the window of the rule, as a part of what is allowed then, and the calls
/// in all.
pub fn simulate(fleet: Fleet) -> (f64, u32) {
    let mut simulation = Simulation::new(fleet);
    simulation.run();
    (simulation.worst_overload(), simulation.sent_at.len() as u32)
}
