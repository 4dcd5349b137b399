//! The dispatcher without sockets: one final answer for each request, at most one attempt in flight.

use sedgerun_dispatch::{AttemptResult, Dispatcher, Effect, FinalResponse, RequestSpec};
use sedgerun_policy::*;

const MS: Micros = 1_000;
const NOW: Micros = 1_000_000_000;

fn settings() -> Settings {
    let class = |repeat| RequestClass {
        latency_objective: 200 * MS,
        timeout: 1_000 * MS,
        idempotency: repeat,
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

fn effects(
    dispatcher: &mut Dispatcher<&'static str, &'static str>,
) -> Vec<Effect<&'static str, &'static str>> {
    std::iter::from_fn(|| dispatcher.next_effect()).collect()
}

fn finals(dispatcher: &mut Dispatcher<&'static str, &'static str>) -> Vec<FinalResponse<&'static str>> {
    let answer = |effect| if let Effect::Respond { response, .. } = effect { Some(response) } else { None };
    effects(dispatcher).into_iter().filter_map(answer).collect()
}

/// Runs the timers up to a time, and gathers the final answers.
fn run(
    dispatcher: &mut Dispatcher<&'static str, &'static str>,
    until: Micros,
) -> Vec<FinalResponse<&'static str>> {
    let mut all = Vec::new();
    while let Some(due) = dispatcher.next_timer().filter(|due| *due <= until) {
        dispatcher.run_expired_timers(due);
        all.extend(finals(dispatcher));
    }
    all
}

#[test]
fn an_attempt_that_times_out_still_brings_a_final_answer() {
    for (class, is_rejected) in [(0, true), (1, false)] {
        let mut dispatcher = dispatcher();
        assert!(dispatcher.submit(NOW, spec(class), "job").is_some());
        let answers = run(&mut dispatcher, NOW + 1_000 * MS);
        assert_eq!(answers.len(), 1, "class {class}: {answers:?}");
        assert_eq!(
            matches!(answers[0], FinalResponse::Rejected(_)),
            is_rejected,
            "class {class}: {answers:?}"
        );
        assert_eq!(dispatcher.open_requests(), 0);
    }
}

#[test]
fn a_request_that_a_backend_rejected_unseen_is_sent_again() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(1), "job").expect("capacity");
    effects(&mut dispatcher);
    dispatcher.attempt_ended(NOW + MS, id, 0, AttemptResult::without_response(AttemptEnd::Rejected));
    let mut sends = effects(&mut dispatcher);
    for step in 1..100 {
        dispatcher.run_expired_timers(NOW + MS + step * MS);
        sends.extend(effects(&mut dispatcher));
    }
    let again = sends.iter().any(|effect| matches!(effect, Effect::Send { attempt: 1, .. }));
    assert!(again, "{sends:?}");
}

#[test]
fn a_write_whose_connection_broke_fails_and_is_never_sent_again() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(1), "job").expect("capacity");
    effects(&mut dispatcher);
    dispatcher.attempt_ended(NOW + MS, id, 0, AttemptResult::without_response(AttemptEnd::Reset));
    assert_eq!(finals(&mut dispatcher), [FinalResponse::Failed]);
    assert_eq!(run(&mut dispatcher, NOW + 2_000 * MS), []);
}

#[test]
fn an_answer_is_given_once_and_a_second_end_is_ignored() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(0), "job").expect("capacity");
    let served = AttemptResult { response: Some("body"), ..AttemptResult::without_response(AttemptEnd::Ok) };
    dispatcher.attempt_ended(NOW + MS, id, 0, served.clone());
    dispatcher.attempt_ended(NOW + 2 * MS, id, 0, served);
    assert_eq!(finals(&mut dispatcher), [FinalResponse::Served("body")]);
    assert_eq!(run(&mut dispatcher, NOW + 2_000 * MS), []);
}

