//! World for the fleet's store: many seeds without a broken rule, planted faults that are caught, and replays.

use sedgerun_rehearse::fleet::strikes::Strike;
use sedgerun_rehearse::fleet::{Plant, Run, play, play_all};
use std::time::Duration;

const RUN: Run = Run { seed: 1, heads: (3, 5), strikes_for: Duration::from_secs(8), plant: None };

#[test]
fn two_hundred_seeds_lose_nothing() {
    let all = play_all(RUN, 200, 4);
    assert!(all.broken.is_empty(), "{}", all.table());
    assert!(all.acknowledged > 10_000, "{}", all.table());
    for strike in [Strike::Kill, Strike::Power, Strike::Isolate, Strike::Deaf, Strike::Stall, Strike::Lose] {
        assert!(all.struck.get(&strike) > Some(&5), "{strike:?} hardly struck: {}", all.table());
    }
}

#[test]
fn planted_faults_are_caught() {
    for plant in Plant::ALL {
        let all = play_all(Run { plant: Some(plant), strikes_for: Duration::from_secs(20), ..RUN }, 24, 4);
        assert!(!all.broken.is_empty(), "{plant:?} is not caught: {}", all.table());
    }
}

/// The order in which tasks of the libraries that are ready at once are polled is theirs, so that a replay is the
/// same in what strikes and in the verdict, and not to the last acknowledgement.
#[test]
fn a_replay_strikes_the_same_and_comes_to_the_same_verdict() {
    for seed in 1..6 {
        let (first, again) = (play(Run { seed, ..RUN }), play(Run { seed, ..RUN }));
        assert_eq!((first.struck, first.broken), (again.struck, again.broken), "seed {seed}");
    }
}
