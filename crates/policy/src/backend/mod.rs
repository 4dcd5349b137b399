//! The state that this head keeps of one backend, grouped by purpose.
//!
//! | part | question |
//! | --- | --- |
//! | [`Health`] | Is it available? |
//! | [`Latency`] | How long will a response take, and is that too long? |
//! | [`ConcurrencyLimit`] | How many attempts may be in flight? |
//! | [`RateControl`] | How many units per second may be sent, and for which volumes? |
//! | [`SlowStart`] | How many units may be sent while it is warming up after a start? |

mod concurrency_limit;
mod health;
mod latency;
mod rate_control;
mod set;
mod slow_start;

pub(crate) use rate_control::RateControl;
pub(crate) use set::BackendSet;

use crate::attempt::Attempt;
use crate::queue::DeadlineQueue;
use crate::quota::VolumeQuotas;
use crate::{Micros, Readiness, SECOND, Settings};
use concurrency_limit::ConcurrencyLimit;
use health::Health;
use latency::Latency;
use rate_control::PeriodInput;
use slow_start::SlowStart;

/// The state of one backend.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    /// The shard that it holds.
    pub(crate) shard: u32,
    /// Whether it takes requests, by the endpoint list.
    pub(crate) readiness: Readiness,
    /// The requests that are queued at it.
    pub(crate) queue: DeadlineQueue,
    /// Number of attempts in flight, not counting the stalled ones.
    pub(crate) in_flight: u32,
    /// When an attempt was last sent.
    last_send_at: Micros,
    pub(crate) health: Health,
    pub(crate) latency: Latency,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) rate_control: RateControl,
    pub(crate) slow_start: SlowStart,
}

impl Backend {
    /// A backend that becomes known at `now`. Its latency objective is at first the shortest of all classes.
    fn new(objective: Micros, now: Micros) -> Backend {
        Backend {
            shard: 0,
            readiness: Readiness::Ready,
            queue: DeadlineQueue::default(),
            in_flight: 0,
            last_send_at: 0,
            health: Health::new(now),
            latency: Latency::new(objective, now),
            concurrency_limit: ConcurrencyLimit::default(),
            rate_control: RateControl::default(),
            slow_start: SlowStart::default(),
        }
    }

    /// Resets the state after a restart of the backend's process, except for the attempts in flight, the
    /// queue and the volumes' demands.
    fn restart(&mut self, objective: Micros, now: Micros) {
        let fresh = Backend::new(objective, now);
        let old = std::mem::replace(self, fresh);
        self.in_flight = old.in_flight;
        self.queue = old.queue;
        self.rate_control = old.rate_control.restarted();
    }

    /// The latency expected of a request sent now, in microseconds; at least the time without a response
    /// while attempts are in flight.
    pub(crate) fn expected_latency(&self, now: Micros) -> f64 {
        let expected = self.latency.expected(now);
        if self.in_flight > 0 { expected.max(self.health.time_since_response(now) as f64) } else { expected }
    }

    /// Whether attempts are in flight and nothing was sent or received for the suspicion timeout.
    pub(crate) fn is_unresponsive(&self, now: Micros) -> bool {
        let last_activity_at = self.health.last_response_at().max(self.last_send_at);
        self.in_flight > 0 && now > last_activity_at + self.latency.suspicion_timeout()
    }

    /// Whether its concurrency limit or its rate allows no further attempt.
    pub(crate) fn is_at_limit(&mut self, max_units: f64, now: Micros) -> bool {
        let is_limit_reached = self.concurrency_limit.is_reached(self.in_flight);
        let is_rate_exhausted = self.rate_control.is_exhausted(max_units, now);
        is_limit_reached || is_rate_exhausted
    }

    /// Units that may be sent now without overloading it in slow start; infinite outside of slow start.
    pub(crate) fn slow_start_allowance(&mut self, settings: &Settings, now: Micros) -> f64 {
        self.slow_start.allowance(settings, self.rate_control.typical_demand(), now)
    }

