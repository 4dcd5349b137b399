//! The settings of a controller, fixed for its lifetime.

use crate::Micros;

/// The settings by which one head decides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of heads in the cluster, at least 1.
    pub heads: u32,
    /// Resolution of the head's clock: the shortest time between two events at different times.
    pub tick: Micros,
    /// The longest time for which the head may be paused between reading its clock and acting on what it read.
    pub max_pause: Micros,
    /// The zone of this head.
    pub zone: u16,
    /// Request classes; a request refers to one by its index.
    pub classes: Vec<RequestClass>,
    /// Service plans; a request refers to one by its index.
    pub plans: Vec<ServicePlan>,
    /// The limits that the deployment imposes on a head.
    pub rules: Rules,
    /// What the deployment permits the head to do.
    pub permissions: Permissions,
    /// Mean size of a request, in units.
    pub mean_units: f64,
    /// Size of the largest request, in units.
    pub max_units: f64,
    /// Period that a backend's report of a volume's usage covers; 0: backends send no such reports.
    pub usage_report_period: Micros,
}

/// Lower bound of the mean request size, in units, for settings that leave it at 0.
const MIN_MEAN_UNITS: f64 = 1e-3;

impl Settings {
    /// Mean size of a request in units, always above 0 and safe to divide by.
    pub(crate) fn positive_mean_units(&self) -> f64 {
        self.mean_units.max(MIN_MEAN_UNITS)
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key, by which the backends of a scope drop duplicates for a time.
    WithKey,
    /// It must not run twice.
    NotIdempotent,
}

/// The backends that recognise the idempotency key of a request that one backend may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every backend.
    All,
    /// The backends in the zone of the backend that may have run it.
    Zone,
    /// The backends that hold the same shard as the backend that may have run it.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time, counted from the client's first attempt, has the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits for a response, over all of its attempts.
    pub timeout: Micros,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: which backends drop duplicates.
    pub deduplication_scope: DeduplicationScope,
    /// For [`Idempotency::WithKey`]: how long backends drop duplicates, counted from the first attempt that
    /// may have run.
    pub deduplication_window: Micros,
    /// Whether requests with the same key run one at a time, in order of arrival.
    pub ordered_by_key: bool,
    /// The value of a response within the latency objective.
    pub priority_weight: f64,
    /// The fraction of that value that a later response still has.
    pub overdue_weight: f64,
}

/// A service plan. Its rates apply to each volume, over all heads and backends together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePlan {
    /// The rate that a volume is sized for, in units per second.
    pub nominal_rate: f64,
    /// Reserved rate in units per second; 0: none.
    pub reservation: f64,
    /// Weight of a volume in the division of the rate that the reservations leave.
    pub weight: f64,
    /// Rate limit in units per second; 0: no limit.
    pub limit: f64,
    /// Capacity of the limit's token bucket, in units.
    pub limit_burst: f64,
    /// Units by which that bucket may be overdrawn, over all heads together.
    pub limit_slack: f64,
    /// Factor on the priority weight of a request's class.
    pub priority_weight: f64,
}

/// Limits that the deployment imposes on a head. A limit with all values at 0 does not apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// How long after the client's deadline a final response is still in time.
    pub response_slack: Micros,
    /// How long new attempts may still be sent to a backend after the head was notified that it is draining.
    pub drain_grace: Micros,
    /// How much load a backend that has just started may be sent.
    pub slow_start: SlowStartLimits,
    /// How long the next request of a key is held back after an attempt that may still be running.
    pub key_order_pause: Micros,
    /// How many retries a head may send.
    pub retry_budget: RetryBudgetLimits,
    /// Maximum age of the endpoint list that a head without a watch may act on; 0: no limit.
    pub poll_interval: Micros,
}

/// Limits of slow start: the capacity of a backend after its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartLimits {
    /// The fraction of its full capacity that a backend starts with.
    pub initial_capacity: f64,
    /// Time from its start until a backend has its full capacity.
    pub duration: Micros,
    /// A backend in slow start fails when it is sent more than this multiple of its current capacity.
    pub overload_factor: f64,
    /// The window over which the load is compared with the capacity; 0: no slow start.
    pub overload_window: Micros,
    /// Units within the window, from all heads together, that a backend has capacity for even at its start.
    pub safe_units: f64,
}

/// Limits of the retry budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudgetLimits {
    /// The sliding window over which retries are counted; 0: retries are not limited.
    pub window: Micros,
    /// Retries that are allowed in a window whatever the number of requests.
    pub free_retries: f64,
    /// Additional retries for each request received in the window.
    pub retries_per_request: f64,
}

/// What a deployment permits its heads to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permissions {
    /// Whether the head has to open a watch on the endpoint list; otherwise updates are pushed to it.
    pub must_poll: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether backends may be health-checked.
    pub health_checks: bool,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The longest `Retry-After` that a client is given; 0: none is given.
    pub max_retry_after: Micros,
}
