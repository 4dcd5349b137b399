//! Scheduling: which of the requests that wait for a backend is sent next, and when.
//!
//! In bands, earliest due first within each: requests whose volume has reservation or fair share left; what
//! these leave goes to the others that can still meet their latency objective, and then to those that are
//! overdue.

use crate::attempt::Attempt;
use crate::backend::{Backend, RateControl};
use crate::quota::VolumeQuota;
use crate::request::QueuedRequest;
use crate::{Action, BackendId, Controller, Micros, RequestClass, RequestId, Settings};

/// Heads whose overdue requests may each try a crowded backend at the pace of one; more heads share that
/// pace. Seen with 100 heads, whose trials alone kept backends crowded.
const TRYING_HEADS: u64 = 8;
/// One head tries a crowded backend with an overdue request after its latency objective divided by this.
const TRIAL_DIVISOR: u64 = 4;
/// Part of the expected latency that grows with the size of a request.
const SIZE_DEPENDENT_PART: f64 = 0.5;

/// What a waiting request may take of the capacity of its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Band {
    /// It is timely, and its volume has reservation or fair share left.
    Entitled,
    /// It is timely; it gets what the entitled ones leave.
    Spare,
    /// It will miss its latency objective.
    Overdue,
}

/// A moment at which a backend may be sent requests, and what holds then for all that wait for it.
struct SendWindow {
    now: Micros,
    /// Units that the backend bears now, in slow start.
    allowance: f64,
    /// The latency that a request of mean size may have there, in microseconds.
    expected_latency: f64,
    /// Factor on it for what is not known of the backend.
    safety_margin: f64,
    /// Whether the retry budget has something left.
    allows_retry: bool,
    /// Whether an overdue request may be sent where no other may.
    allows_overdue: bool,
}

impl Controller {
    /// Sends what may be sent to a backend now.
    pub(crate) fn dispatch_queued(&mut self, backend_id: BackendId, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.next_request(backend_id, now) {
            self.send(id, backend_id, now, actions);
        }
    }

    /// The next request to send to a backend: the first of the first band that has one.
    fn next_request(&mut self, backend_id: BackendId, now: Micros) -> Option<RequestId> {
        let allows_retry = self.retry_budget.allows_retry(&self.settings.rules.retry_budget, now);
        let backend = self.backends.get_mut(backend_id)?;
        let window = SendWindow::open(backend, &self.settings, allows_retry, now)?;
        let (mut first_spare, mut first_overdue) = (None, None);
        for id in backend.queue.iter() {
            let request = &self.requests[&id];
            if !window.allows(request) || !self.key_order.allows(request.spec.key, id, now) {
                continue;
            }
            let Some(quota) = self.quotas.get_mut(request.spec.volume) else { continue };
            match window.band(request, quota, &mut backend.rate_control, &self.settings) {
                Some(Band::Entitled) => return Some(id),
                Some(Band::Spare) => first_spare = first_spare.or(Some(id)),
                Some(Band::Overdue) => first_overdue = first_overdue.or(Some(id)),
                None => {}
            }
        }
        first_spare.or(first_overdue.filter(|_| window.allows_overdue))
    }

