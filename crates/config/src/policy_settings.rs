//! The settings of the controller, read from pairs. The keys are the platform's; the fields are those of
//! [`sedgerun_policy::Settings`]. Times are in microseconds, as in the platform's settings.

use crate::fault::Faults;
use crate::pairs::Pairs;
use sedgerun_policy::{
    DeduplicationScope, Idempotency, Micros, Permissions, RequestClass, RetryBudgetLimits, Rules,
    ServicePlan, Settings, SlowStartLimits,
};

/// The largest value of 16 bits: counts, zones and numbers of heads stay within it.
const MAX_U16: f64 = 65_535.0;
/// The most attempts of a request that settings may allow.
const MAX_ATTEMPTS: f64 = 255.0;
/// The period of the controller's timer where the settings do not say: 1 ms.
const DEFAULT_TICK: f64 = 1000.0;
/// The words of `membershipMode`, and whether endpoint lists must be polled under each.
const MEMBERSHIP_MODES: [(&str, bool); 2] = [("subscribe", true), ("automatic", false)];
/// The words of a class's `repeat`.
const IDEMPOTENCIES: [(&str, Idempotency); 3] = [
    ("free", Idempotency::Idempotent),
    ("guarded", Idempotency::WithKey),
    ("single_shot", Idempotency::NotIdempotent),
];
/// The words of a class's `group`.
const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Shard),
];

/// Reads the settings of the controller from their text.
pub fn read_settings(text: &str) -> Result<Settings, Faults> {
    let pairs = Pairs::read(text)?;
    let settings = settings(&pairs);
    pairs.finish(settings)
}

/// Reads the settings of the controller. Unknown keys are ignored; absent optional ones mean that the rule they belong
/// to does not apply. Faults stay with the pairs, in the order in which the keys are read. No key names the longest pause of
/// a head: a program on a clock of its own sets it.
pub fn settings(pairs: &Pairs) -> Settings {
    let class_count = pairs.count("classes.count", 1.0, MAX_U16, None);
    let classes = (0..class_count).map(|index| request_class(pairs, index)).collect();
    let plan_count = pairs.count("plans.count", 0.0, MAX_U16, Some(0.0));
    let plans = (0..plan_count).map(|index| service_plan(pairs, index)).collect();
    let rules = rules(pairs);
    let permissions = permissions(pairs);
    Settings {
        heads: pairs.count("balancers", 1.0, MAX_U16, None),
        tick: pairs.duration("period", Some(DEFAULT_TICK)),
        max_pause: 0,
        zone: pairs.count("zone", 0.0, MAX_U16, Some(0.0)) as u16,
        classes,
        plans,
        rules,
        permissions,
        mean_units: pairs.figure("specifics.meanUnits", 0.0, Some(1.0)),
        max_units: pairs.figure("specifics.unitsTop", 0.0, Some(1.0)),
        usage_report_period: pairs.duration("specifics.meterPeriod", Some(0.0)),
    }
}

/// Reads the rules of the protocol.
fn rules(pairs: &Pairs) -> Rules {
    Rules {
        response_slack: pairs.duration("rules.answerSlack", Some(0.0)),
        drain_grace: pairs.duration("rules.drainGrace", Some(0.0)),
        slow_start: SlowStartLimits {
            initial_capacity: pairs.figure("rules.startCapacity", 0.0, Some(0.0)),
            duration: pairs.duration("rules.warmWithin", Some(0.0)),
            overload_factor: pairs.figure("rules.tipMultiple", 0.0, Some(0.0)),
            overload_window: pairs.duration("rules.fall", Some(0.0)),
            safe_units: pairs.figure("specifics.coldUnits", 0.0, Some(0.0)),
        },
        key_order_pause: pairs.duration("rules.orderPause", Some(0.0)),
        retry_budget: RetryBudgetLimits {
            window: pairs.duration("rules.budgetWindow", Some(0.0)),
            free_retries: pairs.figure("rules.freeResends", 0.0, Some(0.0)),
            retries_per_request: pairs.figure("rules.extraPerRequest", 0.0, Some(0.0)),
        },
        poll_interval: pairs.duration("rules.askWithin", Some(0.0)),
    }
}

/// Reads what a head may do of its own accord.
fn permissions(pairs: &Pairs) -> Permissions {
    let must_poll = pairs.word("membershipMode", &MEMBERSHIP_MODES, Some(false)).unwrap_or_default();
    let heeds_retry_after = pairs.flag("limits.retryAfter", true);
    Permissions {
        must_poll,
        cancel: pairs.flag("limits.cancel", false),
        health_checks: pairs.flag("limits.probing", false),
        max_attempts: pairs.count("limits.maxAttempts", 1.0, MAX_ATTEMPTS, Some(1.0)),
        max_retry_after: if heeds_retry_after {
            pairs.duration("limits.maxRetryAfter", Some(0.0))
        } else {
            0
        },
    }
}

/// Reads a request class.
fn request_class(pairs: &Pairs, index: u32) -> RequestClass {
    let key = |name: &str| format!("classes.{index}.{name}");
    RequestClass {
        latency_objective: pairs.figure(&key("goalTime"), 1.0, None) as Micros,
        timeout: pairs.figure(&key("deadline"), 1.0, None) as Micros,
        idempotency: pairs.word(&key("repeat"), &IDEMPOTENCIES, None).unwrap_or(Idempotency::NotIdempotent),
        deduplication_scope: pairs
            .word(&key("group"), &DEDUPLICATION_SCOPES, Some(DeduplicationScope::Shard))
            .unwrap_or(DeduplicationScope::Shard),
        deduplication_window: pairs.duration(&key("dedupWindow"), Some(0.0)),
        ordered_by_key: pairs.flag(&key("inTurn"), false),
        priority_weight: pairs.figure(&key("worth"), 0.0, Some(1.0)),
        overdue_weight: pairs.figure(&key("lateWorth"), 0.0, Some(0.0)),
    }
}

/// Reads a service plan.
fn service_plan(pairs: &Pairs, index: u32) -> ServicePlan {
    let figure = |name: &str, absent| pairs.figure(&format!("plans.{index}.{name}"), 0.0, Some(absent));
    ServicePlan {
        nominal_rate: figure("nominal", 0.0),
        reservation: figure("reserve", 0.0),
        weight: figure("weight", 1.0),
        limit: figure("neverOver", 0.0),
        limit_burst: figure("mostAtOnce", 0.0),
        limit_slack: figure("slack", 0.0),
        priority_weight: figure("pays", 1.0),
    }
}
