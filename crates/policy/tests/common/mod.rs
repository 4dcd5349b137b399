//! Settings and events for tests, a head under test, and simulations.
#![allow(dead_code)]

pub mod cluster;
pub mod head;
pub mod random;
pub mod rules;
pub mod simulation;

use sedgerun_policy::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Tokens of the controller's timers.
pub const PERIOD_TIMER: u64 = 1;
pub const SWEEP_TIMER: u64 = 2;
pub const POLL_TIMER: u64 = 3;

/// Indexes of the classes and plans in [`settings`].
pub const IDEMPOTENT: usize = 0;
pub const WITH_KEY: usize = 1;
pub const ORDERED: usize = 2;
pub const LIMITED: usize = 0;
pub const RESERVED: usize = 1;

pub fn class(latency_objective: Micros, timeout: Micros, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective,
        timeout,
        idempotency,
        deduplication_scope: DeduplicationScope::Shard,
        deduplication_window: 2 * SECOND,
        ordered_by_key: false,
        priority_weight: 1.0,
        overdue_weight: 0.1,
    }
}

/// Settings with three classes (idempotent, with an idempotency key, not idempotent and ordered) and two
/// plans (limited, reserved).
pub fn settings() -> Settings {
    let ordered =
        RequestClass { ordered_by_key: true, ..class(500 * MS, 4 * SECOND, Idempotency::NotIdempotent) };
    Settings {
        heads: 3,
        tick: 2 * MS,
        max_pause: 0,
        zone: 0,
        classes: vec![
            class(300 * MS, 2 * SECOND, Idempotency::Idempotent),
            class(400 * MS, 3 * SECOND, Idempotency::WithKey),
            ordered,
        ],
        plans: vec![limited_plan(), reserved_plan()],
        rules: rules(),
        permissions: Permissions {
            must_poll: true,
            cancel: true,
            health_checks: false,
            max_attempts: 3,
            max_retry_after: SECOND,
        },
        mean_units: 2.0,
        max_units: 6.0,
        usage_report_period: 0,
    }
}

fn limited_plan() -> ServicePlan {
    ServicePlan {
        nominal_rate: 4.0,
        weight: 1.0,
        limit: 20.0,
        limit_burst: 40.0,
        limit_slack: 6.0,
        priority_weight: 1.0,
        ..ServicePlan::default()
    }
}

fn reserved_plan() -> ServicePlan {
    ServicePlan {
        nominal_rate: 6.0,
        weight: 3.0,
        reservation: 6.0,
        priority_weight: 1.0,
        ..ServicePlan::default()
    }
}

fn rules() -> Rules {
    Rules {
        response_slack: 8 * MS,
        drain_grace: 250 * MS,
        slow_start: SlowStartLimits {
            initial_capacity: 0.2,
            duration: 10 * SECOND,
            overload_factor: 2.0,
            overload_window: SECOND,
            safe_units: 20.0,
        },
        key_order_pause: 100 * MS,
        retry_budget: RetryBudgetLimits { window: 5 * SECOND, free_retries: 3.0, retries_per_request: 0.15 },
        poll_interval: 10 * SECOND,
    }
}

pub fn endpoint(backend: u64, shard: u32, started_at: Micros, readiness: Readiness) -> Endpoint {
    Endpoint { backend: BackendId(backend), shard, zone: 0, started_at, readiness }
}

/// An entry for a backend that takes requests and started long ago.
pub fn ready(backend: u64, shard: u32) -> Endpoint {
    endpoint(backend, shard, 0, Readiness::Ready)
}

pub fn request(id: RequestId, class: usize, shard: Option<u32>, deadline: Micros) -> Request {
    Request { id, class, plan: RESERVED, key: 0, deadline, volume: 7, units: 2.0, shard, volume_heads: 1.0 }
}

pub fn outcome(id: RequestId, attempt: u8, backend: u64, end: AttemptEnd, latency: Micros) -> AttemptOutcome {
    AttemptOutcome {
        id,
        attempt,
        backend: BackendId(backend),
        end,
        latency,
        request_ended: end == AttemptEnd::Ok,
        volume_usage: None,
        units_via_other_heads: 0.0,
    }
}

/// The time for which an action sets the poll timer, if any.
pub fn next_poll(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { at, token: POLL_TIMER } => Some(*at),
        _ => None,
    })
}
