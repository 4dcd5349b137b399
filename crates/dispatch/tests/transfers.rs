//! Attempts whose request or response takes long to transfer: only the time without any response ends an attempt early.

use sedgerun_dispatch::{AttemptResult, AttemptStage, Dispatcher, Effect, FinalResponse, RequestSpec};
use sedgerun_policy::*;

const MS: Micros = 1_000;
const NOW: Micros = 1_000_000_000;
const OBJECTIVE: Micros = 200 * MS;
const TIMEOUT: Micros = 1_000 * MS;

type TestDispatcher = Dispatcher<&'static str, &'static str>;

/// A dispatcher with one attempt of a request that must not run twice.
fn with_attempt() -> TestDispatcher {
    let class = RequestClass {
        latency_objective: OBJECTIVE,
        timeout: TIMEOUT,
        idempotency: Idempotency::NotIdempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        ordered_by_key: false,
        priority_weight: 1.0,
        overdue_weight: 0.2,
    };
    let settings = Settings {
        heads: 1,
        tick: 2 * MS,
        classes: vec![class],
        plans: vec![ServicePlan { nominal_rate: 10.0, weight: 1.0, ..ServicePlan::default() }],
        permissions: Permissions { cancel: true, max_attempts: 1, ..Permissions::default() },
        mean_units: 1.0,
        max_units: 6.0,
        ..Settings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, 1, 8);
    let endpoint =
        Endpoint { backend: BackendId(1), shard: 3, zone: 0, started_at: 0, readiness: Readiness::Ready };
    dispatcher.update_endpoints(NOW, UpdateScope::Cached, vec![endpoint]);
    assert_eq!(submit(&mut dispatcher, NOW), 1);
    dispatcher
}

/// Submits a request that waits for [`TIMEOUT`]; the number of attempts that begin with it.
fn submit(dispatcher: &mut TestDispatcher, now: Micros) -> usize {
    let spec = RequestSpec {
        class: 0,
        plan: 0,
        key: 7,
        deadline: now + TIMEOUT,
        volume: 9,
        units: 1.0,
        shard: Some(3),
        volume_heads: 1.0,
    };
    dispatcher.submit(now, spec, "request").expect("a place");
    let sent = std::iter::from_fn(|| dispatcher.next_effect());
    sent.filter(|effect| matches!(effect, Effect::Send { .. })).count()
}

/// The result of an attempt whose response is passed on.
fn passed_on() -> AttemptResult<&'static str> {
    AttemptResult {
        response: Some("beginning"),
        transfer_continues: true,
        ..AttemptResult::without_response(AttemptEnd::Ok)
    }
}

/// Runs the timers up to a time; the final responses and the number of cancelled attempts.
fn run_until(dispatcher: &mut TestDispatcher, until: Micros) -> (Vec<FinalResponse<&'static str>>, usize) {
    while let Some(expiry) = dispatcher.next_timer().filter(|expiry| *expiry <= until) {
        dispatcher.run_expired_timers(expiry);
    }
    let (mut responses, mut cancelled) = (Vec::new(), 0);
    while let Some(effect) = dispatcher.next_effect() {
        match effect {
            Effect::Respond { response, .. } => responses.push(response),
            Effect::Cancel { .. } => cancelled += 1,
            Effect::Send { .. } | Effect::Watch => {}
        }
    }
    (responses, cancelled)
}

#[test]
fn an_attempt_without_a_response_ends_at_the_objective() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::Sending);
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::AwaitingResponse);
    assert_eq!(run_until(&mut dispatcher, NOW + OBJECTIVE - 1), (vec![], 0));
    assert_eq!(run_until(&mut dispatcher, NOW + OBJECTIVE), (vec![FinalResponse::Failed], 1));
}

#[test]
fn an_attempt_goes_on_while_its_response_is_coming_in() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::AwaitingResponse);
    dispatcher.attempt_advanced(NOW + 150 * MS, 0, 0, AttemptStage::ReceivingResponse);
    assert_eq!(run_until(&mut dispatcher, NOW + 900 * MS), (vec![], 0));
    let served =
        AttemptResult { response: Some("response"), ..AttemptResult::without_response(AttemptEnd::Ok) };
    dispatcher.attempt_ended(NOW + 900 * MS, 0, 0, served);
    assert_eq!(run_until(&mut dispatcher, NOW + 900 * MS), (vec![FinalResponse::Served("response")], 0));
}

#[test]
fn a_response_that_comes_in_until_the_deadline_has_failed_before_it() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + 150 * MS, 0, 0, AttemptStage::ReceivingResponse);
    assert_eq!(run_until(&mut dispatcher, NOW + TIMEOUT), (vec![FinalResponse::Failed], 1));
}

#[test]
fn a_request_that_is_written_until_the_deadline_is_rejected_as_it_never_ran() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::Sending);
    assert_eq!(run_until(&mut dispatcher, NOW + 900 * MS), (vec![], 0));
    let (responses, cancelled) = run_until(&mut dispatcher, NOW + TIMEOUT);
    assert!(matches!(responses[..], [FinalResponse::Rejected(_)]), "{responses:?}");
    assert_eq!(cancelled, 1);
}

