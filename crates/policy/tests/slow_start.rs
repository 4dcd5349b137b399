//! Slow start: what heads send to a backend that has just started, or may have restarted.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// When the backends in these tests start.
const START: Micros = 10 * SECOND;

/// A restarted head must not use its share of a backend in slow start again, because its previous incarnation
/// may just have used it up.
#[test]
fn a_restarted_head_sends_nothing_to_a_backend_in_slow_start_for_a_window() {
    let mut head = TestHead::new(settings(), 5);
    head.update_endpoints(
        10 * SECOND,
        UpdateScope::Cached,
        vec![endpoint(1, 1, 9 * SECOND, Readiness::Ready)],
    );
    let request = request(1, WITH_KEY, Some(1), 13 * SECOND);
    assert!(sends(&head.receive(10 * SECOND + MS, request)).is_empty());
    assert_eq!(sends(&head.timer(11 * SECOND + 2 * MS, SWEEP_TIMER)), [(1, 1)]);
}

/// Each of 200 heads has a share of less than one request. Together they must neither starve nor overload a
/// backend that starts at the same time as others.
#[test]
fn many_heads_share_the_capacity_of_a_backend_in_slow_start() {
    let settings = Settings { heads: 200, ..settings() };
    let endpoints = vec![endpoint(1, 1, START, Readiness::Ready), endpoint(2, 2, START, Readiness::Ready)];
    let (mut sent, mut units_by_second) = (0, vec![0.0; 9]);
    for index in 0..200u32 {
        let mut head = TestHead::new(settings.clone(), u64::from(index) * 77 + 3);
        head.update_endpoints(START, UpdateScope::Cached, endpoints.clone());
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
    assert!(sent > 100, "only {sent} requests sent to a backend in slow start");
    for (second, units) in units_by_second.iter().enumerate() {
        let capacity = settings.rules.slow_start.safe_units * (1.0 + 4.0 * (second as f64 + 1.0) / 10.0);
        assert!(*units <= 1.5 * capacity, "second {second}: {units} units of {capacity}");
    }
}

/// Units per second that `heads` of 100 heads send to a replacement backend in the ten seconds after its
/// start. Each of them has received `requests_per_second` for its shard since 4 s before.
fn units_sent_to_a_replacement(heads: u32, requests_per_second: u32) -> Vec<f64> {
    let settings = Settings { heads: 100, ..settings() };
    let rate = u64::from(requests_per_second);
    let mut units_by_second = vec![0.0; 10];
    for index in 0..heads {
        let mut head = TestHead::new(settings.clone(), u64::from(index) * 77 + 3);
        for step in 0..14 * rate {
            let now = START - 4 * SECOND + step * SECOND / rate + u64::from(index) * MS;
            if step == 0 {
                head.update_endpoints(now, UpdateScope::Full, vec![ready(1, 1)]);
            }
            if step == 4 * rate {
                head.update_endpoints(now, UpdateScope::Delta, replacement());
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

/// Endpoint update in which backend 2 replaces backend 1 for shard 1.
fn replacement() -> Vec<Endpoint> {
    vec![endpoint(1, 1, 0, Readiness::Removed), endpoint(2, 1, START, Readiness::Ready)]
}

/// Ten of 100 heads have requests for a backend that is replaced. Limited to an equal share of the safe units
/// each, they starved the replacement. Instead, each head sends its typical demand reduced to half of the
/// load at which the backend fails; a surge does not count as typical demand.
#[test]
fn heads_send_their_reduced_typical_demand_in_slow_start() {
    let few = units_sent_to_a_replacement(10, 2);
    assert!(few.iter().sum::<f64>() > 120.0, "too little is sent to a backend in slow start: {few:?}");
    let surging = units_sent_to_a_replacement(1, 40);
    for (second, (few, surging)) in few.iter().zip(&surging).enumerate() {
        let capacity = 0.2 * (1.0 + 4.0 * (second as f64 + 1.0) / 10.0);
        // The demand is 40 units per second; that of a surge counts as at most twice the volume's nominal
        // rate of 6. Half of the overload factor of 2 leaves it unchanged.
        assert!(*few <= 1.25 * capacity * 40.0 + 2.0, "second {second}: {few}");
        assert!(*surging <= 1.25 * capacity * 12.0 + 2.0, "second {second}: {surging}");
    }
}

/// Number of requests that are sent when one for shard 3 is received.
fn sent_to_shard_3(head: &mut TestHead, id: RequestId, now: Micros) -> usize {
    sends(&head.receive(now, request(id, IDEMPOTENT, Some(3), now + 2 * SECOND))).len()
}

/// Number of four requests that are sent to a backend that has just refused the connection of another
/// request.
fn sent_after_a_refused_connection(heads: u32) -> usize {
    let mut head = TestHead::new(Settings { heads, ..settings() }, 5);
    head.update_endpoints(SECOND, UpdateScope::Full, vec![ready(1, 3)]);
    assert_eq!(sent_to_shard_3(&mut head, 1, 2 * SECOND), 1);
    head.end_attempt(2 * SECOND + MS, outcome(1, 0, 1, AttemptEnd::ConnectFailed, MS));
    let times = (2..6).map(|id| (id, 2 * SECOND + Micros::from(id) * 10 * MS));
    times.map(|(id, now)| sent_to_shard_3(&mut head, id, now)).sum()
}

/// A refused connection may mean a restart. In a cluster of 100 heads the share of each is far less than one
/// request, so nothing may be sent at once; 3 heads cannot overload the backend.
#[test]
fn a_refused_connection_begins_a_slow_start_in_a_large_cluster() {
    assert!(sent_after_a_refused_connection(3) > 0, "3 heads must send again at once");
    assert_eq!(sent_after_a_refused_connection(100), 0, "100 heads must begin a slow start");
}

/// Number of five requests that are sent to a backend after `timeouts` connections in a row timed out.
fn sent_after_connect_timeouts(timeouts: u32) -> u32 {
    let mut head = TestHead::new(Settings { heads: 100, ..settings() }, 5);
    head.update_endpoints(SECOND, UpdateScope::Full, vec![ready(1, 3)]);
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
        // Past the probe interval of an unavailable backend.
        now += if id == timeouts { 600 * MS } else { 10 * MS };
    }
    sent
}

#[test]
fn only_three_connect_timeouts_in_a_row_begin_a_slow_start() {
    assert_eq!(sent_after_connect_timeouts(1), 5, "one timeout may be caused by the network");
    assert_eq!(sent_after_connect_timeouts(2), 5, "two timeouts may be caused by the network");
    assert_eq!(sent_after_connect_timeouts(3), 0, "three timeouts may be caused by a restart");
}
