//! Attempts on connections that fell silent, at backends that answer others.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

fn send(head: &mut TestHead, now: Micros, id: RequestId) -> Vec<(RequestId, u64)> {
    sends(&head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND)))
}

/// Silent connections: an attempt on one occupied its backend until it timed out, and its timeout counted as
/// the backend's latency, though all that was sent later was answered.
#[test]
fn an_attempt_that_later_ones_overtake_occupies_nothing_and_tells_nothing_of_its_backend() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    // Three are silent; what is sent after them is answered.
    for id in 1..=3 {
        assert_eq!(send(&mut head, now, id).len(), 1);
        now += MS;
    }
    for id in 10..15 {
        assert_eq!(send(&mut head, now, id).len(), 1);
        now += 10 * MS;
        head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Ok, 10 * MS));
    }
    // Their places are free for others.
    let sent_at_once: usize = (20..26).map(|id| send(&mut head, now, id).len()).sum();
    assert!(sent_at_once >= 4, "{sent_at_once} sent");
    for id in 20..26 {
        head.end_attempt(now + 10 * MS, outcome(id, 0, 1, AttemptEnd::Ok, 10 * MS));
    }
    // Their timeouts keep nobody out.
    now += 900 * MS;
    for id in 1..=3 {
        head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Timeout, 950 * MS));
    }
    assert_eq!(send(&mut head, now + MS, 30).len(), 1);
}

/// Silent connections: the attempts on them filled the concurrency limit of a backend, and nothing else was
/// sent there until they timed out, which for a large read is long after every small one's latency objective.
#[test]
fn a_backend_that_falls_silent_is_tried_again_before_its_attempts_time_out() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_one_by_one(&mut now, 1..9, AttemptEnd::Ok, 10 * MS);
    head.timer(now, PERIOD_TIMER);
    // As many as may be in flight all fall silent; what comes then waits.
    let filled = (20..60).take_while(|id| !send(&mut head, now, *id).is_empty()).count();
    assert!((2..30).contains(&filled), "{filled} sent");
    let mut trials = Vec::new();
    while trials.is_empty() {
        now += 5 * MS;
        trials = sends(&head.timer(now, SWEEP_TIMER));
        assert!(now < 3 * SECOND, "nothing tries the backend");
    }
    assert_eq!(trials.len(), 1, "one at a time: {trials:?}");
    // It is answered: those before it are stalled, and occupy nothing.
    head.end_attempt(now + 10 * MS, outcome(trials[0].0, 0, 1, AttemptEnd::Ok, 10 * MS));
    assert_eq!(send(&mut head, now + 11 * MS, 70), [(70, 1)]);
}
