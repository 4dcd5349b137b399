//! A simulated cluster of heads that send to one backend, and then to its replacement, which is in slow
//! start.

use super::head::TestHead;
use super::random::TestRandom;
use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// When the replacement starts.
const START: Micros = 10 * SECOND;
/// Number of volumes that get requests.
const VOLUMES: u64 = 7;
/// Number of volumes whose requests come only through [`Cluster::busy_heads`] heads.
const VOLUMES_AT_BUSY_HEADS: u64 = 5;

/// Parameters of a simulated cluster and its load.
#[derive(Clone, Copy, Debug)]
pub struct Cluster {
    pub heads: u32,
    /// Heads through which the requests for five of the seven volumes come; the requests for the other two
    /// come through any head.
    pub busy_heads: u32,
    /// Units within the overload window that the replacement has capacity for at its start, from all heads
    /// together.
    pub safe_units: f64,
    /// The fraction of these units that the settings state as safe.
    pub stated_fraction: f64,
    /// Demand of all volumes, as a multiple of the backend's full capacity.
    pub load: f64,
    /// Percentage of attempts that end in an error or a rejection, and may be retried.
    pub failure_percent: u64,
    /// Time after the replacement's start during which no requests arrive.
    pub pause: Micros,
    pub seed: u64,
}

impl Cluster {
    fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.heads = self.heads;
        settings.rules.slow_start.safe_units = self.stated_fraction * self.safe_units;
        settings.rules.retry_budget.window = 0;
        // The volumes are sized for 70 % of the full capacity; their demand may differ from that.
        settings.plans[RESERVED].nominal_rate =
            0.7 * full_capacity(self.safe_units, &settings) / VOLUMES as f64;
        settings
    }
}

/// Full capacity, in units per second, of a backend that has capacity for `safe_units` at its start.
pub fn full_capacity(safe_units: f64, settings: &Settings) -> f64 {
    let limits = &settings.rules.slow_start;
    let overload = limits.overload_factor * limits.initial_capacity;
    safe_units / (overload * limits.overload_window as f64 / SECOND as f64)
}

/// An event of the simulation for one head.
enum ScheduledEvent {
    Request { volume: u64, volume_heads: u32 },
    Timer { token: u64 },
    AttemptEnd { id: RequestId, attempt: u8, backend: u64, end: AttemptEnd },
    List { scope: UpdateScope, endpoints: Vec<Endpoint> },
}

/// Scheduled events ordered by time, then by order of insertion.
#[derive(Default)]
struct Schedule {
    times: BinaryHeap<Reverse<(Micros, usize, u32)>>,
    events: Vec<Option<ScheduledEvent>>,
}

impl Schedule {
    fn add(&mut self, at: Micros, head: u32, event: ScheduledEvent) {
        self.times.push(Reverse((at, self.events.len(), head)));
        self.events.push(Some(event));
    }

    fn pop(&mut self) -> Option<(Micros, u32, ScheduledEvent)> {
        let Reverse((at, index, head)) = self.times.pop()?;
        let event = self.events[index].take().expect("an event is taken once");
        Some((at, head, event))
    }
}

/// A cluster of heads that send to backend 1, and then to backend 2, which replaces it.
struct Simulation {
    cluster: Cluster,
    settings: Settings,
    random: TestRandom,
    heads: Vec<TestHead>,
    schedule: Schedule,
    requests: RequestId,
    /// The times at which attempts were sent to backend 2.
    sent_at: Vec<Micros>,
}

impl Simulation {
    fn new(cluster: Cluster) -> Simulation {
        let settings = cluster.settings();
        let heads = (0..cluster.heads)
            .map(|index| TestHead::new(settings.clone(), u64::from(index) * 77 + cluster.seed))
            .collect();
        Simulation {
            cluster,
            settings,
            random: TestRandom(cluster.seed),
            heads,
            schedule: Schedule::default(),
            requests: 0,
            sent_at: Vec::new(),
        }
    }

    /// When the replacement reaches its full capacity.
    fn end(&self) -> Micros {
        START + self.settings.rules.slow_start.duration
    }

    fn run(&mut self) {
        self.schedule_lists();
        self.schedule_requests();
        while let Some((now, head, scheduled)) = self.schedule.pop() {
            if now >= self.end() {
                break;
            }
            let event = self.event(now, scheduled);
            let actions = self.heads[head as usize].handle(now, event);
            self.carry_out(now, head, actions);
        }
    }

