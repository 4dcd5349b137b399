//! What the end of an attempt tells: of its backend, of its key, and of its request.

use crate::attempt::Attempt;
use crate::request::PossibleExecution;
use crate::{Action, AttemptEnd, AttemptOutcome, Controller, Micros, Settings, retry};

/// One request of each head is too much for a backend that has just started where it comes to more than this
/// multiple of what the settings say it bears.
const CROWDING_MULTIPLE: f64 = 2.0;

impl Controller {
    /// Learns from the end of an attempt, and decides what becomes of its request.
    pub(crate) fn on_attempt_end(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(outcome.id, outcome.attempt) else { return };
        self.suspect_restart(&attempt, outcome.end, now);
        self.release_places(&attempt, outcome.end);
        self.record_outcome(&attempt, outcome, now);
        self.pause_key(&attempt, outcome.end, now);
        self.record_at_request(&attempt, outcome);
        self.conclude_or_retry(outcome, now, actions);
        self.release_key(outcome.id, attempt.key);
        self.dispatch_queued(attempt.backend, now, actions);
    }

    /// Takes a backend that refuses a connection for one that has just started, where all heads together
    /// would crowd it, before any list tells; so too after a few connections in a row that were not
    /// established.
    ///
    /// Guards against a crowd at a process that has just started. Harms one whose connections were full, by a
    /// slow start.
    fn suspect_restart(&mut self, attempt: &Attempt, end: AttemptEnd, now: Micros) {
        if !heads_would_crowd_a_start(&self.settings) {
            return;
        }
        // Drawn at the end of every attempt, used or not: the later random numbers do not depend on how it
        // ended.
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

    /// Frees the place of the attempt at its backend, and those of earlier ones that its response shows to be
    /// stalled.
    fn release_places(&mut self, attempt: &Attempt, end: AttemptEnd) {
        let Some(backend) = self.backends.get_mut(attempt.backend) else { return };
        if !attempt.is_stalled() {
            backend.release(1);
        }
        if end == AttemptEnd::Ok {
            let timeout = backend.latency.suspicion_timeout();
            backend.release(self.attempts.overtake_earlier(attempt, timeout));
        }
    }

    /// Lets the backend learn from the outcome.
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

    /// Notes the outcome at the request, and the load report that came with it.
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

    /// Forgets a request that has its final answer. One without any attempt in flight is retried where that
    /// is allowed, or gets its final answer.
    fn conclude_or_retry(&mut self, outcome: &AttemptOutcome, now: Micros, actions: &mut Vec<Action>) {
        let id = outcome.id;
        let Some(request) = self.requests.get(&id) else { return };
        if outcome.request_ended || outcome.end == AttemptEnd::Ok {
            self.remove_request(id);
        } else if request.in_flight == 0 && !request.is_streaming {
            let has_budget = self.retry_budget.allows_retry(&self.settings.rules.retry_budget, now);
            let may_retry = has_budget && retry::may_retry(request, &self.settings, now);
            // An attempt that timed out has used up the latency objective, or the client's deadline.
            if may_retry && outcome.end != AttemptEnd::Timeout {
                self.select_backend(id, now);
            } else {
                self.reject_or_fail(id, now, actions);
            }
        }
    }
}

/// Whether one request of each head is more than a backend bears that has just started.
fn heads_would_crowd_a_start(settings: &Settings) -> bool {
    let limits = &settings.rules.slow_start;
    let one_of_each = f64::from(settings.heads) * settings.mean_units;
    one_of_each > CROWDING_MULTIPLE * limits.safe_units && limits.overload_window > 0
}
