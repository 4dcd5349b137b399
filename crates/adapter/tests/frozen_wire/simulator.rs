//! Simulates clients, backends and discovery, to record the conversation with the adapter.

use crate::codes::*;
use crate::records::{Endpoint, new_instance, targets};
use crate::settings::{ALL_SETTINGS, MINIMAL_SETTINGS, SUBSCRIBE_SETTINGS};
use std::collections::BTreeMap;

/// A pseudo-random number generator (xorshift64) with a fixed seed.
struct XorShift(u64);

impl XorShift {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// A request that a simulated client has sent.
#[derive(Default)]
struct OpenRequest {
    deadline: u64,
    /// The number of attempts so far.
    attempts: u8,
    /// It was served, rejected or failed, or its client has stopped waiting.
    has_ended: bool,
}

/// Simulates the adapter's environment in virtual time: clients, backends and discovery.
pub struct Simulator {
    pub clock: u64,
    random: XorShift,
    /// Events by time, then by the order in which they were scheduled.
    pending: BTreeMap<(u64, u64), Vec<u8>>,
    events_scheduled: u64,
    /// Requests by instance and id.
    requests: BTreeMap<(u16, u32), OpenRequest>,
    next_id: u32,
    version: u64,
}

/// The clock of the first batch, in microseconds.
const START_TIME: u64 = 5_000_000;
/// Time between batches, in microseconds.
pub const BATCH_INTERVAL: u64 = 20_000;
pub const BATCH_COUNT: u64 = 460;
/// The position of the `request_ended` flag in a response record.
const REQUEST_ENDED_OFFSET: usize = 19;

/// A backend id on the wire: four bytes of address and two of port.
fn backend_id(number: u64) -> u64 {
    u64::from_le_bytes([10, 18, 74, number as u8, 0x8b, 0x13, 0, 0])
}

fn endpoint(number: u64, started_at: u64, readiness: u8) -> Endpoint {
    Endpoint {
        backend: backend_id(number),
        shard: (number % 2) as u16,
        started_at,
        zone: 1 + (number % 2) as u16,
        readiness,
    }
}

impl Simulator {
    pub fn new() -> Simulator {
        Simulator {
            clock: START_TIME,
            random: XorShift(0x5eed_1e55_0bad_cafe),
            pending: BTreeMap::new(),
            events_scheduled: 0,
            requests: BTreeMap::new(),
            next_id: 1,
            version: 40,
        }
    }

    fn schedule(&mut self, at: u64, event: Vec<u8>) {
        self.events_scheduled += 1;
        self.pending.insert((at, self.events_scheduled), event);
    }

    fn update_endpoints(&mut self, instance: u16, scope: u8, entries: &[Endpoint]) {
        self.version += 1;
        let event = targets(instance, scope, self.version, entries);
        self.schedule(self.clock, event);
    }

    /// Schedules the scripted events of a batch: starts, crashes, endpoint lists, peer data and health
    /// checks.
    pub fn run_script(&mut self, batch: u64) {
        let all = |clock: u64| -> Vec<Endpoint> {
            (1..=6).map(|number| endpoint(number, if number == 6 { clock } else { 0 }, READY)).collect()
        };
        match batch {
            1 => {
                self.schedule(self.clock, new_instance(0, 77, ALL_SETTINGS));
                self.update_endpoints(0, CACHED, &all(0)[..4]);
                self.schedule(self.clock, new_instance(1, 78, SUBSCRIBE_SETTINGS));
                self.update_endpoints(1, CACHED, &all(0)[..4]);
                self.schedule(self.clock, new_instance(2, 79, MINIMAL_SETTINGS));
                self.update_endpoints(2, CACHED, &all(0)[..2]);
            }
            3 => (0..3).for_each(|instance| self.update_endpoints(instance, FULL_LIST, &all(0)[..4])),
            40 => self.update_endpoints(0, DELTA, &[endpoint(5, self.clock, READY)]),
            60 => self.update_endpoints(0, DELTA, &[endpoint(2, 0, DRAINING)]),
            75 => self.update_endpoints(0, DELTA, &[endpoint(2, 0, REMOVED)]),
            80 => self.update_endpoints(1, FAILED_LIST, &[]),
            90 => self.update_endpoints(
                0,
                DELTA,
                &[endpoint(2, self.clock, READY), endpoint(6, self.clock, READY)],
            ),
            100 => (0..2).for_each(|instance| self.update_endpoints(instance, FULL_LIST, &all(self.clock))),
            120 => {
                let message = [vec![PEER_DATA, 0, 0], vec![2, 0, 0, 0, 4, 0], b"hi 7".to_vec()].concat();
                self.schedule(self.clock, message);
            }
            125 => [(0, 1), (1, 0)].into_iter().for_each(|(number, ok)| {
                let backend = &backend_id(3 + number).to_le_bytes()[..6];
                let event = [&[PONG, 0, 0, 0x78, 5, 0, 0], backend, &[ok, 1, 0, 0, 0, 0x3f]].concat();
                self.schedule(self.clock, event);
            }),
            130 => self.restart(2),
            160 => self.update_endpoints(1, FAILED_LIST, &[]),
            200 => self.update_endpoints(2, FULL_LIST, &all(0)[..1]),
            _ => {}
        }
    }

