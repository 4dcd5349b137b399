//! Admission: what is taken in, what is shed, and when.
//!
//! A request is rejected at once only where its class is unknown. All else is admitted and queued; a sweep
//! sheds what cannot be answered well any more.

use crate::backend::Backend;
use crate::quota::VolumeQuota;
use crate::request::QueuedRequest;
use crate::retry;
use crate::{Action, Controller, Micros, Request, RequestId, SECOND, Settings};

impl Controller {
    /// Admits a request: works out when its response is due, queues it at a backend, and sends what may be
    /// sent there.
    pub(crate) fn admit(&mut self, now: Micros, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class) else {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        };
        if !class.ordered_by_key {
            request.key = 0;
        }
        make_plausible(&mut request, &self.settings);
        let due_at = self.first_attempt_times.due_at(&request, class, now);
        let plan = self.settings.plans.get(request.plan);
        self.quotas.on_request(request.volume, plan, request.volume_heads, now);
        self.key_order.push(request.key, id);
        self.retry_budget.on_request(now);
        let (volume, units) = (request.volume, request.units);
        self.requests.insert(id, QueuedRequest::new(request, due_at, now));
        self.select_backend(id, now);
        let Some(backend_id) = self.requests.get(&id).and_then(|request| request.queued_at) else { return };
        if let Some(backend) = self.backends.get_mut(backend_id) {
            backend.rate_control.on_demand(volume, units);
        }
        self.dispatch_queued(backend_id, now, actions);
    }

    /// Looks through the waiting requests: selects backends for those without one, sheds what has no use any
    /// more, and sends what may be sent.
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

    /// The final answer of a request that is not served: a rejection where the client may safely try again,
    /// with the time after which it may find the backend free; a failure otherwise.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, now: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.spec.class];
        if retry::is_safe_for_client_to_retry(request, class) {
            let backend = request.queued_at.and_then(|backend_id| self.backends.get(backend_id));
            let retry_after = backend.map_or(SECOND, |backend| time_until_free(backend, now));
            let retry_after = retry_after.min(self.settings.permissions.max_retry_after);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.remove_request(id);
    }

    fn requests_without_backend(&self) -> Vec<RequestId> {
        let is_without = |request: &QueuedRequest| request.queued_at.is_none() && request.in_flight == 0;
        self.requests.iter().filter(|(_, request)| is_without(request)).map(|(id, _)| *id).collect()
    }

    fn requests_to_shed(&mut self, now: Micros) -> Vec<RequestId> {
        let mut shed = Vec::new();
        for (id, request) in self.requests.iter().filter(|(_, request)| request.in_flight == 0) {
            let backend = request.queued_at.and_then(|backend_id| self.backends.get(backend_id));
            let quota = self.quotas.get_mut(request.spec.volume);
            if is_to_be_shed(request, backend, quota, &self.settings, now) {
                shed.push(*id);
            }
        }
        shed
    }
}

/// Puts figures that make no sense into their bounds.
fn make_plausible(request: &mut Request, settings: &Settings) {
    let units = request.units;
    request.units = if units.is_finite() { units.max(0.0) } else { settings.mean_units };
    request.volume_heads = request.volume_heads.max(1.0).min(f64::from(settings.heads.max(1)));
}

/// Whether a waiting request has no use any more, or takes from others what they can use better.
fn is_to_be_shed(
    request: &QueuedRequest,
    backend: Option<&Backend>,
    quota: Option<&mut VolumeQuota>,
    settings: &Settings,
    now: Micros,
) -> bool {
    let class = &settings.classes[request.spec.class];
    let service_time = backend.map_or(0, |backend| backend.latency.mean() as Micros / 2);
    let is_out_of_time = now + service_time.max(2 * settings.tick) >= request.spec.deadline;
    let is_deduplication_over = retry::is_deduplication_over(request, class, now + settings.tick);

    let latency = backend.map_or(0.0, |backend| backend.expected_latency(now));
    let is_overdue = now + latency as Micros > request.due_at;
    // Guards against a collapse: past its objective, at a backend with work enough, a request only pushes
    // others past theirs. Harms where late responses have nearly full weight.
    let is_backend_crowded = backend.is_some_and(|backend| backend.latency.is_crowded_at(latency));
    // The same for a limit: what is left of it is for requests that can still meet their objective.
    let is_limit_scarce = is_overdue
        && !request.quota_charged
        && quota.is_some_and(|quota| !quota.admits_with_margin(request.spec.units, settings.max_units, now));
    // Guards against telling a client late what it could have known early: past half of its time a request
    // that was never sent is rejected while its client can still come again. Harms where a late response has
    // nearly full weight.
    let is_unsent_past_half_time = request.attempts == 0 && now >= request.half_time_at;

    let is_better_given_up = is_backend_crowded || is_limit_scarce || is_unsent_past_half_time;
    is_out_of_time || is_deduplication_over || is_overdue && is_better_given_up
}

/// The time until a backend may have answered what it has, or may be tried again.
fn time_until_free(backend: &Backend, now: Micros) -> Micros {
    let queueing_time = backend.expected_latency(now) as Micros;
    queueing_time.max(backend.health.time_to_trial(now))
}
