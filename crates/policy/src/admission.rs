//! Admission control: which requests are admitted, which are shed, and when.
//!
//! Only a request of an unknown class is rejected on arrival. Every other request is admitted and queued; a
//! periodic sweep sheds the requests that are not worth serving any more.

use crate::backend::Backend;
use crate::quota::VolumeQuota;
use crate::request::OpenRequest;
use crate::retry;
use crate::{Action, Controller, Micros, Request, RequestId, SECOND, Settings};

impl Controller {
    /// Admits a request: sets its objective deadline, queues it at a backend, and sends the requests that may
    /// be sent to that backend.
    pub(crate) fn admit(&mut self, now: Micros, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class) else {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        };
        if !class.ordered_by_key {
            request.key = 0;
        }
        sanitize(&mut request, &self.settings);
        let objective_deadline = self.first_attempt_timeouts.objective_deadline(&request, class, now);
        if self.quotas.is_full_for(request.volume) {
            let open = self.requests.values().map(|request| request.spec.volume).collect();
            self.quotas.drop_least_recent(&open);
        }
        let plan = self.settings.plans.get(request.plan);
        self.quotas.on_request(request.volume, plan, request.volume_heads, now);
        self.key_order.push(request.key, id);
        self.retry_budget.on_request(now);
        let (volume, units) = (request.volume, request.units);
        self.requests.insert(id, OpenRequest::new(request, objective_deadline, now));
        self.select_backend(id, now);
        let Some(backend_id) = self.requests.get(&id).and_then(|request| request.queued_at) else { return };
        self.backends.on_demand(backend_id, volume, units);
        self.dispatch_queued(backend_id, now, actions);
    }

    /// Sweeps the requests that are not in flight: selects backends for those without one, sheds those that
    /// are not worth serving any more, and sends those that may be sent.
    pub(crate) fn sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.requests_without_backend() {
            self.select_backend(id, now);
        }
        for id in self.requests_to_shed(now) {
            self.reject_or_fail(id, now, actions);
        }
        for backend_id in self.backends.ids() {
            self.dispatch_queued(backend_id, now, actions);
        }
    }

    /// Gives the final response to a request that is not served: a rejection if a retry by the client is
    /// safe, with the time after which the backend may have capacity, or a failure otherwise.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, now: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.spec.class];
        if retry::is_safe_for_client_to_retry(request, class) {
            let backend = request.queued_at.and_then(|backend_id| self.backends.get(backend_id));
            let retry_after = backend.map_or(SECOND, |backend| time_until_capacity(backend, now));
            let retry_after = retry_after.min(self.settings.permissions.max_retry_after);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.remove_request(id);
    }

    fn requests_without_backend(&self) -> Vec<RequestId> {
        let has_no_backend = |request: &OpenRequest| request.queued_at.is_none() && request.in_flight == 0;
        self.requests.iter().filter(|(_, request)| has_no_backend(request)).map(|(id, _)| *id).collect()
    }

    fn requests_to_shed(&mut self, now: Micros) -> Vec<RequestId> {
        let mut shed = Vec::new();
        for (id, request) in self.requests.iter().filter(|(_, request)| request.in_flight == 0) {
            let backend = request.queued_at.and_then(|backend_id| self.backends.get(backend_id));
            let quota = self.quotas.get_mut(request.spec.volume);
            if should_shed(request, backend, quota, &self.settings, now) {
                shed.push(*id);
            }
        }
        shed
    }
}

/// Replaces invalid sizes and counts of a request by valid ones.
fn sanitize(request: &mut Request, settings: &Settings) {
    let units = request.units;
    request.units = if units.is_finite() { units.max(0.0) } else { settings.mean_units };
    request.volume_heads = request.volume_heads.max(1.0).min(f64::from(settings.heads.max(1)));
}

/// Whether a request that is not in flight cannot get a response in time, or would use capacity that other
/// requests need to meet their latency objective.
fn should_shed(
    request: &OpenRequest,
    backend: Option<&Backend>,
    quota: Option<&mut VolumeQuota>,
    settings: &Settings,
    now: Micros,
) -> bool {
    let class = &settings.classes[request.spec.class];
    let service_time = backend.map_or(0, |backend| backend.latency.mean() as Micros / 2);
    let is_out_of_time = now + service_time.max(2 * settings.tick) >= request.spec.deadline;
    let is_deduplication_over =
        retry::is_deduplication_over(request, class, settings.max_pause, now + settings.tick);

    let latency = backend.map_or(0.0, |backend| backend.expected_latency(now));
    let is_overdue = now + latency as Micros > request.objective_deadline;
    // Prevents congestion collapse: at a congested backend an overdue request only makes others overdue. This
    // loses value where late responses have nearly full weight.
    let is_backend_congested = backend.is_some_and(|backend| backend.latency.is_congested_at(latency));
    // The remaining units of a scarce limit are left to requests that can still meet their objective.
    let is_limit_scarce = is_overdue
        && !request.quota_charged
        && quota.is_some_and(|quota| !quota.admits_with_margin(request.spec.units, settings.max_units, now));
    // An overdue request that was never sent is shed once half of its time is over, while its client still
    // has time to retry. This loses value where late responses have nearly full weight.
    let is_unsent_past_half_time = request.attempts == 0 && now >= request.half_time_at;

    let should_shed_if_overdue = is_backend_congested || is_limit_scarce || is_unsent_past_half_time;
    is_out_of_time || is_deduplication_over || is_overdue && should_shed_if_overdue
}

/// The time until a backend may have completed the requests it has, or may be probed again.
fn time_until_capacity(backend: &Backend, now: Micros) -> Micros {
    let expected_latency = backend.expected_latency(now) as Micros;
    expected_latency.max(backend.health.time_to_probe(now))
}
