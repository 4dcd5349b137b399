//! The parameters of a simulated backend, in whole numbers: times in microseconds, parts in millionths. So a replay is
//! the same on every machine.

use crate::random::Span;
use crate::scenario::Scenario;
use sedgerun_policy::Micros;

/// One, in millionths.
pub const ONE: u64 = 1_000_000;

/// The parameters of a simulated backend.
#[derive(Clone, Debug)]
pub struct BackendParameters {
    /// Requests that it works on at once.
    pub(super) concurrent_requests: usize,
    /// Requests that may be queued.
    pub(super) queue_length: usize,
    /// Loss of speed for each request in work beyond the cores, in millionths.
    pub(super) contention: u64,
    /// Items of data that are cached.
    pub(super) cache_entries: usize,
    /// Part of the work that a cached item saves, in millionths.
    pub(super) cache_saving: u64,
    /// Part of the work of a write that is deferred, in millionths.
    pub(super) deferred_fraction: u64,
    /// Time between flushes of deferred work, s.
    pub(super) flush_s: Span,
    /// Time between pauses, s.
    pub(super) pause_every_s: Span,
    /// How long a pause lasts, s.
    pub(super) pause_s: Span,
    /// Capacity at the start, in millionths of the full one.
    pub(super) start_capacity: u64,
    /// How long the warm-up lasts.
    pub(super) warm_up: Micros,
    /// Requests after which the backend has warmed up.
    pub(super) warm_up_requests: u64,
    /// A warming backend fails when it is sent so many times (millionths) what it can do.
    pub(super) overload_multiple: u64,
    /// The window in which that is counted.
    pub(super) overload_window: Micros,
    /// Whether queued requests that were cancelled are dropped.
    pub(super) drops_cancelled: bool,
    /// Work of a handshake, us.
    pub(super) handshake: u64,
    /// The most connections.
    pub max_connections: u64,
}

impl BackendParameters {
    /// Those of a scenario.
    pub fn new(scenario: &Scenario) -> BackendParameters {
        let settings = &scenario.backend;
        let millionths = |value: f64| (value * ONE as f64) as u64;
        BackendParameters {
            concurrent_requests: settings.concurrent_requests as usize,
            queue_length: settings.queue_length as usize,
            contention: millionths(settings.contention),
            cache_entries: settings.cache_entries as usize,
            cache_saving: millionths(settings.cache_saving),
            deferred_fraction: millionths(settings.deferred_fraction),
            flush_s: settings.flush_s,
            pause_every_s: settings.pause_every_s,
            pause_s: settings.pause_ms.map(|ms| ms * 1e-3),
            start_capacity: millionths(settings.start_capacity),
            warm_up: (settings.warm_up_s * 1e6) as Micros,
            warm_up_requests: settings.warm_up_requests as u64,
            overload_multiple: millionths(settings.overload_multiple),
            overload_window: (settings.overload_window_s * 1e6) as Micros,
            drops_cancelled: settings.drops_cancelled,
            handshake: (settings.handshake_ms * 1e3) as u64,
            max_connections: settings.max_connections,
        }
    }
}
