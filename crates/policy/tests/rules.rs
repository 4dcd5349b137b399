//! Property tests: the rules hold over seeded sequences of events, under several kinds of settings.

mod common;

use common::simulation::{Conditions, simulate};
use common::*;
use sedgerun_policy::*;

const LIGHT_LOAD: Conditions =
    Conditions { requests_per_second: 60, failure_percent: 1, max_latency_ms: 120, churn_percent: 0 };
const MANY_FAULTS: Conditions =
    Conditions { requests_per_second: 150, failure_percent: 15, max_latency_ms: 400, churn_percent: 12 };
const HEAVY_LOAD: Conditions =
    Conditions { requests_per_second: 600, failure_percent: 5, max_latency_ms: 150, churn_percent: 6 };

fn simulate_all(settings: &Settings) {
    for seed in 1..=4 {
        for conditions in [&LIGHT_LOAD, &MANY_FAULTS, &HEAVY_LOAD] {
            simulate(settings, conditions, seed, 15);
        }
    }
}

#[test]
fn rules_hold_with_every_limit_in_force() {
    simulate_all(&settings());
}

#[test]
fn rules_hold_without_optional_limits() {
    let mut settings = settings();
    settings.rules = Rules { response_slack: 8 * MS, ..Rules::default() };
    settings.permissions = Permissions { max_attempts: 1, ..Permissions::default() };
    settings.plans = vec![ServicePlan { weight: 1.0, priority_weight: 1.0, ..ServicePlan::default() }];
    simulate_all(&settings);
}

#[test]
fn rules_hold_for_one_head_without_retry_budget() {
    let mut settings = settings();
    settings.heads = 1;
    settings.rules.retry_budget.free_retries = 0.0;
    settings.rules.retry_budget.retries_per_request = 0.0;
    simulate_all(&settings);
}

#[test]
fn rules_hold_for_every_deduplication_scope() {
    for scope in [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Shard] {
        let mut settings = settings();
        settings.classes[WITH_KEY].deduplication_scope = scope;
        simulate_all(&settings);
    }
}

#[test]
fn rules_hold_for_heads_that_are_paused_within_short_windows() {
    let mut settings = settings();
    settings.max_pause = 150 * MS;
    for window in [100 * MS, 200 * MS, 400 * MS] {
        settings.classes[WITH_KEY].deduplication_window = window;
        simulate_all(&settings);
    }
}

#[test]
fn rules_hold_for_a_different_deployment() {
    // No reservations, a limit on every plan, load reports, no cancelling of attempts, only idempotent
    // requests, and twice as many heads.
    let mut settings = settings();
    settings.heads = 6;
    settings.usage_report_period = 2 * SECOND;
    settings.permissions.cancel = false;
    settings.permissions.must_poll = false;
    settings.classes.truncate(1);
    settings.plans.truncate(1);
    settings.plans[LIMITED].limit_burst = 80.0;
    simulate_all(&settings);
}

#[test]
fn identical_events_give_identical_actions() {
    assert_eq!(simulate(&settings(), &MANY_FAULTS, 9, 15), simulate(&settings(), &MANY_FAULTS, 9, 15));
}
