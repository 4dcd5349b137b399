//! Scheduling: which of the requests queued at a backend is sent next, and when.
//!
//! Requests are sent in strict priority bands, earliest deadline first within each band: first those whose
//! volume has reservation or fair share left, then the others that can still meet their latency objective,
//! then those that are overdue.

use crate::attempt::Attempt;
use crate::backend::{Backend, RateControl};
use crate::quota::VolumeQuota;
use crate::request::OpenRequest;
use crate::{Action, BackendId, Controller, Micros, RequestClass, RequestId, Settings, retry};

/// Clusters of up to this many heads probe a congested backend at the full rate of each head; the heads of
/// larger clusters share the rate of this many. The probes of 100 heads alone would keep a backend congested.
const FULL_RATE_PROBING_HEADS: u64 = 8;
/// A head probes a congested backend with an overdue request once per latency objective divided by this.
const PROBE_INTERVAL_DIVISOR: u64 = 4;
/// Fraction of the expected latency that is proportional to the size of a request.
const SIZE_DEPENDENT_FRACTION: f64 = 0.5;

/// The priority band of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PriorityBand {
    /// It can meet its latency objective, and its volume has reservation or fair share left.
    Entitled,
    /// It can meet its latency objective; it gets the capacity that entitled requests leave.
    BestEffort,
    /// It will miss its latency objective.
    Overdue,
}

/// The conditions that hold for all requests queued at a backend at the time of one scheduling decision.
struct SendConditions {
    now: Micros,
    /// Units that may be sent to the backend now in its slow start.
    allowance: f64,
    /// The expected latency of a request of mean size, in microseconds.
    expected_latency: f64,
    /// Factor on the expected latency for the uncertainty since the last sample.
    safety_margin: f64,
    /// Whether the retry budget allows another retry.
    allows_retry: bool,
    /// Whether an overdue request may be sent if no other may.
    allows_overdue: bool,
}

impl Controller {
    /// Sends the requests queued at a backend that may be sent now.
    pub(crate) fn dispatch_queued(&mut self, backend_id: BackendId, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.next_request(backend_id, now) {
            self.send(id, backend_id, now, actions);
        }
    }

    /// The next request to send to a backend: the first request of the highest non-empty band.
    fn next_request(&mut self, backend_id: BackendId, now: Micros) -> Option<RequestId> {
        let allows_retry = self.retry_budget.allows_retry(&self.settings.rules.retry_budget, now);
        let backend = self.backends.get_mut(backend_id)?;
        let conditions = SendConditions::check(backend, &self.settings, allows_retry, now)?;
        let (mut first_best_effort, mut first_overdue) = (None, None);
        for id in backend.queue.iter() {
            let request = &self.requests[&id];
            if !conditions.allow(request, &self.settings) || !self.key_order.allows(request.spec.key, id, now)
            {
                continue;
            }
            let Some(quota) = self.quotas.get_mut(request.spec.volume) else { continue };
            match conditions.band(request, quota, &mut backend.rate_control, &self.settings) {
                Some(PriorityBand::Entitled) => return Some(id),
                Some(PriorityBand::BestEffort) => first_best_effort = first_best_effort.or(Some(id)),
                Some(PriorityBand::Overdue) => first_overdue = first_overdue.or(Some(id)),
                None => {}
            }
        }
        first_best_effort.or(first_overdue.filter(|_| conditions.allows_overdue))
    }

    /// Sends a request to a backend, and charges it to the quota, the rate, the slow start and the retry
    /// budget.
    fn send(&mut self, id: RequestId, backend_id: BackendId, now: Micros, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        let backend = self.backends.get_mut(backend_id);
        let (Some(request), Some(backend)) = (request, backend) else { return };
        let class = &self.settings.classes[request.spec.class];
        backend.queue.remove(request.objective_deadline, id);
        request.queued_at = None;
        if let Some(quota) = self.quotas.get_mut(request.spec.volume) {
            charge_quota(request, quota, &mut backend.rate_control);
        }
        backend.on_send(request.spec.units, class.latency_objective, now);
        let attempt = Attempt::new(backend_id, backend.shard, request.spec.key, request.spec.units, now);
        self.attempts.insert(id, request.attempts as u8, attempt);
        if request.attempts > 0 {
            self.retry_budget.on_retry(now);
        }
        request.attempts += 1;
        request.in_flight += 1;
        actions.push(Action::Send {
            id,
            backend: backend_id,
            timeout_at: attempt_timeout_at(request, class, now),
        });
    }
}