    /// Crashes an instance and starts it again in the same batch. Its pending events and requests are
    /// dropped.
    fn restart(&mut self, instance: u16) {
        let of = |event: &Vec<u8>| u16::from_le_bytes([event[1], event[2]]);
        self.pending.retain(|_, event| of(event) != instance);
        self.requests.retain(|(of, _), _| *of != instance);
        let crash = [vec![CRASH_NOW], instance.to_le_bytes().to_vec()].concat();
        self.schedule(self.clock, crash);
        self.schedule(self.clock, new_instance(instance, 80, MINIMAL_SETTINGS));
        self.update_endpoints(
            instance,
            CACHED,
            &[endpoint(1, 0, READY), endpoint(2, 0, READY), endpoint(3, 0, READY)],
        );
    }

    /// Schedules the requests of a batch. In two periods they exceed the backends' capacity.
    pub fn generate_requests(&mut self, batch: u64) {
        if batch < 3 {
            return;
        }
        let is_overloaded = (50..60).contains(&batch) || (140..150).contains(&batch);
        let requests = if is_overloaded { 4 } else { self.random.below(3) };
        for _ in 0..requests {
            let instance: u16 = [0, 0, 0, 1, 2][self.random.below(5) as usize];
            let classes = [4, 2, 1][usize::from(instance)];
            let class = self.random.below(classes) as u16;
            let plans = [2, 1, 1][usize::from(instance)];
            let plan = self.random.below(plans) as u16;
            let deadline = self.clock + 300_000 + self.random.below(500_000);
            let id = self.next_id;
            self.next_id += 1;
            let placement = if class == 1 { -1.0 } else { self.random.below(2) as f32 };
            let mut event = vec![DEMAND];
            event.extend(instance.to_le_bytes());
            event.extend(id.to_le_bytes());
            event.extend(class.to_le_bytes());
            event.extend(plan.to_le_bytes());
            event.extend(self.random.below(4).to_le_bytes());
            event.extend(deadline.to_le_bytes());
            event.extend((100 + self.random.below(3)).to_le_bytes());
            event.extend((1.0 + self.random.below(4) as f32).to_le_bytes());
            event.extend(placement.to_le_bytes());
            event.extend(2.0f32.to_le_bytes());
            event.push(0);
            self.schedule(self.clock, event);
            self.requests.insert((instance, id), OpenRequest { deadline, ..OpenRequest::default() });
            if self.random.below(25) == 0 {
                let lapsed = [vec![LAPSED], instance.to_le_bytes().to_vec(), id.to_le_bytes().to_vec()];
                self.schedule(self.clock + 60_000, lapsed.concat());
            }
        }
    }

    /// The event for the end of an attempt.
    fn response_event(
        &mut self,
        attempt: (u16, u32, u8),
        backend: &[u8],
        outcome: u8,
        latency: u64,
    ) -> Vec<u8> {
        let (instance, id, number) = attempt;
        let has_load_report = matches!(outcome, OK | ERROR | FULL);
        let mut event = vec![RESPONSE];
        event.extend(instance.to_le_bytes());
        event.extend(id.to_le_bytes());
        event.push(number);
        event.extend(backend);
        event.push(outcome);
        event.extend((latency as u32).to_le_bytes());
        event.push(u8::from(outcome == OK));
        let volume_usage = if has_load_report { self.random.below(200) as u16 } else { 0 };
        event.extend(volume_usage.to_le_bytes());
        let units_elsewhere = if has_load_report { self.random.below(5) as u16 } else { 0 };
        event.extend(units_elsewhere.to_le_bytes());
        let gauge: &[f32] = if outcome == OK { &[0.5, 3.0] } else { &[] };
        event.push(gauge.len() as u8);
        gauge.iter().for_each(|value| event.extend(value.to_le_bytes()));
        event
    }

