//! Attempts on unresponsive connections, at backends that respond on other connections.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

fn send(head: &mut TestHead, now: Micros, id: RequestId) -> Vec<(RequestId, u64)> {
    sends(&head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND)))
}

/// An attempt on an unresponsive connection occupied a concurrency slot of its backend until it timed out,
/// and its timeout counted as a latency of the backend, though all later attempts got their responses.
#[test]
fn an_overtaken_attempt_occupies_no_slot_and_its_timeout_is_not_recorded() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    // Three attempts get no response; all later attempts do.
    for id in 1..=3 {
        assert_eq!(send(&mut head, now, id).len(), 1);
        now += MS;
    }
    for id in 10..15 {
        assert_eq!(send(&mut head, now, id).len(), 1);
        now += 10 * MS;
        head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Ok, 10 * MS));
    }
    // The slots of the three are free for others.
    let sent_at_once: usize = (20..26).map(|id| send(&mut head, now, id).len()).sum();
    assert!(sent_at_once >= 4, "only {sent_at_once} sent");
    for id in 20..26 {
        head.end_attempt(now + 10 * MS, outcome(id, 0, 1, AttemptEnd::Ok, 10 * MS));
    }
    // Their timeouts do not hold back further requests.
    now += 900 * MS;
    for id in 1..=3 {
        head.end_attempt(now, outcome(id, 0, 1, AttemptEnd::Timeout, 950 * MS));
    }
    assert_eq!(send(&mut head, now + MS, 30).len(), 1);
}

/// Attempts on unresponsive connections used up the concurrency limit of a backend, and nothing else was sent
/// there until they timed out. For large reads that is long after the latency objective of every small one.
#[test]
fn an_unresponsive_backend_is_probed_before_its_attempts_time_out() {
    let mut head = TestHead::with_one_backend();
    let mut now = 2 * SECOND;
    head.run_sequentially(&mut now, 1..9, AttemptEnd::Ok, 10 * MS);
    head.timer(now, PERIOD_TIMER);
    // Attempts without a response fill the concurrency limit; the next request is queued.
    let filled = (20..60).take_while(|id| !send(&mut head, now, *id).is_empty()).count();
    assert!((2..30).contains(&filled), "{filled} sent");
    let mut probes = Vec::new();
    while probes.is_empty() {
        now += 5 * MS;
        probes = sends(&head.timer(now, SWEEP_TIMER));
        assert!(now < 3 * SECOND, "the backend is not probed");
    }
    assert_eq!(probes.len(), 1, "more than one probe at a time: {probes:?}");
    // The probe gets a response: the attempts before it are stalled and occupy no slots.
    head.end_attempt(now + 10 * MS, outcome(probes[0].0, 0, 1, AttemptEnd::Ok, 10 * MS));
    assert_eq!(send(&mut head, now + 11 * MS, 70), [(70, 1)]);
}
