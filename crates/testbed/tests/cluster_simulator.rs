//! The cluster simulator: many seeds without a broken rule, injected bugs that are caught, and replays.

use sedgerun_testbed::cluster_simulator::fault::Fault;
use sedgerun_testbed::cluster_simulator::{ClusterRun, InjectedBug, play, play_all};
use std::time::Duration;

const RUN: ClusterRun = ClusterRun { seed: 1, heads: (3, 5), faults_for: Duration::from_secs(8), bug: None };

#[test]
fn two_hundred_seeds_lose_nothing() {
    let all = play_all(RUN, 200, 4);
    assert!(all.broken.is_empty(), "{}", all.table());
    assert!(all.acknowledged > 10_000, "{}", all.table());
    for fault in [Fault::Kill, Fault::Power, Fault::Isolate, Fault::Deaf, Fault::Stall, Fault::Lose] {
        assert!(all.injected.get(&fault) > Some(&5), "{fault:?} was hardly injected: {}", all.table());
    }
}

#[test]
fn injected_bugs_are_caught() {
    for bug in InjectedBug::ALL {
        let all = play_all(ClusterRun { bug: Some(bug), faults_for: Duration::from_secs(20), ..RUN }, 24, 4);
        assert!(!all.broken.is_empty(), "{bug:?} is not caught: {}", all.table());
    }
}

/// The order in which tasks of the libraries that are ready at once are polled is theirs, so that a replay is the
/// same in its faults and in the verdict, and not to the last acknowledgement.
#[test]
fn a_replay_injects_the_same_faults_and_comes_to_the_same_verdict() {
    for seed in 1..6 {
        let (first, again) = (play(ClusterRun { seed, ..RUN }), play(ClusterRun { seed, ..RUN }));
        assert_eq!((first.injected, first.broken), (again.injected, again.broken), "seed {seed}");
    }
}
