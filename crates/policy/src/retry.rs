//! Retries: how many a head may send, and for which requests a retry is safe.
//!
//! Owns the times of the requests and retries of the last budget window.

use crate::request::QueuedRequest;
use crate::{AttemptEnd, DeduplicationScope, Idempotency, Micros, RequestClass, RetryBudgetLimits, Settings};
use std::collections::VecDeque;

/// What the rules let a head retry within a sliding window: some retries free, and more for each request
/// received.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryBudget {
    /// Counts a request that was received.
    pub(crate) fn on_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    /// Counts a retry that was sent.
    pub(crate) fn on_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Whether there is budget for one more retry.
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

/// Whether an attempt that ended like this may still be running at the backend.
pub(crate) fn may_still_run(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Timeout | AttemptEnd::Reset | AttemptEnd::Cancelled)
}

/// Whether an unserved attempt that ended like this may have taken effect.
pub(crate) fn may_have_run(end: AttemptEnd) -> bool {
    may_still_run(end) || end == AttemptEnd::Error
}

/// Whether another attempt for the request is safe, allowed, and can still be answered before its deadline.
/// The retry budget is asked separately.
pub(crate) fn may_retry(request: &QueuedRequest, settings: &Settings, now: Micros) -> bool {
    let class = &settings.classes[request.spec.class];
    may_run_again(request, class, now)
        && request.attempts < settings.permissions.max_attempts
        && now + 2 * settings.tick < request.spec.deadline
}

/// Whether the request may be sent to a backend again: it cannot take effect twice.
fn may_run_again(request: &QueuedRequest, class: &RequestClass, now: Micros) -> bool {
    match (class.idempotency, request.possibly_executed) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::NotIdempotent, Some(_)) => false,
        (Idempotency::WithKey, Some(execution)) => now < execution.sent_at + class.deduplication_window,
    }
}

/// Whether the backends may have forgotten the request's idempotency key by `time`, though one may have run
/// it.
pub(crate) fn is_deduplication_over(request: &QueuedRequest, class: &RequestClass, time: Micros) -> bool {
    class.idempotency == Idempotency::WithKey
        && request
            .possibly_executed
            .is_some_and(|execution| time >= execution.sent_at + class.deduplication_window)
}

/// Whether the client may try the request again wherever it likes: it did not run, or running again is
/// harmless.
pub(crate) fn is_safe_for_client_to_retry(request: &QueuedRequest, class: &RequestClass) -> bool {
    let cannot_have_run = request.possibly_executed.is_none();
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => cannot_have_run || class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => cannot_have_run,
    }
}
