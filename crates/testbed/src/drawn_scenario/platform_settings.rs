//! The settings that the platform would give each head of a test run, by the keys of its configuration.

use super::types::{BackendSpec, MAX_UNITS, MEAN_UNITS};
use crate::scenario::{ClassSpec, PlanSpec, Scenario};
use serde_json::{Value, json};

/// The settings of the heads; `base_rate` is the rate of the smallest volume, requests a second.
pub fn platform_settings(scenario: &Scenario, backends: &[BackendSpec], base_rate: f64) -> Value {
    let classes: Vec<Value> = scenario.classes.iter().map(class_settings).collect();
    let plans: Vec<Value> = scenario.plans.iter().map(|plan| plan_settings(plan, base_rate)).collect();
    let writes: Vec<bool> = scenario.classes.iter().map(|class| !class.is_idempotent).collect();
    let (backend, network, rules) = (&scenario.backend, &scenario.network, &scenario.rules);
    json!({"balancers": scenario.heads, "period": 2000, "membershipMode": "subscribe", "zones": ["a"],
        "classes": classes, "plans": plans,
        "limits": {"cancel": true, "maxAttempts": rules.max_attempts, "maxRetryAfter": 2_000_000,
            "connIdle": network.idle_s * 1e6, "dialTimeout": network.dial_ms * 1e3,
            "maxOpen": rules.max_open_requests},
        "rules": {"drainGrace": rules.drain_grace_ms * 1e3, "askWithin": 10_000_000, "answerSlack": 8000,
            "startCapacity": backend.start_capacity, "warmWithin": backend.warm_up_s * 1e6,
            "tipMultiple": backend.overload_multiple, "fall": backend.overload_window_s * 1e6},
        "specifics": {"meanUnits": MEAN_UNITS, "unitsTop": MAX_UNITS, "meterPeriod": 0,
            "coldUnits": slow_start_units(scenario, backends), "changesData": writes}})
}

fn class_settings(class: &ClassSpec) -> Value {
    json!({"name": class.name, "goalTime": class.latency_objective_ms * 1e3,
        "deadline": class.deadline_ms * 1e3, "repeat": if class.is_idempotent { "free" } else { "single_shot" },
        "group": "all", "worth": class.priority_weight, "lateWorth": class.past_objective_fraction, "streaming": false,
        "dedupWindow": 0})
}

fn plan_settings(plan: &PlanSpec, base_rate: f64) -> Value {
    let nominal = base_rate * plan.size * MEAN_UNITS;
    json!({"name": plan.name, "nominal": nominal, "reserve": nominal * plan.reserve, "weight": plan.weight,
        "pays": plan.price})
}

/// Units that a just started backend can take in any case: what the smallest backend can do, at the most work that a
/// unit costs.
fn slow_start_units(scenario: &Scenario, backends: &[BackendSpec]) -> f64 {
    let settings = &scenario.backend;
    let least = backends.iter().map(BackendSpec::power).fold(f64::MAX, f64::min);
    let work_ms =
        settings.overload_multiple * settings.start_capacity * least * settings.overload_window_s * 1e3;
    let unit_ms = scenario.classes.iter().map(|class| class.work_ms[1] / MEAN_UNITS).fold(1e-3, f64::max);
    work_ms / unit_ms
}
