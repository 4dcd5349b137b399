//! The state of the simulator, and its queue of events.

use super::event::Event;
use super::injected_bug::InjectedBug;
use crate::auditor::{Auditor, Ticket};
use crate::drawn_scenario::DrawnScenario;
use crate::drawn_scenario::types::Arrival;
use crate::figures::{RequestResult, RunFigures};
use crate::model::backend_parameters::BackendParameters;
use crate::model::discovery_server::DiscoveryServer;
use crate::model::simulated_backend::SimulatedBackend;
use crate::random::{source, within};
use crate::scenario::Scenario;
use rand_chacha::ChaCha8Rng;
use sedgerun_dispatch::Dispatcher;
use sedgerun_policy::{BackendId, Endpoint, Micros, Readiness, RequestId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use xxhash_rust::xxh64::Xxh64;

/// The time at which a test run begins, us: any that is long after 0, which means 'long ago' to the decisions.
pub const START: Micros = 1_000_000_000_000;
/// How long a request takes from its client to its head, and an answer back, us.
pub const CLIENT_HOP: Micros = 200;
/// Purpose of the random source of the network and the clients.
const PURPOSE: u64 = 5;

/// What a head hands to the network.
#[derive(Debug)]
pub struct Packet {
    /// The client's attempt.
    pub client_attempt: u32,
}

/// A head: its dispatcher, while it runs, and its connections.
#[derive(Debug)]
pub struct SimulatedHead {
    /// None while the head is down.
    pub dispatcher: Option<Dispatcher<Packet, Ticket>>,
    /// Counts its starts and kills.
    pub incarnation: u32,
    /// When its timer is armed for; `Micros::MAX` where it is not.
    pub armed_at: Micros,
    /// The client's attempt behind each open request.
    pub open_requests: HashMap<RequestId, u32>,
    /// Attempts in flight.
    pub in_flight: HashMap<(RequestId, u8), u32>,
    /// Idle connections to each backend, by when they were last used.
    pub idle_connections: HashMap<BackendId, Vec<Micros>>,
}

impl SimulatedHead {
    /// A head that has not started.
    fn new() -> SimulatedHead {
        SimulatedHead {
            dispatcher: None,
            incarnation: 0,
            armed_at: Micros::MAX,
            open_requests: HashMap::new(),
            in_flight: HashMap::new(),
            idle_connections: HashMap::new(),
        }
    }
}

/// A final answer on its way to its client.
#[derive(Clone, Copy, Debug)]
pub struct AnswerToClient {
    /// What the answer means to the client.
    pub result: RequestResult,
    /// The ticket of the request that it answers.
    pub ticket: Ticket,
    /// Its `Retry-After`, us.
    pub retry_after: Micros,
}

/// One attempt of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientAttempt {
    /// Position of the arrival.
    pub arrival: u32,
    /// Whether it is a retry.
    pub is_retry: bool,
    /// The client's deadline.
    pub deadline: Micros,
    /// Its id at the head, once the head has accepted it.
    pub request: Option<RequestId>,
    /// Its answer, once there is one.
    pub answer: Option<AnswerToClient>,
    /// Whether the client waits no more.
    pub is_over: bool,
}

/// One attempt of a head at a backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendAttempt {
    /// The head, and its incarnation.
    pub head: u16,
    /// The head's incarnation.
    pub incarnation: u32,
    /// The request at the head.
    pub request: RequestId,
    /// Its number among the attempts of the request, from 0.
    pub number: u8,
    /// The client's attempt.
    pub client_attempt: u32,
    /// The backend.
    pub backend: BackendId,
    /// Whether the head has cancelled it.
    pub is_cancelled: bool,
    /// Whether it is sent on a new connection.
    pub on_new_connection: bool,
    /// Whether its connection is made.
    pub is_connected: bool,
    /// The process that its connection was made to.
    pub epoch: u32,
}

/// One backend, in one incarnation at one address.
#[derive(Debug)]
pub struct Machine {
    /// None while no process runs.
    pub backend: Option<SimulatedBackend>,
    /// The position (address) that it stands at.
    pub position: usize,
    /// What the endpoint list says of it.
    pub readiness: Readiness,
    /// When its process started; 0: long ago.
    pub started_at: Micros,
    /// Whether it is cut off from the network.
    pub is_silent: bool,
    /// Open connections.
    pub connections: u64,
    /// When its next change is armed for; `Micros::MAX` where it is not.
    pub armed_at: Micros,
    /// Counts the events that were armed: all but the last are void.
    pub generation: u64,
    /// Processes that have ended here.
    pub epoch: u32,
}

impl Machine {
    /// A machine at a position, on which no process runs yet.
    pub fn new(position: usize) -> Machine {
        Machine {
            backend: None,
            position,
            readiness: Readiness::Ready,
            started_at: 0,
            is_silent: false,
            connections: 0,
            armed_at: Micros::MAX,
            generation: 0,
            epoch: 0,
        }
    }
}