#[test]
fn a_disconnected_client_gets_no_answer() {
    let mut dispatcher = dispatcher();
    let id = dispatcher.submit(NOW, spec(0), "job").expect("capacity");
    dispatcher.client_disconnected(NOW + MS, id);
    dispatcher.attempt_ended(NOW + 2 * MS, id, 0, AttemptResult::without_response(AttemptEnd::Error));
    assert_eq!(run(&mut dispatcher, NOW + 2_000 * MS), []);
    assert_eq!(dispatcher.open_requests(), 0);
}

#[test]
fn a_full_dispatcher_takes_no_further_request() {
    let mut dispatcher = dispatcher();
    for _ in 0..8 {
        assert!(dispatcher.submit(NOW, spec(0), "job").is_some());
    }
    assert!(dispatcher.submit(NOW, spec(0), "job").is_none());
}

#[test]
fn a_request_that_no_backend_can_take_is_rejected_by_half_of_its_time() {
    let mut dispatcher = dispatcher();
    dispatcher.submit(NOW, RequestSpec { shard: Some(99), ..spec(0) }, "job").expect("capacity");
    // It never ran, so that trying again is harmless: a rejection, and the controller's own.
    assert_eq!(run(&mut dispatcher, NOW + 400 * MS), []);
    let answers = run(&mut dispatcher, NOW + 500 * MS);
    assert!(matches!(answers[..], [FinalResponse::Rejected(wait)] if wait > 0), "{answers:?}");
}

#[test]
fn requests_queued_behind_a_silent_backend_are_answered_by_their_deadline() {
    let mut dispatcher = dispatcher();
    for _ in 0..8 {
        dispatcher.submit(NOW, spec(0), "job").expect("capacity");
    }
    assert_eq!(run(&mut dispatcher, NOW + 1_000 * MS).len(), 8);
    assert_eq!(dispatcher.open_requests(), 0);
}

/// Before the program ends, requests that still come are answered in time, and the controller does not take them
/// for retries with little time left.
#[test]
fn requests_before_the_final_deadline_are_answered_by_it() {
    let mut dispatcher = dispatcher();
    dispatcher.set_shutdown_deadline(NOW + 150 * MS);
    for class in [0, 1, 0, 0, 0, 0, 0] {
        assert!(dispatcher.submit(NOW, spec(class), "job").is_some());
    }
    let sent =
        |effect: &Effect<_, _>| matches!(effect, Effect::Send { deadline, .. } if *deadline < NOW + 150 * MS);
    assert!(effects(&mut dispatcher).iter().filter(|effect| sent(effect)).count() >= 4);
    assert_eq!(run(&mut dispatcher, NOW + 150 * MS).len(), 7);
    assert_eq!(dispatcher.open_requests(), 0);
}

/// A client that cancels its request gets the response of the attempt in flight; no other attempt begins.
#[test]
fn a_cancelled_request_gets_no_further_attempt() {
    for ending in [
        AttemptEnd::Ok,
        AttemptEnd::Error,
        AttemptEnd::Rejected,
        AttemptEnd::ConnectFailed,
        AttemptEnd::Timeout,
    ] {
        let mut dispatcher = dispatcher();
        let id = dispatcher.submit(NOW, spec(0), "read").expect("capacity");
        assert!(matches!(effects(&mut dispatcher)[..], [.., Effect::Send { attempt: 0, .. }]));
        dispatcher.cancel(NOW + MS, id);
        assert!(effects(&mut dispatcher).is_empty(), "its attempt is in flight");
        let reply = (ending == AttemptEnd::Ok).then_some("served");
        dispatcher.attempt_ended(
            NOW + 2 * MS,
            id,
            0,
            AttemptResult { response: reply, ..AttemptResult::without_response(ending) },
        );
        let after = effects(&mut dispatcher);
        let sent = after.iter().any(|effect| matches!(effect, Effect::Send { .. }));
        let finals = after.iter().filter(|effect| matches!(effect, Effect::Respond { .. })).count();
        assert!(!sent && finals == 1 && dispatcher.open_requests() == 0, "{ending:?}: {after:?}");
    }
}
