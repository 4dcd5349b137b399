//! One backend as this head sees it, its state grouped by what it is for.
//!
//! | part | question |
//! | --- | --- |
//! | [`Health`] | Can it be reached? |
//! | [`Latency`] | How long will a response take, and is that too long? |
//! | [`ConcurrencyLimit`] | How many attempts may be in flight? |
//! | [`RateControl`] | How many units a second may be sent, and of which volumes? |
//! | [`SlowStart`] | How much does it bear just after its start? |

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
use rate_control::PeriodEnd;
use slow_start::SlowStart;

/// One backend.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    /// The shard that it holds.
    pub(crate) shard: u32,
    /// Whether it takes requests, by the endpoint list.
    pub(crate) readiness: Readiness,
    /// The requests that wait for it.
    pub(crate) queue: DeadlineQueue,
    /// Attempts without an outcome, less those that are stalled.
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
    /// A backend that is heard of for the first time. Its latency objective is the tightest of all classes
    /// until requests are sent there.
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

    /// It is a new process: what was learned of the old one is void; what is in flight, waits, and is
    /// demanded stays.
    fn restart(&mut self, objective: Micros, now: Micros) {
        let fresh = Backend::new(objective, now);
        let old = std::mem::replace(self, fresh);
        self.in_flight = old.in_flight;
        self.queue = old.queue;
        self.rate_control = old.rate_control.restarted();
    }

    /// The latency expected of a response now, in microseconds. Silence counts before the response comes.
    pub(crate) fn expected_latency(&self, now: Micros) -> f64 {
        let expected = self.latency.expected(now);
        if self.in_flight > 0 { expected.max(self.health.silence(now) as f64) } else { expected }
    }

    /// Whether attempts are in flight and nothing was sent or received for suspiciously long.
    pub(crate) fn is_silent(&self, now: Micros) -> bool {
        let last_sign_at = self.health.last_response_at().max(self.last_send_at);
        self.in_flight > 0 && now > last_sign_at + self.latency.suspicion_timeout()
    }

    /// Whether its concurrency limit or its rate has nothing left.
    pub(crate) fn is_at_limit(&mut self, max_units: f64, now: Micros) -> bool {
        let is_limit_reached = self.concurrency_limit.is_reached(self.in_flight);
        let is_rate_exhausted = self.rate_control.is_exhausted(max_units, now);
        is_limit_reached || is_rate_exhausted
    }

    /// Units that may be sent now without overloading it in its slow start.
    pub(crate) fn slow_start_allowance(&mut self, settings: &Settings, now: Micros) -> f64 {
        self.slow_start.allowance(settings, self.rate_control.typical_demand(), now)
    }

    /// Notes a request that is sent to it.
    pub(crate) fn on_send(&mut self, units: f64, objective: Micros, now: Micros) {
        if self.in_flight == 0 {
            self.health.begin_silence(now);
        }
        self.last_send_at = now;
        self.in_flight += 1;
        self.rate_control.on_send(units);
        self.slow_start.charge(units);
        self.latency.tighten_objective(objective);
    }

    /// Frees the places of so many attempts.
    pub(crate) fn release(&mut self, attempts: u32) {
        self.in_flight = self.in_flight.saturating_sub(attempts);
    }

    /// Learns from a response that served a request.
    pub(crate) fn on_response(&mut self, attempt: &Attempt, latency: Micros, now: Micros) {
        self.record_response(attempt, latency as f64, now);
    }

    /// Learns from an error. However quick, it counts as a whole latency objective, so that a backend which
    /// fails all it gets is avoided like a slow one.
    pub(crate) fn on_error(&mut self, attempt: &Attempt, latency: Micros, now: Micros) {
        let objective = self.latency.objective() as f64;
        self.record_response(attempt, (latency as f64).max(objective), now);
    }

    fn record_response(&mut self, attempt: &Attempt, latency: f64, now: Micros) {
        self.begin_slow_start_after_silence(attempt, now);
        self.health.on_response(now);
        self.latency.record(latency, now);
        self.rate_control.on_response(latency, attempt.units);
        if self.latency.mean() > self.latency.threshold() {
            self.concurrency_limit.decrease(attempt.sent_at, now);
        } else {
            self.concurrency_limit.increase(self.in_flight);
        }
    }

    /// It responds again after a silence: perhaps a new process that no list has told of yet.
    ///
    /// Guards against overloading it; harms a backend that was only cut off, by a slow start.
    fn begin_slow_start_after_silence(&mut self, attempt: &Attempt, now: Micros) {
        if self.health.is_back_after(self.latency.objective().max(SECOND), now) {
            self.slow_start.begin(attempt.sent_at, attempt.units, now);
        }
    }

    /// Learns from a rejection.
    pub(crate) fn on_rejection(&mut self, now: Micros) {
        self.health.on_rejection(now);
        self.concurrency_limit.decrease_at_once();
    }

    /// Learns from a connection that could not be made.
    pub(crate) fn on_connection_failure(&mut self, now: Micros) {
        self.health.on_connection_failure(now);
    }

    /// Learns from a connection that broke.
    ///
    /// Guards against taking kept connections that were closed without notice for an unavailable backend:
    /// resets alone do not make one so that responded a moment ago. Harms one that dies then, by a few
    /// attempts.
    pub(crate) fn on_reset(&mut self, now: Micros) {
        if self.latency.is_sampled_within_objective(now) {
            self.health.on_reset_after_response(now);
        } else {
            self.health.on_connection_failure(now);
        }
    }

    /// Learns from a timeout. The response was still to come: it counts as twice as late, at a backend that
    /// was quicker. Where later attempts were answered it is this one that is stalled, and tells nothing of
    /// the backend.
    pub(crate) fn on_timeout(&mut self, attempt: &Attempt, latency: Micros, now: Micros) {
        if attempt.is_overtaken() {
            return;
        }
        self.health.on_timeout();
        self.latency.record(self.latency.mean().max(2.0 * latency as f64), now);
        self.concurrency_limit.decrease(attempt.sent_at, now);
    }

    /// Ends a control period.
    fn end_period(&mut self, quotas: &VolumeQuotas, settings: &Settings) {
        self.rate_control.end_period(&PeriodEnd {
            objective: self.latency.objective(),
            mean_latency: self.latency.mean(),
            is_idle: self.in_flight == 0,
            has_queue: !self.queue.is_empty(),
            quotas,
            settings,
        });
    }
}
