//! The delay of the next poll of the endpoint list after a failure.

mod common;

use common::head::TestHead;
use common::*;
use sedgerun_policy::*;

/// A broken watch is reopened after a growing delay that stays below the poll interval.
#[test]
fn a_broken_watch_is_reopened_with_backoff() {
    let (mut head, first) = TestHead::started(vec![ready(1, 1)]);
    assert!(first.contains(&Action::Watch));
    let (mut now, mut delays) = (2 * SECOND, Vec::new());
    for _ in 0..8 {
        let actions = head.update_endpoints(now, UpdateScope::Failed, Vec::new());
        let at = next_poll(&actions).expect("the next poll is scheduled");
        delays.push(at - now);
        now = at;
        assert!(head.timer(now, POLL_TIMER).contains(&Action::Watch));
    }
    let poll_interval = settings().rules.poll_interval;
    assert!(delays[0] < delays[7] && delays.iter().all(|delay| *delay < poll_interval));
}

/// The times at which `heads` heads poll again whose polls fail at the same time, six times each.
fn polls_after_failures(heads: u32) -> Vec<Micros> {
    let mut polls = Vec::new();
    for index in 0..heads {
        let mut head = TestHead::new(Settings { heads, ..settings() }, u64::from(index) * 77 + 3);
        let mut now = SECOND;
        for _ in 0..6 {
            let actions = head.update_endpoints(now, UpdateScope::Failed, Vec::new());
            now = next_poll(&actions).expect("the next poll is scheduled");
            polls.push(now);
            now += 2 * SECOND;
        }
    }
    polls
}

/// When 100 heads lose their watches together, the discovery service responds to 20 polls per second and
/// drops none. If all heads retry in step or too early, its queue stays longer than the timeout of every
/// poll. A few heads may retry at once.
#[test]
fn failed_polls_are_retried_no_faster_than_the_service_responds() {
    let many = polls_after_failures(100);
    for second in 1..20 {
        let within = |at: &&Micros| (second * SECOND..(second + 1) * SECOND).contains(*at);
        assert!(many.iter().filter(within).count() <= 45, "too many polls in second {second}");
    }
    let first = many.iter().filter(|at| **at < 6 * SECOND).count();
    assert!(first >= 100, "only {first} polls in the first 5 s");
    assert!(polls_after_failures(3).iter().step_by(6).all(|at| *at < SECOND + 400 * MS));
}
