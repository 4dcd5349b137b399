//! Backends in slow start under the sum of what many heads send: beyond what the settings let one bear, N
//! calls, only 2 x root of N + 2 are put down to chance, with every first attempt, retry and trial counted
//! in.

mod common;

use common::fleet::{Fleet, full_capacity, simulate};
use common::*;
use sedgerun_policy::Micros;

/// Those fleets, over sizes of the backend, loads, ends of attempts and seeds.
fn assert_within_bound(heads: u32, asked_heads: u32, lull: Micros) {
    let mut broken = Vec::new();
    for safe_units in [20.0, 200.0, 500.0] {
        for (load, failing) in [(0.7, 0), (1.0, 20), (3.0, 0), (3.0, 40)] {
            for seed in [3, 11] {
                let named_part = 1.0;
                let fleet = Fleet { heads, asked_heads, safe_units, named_part, load, failing, lull, seed };
                let (worst, sent) = simulate(fleet);
                assert!(sent > 20, "starved: {sent} calls of {fleet:?}");
                if worst > 1.0 {
                    broken.push(format!("{worst:.2} of what is allowed, {fleet:?}"));
                }
            }
        }
    }
    assert!(broken.is_empty(), "{}\n{}", broken.len(), broken.join("\n"));
}

#[test]
fn twenty_heads_all_asked_send_no_more_than_the_backend_bears() {
    assert_within_bound(20, 20, 0);
}

#[test]
fn thirty_heads_all_asked_send_no_more_than_the_backend_bears() {
    assert_within_bound(30, 30, 0);
}

#[test]
fn thirty_heads_of_which_a_few_are_asked_most_send_no_more_than_the_backend_bears() {
    assert_within_bound(30, 5, 0);
}

#[test]
fn thirty_heads_of_which_one_is_asked_most_send_no_more_than_the_backend_bears() {
    assert_within_bound(30, 1, 0);
}

#[test]
fn four_heads_all_asked_send_no_more_than_the_backend_bears() {
    assert_within_bound(4, 4, 0);
}

#[test]
fn four_heads_of_which_one_is_asked_most_send_no_more_than_the_backend_bears() {
    assert_within_bound(4, 1, 0);
}

#[test]
fn two_heads_both_asked_send_no_more_than_the_backend_bears() {
    assert_within_bound(2, 2, 0);
}

#[test]
fn eight_heads_of_which_one_is_asked_most_send_no_more_than_the_backend_bears() {
    assert_within_bound(8, 1, 0);
}

/// All are asked again at the same moment, with whatever they may save up.
#[test]
fn few_heads_asked_again_at_once_send_no_more_than_the_backend_bears() {
    assert_within_bound(4, 1, 2 * SECOND);
    assert_within_bound(8, 8, SECOND);
}

/// The same of a large fleet.
#[test]
fn thirty_heads_asked_again_at_once_send_no_more_than_the_backend_bears() {
    assert_within_bound(30, 30, SECOND);
    assert_within_bound(30, 5, 2 * SECOND);
}

/// The part of what a backend bears, or is demanded, that gets through to it from heads which are all asked.
fn part_that_gets_through(heads: u32, safe_units: f64, named_part: f64) -> f64 {
    let load = 0.7;
    let (asked_heads, failing, lull, seed) = (heads, 0, 0, 5);
    let fleet = Fleet { heads, asked_heads, safe_units, named_part, load, failing, lull, seed };
    let (_, sent) = simulate(fleet);
    f64::from(sent) / borne_or_demanded(safe_units, load)
}

/// A bound that is kept by sending nothing is no use.
#[test]
fn few_heads_all_asked_keep_a_backend_in_slow_start_busy() {
    for heads in [1, 2, 3, 4, 6, 8] {
        for safe_units in [13.0, 20.0, 200.0] {
            let part = part_that_gets_through(heads, safe_units, 1.0);
            assert!(part > 0.65, "{part:.2} at {heads} of {safe_units} units");
        }
    }
}

/// Settings name what the weakest backend always bears; others bear many times as much.
#[test]
fn few_heads_keep_a_backend_busy_that_bears_far_more_than_the_settings_name() {
    for heads in [1, 2, 4, 6, 8] {
        let part = part_that_gets_through(heads, 40.0, 0.05);
        assert!(part > 0.5, "{part:.2} at {heads}");
    }
}

/// Calls that a backend bears during its slow start, or that are demanded of it where that is less.
fn borne_or_demanded(safe_units: f64, load: f64) -> f64 {
    const STEPS: u32 = 1000;
    let settings = settings();
    let limits = &settings.rules.slow_start;
    let demanded = load * full_capacity(safe_units, &settings);
    let step_seconds = limits.duration as f64 / SECOND as f64 / f64::from(STEPS);
    let calls = |step: u32| {
        let growth = 1.0 + (1.0 / limits.initial_capacity - 1.0) * f64::from(step) / f64::from(STEPS);
        let bears = safe_units * growth / (limits.overload_window as f64 / SECOND as f64);
        bears.min(demanded) / settings.mean_units * step_seconds
    };
    (0..STEPS).map(calls).sum()
}
