//! What a test run is made of: its heads, emulated backends, traffic and rules, each setting with a default, and the
//! script of what is done when.
//!
//! [`settings`] holds the keys and bounds of the settings, [`parse`] reads a scenario file. The words of these files
//! (`box`, `hall`, `worth` and so on) are a file format and keep their spelling; docs/operators/rehearsals.md lists them.

pub mod parse;
pub mod settings;

use crate::random::Span;
use crate::script::ScriptStep;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Work of a mean request on a core of speed 1, ms.
    pub work_ms: Span,
    /// Sigma of a log-normal factor on the work; 0: none.
    pub work_sigma: f64,
    /// Its latency objective, ms.
    pub latency_objective_ms: f64,
    /// The deadline of its clients, ms.
    pub deadline_ms: f64,
    /// Its priority weight: what an answer in time earns.
    pub priority_weight: f64,
    /// Part of the weight that an answer past the objective earns.
    pub past_objective_fraction: f64,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// A plan of volumes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// Its name.
    pub name: String,
    /// Part of the usual traffic.
    pub share: f64,
    /// Rate of a volume, as a multiple of the smallest.
    pub size: f64,
    /// Part of that rate that is reserved.
    pub reserve: f64,
    /// Weight in the sharing of what is not reserved.
    pub weight: f64,
    /// Factor on the priority weight.
    pub price: f64,
    /// Part of the volumes that surge.
    pub surging_fraction: f64,
}

/// What a client does after a rejection, a failure or a broken connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No retry.
    #[default]
    None,
    /// One retry at once.
    AtOnce,
    /// One retry after a wait, and no sooner than `Retry-After`.
    Wait,
}

/// How volumes send requests: the keys `traffic.*`.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficSettings {
    /// Volumes for each backend.
    pub volumes_per_backend: f64,
    /// Heads that the requests of a volume come through.
    pub volume_heads: Span,
    /// Shards that hold the data of a volume.
    pub volume_shards: Span,
    /// How long most requests of a volume come through the same head, s.
    pub preferred_head_s: Span,
    /// Mean time between the surges of a volume, s.
    pub surge_every_s: f64,
    /// How long a surge lasts, s.
    pub surge_s: Span,
    /// Factor of a surge on the rate.
    pub surge_times: Span,
    /// Part of the writes that make new objects.
    pub new_object_fraction: f64,
    /// Part of the reads that read what their volume has just written.
    pub reread_fraction: f64,
}

/// How clients behave: the keys `clients.*`.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// What clients do after a failure.
    pub retry: RetryPolicy,
    /// Wait before a retry, ms.
    pub retry_ms: Span,
    /// Part of the volumes whose clients speak 9P.
    pub ninep_fraction: f64,
}

/// How the emulated backends behave: the keys `box.*`.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Part of the backends that are big.
    pub big_fraction: f64,
    /// Cores of a big backend.
    pub big_cores: u64,
    /// Speed of its cores.
    pub big_speed: Span,
    /// Cores of a small backend.
    pub small_cores: u64,
    /// Speed of its cores.
    pub small_speed: Span,
    /// Requests that a backend works on at once.
    pub concurrent_requests: u64,
    /// Requests that wait at a backend.
    pub queue_length: u64,
    /// The most connections of a backend.
    pub max_connections: u64,
    /// Work of a handshake, ms.
    pub handshake_ms: f64,
    /// Loss of speed for each request in work beyond the cores.
    pub contention: f64,
    /// Items of data that a backend has cached.
    pub cache_entries: u64,
    /// Part of the work that a cached item saves.
    pub cache_saving: f64,
    /// Part of the work of a write that is deferred.
    pub deferred_fraction: f64,
    /// Time between flushes of deferred work, s.
    pub flush_s: Span,
    /// Time between pauses of a backend, s.
    pub pause_every_s: Span,
    /// How long a pause lasts, ms.
    pub pause_ms: Span,
    /// Capacity of a backend that has just started, as a part of its full capacity.
    pub start_capacity: f64,
    /// How long a restart takes, s.
    pub restart_s: f64,
    /// How long the warm-up lasts, s.
    pub warm_up_s: f64,
    /// Requests after which a backend has warmed up.
    pub warm_up_requests: f64,
    /// A warming backend fails when it is sent so many times what it can do.
    pub overload_multiple: f64,
    /// The window in which that is counted, s.
    pub overload_window_s: f64,
    /// Whether a backend drops queued requests that were cancelled.
    pub drops_cancelled: bool,
}

/// The network between heads and backends: the keys `network.*`.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// Latency of the network one way, ms.
    pub latency_ms: Span,
    /// The most that is added to it at random, ms.
    pub jitter_ms: f64,
    /// After how long an attempt to connect is given up, ms.
    pub dial_ms: f64,
    /// How long idle connections are kept, s.
    pub idle_s: f64,
}

/// Limits that the platform gives the heads: the keys `rules.*`.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadRules {
    /// How long requests may still be sent to a backend that drains, ms.
    pub drain_grace_ms: f64,
    /// The most attempts of a request.
    pub max_attempts: u64,
    /// The most open requests of a head.
    pub max_open_requests: u64,
}

