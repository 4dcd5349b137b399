//! The simulated backend: how it shares its cores, caches, defers work, pauses and warms up.

use sedgerun_testbed::drawn_scenario::types::BackendSpec;
use sedgerun_testbed::model::backend_parameters::{BackendParameters, ONE};
use sedgerun_testbed::model::simulated_backend::{AdmissionVerdict, BackendRequest, SimulatedBackend};
use sedgerun_testbed::scenario::{BackendSettings, Scenario};

/// A scenario whose backends neither pause nor flush during a test.
fn quiet() -> Scenario {
    let backend = BackendSettings {
        contention: 0.0,
        deferred_fraction: 0.0,
        cache_saving: 0.5,
        concurrent_requests: 2,
        queue_length: 1,
        pause_every_s: [1e5; 2],
        flush_s: [1e3; 2],
        ..BackendSettings::default()
    };
    Scenario { backend, ..Scenario::default() }
}

fn started(scenario: &Scenario, just_started: bool) -> SimulatedBackend {
    let spec = BackendSpec { cores: 1, speed: ONE, shard: 0 };
    SimulatedBackend::new(spec, BackendParameters::new(scenario), 1000, just_started, 7)
}

fn request(token: u64, work: u64) -> BackendRequest {
    BackendRequest {
        token,
        work,
        key: token + 100,
        is_first_attempt: true,
        is_write: false,
        needs_handshake: false,
    }
}

#[test]
fn cores_share_their_time_and_a_full_queue_rejects() {
    let mut backend = started(&quiet(), false);
    assert_eq!(backend.admit(1000, request(1, 10_000)), AdmissionVerdict::Admitted);
    assert_eq!(backend.admit(1000, request(2, 20_000)), AdmissionVerdict::Admitted);
    assert_eq!(backend.admit(1000, request(3, 5_000)), AdmissionVerdict::Admitted);
    assert_eq!(backend.admit(1000, request(4, 5_000)), AdmissionVerdict::Rejected);
    // Two share one core: the first is done at 20 ms, then the third begins beside the second.
    assert_eq!(backend.next_change(), Some(21_000));
    assert_eq!(backend.advance(20_999), Vec::<u64>::new());
    assert_eq!(backend.advance(21_000), vec![1]);
    assert_eq!(backend.advance(31_000), vec![3]);
    assert_eq!(backend.advance(36_000), vec![2]);
    assert_eq!(backend.next_change(), None);
}

#[test]
fn pauses_come_at_their_own_times_and_not_with_the_first_request_after_them() {
    let mut scenario = quiet();
    (scenario.backend.pause_every_s, scenario.backend.pause_ms) = ([1.0; 2], [100.0; 2]);
    let mut backend = started(&scenario, false);
    backend.advance(500_000);
    backend.advance(5_600_000);
    backend.admit(5_600_000, request(1, 10_000));
    assert_eq!(backend.advance(5_610_000), vec![1], "the fifth pause was over at 5.501 s");
    backend.advance(6_550_000);
    backend.admit(6_550_000, request(2, 10_000));
    assert_eq!(backend.advance(6_610_999), Vec::<u64>::new());
    assert_eq!(backend.advance(6_611_000), vec![2], "the sixth lasts to 6.601 s");
}

#[test]
fn cached_items_cost_less_and_cancelled_requests_in_the_queue_nothing() {
    let mut backend = started(&quiet(), false);
    backend.admit(1000, request(1, 10_000));
    backend.advance(11_000);
    let again = BackendRequest { token: 2, ..request(1, 10_000) };
    backend.admit(11_000, again);
    assert_eq!(backend.advance(16_000), vec![2]);
    let verdicts = [3, 4, 5].map(|token| backend.admit(16_000, request(token, 10_000)));
    assert_eq!(verdicts, [AdmissionVerdict::Admitted; 3]);
    backend.cancel(5);
    backend.cancel(4);
    assert_eq!(backend.advance(1_000_000), vec![3, 4], "what runs goes on");
}

#[test]
fn a_started_backend_warms_up_and_fails_when_sent_too_much() {
    let mut backend = started(&quiet(), true);
    assert_eq!(backend.capacity(), 150_000);
    // 3 times what it can do in 1.5 s: 675 ms of work.
    backend.admit(1000, request(1, 600_000));
    assert!(!backend.has_failed() && backend.peak_load() > 880_000);
    backend.advance(2_000_000);
    assert!(backend.capacity() > 240_000);
    backend.admit(2_000_000, request(2, 600_000));
    assert!(!backend.has_failed(), "the window has passed");
    backend.admit(2_000_000, request(3, 700_000));
    assert!(backend.has_failed() && backend.next_change().is_none());
    let mut backend = started(&quiet(), true);
    backend.advance(18_001_000);
    assert_eq!(backend.capacity(), ONE);
}

#[test]
fn deferred_work_is_flushed_in_one_go() {
    let mut scenario = quiet();
    (scenario.backend.deferred_fraction, scenario.backend.flush_s) = (0.5, [0.1; 2]);
    let mut backend = started(&scenario, false);
    backend.admit(1000, BackendRequest { is_write: true, ..request(1, 40_000) });
    assert_eq!(backend.advance(21_000), vec![1]);
    backend.advance(90_000);
    backend.admit(90_000, request(2, 20_000));
    // At 101 ms the backend stalls for the 20 ms that were deferred.
    assert_eq!(backend.advance(129_999), Vec::<u64>::new());
    assert_eq!(backend.advance(130_000), vec![2]);
}