/// A test run in virtual time.
pub struct Simulator<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) seed: u64,
    pub(super) drawn: &'a DrawnScenario,
    pub(super) now: Micros,
    pub(super) queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// Events of one time keep the order in which they were scheduled.
    scheduled: u64,
    pub(super) heads: Vec<SimulatedHead>,
    pub(super) machines: Vec<Machine>,
    /// The machine that stands at each position now.
    pub(super) machine_at: Vec<usize>,
    pub(super) discovery: DiscoveryServer,
    pub(super) discovery_armed_at: Micros,
    pub(super) client_attempts: Vec<ClientAttempt>,
    pub(super) attempts: Vec<BackendAttempt>,
    /// The shard that an arrival's new object was written to.
    pub(super) written_shards: HashMap<u32, u32>,
    /// One-way latency between each head and each position.
    pub(super) latencies: Vec<Micros>,
    pub(super) random: ChaCha8Rng,
    pub(super) parameters: BackendParameters,
    pub(super) digest: Xxh64,
    pub(super) bug: Option<InjectedBug>,
    /// How often the injected bug could have acted.
    pub(super) bug_opportunities: u64,
    /// The auditor.
    pub auditor: Auditor,
    /// The figures.
    pub figures: RunFigures,
    /// Events that were played.
    pub events: u64,
}

impl<'a> Simulator<'a> {
    /// A simulator that has not begun.
    pub fn new(
        scenario: &'a Scenario,
        drawn: &'a DrawnScenario,
        seed: u64,
        bug: Option<InjectedBug>,
    ) -> Simulator<'a> {
        let parameters = BackendParameters::new(scenario);
        let machines = first_machines(drawn, &parameters, seed);
        let mut random = source(seed, PURPOSE);
        let pairs = scenario.heads as usize * machines.len();
        let latency = |_| (within(&mut random, scenario.network.latency_ms) * 1e3) as Micros;
        let latencies = (0..pairs).map(latency).collect();
        let first: Vec<Endpoint> = machines.iter().enumerate().map(|(i, one)| endpoint(i, one)).collect();
        let heads = scenario.heads as usize;
        Simulator {
            scenario,
            seed,
            drawn,
            now: START,
            queue: BinaryHeap::new(),
            scheduled: 0,
            heads: (0..heads).map(|_| SimulatedHead::new()).collect(),
            machine_at: (0..machines.len()).collect(),
            discovery: DiscoveryServer::new(heads, &first, scenario.list_delay_s, seed),
            discovery_armed_at: Micros::MAX,
            client_attempts: Vec::with_capacity(drawn.arrivals.len()),
            attempts: Vec::with_capacity(drawn.arrivals.len()),
            written_shards: HashMap::new(),
            latencies,
            random,
            parameters,
            digest: Xxh64::new(seed),
            bug,
            bug_opportunities: 0,
            auditor: Auditor::new(START, drawn.settings.rules.drain_grace, drawn.reservations()),
            figures: RunFigures::new(scenario, machines.len()),
            events: 0,
            machines,
        }
    }

    /// Schedules an event; one of a time that has passed comes next.
    pub(super) fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at.max(self.now), self.scheduled, event)));
    }

    /// Adds an event to the digest, in a form that is the same on every machine.
    pub(super) fn add_to_digest(&mut self, event: Event) {
        let [kind, first, second] = event.digest_words(self.discovery.version);
        for word in [self.now, kind, first, second] {
            self.digest.update(&word.to_le_bytes());
        }
    }

    /// The arrival behind a client's attempt.
    pub(super) fn arrival(&self, client_attempt: u32) -> &'a Arrival {
        &self.drawn.arrivals[self.client_attempts[client_attempt as usize].arrival as usize]
    }
}

/// A machine with a running backend for each position.
fn first_machines(drawn: &DrawnScenario, parameters: &BackendParameters, seed: u64) -> Vec<Machine> {
    let specs = drawn.backends.iter().enumerate();
    specs
        .map(|(position, spec)| {
            let seed = seed ^ ((position as u64 + 1) << 32);
            let backend = SimulatedBackend::new(spec.clone(), parameters.clone(), START, false, seed);
            Machine { backend: Some(backend), ..Machine::new(position) }
        })
        .collect()
}

/// The machine of a backend: backends are numbered from 1 in the order in which they came up.
pub fn machine_of(backend: BackendId) -> usize {
    (backend.0 as usize).saturating_sub(1)
}

/// The backend of a machine.
pub fn backend_of(machine: usize) -> BackendId {
    BackendId(machine as u64 + 1)
}

/// What the endpoint list says of a machine.
pub fn endpoint(index: usize, machine: &Machine) -> Endpoint {
    Endpoint {
        backend: backend_of(index),
        shard: machine.position as u32,
        zone: 0,
        started_at: machine.started_at,
        readiness: machine.readiness,
    }
}
