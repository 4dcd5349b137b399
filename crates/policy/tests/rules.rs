//! The seven rules as properties over seeded event sequences, under several kinds of settings.

mod common;

use common::simulation::{Conditions, simulate};
use common::*;
use sedgerun_policy::*;

const CALM: Conditions = Conditions { rate: 60, failing: 1, slowest: 120, churn: 0 };
const ROUGH: Conditions = Conditions { rate: 150, failing: 15, slowest: 400, churn: 12 };
const FLOOD: Conditions = Conditions { rate: 600, failing: 5, slowest: 150, churn: 6 };

fn simulate_all(settings: &Settings) {
    for seed in 1..=4 {
        for conditions in [&CALM, &ROUGH, &FLOOD] {
            simulate(settings, conditions, seed, 15);
        }
    }
}

#[test]
fn rules_hold_with_every_rule_in_force() {
    simulate_all(&settings());
}

#[test]
fn rules_hold_without_optional_figures() {
    let mut s = settings();
    s.rules = Rules { response_slack: 8 * MS, ..Rules::default() };
    s.permissions = Permissions { max_attempts: 1, ..Permissions::default() };
    s.plans = vec![ServicePlan { weight: 1.0, priority_weight: 1.0, ..ServicePlan::default() }];
    simulate_all(&s);
}

#[test]
fn rules_hold_for_one_head_without_retry_budget() {
    let mut s = settings();
    s.heads = 1;
    s.rules.retry_budget.free_retries = 0.0;
    s.rules.retry_budget.retries_per_request = 0.0;
    simulate_all(&s);
}

#[test]
fn rules_hold_for_every_deduplication_scope() {
    for scope in [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Shard] {
        let mut s = settings();
        s.classes[WITH_KEY].deduplication_scope = scope;
        simulate_all(&s);
    }
}

#[test]
fn rules_hold_for_an_unseen_deployment() {
    // No reservations, limits on every plan, load reports, no cancelling, idempotent classes only, twice the
    // heads.
    let mut s = settings();
    s.heads = 6;
    s.usage_report_period = 2 * SECOND;
    s.permissions.cancel = false;
    s.permissions.must_poll = false;
    s.classes.truncate(1);
    s.plans.truncate(1);
    s.plans[LIMITED].limit_burst = 80.0;
    simulate_all(&s);
}

#[test]
fn identical_events_give_identical_actions() {
    assert_eq!(simulate(&settings(), &ROUGH, 9, 15), simulate(&settings(), &ROUGH, 9, 15));
}
