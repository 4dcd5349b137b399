//! What heads send to a backend that has just started, or may have.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// When the backends of these tests start.
const START: Micros = 10 * SECOND;

/// A restarted head must not spend again what its predecessor may just have spent on a backend in slow start.
#[test]
fn a_restarted_head_leaves_backends_in_slow_start_alone_for_a_window() {
    let mut head = TestHead::new(settings(), 5);
    head.list(10 * SECOND, UpdateScope::Cached, vec![endpoint(1, 1, 9 * SECOND, Readiness::Ready)]);
    let request = request(1, WITH_KEY, Some(1), 13 * SECOND);
    assert!(sends(&head.receive(10 * SECOND + MS, request)).is_empty());
    assert_eq!(sends(&head.timer(11 * SECOND + 2 * MS, SWEEP_TIMER)), [(1, 1)]);
}

/// The part of one in two hundred heads is under one request: together they must neither starve a backend
/// that restarts with others at once nor send it more than it bears.
#[test]
fn many_heads_share_what_a_backend_in_slow_start_bears() {
    let settings = Settings { heads: 200, ..settings() };
    let endpoints = vec![endpoint(1, 1, START, Readiness::Ready), endpoint(2, 2, START, Readiness::Ready)];
    let (mut sent, mut units_by_second) = (0, vec![0.0; 9]);
    for index in 0..200u32 {
        let mut head = TestHead::new(settings.clone(), u64::from(index) * 77 + 3);
        head.list(START, UpdateScope::Cached, endpoints.clone());
        for (second, units) in units_by_second.iter_mut().enumerate() {
            let now = START + second as u64 * SECOND + u64::from(index) * MS;
            let mut actions =
                head.receive(now, request(second as u32, IDEMPOTENT, Some(1), now + 2 * SECOND));
            actions.extend(head.timer(now + 900 * MS, SWEEP_TIMER));
            for (id, _) in sends(&actions) {
                sent += 1;
                *units += 2.0;
                head.end_attempt(now + 920 * MS, outcome(id, 0, 1, AttemptEnd::Ok, 20 * MS));
            }
        }
    }
    assert!(sent > 100, "a backend in slow start starves: {sent}");
    for (second, units) in units_by_second.iter().enumerate() {
        let bears = settings.rules.slow_start.safe_units * (1.0 + 4.0 * (second as f64 + 1.0) / 10.0);
        assert!(*units <= 1.5 * bears, "second {second}: {units} of {bears}");
    }
}

/// Units that so many heads of a hundred send in each of ten seconds to a backend that has just replaced
/// another, where each has been asked for so many requests a second there since 4 s before.
fn units_sent_to_a_replacement(heads: u32, requests_per_second: u32) -> Vec<f64> {
    let settings = Settings { heads: 100, ..settings() };
    let rate = u64::from(requests_per_second);
    let mut units_by_second = vec![0.0; 10];
    for index in 0..heads {
        let mut head = TestHead::new(settings.clone(), u64::from(index) * 77 + 3);
        for step in 0..14 * rate {
            let now = START - 4 * SECOND + step * SECOND / rate + u64::from(index) * MS;
            if step == 0 {
                head.list(now, UpdateScope::Full, vec![ready(1, 1)]);
            }
            if step == 4 * rate {
                head.list(now, UpdateScope::Delta, replacement());
            }
            let id = step as u32 + 1;
            let mut actions = head.receive(now, request(id, IDEMPOTENT, Some(1), now + 2 * SECOND));
            if step % rate == 0 {
                actions.extend(head.timer(now, PERIOD_TIMER));
            }
            for (id, backend) in sends(&actions) {
                if backend == 2 {
                    units_by_second[((now - START) / SECOND) as usize] += 2.0;
                }
                head.end_attempt(now + 5 * MS, outcome(id, 0, backend, AttemptEnd::Ok, 5 * MS));
            }
        }
    }
    units_by_second
}

