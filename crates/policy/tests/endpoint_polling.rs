//! When the endpoint list is polled again after a failure.

mod common;

use common::head::TestHead;
use common::*;
use sedgerun_policy::*;

/// A broken watch is opened again, with a growing wait that stays under the rule's.
#[test]
fn a_broken_watch_is_opened_again_with_a_backoff() {
    let (mut head, first) = TestHead::started(vec![ready(1, 1)]);
    assert!(first.contains(&Action::Watch));
    let (mut now, mut waits) = (2 * SECOND, Vec::new());
    for _ in 0..8 {
        let actions = head.list(now, UpdateScope::Failed, Vec::new());
        let at = next_poll(&actions).expect("a time to poll again");
        waits.push(at - now);
        now = at;
        assert!(head.timer(now, POLL_TIMER).contains(&Action::Watch));
    }
    let poll_interval = settings().rules.poll_interval;
    assert!(waits[0] < waits[7] && waits.iter().all(|wait| *wait < poll_interval));
}

/// When `heads` poll again that lose their list together, six times each.
fn polls_after_failures(heads: u32) -> Vec<Micros> {
    let mut polls = Vec::new();
    for index in 0..heads {
        let mut head = TestHead::new(Settings { heads, ..settings() }, u64::from(index) * 77 + 3);
        let mut now = SECOND;
        for _ in 0..6 {
            let actions = head.list(now, UpdateScope::Failed, Vec::new());
            now = next_poll(&actions).expect("a time to poll again");
            polls.push(now);
            now += 2 * SECOND;
        }
    }
    polls
}

/// A hundred heads lose their list together, and its one service answers twenty polls a second and drops
/// none: what comes back in step, or too soon, keeps its queue too long for any. A few come back at once.
#[test]
fn failed_polls_come_back_no_faster_than_they_are_answered() {
    let many = polls_after_failures(100);
    for second in 1..20 {
        let within = |at: &&Micros| (second * SECOND..(second + 1) * SECOND).contains(*at);
        assert!(many.iter().filter(within).count() <= 45, "a storm in second {second}");
    }
    let first = many.iter().filter(|at| **at < 6 * SECOND).count();
    assert!(first >= 100, "too slow: {first}");
    assert!(polls_after_failures(3).iter().step_by(6).all(|at| *at < SECOND + 400 * MS));
}