    /// Chooses the outcome of an attempt at a backend, and its latency.
    fn choose_outcome(&mut self, backend: u8, until: u64, deadline: u64) -> (u8, u64) {
        let batch = (self.clock - START_TIME) / BATCH_INTERVAL;
        let limit = if until == 0 { deadline } else { until.min(deadline) }.max(self.clock + 1) - self.clock;
        let is_unresponsive = backend == 3 && (150..190).contains(&batch);
        let is_overloaded = backend != 4 && (50..70).contains(&batch);
        let service_time = 15_000 + self.random.below(120_000);
        let (outcome, latency) = match self.random.below(100) {
            _ if is_unresponsive => (TIMEOUT, limit),
            draw if is_overloaded && draw < 60 => (FULL, 2_000),
            0..5 => (ERROR, 30_000),
            5..10 => (FULL, 2_000),
            10..14 => (CONNECT_FAILED, 50_000),
            14..18 => (RESET, 40_000),
            18..20 => (MOOT, 1_000),
            20..22 => (CANCELLED, 25_000),
            22..27 => (TIMEOUT, limit),
            _ => (OK, service_time),
        };
        if latency >= limit { (TIMEOUT, limit) } else { (outcome, latency) }
    }

    /// Chooses the outcome of a new attempt and schedules its events.
    fn handle_deliver(&mut self, action: &[u8], instance: u16, id: u32) {
        let backend = action[7..13].to_vec();
        let until = u64::from_le_bytes(action[13..21].try_into().expect("a time"));
        let request = self.requests.get_mut(&(instance, id)).expect("a known request");
        let number = request.attempts;
        request.attempts += 1;
        let deadline = request.deadline;
        let (outcome, latency) = self.choose_outcome(backend[3], until, deadline);
        let event = self.response_event((instance, id, number), &backend, outcome, latency);
        self.schedule(self.clock + latency, event);
        if outcome == OK && latency > 100_000 {
            let mut headers = vec![HEADERS];
            headers.extend(instance.to_le_bytes());
            headers.extend(id.to_le_bytes());
            headers.push(number);
            headers.extend(&backend);
            headers.extend((latency as u32 / 2).to_le_bytes());
            self.schedule(self.clock + latency / 2, headers);
        }
    }

    /// Applies an action of the adapter.
    pub fn handle_action(&mut self, action: &[u8]) {
        let instance = u16::from_le_bytes([action[1], action[2]]);
        let id = || u32::from_le_bytes(action[3..7].try_into().expect("an id"));
        match action[0] {
            DELIVER => self.handle_deliver(action, instance, id()),
            REJECT | END_FAILED => {
                if let Some(request) = self.requests.get_mut(&(instance, id())) {
                    request.has_ended = true;
                }
            }
            SET_ALARM => {
                let at = u64::from_le_bytes(action[3..11].try_into().expect("a time"));
                let event = [&[REMINDER], &action[1..3], &action[11..19]].concat();
                self.schedule(at.max(self.clock + 1), event);
            }
            WATCH => {
                self.version += 1;
                let event = targets(instance, DELTA, self.version, &[]);
                self.schedule(self.clock + 30_000, event);
            }
            other => panic!("an action that the decision module never emits: {other}"),
        }
    }

    /// Removes and returns the events up to the current time. The `request_ended` flag is set in
    /// the outcome of an attempt whose request has ended.
    pub fn take_expired_events(&mut self) -> Vec<Vec<u8>> {
        let after = self.pending.split_off(&(self.clock + 1, 0));
        let expired = std::mem::replace(&mut self.pending, after);
        let mut events = Vec::new();
        for mut event in expired.into_values() {
            let instance = u16::from_le_bytes([event[1], event[2]]);
            if matches!(event[0], RESPONSE | LAPSED) {
                let id = u32::from_le_bytes(event[3..7].try_into().expect("an id"));
                let request = self.requests.get_mut(&(instance, id)).expect("a known request");
                if event[0] == RESPONSE && request.has_ended {
                    event[REQUEST_ENDED_OFFSET] = 1;
                }
                request.has_ended |= event[0] == LAPSED || event[REQUEST_ENDED_OFFSET] == 1;
            }
            events.push(event);
        }
        events
    }
}
