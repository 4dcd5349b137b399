//! The dispatcher without sockets: exactly one final response for each request, at most one attempt in
//! flight.

use sedgerun_dispatch::{AttemptResult, Dispatcher, Effect, FinalResponse, RequestSpec};
use sedgerun_policy::*;

const MS: Micros = 1_000;
const NOW: Micros = 1_000_000_000;

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: 200 * MS,
        timeout: 1_000 * MS,
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        ordered_by_key: false,
        priority_weight: 1.0,
        overdue_weight: 0.2,
    };
    Settings {
        heads: 1,
        tick: 2 * MS,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NotIdempotent)],
        plans: vec![ServicePlan {
            nominal_rate: 10.0,
            reservation: 5.0,
            weight: 1.0,
            priority_weight: 1.0,
            ..ServicePlan::default()
        }],
        permissions: Permissions {
            cancel: true,
            max_attempts: 4,
            max_retry_after: 2_000 * MS,
            ..Permissions::default()
        },
        mean_units: 2.0,
        max_units: 6.0,
        ..Settings::default()
    }
}

fn dispatcher() -> Dispatcher<&'static str, &'static str> {
    let mut dispatcher = Dispatcher::new(settings(), 1, 8);
    let endpoint =
        Endpoint { backend: BackendId(1), shard: 3, zone: 0, started_at: 0, readiness: Readiness::Ready };
    dispatcher.update_endpoints(NOW, UpdateScope::Cached, vec![endpoint]);
    dispatcher
}

fn spec(class: usize) -> RequestSpec {
    let deadline = NOW + 1_000 * MS;
    RequestSpec { class, plan: 0, key: 7, deadline, volume: 9, units: 2.0, shard: Some(3), volume_heads: 1.0 }
}

fn take_effects(
    dispatcher: &mut Dispatcher<&'static str, &'static str>,
) -> Vec<Effect<&'static str, &'static str>> {
    std::iter::from_fn(|| dispatcher.next_effect()).collect()
}

fn final_responses(
    dispatcher: &mut Dispatcher<&'static str, &'static str>,
) -> Vec<FinalResponse<&'static str>> {
    let response = |effect| if let Effect::Respond { response, .. } = effect { Some(response) } else { None };
    take_effects(dispatcher).into_iter().filter_map(response).collect()
}

/// Runs all timers that expire by `until` and returns the final responses in order.
fn run_timers(
    dispatcher: &mut Dispatcher<&'static str, &'static str>,
    until: Micros,
) -> Vec<FinalResponse<&'static str>> {
    let mut responses = Vec::new();
    while let Some(expiry) = dispatcher.next_timer().filter(|expiry| *expiry <= until) {
        dispatcher.run_expired_timers(expiry);
        responses.extend(final_responses(dispatcher));
    }
    responses
}

#[test]
fn a_request_whose_attempt_times_out_gets_a_final_response() {
    for (class, is_rejected) in [(0, true), (1, false)] {
        let mut dispatcher = dispatcher();
        assert!(dispatcher.submit(NOW, spec(class), "payload").is_some());
        let responses = run_timers(&mut dispatcher, NOW + 1_000 * MS);
        assert_eq!(responses.len(), 1, "class {class}: {responses:?}");
        assert_eq!(
            matches!(responses[0], FinalResponse::Rejected(_)),
            is_rejected,
            "class {class}: {responses:?}"
        );
        assert_eq!(dispatcher.open_requests(), 0);
    }
}

#[test]
fn a_request_that_a_backend_rejects_is_retried() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(1), "payload").expect("capacity");
    take_effects(&mut dispatcher);
    dispatcher.attempt_ended(NOW + MS, id, 0, AttemptResult::without_response(AttemptEnd::Rejected));
    let mut sends = take_effects(&mut dispatcher);
    for step in 1..100 {
        dispatcher.run_expired_timers(NOW + MS + step * MS);
        sends.extend(take_effects(&mut dispatcher));
    }
    let is_retried = sends.iter().any(|effect| matches!(effect, Effect::Send { attempt: 1, .. }));
    assert!(is_retried, "{sends:?}");
}

#[test]
fn a_non_idempotent_request_fails_without_retry_when_its_connection_breaks() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(1), "payload").expect("capacity");
    take_effects(&mut dispatcher);
    dispatcher.attempt_ended(NOW + MS, id, 0, AttemptResult::without_response(AttemptEnd::Reset));
    assert_eq!(final_responses(&mut dispatcher), [FinalResponse::Failed]);
    assert_eq!(run_timers(&mut dispatcher, NOW + 2_000 * MS), []);
}

