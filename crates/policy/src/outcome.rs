//! The effects of the end of an attempt on its backend, its ordering key and its request.

use crate::attempt::Attempt;
use crate::request::PossibleExecution;
use crate::{Action, AttemptEnd, AttemptOutcome, Controller, Micros, Settings, retry};

/// One request from each head overloads a backend that has just started if it comes to more than this
/// multiple of the safe units in the settings.
const START_OVERLOAD_MULTIPLE: f64 = 2.0;

impl Controller {
    /// Records the outcome of an attempt, and completes or retries its request.
    pub(crate) fn on_attempt_end(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(outcome.id, outcome.attempt) else { return };
        self.suspect_restart(&attempt, outcome.end, now);
        if attempt.response_began {
            self.record_transfer_end(&attempt, outcome.end, now);
        } else {
            self.release_slots(&attempt, outcome.end);
            self.record_outcome(&attempt, outcome, now);
        }
        self.pause_key(&attempt, outcome.end, now);
        self.record_at_request(&attempt, outcome);
        self.finish_or_retry(outcome, now, actions);
        self.release_key(outcome.id, attempt.key);
        self.dispatch_queued(attempt.backend, now, actions);
    }

    /// Begins a slow start at a backend that refused a connection, or at which a few connections in a row
    /// timed out, if the heads together could overload a backend that has just started.
    ///
    /// The backend may have restarted before the endpoint list says so. A backend that only had too many
    /// connections goes through a slow start without need.
    fn suspect_restart(&mut self, attempt: &Attempt, end: AttemptEnd, now: Micros) {
        if !heads_could_overload_new_backend(&self.settings) {
            return;
        }
        // Drawn at the end of every attempt, used or not, so that later random numbers do not depend on how
        // the attempt ended.
        let debt = self.random.next_fraction() * self.settings.mean_units;
        let Some(backend) = self.backends.get_mut(attempt.backend) else { return };
        let is_suspect = match end {
            AttemptEnd::ConnectFailed => true,
            AttemptEnd::ConnectTimeout => backend.health.is_nearly_unavailable(),
            _ => false,
        };
        if is_suspect {
            backend.slow_start.begin(now, debt, now);
        }
    }

    /// Releases the concurrency slot of the attempt at its backend, and the slots of earlier attempts that
    /// its response shows to be stalled.
    pub(crate) fn release_slots(&mut self, attempt: &Attempt, end: AttemptEnd) {
        let Some(backend) = self.backends.get_mut(attempt.backend) else { return };
        if !attempt.is_stalled() {
            backend.release(1);
        }
        if end == AttemptEnd::Ok {
            let timeout = backend.latency.suspicion_timeout();
            backend.release(self.attempts.overtake_earlier(attempt, timeout));
        }
    }

    /// Records the outcome at the backend.
    fn record_outcome(&mut self, attempt: &Attempt, outcome: &AttemptOutcome, now: Micros) {
        let Some(backend) = self.backends.get_mut(attempt.backend) else { return };
        match outcome.end {
            AttemptEnd::Ok => backend.on_response(attempt, outcome.latency, now),
            AttemptEnd::Error => backend.on_error(attempt, outcome.latency, now),
            AttemptEnd::Rejected => backend.on_rejection(now),
            AttemptEnd::ConnectFailed | AttemptEnd::ConnectTimeout => backend.on_connection_failure(now),
            AttemptEnd::Reset => backend.on_reset(now),
            AttemptEnd::Timeout => backend.on_timeout(attempt, outcome.latency, now),
            AttemptEnd::Cancelled | AttemptEnd::CancelledUnsent => {}
        }
    }

    /// Pauses the key of an attempt that may still be running.
    fn pause_key(&mut self, attempt: &Attempt, end: AttemptEnd, now: Micros) {
        if retry::may_still_run(end) {
            self.key_order.pause(attempt.key, now + self.settings.rules.key_order_pause);
        }
    }

    /// Records the outcome at the request, and the load report that came with it at the volume's quota.
    fn record_at_request(&mut self, attempt: &Attempt, outcome: &AttemptOutcome) {
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        request.in_flight = request.in_flight.saturating_sub(1);
        if retry::may_have_run(outcome.end) && request.possibly_executed.is_none() {
            request.possibly_executed =
                Some(PossibleExecution { shard: attempt.shard, sent_at: attempt.sent_at });
        }
        let quota = self.quotas.get_mut(request.spec.volume);
        if let (Some(quota), Some(usage)) = (quota, outcome.volume_usage) {
            quota.on_load_report(usage, self.settings.usage_report_period);
        }
    }

    /// Removes the request if it has its final response. Otherwise, if it has no attempt in flight, retries
    /// it where that is allowed or gives its final response.
    fn finish_or_retry(&mut self, outcome: &AttemptOutcome, now: Micros, actions: &mut Vec<Action>) {
        let id = outcome.id;
        let Some(request) = self.requests.get(&id) else { return };
        if outcome.request_ended || outcome.end == AttemptEnd::Ok {
            self.remove_request(id);
        } else if request.in_flight == 0 && !request.is_streaming {
            let has_budget = self.retry_budget.allows_retry(&self.settings.rules.retry_budget, now);
            let may_retry = has_budget && retry::may_retry(request, &self.settings, now);
            // A timed-out attempt has used up the latency objective or the time to the client's deadline.
            if may_retry && outcome.end != AttemptEnd::Timeout {
                self.select_backend(id, now);
            } else {
                self.reject_or_fail(id, now, actions);
            }
        }
    }
}

/// Whether one request from each head is more than a backend that has just started has capacity for.
fn heads_could_overload_new_backend(settings: &Settings) -> bool {
    let limits = &settings.rules.slow_start;
    let one_per_head = f64::from(settings.heads) * settings.mean_units;
    one_per_head > START_OVERLOAD_MULTIPLE * limits.safe_units && limits.overload_window > 0
}
