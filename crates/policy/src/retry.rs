//! Retries: the retry budget of the head, and the requests for which a retry is safe.
//!
//! Owns the times of the requests and retries in the current budget window.

use crate::request::OpenRequest;
use crate::{AttemptEnd, DeduplicationScope, Idempotency, Micros, RequestClass, RetryBudgetLimits, Settings};
use std::collections::VecDeque;

/// The retries that a head may send within a sliding window: a fixed number, and a fraction of the requests
/// received.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryBudget {
    pub(crate) fn on_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    pub(crate) fn on_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Whether the budget allows one more retry at `now`.
    pub(crate) fn allows_retry(&mut self, limits: &RetryBudgetLimits, now: Micros) -> bool {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| at + limits.window <= now) {
                times.pop_front();
            }
        }
        let budget = limits.free_retries + limits.retries_per_request * self.requests.len() as f64;
        limits.window == 0 || self.retries.len() as f64 + 1.0 <= budget
    }
}

/// Whether the request may still be running at the backend after an attempt that ended with `end`.
pub(crate) fn may_still_run(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Timeout | AttemptEnd::Reset | AttemptEnd::Cancelled)
}

/// Whether the request may have run in an unsuccessful attempt that ended with `end`.
pub(crate) fn may_have_run(end: AttemptEnd) -> bool {
    may_still_run(end) || end == AttemptEnd::Error
}

/// Whether another attempt is safe, within the maximum number of attempts, and can still get a response
/// before the client's deadline. The caller checks the retry budget.
pub(crate) fn may_retry(request: &OpenRequest, settings: &Settings, now: Micros) -> bool {
    let class = &settings.classes[request.spec.class];
    may_run_again(request, class, settings.max_pause, now)
        && request.attempts < settings.permissions.max_attempts
        && now + 2 * settings.tick < request.spec.deadline
}

/// Whether the request may be sent to a backend again because it cannot take effect twice.
fn may_run_again(request: &OpenRequest, class: &RequestClass, max_pause: Micros, now: Micros) -> bool {
    match (class.idempotency, request.possibly_executed) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::NotIdempotent, Some(_)) => false,
        (Idempotency::WithKey, Some(_)) => !is_deduplication_over(request, class, max_pause, now),
    }
}

/// Whether a request that may have run can no longer begin again at `time`: a backend could begin it after its
/// deduplication window, and run it twice.
pub(crate) fn is_deduplication_over(
    request: &OpenRequest,
    class: &RequestClass,
    max_pause: Micros,
    time: Micros,
) -> bool {
    latest_begin(request, class, max_pause).is_some_and(|latest| time >= latest)
}

/// The time before which the clock must be read for the last byte of a further attempt; `None` where no window applies.
///
/// Backends drop duplicates for a window from the first attempt that may have run. They begin a request with its last
/// byte, which may be written `max_pause` after the clock was read.
pub(crate) fn latest_begin(request: &OpenRequest, class: &RequestClass, max_pause: Micros) -> Option<Micros> {
    let execution = request.possibly_executed.filter(|_| class.idempotency == Idempotency::WithKey)?;
    Some((execution.sent_at + class.deduplication_window).saturating_sub(max_pause))
}

/// Whether the client may retry the request through any head: it did not run, or running it again is safe.
pub(crate) fn is_safe_for_client_to_retry(request: &OpenRequest, class: &RequestClass) -> bool {
    let cannot_have_run = request.possibly_executed.is_none();
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => cannot_have_run || class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => cannot_have_run,
    }
}