#[test]
fn a_request_that_took_long_to_write_leaves_time_for_its_response() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::Sending);
    dispatcher.attempt_advanced(NOW + 500 * MS, 0, 0, AttemptStage::AwaitingResponse);
    // A millisecond went by before the first byte was written; it counts, and the writing does not.
    let timeout_at = NOW + OBJECTIVE + 499 * MS;
    assert_eq!(run_until(&mut dispatcher, timeout_at - 1), (vec![], 0));
    let (responses, _) = run_until(&mut dispatcher, timeout_at);
    assert_eq!(responses, [FinalResponse::Failed]);
}

/// Guards against timers that outlive their requests, whose number follows the rate of requests.
#[test]
fn the_timers_of_a_request_end_with_it() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::AwaitingResponse);
    let served =
        AttemptResult { response: Some("response"), ..AttemptResult::without_response(AttemptEnd::Ok) };
    dispatcher.attempt_ended(NOW + 2 * MS, 0, 0, served);
    let mut expired = Vec::new();
    while let Some(expiry) = dispatcher.next_timer().filter(|expiry| *expiry < NOW + 2 * TIMEOUT) {
        expired.push(expiry);
        dispatcher.run_expired_timers(expiry);
    }
    // The control period of the controller is all that is left.
    assert!(expired.iter().all(|expiry| (expiry - NOW).is_multiple_of(1_000 * MS)), "{expired:?}");
}

/// Guards against a large response that is cut at the end of its client's wait.
#[test]
fn a_response_that_is_passed_on_is_ended_by_neither_timeout_nor_deadline() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW + MS, 0, 0, AttemptStage::AwaitingResponse);
    dispatcher.attempt_ended(NOW + 30 * MS, 0, 0, passed_on());
    let (responses, cancelled) = run_until(&mut dispatcher, NOW + 4 * TIMEOUT);
    assert_eq!((responses, cancelled), (vec![FinalResponse::Served("beginning")], 0));
    assert_eq!(dispatcher.open_requests(), 0);
    assert!(dispatcher.has_attempt_at(BackendId(1)), "the transfer goes on");
    dispatcher.transfer_ended(NOW + 4 * TIMEOUT, 0, 0, AttemptEnd::Ok);
    assert!(!dispatcher.has_attempt_at(BackendId(1)));
}

/// Guards against a transfer that counts as the latency of its backend, so that other requests are refused.
#[test]
fn requests_are_sent_beside_transfers_and_behind_them() {
    let mut dispatcher = with_attempt();
    let transfers = 12;
    for id in 0..transfers {
        let now = NOW + u64::from(id) * MS;
        if id > 0 {
            assert_eq!(submit(&mut dispatcher, now), 1, "beside {id} transfers");
        }
        dispatcher.attempt_advanced(now, id, 0, AttemptStage::AwaitingResponse);
        dispatcher.attempt_ended(now, id, 0, passed_on());
    }
    let end = NOW + 3 * TIMEOUT;
    run_until(&mut dispatcher, end);
    for id in 0..transfers {
        dispatcher.transfer_progressed(end, id, 0);
        dispatcher.transfer_ended(end, id, 0, AttemptEnd::Ok);
    }
    assert_eq!(submit(&mut dispatcher, end), 1, "behind the transfers");
}

/// Guards against a transfer that is tried again, or answered twice, once the client has a part of it.
#[test]
fn a_transfer_that_breaks_off_or_stands_still_is_not_tried_again() {
    for end in [AttemptEnd::Reset, AttemptEnd::Timeout, AttemptEnd::Cancelled] {
        let mut dispatcher = with_attempt();
        dispatcher.attempt_ended(NOW + 30 * MS, 0, 0, passed_on());
        dispatcher.transfer_ended(NOW + 500 * MS, 0, 0, end);
        let (responses, cancelled) = run_until(&mut dispatcher, NOW + 2 * TIMEOUT);
        assert_eq!((responses, cancelled), (vec![FinalResponse::Served("beginning")], 0), "{end:?}");
        assert!(!dispatcher.has_attempt_at(BackendId(1)), "{end:?}");
    }
}

/// The time of a message that comes in slowly does not count against the next one of the same attempt.
#[test]
fn a_response_in_several_messages_has_its_time_for_each() {
    let mut dispatcher = with_attempt();
    dispatcher.attempt_advanced(NOW, 0, 0, AttemptStage::AwaitingResponse);
    dispatcher.attempt_advanced(NOW + 100 * MS, 0, 0, AttemptStage::ReceivingResponse);
    dispatcher.attempt_advanced(NOW + 400 * MS, 0, 0, AttemptStage::AwaitingResponse);
    assert_eq!(run_until(&mut dispatcher, NOW + OBJECTIVE + 300 * MS - 1), (vec![], 0));
    assert_eq!(run_until(&mut dispatcher, NOW + OBJECTIVE + 300 * MS), (vec![FinalResponse::Failed], 1));
}