#[test]
fn a_second_end_of_an_attempt_is_ignored() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(0), "payload").expect("capacity");
    let served = AttemptResult { response: Some("body"), ..AttemptResult::without_response(AttemptEnd::Ok) };
    dispatcher.attempt_ended(NOW + MS, id, 0, served.clone());
    dispatcher.attempt_ended(NOW + 2 * MS, id, 0, served);
    assert_eq!(final_responses(&mut dispatcher), [FinalResponse::Served("body")]);
    assert_eq!(run_timers(&mut dispatcher, NOW + 2_000 * MS), []);
}

#[test]
fn a_disconnected_client_gets_no_response() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(0), "payload").expect("capacity");
    dispatcher.client_disconnected(NOW + MS, id);
    dispatcher.attempt_ended(NOW + 2 * MS, id, 0, AttemptResult::without_response(AttemptEnd::Error));
    assert_eq!(run_timers(&mut dispatcher, NOW + 2_000 * MS), []);
    assert_eq!(dispatcher.open_requests(), 0);
}

#[test]
fn a_request_over_the_maximum_is_not_accepted() {
    let mut dispatcher = dispatcher();
    for _ in 0..8 {
        assert!(dispatcher.submit(NOW, spec(0), "payload").is_some());
    }
    assert!(dispatcher.submit(NOW, spec(0), "payload").is_none());
}

#[test]
fn a_request_without_any_backend_is_rejected_at_half_of_its_deadline() {
    let mut dispatcher = dispatcher();
    dispatcher.submit(NOW, RequestSpec { shard: Some(99), ..spec(0) }, "payload").expect("capacity");
    // No attempt has run, so a retry is safe. The positive delay shows that the controller has rejected the
    // request and not the dispatcher's deadline timer.
    assert_eq!(run_timers(&mut dispatcher, NOW + 400 * MS), []);
    let responses = run_timers(&mut dispatcher, NOW + 500 * MS);
    assert!(
        matches!(responses[..], [FinalResponse::Rejected(retry_after)] if retry_after > 0),
        "{responses:?}"
    );
}

#[test]
fn requests_for_an_unresponsive_backend_get_final_responses_by_their_deadline() {
    let mut dispatcher = dispatcher();
    for _ in 0..8 {
        dispatcher.submit(NOW, spec(0), "payload").expect("capacity");
    }
    assert_eq!(run_timers(&mut dispatcher, NOW + 1_000 * MS).len(), 8);
    assert_eq!(dispatcher.open_requests(), 0);
}

/// Requests that arrive during a graceful shutdown get their final response before it ends. They must still
/// be sent: the controller could take them for retries with little time left if it saw the shutdown deadline.
#[test]
fn requests_during_shutdown_are_sent_and_get_final_responses_by_the_shutdown_deadline() {
    let mut dispatcher = dispatcher();
    dispatcher.set_shutdown_deadline(NOW + 150 * MS);
    for class in [0, 1, 0, 0, 0, 0, 0] {
        assert!(dispatcher.submit(NOW, spec(class), "payload").is_some());
    }
    let is_sent =
        |effect: &Effect<_, _>| matches!(effect, Effect::Send { deadline, .. } if *deadline < NOW + 150 * MS);
    assert!(take_effects(&mut dispatcher).iter().filter(|effect| is_sent(effect)).count() >= 4);
    assert_eq!(run_timers(&mut dispatcher, NOW + 150 * MS).len(), 7);
    assert_eq!(dispatcher.open_requests(), 0);
}

/// A client that cancels its request gets the response of the attempt in flight; no further attempt starts.
#[test]
fn a_cancelled_request_gets_no_further_attempt() {
    for end in [
        AttemptEnd::Ok,
        AttemptEnd::Error,
        AttemptEnd::Rejected,
        AttemptEnd::ConnectFailed,
        AttemptEnd::Timeout,
    ] {
        let mut dispatcher = dispatcher();
        let id = dispatcher.submit(NOW, spec(0), "read").expect("capacity");
        assert!(matches!(take_effects(&mut dispatcher)[..], [.., Effect::Send { attempt: 0, .. }]));
        dispatcher.cancel(NOW + MS, id);
        assert!(take_effects(&mut dispatcher).is_empty(), "the attempt in flight continues");
        let response = (end == AttemptEnd::Ok).then_some("served");
        dispatcher.attempt_ended(
            NOW + 2 * MS,
            id,
            0,
            AttemptResult { response, ..AttemptResult::without_response(end) },
        );
        let after = take_effects(&mut dispatcher);
        let sent = after.iter().any(|effect| matches!(effect, Effect::Send { .. }));
        let responses = after.iter().filter(|effect| matches!(effect, Effect::Respond { .. })).count();
        assert!(!sent && responses == 1 && dispatcher.open_requests() == 0, "{end:?}: {after:?}");
    }
}