impl SendConditions {
    /// The conditions at a backend now; `None` if nothing may be sent to it.
    fn check(
        backend: &mut Backend,
        settings: &Settings,
        allows_retry: bool,
        now: Micros,
    ) -> Option<SendConditions> {
        if backend.queue.is_empty() || !backend.health.allows_attempt(backend.in_flight, now) {
            return None;
        }
        // An unresponsive backend is probed with one request beyond its limits, and with one more after each
        // further suspicion timeout, because only a connection may be unresponsive. If the backend itself is
        // stalled, these requests add to its load.
        let is_unresponsive = backend.is_unresponsive(now);
        let is_limited = backend.in_flight > 0 && !is_unresponsive;
        if is_limited && backend.is_at_limit(settings.max_units, now) {
            return None;
        }
        Some(SendConditions {
            now,
            allowance: backend.slow_start_allowance(settings, now),
            expected_latency: backend.expected_latency(now),
            safety_margin: backend.latency.safety_margin(now),
            allows_retry,
            allows_overdue: is_unresponsive || allows_overdue_probe(backend, settings, now),
        })
    }

    /// Whether slow start, the retry budget and the deduplication window allow a request to be sent. The last sweep,
    /// which sheds requests past their window, may be some time ago.
    fn allow(&self, request: &OpenRequest, settings: &Settings) -> bool {
        let is_retry = request.attempts > 0;
        let class = &settings.classes[request.spec.class];
        request.spec.units <= self.allowance
            && (!is_retry || self.allows_retry)
            && !retry::is_deduplication_over(request, class, settings.max_pause, self.now)
    }

    /// The band that a request is in; `None` while the limit of its volume holds it back.
    fn band(
        &self,
        request: &OpenRequest,
        quota: &mut VolumeQuota,
        rate_control: &mut RateControl,
        settings: &Settings,
    ) -> Option<PriorityBand> {
        let units = request.spec.units;
        let max_units = settings.max_units;
        if !request.quota_charged && !quota.admits(units, self.now) {
            return None;
        }
        if self.will_be_overdue(request, settings) {
            // An overdue request leaves scarce units of a limit to requests that can still meet their
            // objective.
            let may_use_limit = request.quota_charged || quota.admits_with_margin(units, max_units, self.now);
            return may_use_limit.then_some(PriorityBand::Overdue);
        }
        let has_reservation = quota.has_reservation_left(max_units, self.now);
        let is_entitled = has_reservation
            || rate_control.fits_all_demands()
            || rate_control.has_share_left(request.spec.volume, quota.plan.weight, max_units, self.now);
        Some(if is_entitled { PriorityBand::Entitled } else { PriorityBand::BestEffort })
    }

    /// Whether the expected response comes after the latency objective expires.
    fn will_be_overdue(&self, request: &OpenRequest, settings: &Settings) -> bool {
        let size_factor = (1.0 - SIZE_DEPENDENT_FRACTION)
            + SIZE_DEPENDENT_FRACTION * request.spec.units / settings.positive_mean_units();
        let latency = self.expected_latency * size_factor * self.safety_margin;
        self.now + latency as Micros > request.objective_deadline
    }
}

/// Whether an overdue request may probe a backend with nothing in flight.
///
/// With nothing in flight, no response would show that congestion is over. So one overdue request is sent a
/// short time after the last latency sample. In large clusters the time grows with the number of heads, so
/// that the probes of all heads together do not keep the backend congested.
fn allows_overdue_probe(backend: &Backend, settings: &Settings, now: Micros) -> bool {
    let heads = Micros::from(settings.heads).max(FULL_RATE_PROBING_HEADS);
    let probe_interval =
        backend.latency.objective() / PROBE_INTERVAL_DIVISOR * heads / FULL_RATE_PROBING_HEADS;
    let is_sample_old = backend.latency.is_sample_older_than(probe_interval, now);
    let is_congested = backend.latency.is_congested_at(backend.expected_latency(now));
    backend.in_flight == 0 && (is_sample_old || !is_congested)
}

/// Charges the units of a request to the limit of its volume, once for all attempts, and to the reservation
/// or the fair share for each attempt.
fn charge_quota(request: &mut OpenRequest, quota: &mut VolumeQuota, rate_control: &mut RateControl) {
    let units = request.spec.units;
    if !request.quota_charged {
        request.quota_charged = true;
        quota.charge_limit(units);
    }
    if !quota.charge_reservation(units) {
        rate_control.charge_share(request.spec.volume, units);
    }
}

/// When an attempt that is sent now times out: when the latency objective expires, but no earlier than half
/// an objective from now, and no later than the client's deadline.
///
/// A response after the objective has little weight, and waiting for it would occupy a concurrency slot of
/// the backend. This loses value where late responses have nearly full weight.
fn attempt_timeout_at(request: &OpenRequest, class: &RequestClass, now: Micros) -> Micros {
    request.objective_deadline.max(now + class.latency_objective / 2).min(request.spec.deadline)
}
