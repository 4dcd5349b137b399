//! Retries of requests with an idempotency key, which backends recognise for a window only.

mod common;

use common::head::{TestHead, rejections, sends};
use common::*;
use sedgerun_policy::*;

const WINDOW: Micros = 400 * MS;
const MAX_PAUSE: Micros = 150 * MS;
const SENT_AT: Micros = 2 * SECOND;

/// A head with one attempt of a request with a key in flight.
fn head_with_attempt(max_pause: Micros) -> TestHead {
    let mut settings = Settings { max_pause, ..settings() };
    settings.classes[WITH_KEY].deduplication_window = WINDOW;
    settings.classes[WITH_KEY].deduplication_scope = DeduplicationScope::All;
    let mut head = TestHead::new(settings, 5);
    head.update_endpoints(SECOND, UpdateScope::Full, vec![ready(1, 1)]);
    let sent = head.receive(SENT_AT, request(7, WITH_KEY, Some(1), SENT_AT + 3 * SECOND));
    assert_eq!(sends(&sent), [(7, 1)]);
    head
}

/// Guards against a retry whose last byte may be written after the window, as the head may be paused before that.
#[test]
fn a_request_is_retried_only_while_a_pause_of_the_head_still_ends_within_the_window() {
    for (max_pause, age, is_retried) in [
        (0, WINDOW - MS, true),
        (0, WINDOW, false),
        (MAX_PAUSE, WINDOW - MAX_PAUSE - MS, true),
        (MAX_PAUSE, WINDOW - MAX_PAUSE, false),
        (WINDOW, MS, false),
    ] {
        let mut head = head_with_attempt(max_pause);
        let ended = head.end_attempt(SENT_AT + age, outcome(7, 0, 1, AttemptEnd::Reset, age));
        assert_eq!(!sends(&ended).is_empty(), is_retried, "{max_pause} us, after {age} us");
        assert_eq!(rejections(&ended) > 0, !is_retried, "{max_pause} us, after {age} us");
    }
}

/// Guards against a retry that was queued within the window and is sent after it: capacity becomes free before the sweep
/// that sheds the request.
#[test]
fn a_queued_request_is_not_sent_after_its_window_though_no_sweep_has_run() {
    for (freed_after, is_sent) in [(100 * MS, true), (WINDOW - MAX_PAUSE, false)] {
        let mut head = head_with_attempt(MAX_PAUSE);
        let send = |head: &mut TestHead, id| {
            let request = request(id, IDEMPOTENT, Some(1), SENT_AT + 2 * SECOND);
            !sends(&head.receive(SENT_AT + MS, request)).is_empty()
        };
        let in_flight: Vec<RequestId> = (20..80).take_while(|id| send(&mut head, *id)).collect();
        assert!((1..50).contains(&in_flight.len()), "{in_flight:?}");
        let ended = head.end_attempt(SENT_AT + 2 * MS, outcome(7, 0, 1, AttemptEnd::Reset, 2 * MS));
        assert!(!sends(&ended).contains(&(7, 1)), "sent though the backend has no capacity");
        let freed_at = SENT_AT + freed_after;
        let mut sent = Vec::new();
        for id in in_flight {
            let ended = head.end_attempt(freed_at, outcome(id, 0, 1, AttemptEnd::Ok, 20 * MS));
            sent.extend(sends(&ended));
        }
        assert_eq!(sent.contains(&(7, 1)), is_sent, "{freed_after} us: {sent:?}");
    }
}

#[test]
fn the_latest_beginning_of_an_attempt_follows_from_the_first_that_may_have_run() {
    let mut settings = Settings { max_pause: MAX_PAUSE, ..settings() };
    settings.classes[WITH_KEY].deduplication_window = WINDOW;
    let mut controller = Controller::new(settings, 5);
    let mut actions = Vec::new();
    let list = Event::EndpointList { scope: UpdateScope::Full, endpoints: vec![ready(1, 1)] };
    controller.handle(SECOND, list, &mut actions);
    let request = request(7, WITH_KEY, Some(1), SENT_AT + 3 * SECOND);
    controller.handle(SENT_AT, Event::Request(request), &mut actions);
    assert_eq!(controller.latest_begin(7), None);
    let reset = outcome(7, 0, 1, AttemptEnd::Reset, 20 * MS);
    controller.handle(SENT_AT + 20 * MS, Event::AttemptEnded(reset), &mut actions);
    assert_eq!(controller.latest_begin(7), Some(SENT_AT + WINDOW - MAX_PAUSE));
    assert_eq!(controller.latest_begin(8), None);
}