    /// Records an attempt that is sent to it.
    pub(crate) fn on_send(&mut self, units: f64, objective: Micros, now: Micros) {
        if self.in_flight == 0 {
            self.health.restart_response_clock(now);
        }
        self.last_send_at = now;
        self.in_flight += 1;
        self.rate_control.on_send(units);
        self.slow_start.charge(units);
        self.latency.lower_objective(objective);
    }

    /// Releases the concurrency slots of a number of attempts.
    pub(crate) fn release(&mut self, attempts: u32) {
        self.in_flight = self.in_flight.saturating_sub(attempts);
    }

    /// Records a response that served a request.
    pub(crate) fn on_response(&mut self, attempt: &Attempt, latency: Micros, now: Micros) {
        self.record_response(attempt, latency as f64, now);
    }

    /// Records an error response. Its latency counts as at least the latency objective, so that a backend
    /// which fails every request quickly is avoided like a slow one.
    pub(crate) fn on_error(&mut self, attempt: &Attempt, latency: Micros, now: Micros) {
        let objective = self.latency.objective() as f64;
        self.record_response(attempt, (latency as f64).max(objective), now);
    }

    fn record_response(&mut self, attempt: &Attempt, latency: f64, now: Micros) {
        self.begin_slow_start_after_outage(attempt, now);
        self.health.on_response(now);
        self.latency.record(latency, now);
        self.rate_control.on_response(latency, attempt.units);
        if self.latency.mean() > self.latency.threshold() {
            self.concurrency_limit.decrease(attempt.sent_at, now);
        } else {
            self.concurrency_limit.increase(self.in_flight);
        }
    }

    /// Begins a slow start if this response ends an outage: the backend may be a new process that the
    /// endpoint list does not show yet, and could be overloaded. A backend that was only disconnected goes
    /// through a slow start without need.
    fn begin_slow_start_after_outage(&mut self, attempt: &Attempt, now: Micros) {
        if self.health.is_recovering_after(self.latency.objective().max(SECOND), now) {
            self.slow_start.begin(attempt.sent_at, attempt.units, now);
        }
    }

    /// Records a rejection.
    pub(crate) fn on_rejection(&mut self, now: Micros) {
        self.health.on_rejection(now);
        self.concurrency_limit.decrease_unconditionally();
    }

    /// Records a connection that could not be established.
    pub(crate) fn on_connection_failure(&mut self, now: Micros) {
        self.health.on_connection_failure(now);
    }

    /// Records a connection that broke.
    ///
    /// A backend that has just responded does not become unavailable by resets alone: they may come from idle
    /// connections that it closed without notice. A backend that died just then gets a few more attempts.
    pub(crate) fn on_reset(&mut self, now: Micros) {
        if self.latency.is_sampled_within_objective(now) {
            self.health.on_reset_after_response(now);
        } else {
            self.health.on_connection_failure(now);
        }
    }

    /// Records a timeout. The latency of the missing response is unknown; twice the timeout counts as a
    /// sample, or the mean latency if that is longer. If a later attempt got its response first, only this
    /// attempt is stalled, and nothing is recorded.
    pub(crate) fn on_timeout(&mut self, attempt: &Attempt, latency: Micros, now: Micros) {
        if attempt.is_overtaken() {
            return;
        }
        self.health.on_timeout();
        self.latency.record(self.latency.mean().max(2.0 * latency as f64), now);
        self.concurrency_limit.decrease(attempt.sent_at, now);
    }

    fn end_period(&mut self, quotas: &VolumeQuotas, settings: &Settings) {
        self.rate_control.end_period(&PeriodInput {
            objective: self.latency.objective(),
            mean_latency: self.latency.mean(),
            is_idle: self.in_flight == 0,
            has_queue: !self.queue.is_empty(),
            quotas,
            settings,
        });
    }
}