    /// Sends a request to a backend, and charges what it takes to all that is limited.
    fn send(&mut self, id: RequestId, backend_id: BackendId, now: Micros, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        let backend = self.backends.get_mut(backend_id);
        let (Some(request), Some(backend)) = (request, backend) else { return };
        let class = &self.settings.classes[request.spec.class];
        backend.queue.remove(request.due_at, id);
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

impl SendWindow {
    /// The window that a backend has now, unless nothing may be sent to it.
    fn open(
        backend: &mut Backend,
        settings: &Settings,
        allows_retry: bool,
        now: Micros,
    ) -> Option<SendWindow> {
        if backend.queue.is_empty() || !backend.health.allows_attempt(backend.in_flight, now) {
            return None;
        }
        // Guards against taking a connection that fell silent for a silent backend: one request more tries
        // it, and one more after each further silence. Harms a backend that does stand still, by that much.
        let is_silent = backend.is_silent(now);
        let is_limited = backend.in_flight > 0 && !is_silent;
        if is_limited && backend.is_at_limit(settings.max_units, now) {
            return None;
        }
        Some(SendWindow {
            now,
            allowance: backend.slow_start_allowance(settings, now),
            expected_latency: backend.expected_latency(now),
            safety_margin: backend.latency.safety_margin(now),
            allows_retry,
            allows_overdue: is_silent || allows_overdue_trial(backend, settings, now),
        })
    }

    /// Whether slow start and the retry budget let a request be sent.
    fn allows(&self, request: &QueuedRequest) -> bool {
        let is_retry = request.attempts > 0;
        request.spec.units <= self.allowance && (!is_retry || self.allows_retry)
    }

    /// The band that a request is in; none while the limit of its volume holds it back.
    fn band(
        &self,
        request: &QueuedRequest,
        quota: &mut VolumeQuota,
        rate_control: &mut RateControl,
        settings: &Settings,
    ) -> Option<Band> {
        let units = request.spec.units;
        let max_units = settings.max_units;
        if !request.quota_charged && !quota.admits(units, self.now) {
            return None;
        }
        if self.will_be_overdue(request, settings) {
            // An overdue request leaves scarce units of a limit to those that can still meet their objective.
            let may_use_limit = request.quota_charged || quota.admits_with_margin(units, max_units, self.now);
            return may_use_limit.then_some(Band::Overdue);
        }
        let has_reservation = quota.has_reservation_left(max_units, self.now);
        let is_entitled = has_reservation
            || rate_control.fits_all_demands()
            || rate_control.has_share_left(request.spec.volume, quota.plan.weight, max_units, self.now);
        Some(if is_entitled { Band::Entitled } else { Band::Spare })
    }

    /// Whether the response will come after it is due.
    fn will_be_overdue(&self, request: &QueuedRequest, settings: &Settings) -> bool {
        let size_factor = (1.0 - SIZE_DEPENDENT_PART)
            + SIZE_DEPENDENT_PART * request.spec.units / settings.mean_units_or_least();
        let latency = self.expected_latency * size_factor * self.safety_margin;
        self.now + latency as Micros > request.due_at
    }
}

/// Whether an overdue request may try a backend with nothing in flight.
///
/// Guards against a belief that nothing can change: where nothing is in flight no response tells that a stall
/// is over. Soon after the last sample one overdue request tries; soon for all heads together, or their
/// trials alone keep the backend crowded.
fn allows_overdue_trial(backend: &Backend, settings: &Settings, now: Micros) -> bool {
    let heads = Micros::from(settings.heads).max(TRYING_HEADS);
    let trial_interval = backend.latency.objective() / TRIAL_DIVISOR * heads / TRYING_HEADS;
    let is_trial_due = backend.latency.is_sample_older_than(trial_interval, now);
    let is_crowded = backend.latency.is_crowded_at(backend.expected_latency(now));
    backend.in_flight == 0 && (is_trial_due || !is_crowded)
}

/// Takes the units of a request from the limit of its volume, once for all of its attempts, and those of the
/// attempt from the reservation or the fair share.
fn charge_quota(request: &mut QueuedRequest, quota: &mut VolumeQuota, rate_control: &mut RateControl) {
    let units = request.spec.units;
    if !request.quota_charged {
        request.quota_charged = true;
        quota.charge_limit(units);
    }
    if !quota.charge_reservation(units) {
        rate_control.charge_share(request.spec.volume, units);
    }
}

/// When an attempt that is sent now times out.
///
/// A response long after the latency objective has little weight, and the wait for it would fill the backend:
/// the attempt ends at the objective, or half an objective after it was sent. Harms where late responses have
/// nearly full weight.
fn attempt_timeout_at(request: &QueuedRequest, class: &RequestClass, now: Micros) -> Micros {
    request.due_at.max(now + class.latency_objective / 2).min(request.spec.deadline)
}