/// Backend 2 takes the shard over from backend 1.
fn replacement() -> Vec<Endpoint> {
    vec![endpoint(1, 1, 0, Readiness::Removed), endpoint(2, 1, START, Readiness::Ready)]
}

/// Of a hundred heads ten are asked for a backend that is replaced: an even part of what any backend bears at
/// its start starved it. Each reduces what it is typically asked for by half of what overloads the backend; a
/// surge does not count.
#[test]
fn the_few_heads_that_are_asked_reduce_their_own_demand_in_slow_start() {
    let few = units_sent_to_a_replacement(10, 2);
    assert!(few.iter().sum::<f64>() > 120.0, "a backend in slow start starves: {few:?}");
    let surging = units_sent_to_a_replacement(1, 40);
    for (second, (few, surging)) in few.iter().zip(&surging).enumerate() {
        let capacity = 0.2 * (1.0 + 4.0 * (second as f64 + 1.0) / 10.0);
        // Half of the factor that overloads it, 2, of 40 units; and of twice what its volume is sized for, 6.
        assert!(*few <= 1.25 * capacity * 40.0 + 2.0, "second {second}: {few}");
        assert!(*surging <= 1.25 * capacity * 12.0 + 2.0, "second {second}: {surging}");
    }
}

/// How many requests are sent when one comes for shard 3.
fn sent_to_shard_3(head: &mut TestHead, id: RequestId, now: Micros) -> usize {
    sends(&head.receive(now, request(id, IDEMPOTENT, Some(3), now + 2 * SECOND))).len()
}

/// How many of four requests are sent to a backend that has just refused the connection of another.
fn sent_after_a_refused_connection(heads: u32) -> usize {
    let mut head = TestHead::new(Settings { heads, ..settings() }, 5);
    head.list(SECOND, UpdateScope::Full, vec![ready(1, 3)]);
    assert_eq!(sent_to_shard_3(&mut head, 1, 2 * SECOND), 1);
    head.end_attempt(2 * SECOND + MS, outcome(1, 0, 1, AttemptEnd::ConnectFailed, MS));
    let times = (2..6).map(|id| (id, 2 * SECOND + Micros::from(id) * 10 * MS));
    times.map(|(id, now)| sent_to_shard_3(&mut head, id, now)).sum()
}

/// Of 100 heads each has an even part of what a backend bears at its start: far less than a request.
#[test]
fn a_refused_connection_makes_a_backend_count_as_new_where_many_heads_would_crowd_it() {
    assert!(sent_after_a_refused_connection(3) > 0, "a small fleet tries again at once");
    assert_eq!(sent_after_a_refused_connection(100), 0, "a large one waits for its part");
}

/// How many of five requests are sent to a backend after so many connections were not established in time.
fn sent_after_connect_timeouts(timeouts: u32) -> u32 {
    let mut head = TestHead::new(Settings { heads: 100, ..settings() }, 5);
    head.list(SECOND, UpdateScope::Full, vec![ready(1, 3)]);
    let mut now = 2 * SECOND;
    let mut sent = 0;
    for id in 1..timeouts + 6 {
        let actions = head.receive(now, request(id, ORDERED, Some(3), now + 4 * SECOND));
        let is_sent = !sends(&actions).is_empty();
        sent += u32::from(is_sent && id > timeouts);
        let end = if id > timeouts { AttemptEnd::Ok } else { AttemptEnd::ConnectTimeout };
        now += 10 * MS;
        let last = AttemptOutcome { request_ended: true, ..outcome(id, 0, 1, end, 10 * MS) };
        head.end_attempt(now, last);
        // Past the wait for a trial of an unavailable backend.
        now += if id == timeouts { 600 * MS } else { 10 * MS };
    }
    sent
}

#[test]
fn connections_that_time_out_make_a_backend_count_as_new_only_where_a_few_in_a_row_do() {
    assert_eq!(sent_after_connect_timeouts(1), 5, "one late connection is the link's doing");
    assert_eq!(sent_after_connect_timeouts(2), 5, "so may be two");
    assert_eq!(sent_after_connect_timeouts(3), 0, "three may be a process that has just started");
}
