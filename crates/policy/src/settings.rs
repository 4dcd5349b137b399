//! What a deployment states once, before the first event.

use crate::Micros;

/// The settings of one head's decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Heads in this tier, at least 1.
    pub heads: u32,
    /// The shortest time between two events of the clock.
    pub tick: Micros,
    /// The zone of this head.
    pub zone: u16,
    /// Request classes; requests name them by position.
    pub classes: Vec<RequestClass>,
    /// Service plans; requests name them by position.
    pub plans: Vec<ServicePlan>,
    /// The figures of the rules.
    pub rules: Rules,
    /// What the deployment permits.
    pub permissions: Permissions,
    /// Mean units of a request.
    pub mean_units: f64,
    /// The most units of a request.
    pub max_units: f64,
    /// The period over which the reported use of a volume is totalled; 0: there are no such reports.
    pub usage_report_period: Micros,
}

/// The least mean size of a request that is calculated with, against settings without one.
const LEAST_MEAN_UNITS: f64 = 1e-3;

impl Settings {
    /// Mean units of a request, above 0: safe to divide by.
    pub(crate) fn mean_units_or_least(&self) -> f64 {
        self.mean_units.max(LEAST_MEAN_UNITS)
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key, by which backends drop duplicates within a scope and a window.
    WithKey,
    /// It must not run twice.
    NotIdempotent,
}

/// The backends that recognise the idempotency key of a request that one of them may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every backend.
    All,
    /// The backends of the zone of the one that may have run it.
    Zone,
    /// The backends that hold the same shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time has the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits over all of its attempts.
    pub timeout: Micros,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: which backends drop duplicates.
    pub deduplication_scope: DeduplicationScope,
    /// For [`Idempotency::WithKey`]: how long after the first attempt that may have run duplicates are dropped.
    pub deduplication_window: Micros,
    /// Requests with one key run one at a time, in order of arrival.
    pub ordered_by_key: bool,
    /// The weight of a timely response.
    pub priority_weight: f64,
    /// The part of the weight that an overdue response still has.
    pub overdue_weight: f64,
}

/// A service plan; its figures hold for each volume over all heads and backends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePlan {
    /// The rate that a volume is sized for, in units a second.
    pub nominal_rate: f64,
    /// Reserved rate in units a second; 0: none.
    pub reservation: f64,
    /// Weight in the division of what the reservations leave.
    pub weight: f64,
    /// Rate limit of a volume in units a second; 0: no limit.
    pub limit: f64,
    /// Capacity of the limit's token bucket, in units.
    pub limit_burst: f64,
    /// Units by which that bucket may fall below 0.
    pub limit_slack: f64,
    /// Factor on the priority weight of a request.
    pub priority_weight: f64,
}

/// Figures of the rules that a head keeps. A rule whose figures are 0 does not apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts.
    pub response_slack: Micros,
    /// How long after the notification that a backend drains new attempts may still be sent to it.
    pub drain_grace: Micros,
    /// How fast a backend that has just started may be loaded.
    pub slow_start: SlowStartLimits,
    /// How long the next request of a key waits after an attempt that may still be running.
    pub key_order_pause: Micros,
    /// How many retries a head may make.
    pub retry_budget: RetryBudgetLimits,
    /// A head without a watch is held to the endpoint list that is this old; 0: no such rule.
    pub poll_interval: Micros,
}

/// Figures of slow start: how much a backend bears after its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartLimits {
    /// The part of its full capacity that a backend starts with.
    pub initial_capacity: f64,
    /// Time until a backend has its full capacity.
    pub duration: Micros,
    /// A backend in slow start fails when it is sent this many times its present capacity.
    pub overload_factor: f64,
    /// The window over which the overload is counted.
    pub overload_window: Micros,
    /// Units within the window, from all heads together, that a backend bears at any time.
    pub safe_units: f64,
}

/// Figures of the retry budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudgetLimits {
    /// The window over which retries are counted; 0: there is no budget.
    pub window: Micros,
    /// Retries in a window that are always allowed.
    pub free_retries: f64,
    /// Further retries for each request that was received in the window.
    pub retries_per_request: f64,
}

/// What a deployment permits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permissions {
    /// The endpoint list comes only when it is asked for.
    pub must_poll: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Backends may be health-checked.
    pub health_checks: bool,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The longest `Retry-After` that a client is given; 0: clients are given none.
    pub max_retry_after: Micros,
}