    fn schedule_lists(&mut self) {
        for head in 0..self.cluster.heads {
            let first = ScheduledEvent::List { scope: UpdateScope::Full, endpoints: vec![ready(1, 1)] };
            self.schedule.add(SECOND, head, first);
            // All heads are notified of the replacement within 300 ms.
            let notified_at = START + self.random.below(300) * MS;
            let endpoints =
                vec![endpoint(1, 1, 0, Readiness::Removed), endpoint(2, 1, START, Readiness::Ready)];
            let replacement = ScheduledEvent::List { scope: UpdateScope::Delta, endpoints };
            self.schedule.add(notified_at, head, replacement);
        }
    }

    fn schedule_requests(&mut self) {
        let rate = self.cluster.load * full_capacity(self.cluster.safe_units, &self.settings);
        let mean_gap = (SECOND as f64 * self.settings.mean_units / rate) as u64;
        let pause = START..START + self.cluster.pause;
        let mut at = 2 * SECOND;
        while at < self.end() {
            at += 1 + self.random.below(2 * mean_gap);
            let volume = self.random.below(VOLUMES);
            if pause.contains(&at) {
                continue;
            }
            let is_at_busy_heads = volume < VOLUMES_AT_BUSY_HEADS;
            let volume_heads = if is_at_busy_heads { self.cluster.busy_heads } else { self.cluster.heads };
            let head = self.random.below(u64::from(volume_heads)) as u32;
            self.schedule.add(at, head, ScheduledEvent::Request { volume, volume_heads });
        }
    }

    fn event(&mut self, now: Micros, scheduled: ScheduledEvent) -> Event {
        match scheduled {
            ScheduledEvent::Request { volume, volume_heads } => {
                self.requests += 1;
                let request = request(self.requests, IDEMPOTENT, Some(1), now + 2 * SECOND);
                Event::Request(Request { volume, volume_heads: f64::from(volume_heads), ..request })
            }
            ScheduledEvent::Timer { token } => Event::Timer { token },
            ScheduledEvent::AttemptEnd { id, attempt, backend, end } => {
                Event::AttemptEnded(outcome(id, attempt, backend, end, 20 * MS))
            }
            ScheduledEvent::List { scope, endpoints } => Event::EndpointList { scope, endpoints },
        }
    }

    fn carry_out(&mut self, now: Micros, head: u32, actions: Vec<Action>) {
        let mut attempts: BTreeMap<RequestId, u8> = BTreeMap::new();
        for action in actions {
            match action {
                Action::SetTimer { at, token } => {
                    self.schedule.add(at, head, ScheduledEvent::Timer { token });
                }
                Action::Send { id, backend, .. } => {
                    if backend == BackendId(2) {
                        self.sent_at.push(now);
                    }
                    let attempt = attempts.entry(id).or_insert(0);
                    let end = self.attempt_end();
                    let event = ScheduledEvent::AttemptEnd { id, attempt: *attempt, backend: backend.0, end };
                    self.schedule.add(now + 20 * MS, head, event);
                    *attempt += 1;
                }
                _ => {}
            }
        }
    }

    fn attempt_end(&mut self) -> AttemptEnd {
        let fails = self.random.chance(self.cluster.failure_percent);
        match (fails, self.random.chance(50)) {
            (true, true) => AttemptEnd::Error,
            (true, false) => AttemptEnd::Rejected,
            (false, _) => AttemptEnd::Ok,
        }
    }

    /// The largest number of attempts within the overload window, as a multiple of the number allowed then.
    fn worst_overload(&self) -> f64 {
        let limits = &self.settings.rules.slow_start;
        let mut worst: f64 = 0.0;
        for (last, at) in self.sent_at.iter().enumerate() {
            let first = self.sent_at.partition_point(|sent| sent + limits.overload_window <= *at);
            let growth =
                1.0 + (1.0 / limits.initial_capacity - 1.0) * (at - START) as f64 / limits.duration as f64;
            let safe_requests = self.cluster.safe_units / self.settings.mean_units * growth;
            worst = worst.max((last + 1 - first) as f64 / (safe_requests + 2.0 * safe_requests.sqrt() + 2.0));
        }
        worst
    }
}

/// Runs a simulation. Returns the largest number of attempts within the overload window, as a multiple of the
/// number allowed then, and the number of all attempts at the replacement.
pub fn simulate(cluster: Cluster) -> (f64, u32) {
    let mut simulation = Simulation::new(cluster);
    simulation.run();
    (simulation.worst_overload(), simulation.sent_at.len() as u32)
}
