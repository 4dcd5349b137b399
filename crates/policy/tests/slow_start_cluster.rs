//! Slow start under the load of all heads of a cluster. If a backend has capacity for N requests within the
//! overload window, the heads may send at most N + 2 * sqrt(N) + 2, with every first attempt, retry and probe
//! counted. The excess over N is the tolerance for random variation.

mod common;

use common::cluster::{Cluster, full_capacity, simulate};
use common::*;
use sedgerun_policy::Micros;

/// Checks the bound for several backend sizes, loads, failure rates and seeds.
fn assert_within_bound(heads: u32, busy_heads: u32, pause: Micros) {
    let mut violations = Vec::new();
    for safe_units in [20.0, 200.0, 500.0] {
        for (load, failure_percent) in [(0.7, 0), (1.0, 20), (3.0, 0), (3.0, 40)] {
            for seed in [3, 11] {
                let cluster = Cluster {
                    heads,
                    busy_heads,
                    safe_units,
                    stated_fraction: 1.0,
                    load,
                    failure_percent,
                    pause,
                    seed,
                };
                let (worst, sent) = simulate(cluster);
                assert!(sent > 20, "only {sent} attempts sent by {cluster:?}");
                if worst > 1.0 {
                    violations.push(format!("{worst:.2} times the allowed attempts, {cluster:?}"));
                }
            }
        }
    }
    assert!(violations.is_empty(), "{}\n{}", violations.len(), violations.join("\n"));
}

#[test]
fn twenty_heads_with_equal_load_do_not_overload_the_backend() {
    assert_within_bound(20, 20, 0);
}

#[test]
fn thirty_heads_with_equal_load_do_not_overload_the_backend() {
    assert_within_bound(30, 30, 0);
}

#[test]
fn thirty_heads_with_load_mostly_at_five_do_not_overload_the_backend() {
    assert_within_bound(30, 5, 0);
}

#[test]
fn thirty_heads_with_load_mostly_at_one_do_not_overload_the_backend() {
    assert_within_bound(30, 1, 0);
}

#[test]
fn four_heads_with_equal_load_do_not_overload_the_backend() {
    assert_within_bound(4, 4, 0);
}

#[test]
fn four_heads_with_load_mostly_at_one_do_not_overload_the_backend() {
    assert_within_bound(4, 1, 0);
}

#[test]
fn two_heads_with_equal_load_do_not_overload_the_backend() {
    assert_within_bound(2, 2, 0);
}

#[test]
fn eight_heads_with_load_mostly_at_one_do_not_overload_the_backend() {
    assert_within_bound(8, 1, 0);
}

/// After a pause, the load returns at all heads at once, when their tokens have accumulated.
#[test]
fn few_heads_do_not_overload_the_backend_after_a_pause_in_load() {
    assert_within_bound(4, 1, 2 * SECOND);
    assert_within_bound(8, 8, SECOND);
}

/// The same in a large cluster.
#[test]
fn thirty_heads_do_not_overload_the_backend_after_a_pause_in_load() {
    assert_within_bound(30, 30, SECOND);
    assert_within_bound(30, 5, 2 * SECOND);
}

/// The number of attempts sent to a backend in slow start by heads with equal load, as a fraction of the
/// number that the backend could serve or, if less, that is demanded.
fn sent_fraction(heads: u32, safe_units: f64, stated_fraction: f64) -> f64 {
    let load = 0.7;
    let (busy_heads, failure_percent, pause, seed) = (heads, 0, 0, 5);
    let cluster =
        Cluster { heads, busy_heads, safe_units, stated_fraction, load, failure_percent, pause, seed };
    let (_, sent) = simulate(cluster);
    f64::from(sent) / servable_or_demanded(safe_units, load)
}

/// The bound must not be kept by sending too little.
#[test]
fn few_heads_with_equal_load_use_the_capacity_of_a_backend_in_slow_start() {
    for heads in [1, 2, 3, 4, 6, 8] {
        for safe_units in [13.0, 20.0, 200.0] {
            let fraction = sent_fraction(heads, safe_units, 1.0);
            assert!(fraction > 0.65, "{fraction:.2} with {heads} heads and {safe_units} safe units");
        }
    }
}

/// The settings state the safe units of the smallest backend; others have many times its capacity.
#[test]
fn few_heads_use_the_capacity_of_a_backend_with_far_more_than_the_stated_safe_units() {
    for heads in [1, 2, 4, 6, 8] {
        let fraction = sent_fraction(heads, 40.0, 0.05);
        assert!(fraction > 0.5, "{fraction:.2} with {heads} heads");
    }
}

/// Number of requests that a backend can serve during its slow start, or that are demanded of it if that is
/// less.
fn servable_or_demanded(safe_units: f64, load: f64) -> f64 {
    const STEPS: u32 = 1000;
    let settings = settings();
    let limits = &settings.rules.slow_start;
    let demanded = load * full_capacity(safe_units, &settings);
    let step_seconds = limits.duration as f64 / SECOND as f64 / f64::from(STEPS);
    let requests_in_step = |step: u32| {
        let growth = 1.0 + (1.0 / limits.initial_capacity - 1.0) * f64::from(step) / f64::from(STEPS);
        let capacity = safe_units * growth / (limits.overload_window as f64 / SECOND as f64);
        capacity.min(demanded) / settings.mean_units * step_seconds
    };
    (0..STEPS).map(requests_in_step).sum()
}