/// A scenario: the settings and the script of a test run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long traffic comes, s.
    pub seconds: f64,
    /// How many heads there are.
    pub heads: u64,
    /// How many backends there are at the start.
    pub backends: u64,
    /// The seed of its random numbers.
    pub seed: u64,
    /// Traffic as a part of what the backends can do.
    pub load: f64,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The plans of volumes.
    pub plans: Vec<PlanSpec>,
    /// How volumes send requests.
    pub traffic: TrafficSettings,
    /// How clients behave.
    pub clients: ClientSettings,
    /// How the emulated backends behave.
    pub backend: BackendSettings,
    /// The network between heads and backends.
    pub network: NetworkSettings,
    /// Limits that the platform gives the heads.
    pub rules: HeadRules,
    /// Delay of the endpoint list, s.
    pub list_delay_s: Span,
    /// The steps of the script, in the order of their times.
    pub steps: Vec<ScriptStep>,
}

impl ClassSpec {
    /// An idempotent class of evenly spread work.
    fn new(name: &str, share: f64, work_ms: Span) -> ClassSpec {
        ClassSpec {
            name: name.into(),
            share,
            work_ms,
            work_sigma: 0.0,
            latency_objective_ms: 1200.0,
            deadline_ms: 4000.0,
            priority_weight: 1.0,
            past_objective_fraction: 0.25,
            is_idempotent: true,
        }
    }

    fn defaults() -> Vec<ClassSpec> {
        vec![
            ClassSpec {
                latency_objective_ms: 200.0,
                deadline_ms: 1000.0,
                priority_weight: 2.0,
                ..ClassSpec::new("read", 0.55, [26.0, 41.0])
            },
            ClassSpec {
                latency_objective_ms: 250.0,
                deadline_ms: 1200.0,
                priority_weight: 3.0,
                is_idempotent: false,
                ..ClassSpec::new("write", 0.30, [29.0, 46.0])
            },
            ClassSpec::new("export", 0.15, [64.0, 100.0]),
        ]
    }
}

impl PlanSpec {
    fn defaults() -> Vec<PlanSpec> {
        let plan = |name: &str, share, size| PlanSpec {
            name: name.into(),
            share,
            size,
            reserve: 0.8,
            weight: 1.0,
            price: 1.0,
            surging_fraction: 0.0,
        };
        vec![
            PlanSpec { reserve: 0.5, price: 0.8, surging_fraction: 0.28, ..plan("basic", 0.36, 1.0) },
            PlanSpec { price: 1.2, surging_fraction: 0.07, ..plan("business", 0.35, 1.5) },
            PlanSpec { price: 1.5, surging_fraction: 0.06, ..plan("priority", 0.29, 2.5) },
        ]
    }
}

impl Default for TrafficSettings {
    fn default() -> Self {
        TrafficSettings {
            volumes_per_backend: 7.0,
            volume_heads: [1.0, 3.0],
            volume_shards: [1.0, 4.0],
            preferred_head_s: [6.4, 23.0],
            surge_every_s: 30.0,
            surge_s: [5.4, 17.0],
            surge_times: [2.0, 5.0],
            new_object_fraction: 0.9,
            reread_fraction: 0.35,
        }
    }
}

impl Default for ClientSettings {
    fn default() -> Self {
        ClientSettings { retry: RetryPolicy::None, retry_ms: [100.0, 400.0], ninep_fraction: 0.0 }
    }
}

impl Default for BackendSettings {
    fn default() -> Self {
        BackendSettings {
            big_fraction: 0.64,
            big_cores: 2,
            big_speed: [0.85, 1.1],
            small_cores: 1,
            small_speed: [0.51, 0.69],
            concurrent_requests: 4,
            queue_length: 24,
            max_connections: 96,
            handshake_ms: 0.5,
            contention: 0.03,
            cache_entries: 3,
            cache_saving: 0.44,
            deferred_fraction: 0.4,
            flush_s: [1.0, 3.0],
            pause_every_s: [3.8, 8.7],
            pause_ms: [63.0, 190.0],
            start_capacity: 0.15,
            restart_s: 1.0,
            warm_up_s: 18.0,
            warm_up_requests: 300.0,
            overload_multiple: 3.0,
            overload_window_s: 1.5,
            drops_cancelled: true,
        }
    }
}

impl Default for NetworkSettings {
    fn default() -> Self {
        NetworkSettings { latency_ms: [0.7, 1.3], jitter_ms: 0.2, dial_ms: 250.0, idle_s: 15.0 }
    }
}

impl Default for HeadRules {
    fn default() -> Self {
        HeadRules { drain_grace_ms: 250.0, max_attempts: 4, max_open_requests: 20_000 }
    }
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "unnamed".into(),
            seconds: 30.0,
            heads: 3,
            backends: 9,
            seed: 1,
            load: 0.7,
            classes: ClassSpec::defaults(),
            plans: PlanSpec::defaults(),
            traffic: TrafficSettings::default(),
            clients: ClientSettings::default(),
            backend: BackendSettings::default(),
            network: NetworkSettings::default(),
            rules: HeadRules::default(),
            list_delay_s: [0.5, 2.0],
            steps: Vec::new(),
        }
    }
}
