//! Every decision of sedgerun; the plain types that go in and come out are in `settings.rs`, `event.rs` and `action.rs`.
//! One [`Controller`] decides for one head.

use crate::attempt::{Attempt, AttemptsInFlight};
use crate::backend::{Backend, BackendSet, RateControl};
use crate::key_order::KeyOrder;
use crate::quota::{VolumeQuota, VolumeQuotas};
use crate::random::SplitMix64;
use crate::request::{FirstAttemptTimes, PossibleExecution, QueuedRequest};
use crate::retry::{self, RetryBudget};
use crate::timers::{Timer, Timers};
use crate::{
    Action, AttemptEnd, AttemptOutcome, BackendId, Endpoint, Event, Micros, Request, RequestClass, RequestId,
    SECOND, Settings, UpdateScope,
};
use std::collections::BTreeMap;

/// Decides for one head. It knows its settings, its seed and its own events only; equal ones give equal
/// actions.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) random: SplitMix64,
    pub(crate) timers: Timers,
    pub(crate) polling: EndpointPolling,
    pub(crate) backends: BackendSet,
    pub(crate) quotas: VolumeQuotas,
    /// Requests without a final answer.
    pub(crate) requests: BTreeMap<RequestId, QueuedRequest>,
    /// Attempts without an outcome. One may outlive its request.
    pub(crate) attempts: AttemptsInFlight,
    pub(crate) key_order: KeyOrder,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) first_attempt_times: FirstAttemptTimes,
}

impl Controller {
    /// A controller with its settings and the seed of its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Controller {
        let random = SplitMix64::new(seed);
        let first_attempt_times = FirstAttemptTimes::new(settings.classes.len());
        Controller { settings, random, first_attempt_times, ..Controller::default() }
    }

    /// Takes one event at a time that never moves back, and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.start_once(now, actions);
        self.excuse_own_stall(now);
        match event {
            Event::EndpointList { scope: UpdateScope::Failed, .. } => self.on_poll_failure(now, actions),
            Event::EndpointList { scope, endpoints } => {
                self.on_endpoint_list(now, scope, &endpoints, actions)
            }
            Event::Request(request) => self.admit(now, request, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_end(now, &outcome, actions),
            Event::ResponseStarted { id } => self.on_response_start(id),
            Event::RequestEnded { id } => self.remove_request(id),
            Event::Timer { token } => self.on_timer(now, token, actions),
            Event::HealthCheckEnded { .. } => {}
        }
        self.set_next_sweep(now, actions);
    }

    /// On the first event: begins the first control period, and opens the watch on the endpoint list.
    fn start_once(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.timers.are_started() {
            return;
        }
        actions.push(self.timers.start_period(now));
        if self.settings.permissions.must_poll {
            actions.push(Action::Watch);
        }
    }

    /// Guards against reading a stall of its own as the silence of all backends: a timer that comes far too
    /// late tells of it. Covers pauses of the machine and jumps of the clock as well; harms where a backend
    /// did fall silent meanwhile, by one latency objective.
    fn excuse_own_stall(&mut self, now: Micros) {
        if self.timers.head_has_stalled(now) {
            self.backends.begin_silence(now);
        }
    }

    fn on_timer(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::PeriodEnd) => self.end_period(now, actions),
            Some(Timer::Sweep) => {
                self.timers.on_sweep();
                self.sweep(now, actions);
            }
            Some(Timer::Poll) => self.poll_if_due(now, actions),
            None => {}
        }
    }

    /// Ends a control period: sets the rate of every backend, and forgets what is idle.
    fn end_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(self.timers.start_period(now));
        self.backends.end_period(&self.quotas, &self.settings);
        self.quotas.forget_idle(&self.settings.classes, now);
        self.key_order.forget_idle(now);
        self.sweep(now, actions);
    }

    /// A response has begun to arrive: its request is not retried any more.
    fn on_response_start(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = true;
        }
    }

    /// Forgets a request that has ended. Its attempts in flight are forgotten with their outcomes.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.backends.dequeue(id, &mut request);
        self.release_key(id, request.spec.key);
    }

    /// Lets the next request of a key run, once this one has ended and none of its attempts is without an
    /// outcome.
    pub(crate) fn release_key(&mut self, id: RequestId, key: u64) {
        let is_open = self.requests.contains_key(&id) || self.attempts.has_any(id);
        if !is_open {
            self.key_order.remove(key, id);
        }
    }

    /// Sets the next sweep while a request waits.
    fn set_next_sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.timers.has_sweep() && self.requests.values().any(|request| request.in_flight == 0) {
            actions.push(self.timers.start_sweep(now));
        }
    }
}

// The endpoint list

/// Backoff of the first poll after a failure; it doubles with each failure, up to a quarter of the poll
/// interval of the settings.
const INITIAL_BACKOFF: Micros = 250_000;
/// The poll interval of the settings is divided by this for the longest backoff.
const MAX_BACKOFF_DIVISOR: u64 = 4;
/// The least wait for each head: all fail together, and the one service that has the list answers about 20
/// polls a second. Tuned against 100 heads that lost their watches together: 62 ms scored the same and was
/// slower.
const WAIT_PER_HEAD: Micros = 25_000;
/// The longest wait, in microseconds: a head counts as notified 6 s after the service has an update, and has
/// to have read the response by then.
const MAX_WAIT: f64 = 4.5e6;
/// A backoff is spread over this part of it and [`BACKOFF_SPREAD`] more.
const LEAST_BACKOFF: f64 = 0.75;
/// Part of a backoff that chance adds at the most.
const BACKOFF_SPREAD: f64 = 0.5;
/// The wait that all heads need together is spread over this part of it and the whole of it more.
const LEAST_SPREAD_WAIT: f64 = 0.5;
/// Step of the random debts from backend to backend: the golden ratio spreads them evenly.
const DEBT_STEP: f64 = 0.618;

/// The polls of the endpoint list after failures.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPolling {
    backoff: Micros,
    next_poll_at: Micros,
}

impl Default for EndpointPolling {
    fn default() -> Self {
        EndpointPolling { backoff: INITIAL_BACKOFF, next_poll_at: 0 }
    }
}

impl EndpointPolling {
    /// Whether the list may be polled now.
    fn is_due(&self, now: Micros) -> bool {
        now >= self.next_poll_at
    }

    /// The list came: the next failure is the first again.
    fn on_update(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    /// A poll failed: sets the time of the next one, spread by `chance` from 0 to 1.
    ///
    /// Guards against a storm: the service handles polls in turn, also those that waited too long, so that
    /// polls which come back in step, or sooner than all can be answered, keep its queue too long for any of
    /// them.
    fn on_failure(&mut self, chance: f64, settings: &Settings, now: Micros) -> Action {
        let backoff = self.backoff as f64 * (LEAST_BACKOFF + BACKOFF_SPREAD * chance);
        let wait_of_all = WAIT_PER_HEAD as f64 * f64::from(settings.heads);
        let wait_of_all = wait_of_all.min(MAX_WAIT / (LEAST_SPREAD_WAIT + 1.0));
        let wait = backoff.max(wait_of_all * (LEAST_SPREAD_WAIT + chance));
        self.next_poll_at = now + wait.min(MAX_WAIT) as Micros;
        let max_backoff = (settings.rules.poll_interval / MAX_BACKOFF_DIVISOR).max(INITIAL_BACKOFF);
        self.backoff = (self.backoff * 2).min(max_backoff);
        Timer::Poll.set(self.next_poll_at)
    }
}

impl Controller {
    /// Sets the next poll after one that failed.
    pub(crate) fn on_poll_failure(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let chance = self.random.next_fraction();
        actions.push(self.polling.on_failure(chance, &self.settings, now));
    }

    /// Polls the list again, unless another failure has put that off.
    pub(crate) fn poll_if_due(&self, now: Micros, actions: &mut Vec<Action>) {
        if self.polling.is_due(now) {
            actions.push(Action::Watch);
        }
    }

    /// Takes in an update of the endpoint list, and selects other backends for what waits for one that takes
    /// no requests any more.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        self.polling.on_update();
        if scope != UpdateScope::Delta {
            self.backends.mark_all_removed();
        }
        self.update_backends(now, scope, endpoints);
        for id in self.backends.finish_update() {
            self.select_backend(id, now);
        }
        self.sweep(now, actions);
    }

    /// Takes in what the list says of each backend. A head owes a random debt to a backend that is new to it
    /// or has restarted, and, when it has itself just started, to all of them: its predecessor may just have
    /// spent its part.
    fn update_backends(&mut self, now: Micros, scope: UpdateScope, endpoints: &[Endpoint]) {
        let objective = tightest_objective(&self.settings.classes);
        let largest_debt = largest_debt(&self.settings);
        let mut chance = self.random.next_fraction();
        for endpoint in endpoints {
            let (backend, has_restarted) = self.backends.update(endpoint, objective, now);
            if has_restarted || scope == UpdateScope::Cached || backend.slow_start.is_unused() {
                backend.slow_start.owe(chance.fract() * largest_debt, now);
                chance += DEBT_STEP;
            }
        }
    }
}

fn tightest_objective(classes: &[RequestClass]) -> Micros {
    classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND)
}

/// The most units that a head may owe a backend at first: its even part of what that bears, or a request.
fn largest_debt(settings: &Settings) -> f64 {
    let even_part = settings.rules.slow_start.safe_units / f64::from(settings.heads.max(1));
    even_part.max(settings.mean_units)
}

// Admission

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

// Selection

/// Backends that are drawn for a new object to choose from: a few keep a stale view from sending all to one
/// backend, and the cost flat in the size of the fleet.
const DRAWN_CANDIDATES: usize = 32;
/// Part of its cost that chance adds to a candidate at the most, so that heads with the same view do not all
/// select the same backend.
const JITTER: f64 = 0.2;
/// Factor on the random number of a selection, so that the jitter does not follow the draw of the candidates.
const JITTER_SCALE: f64 = 977.0;
/// Step of the jitter from candidate to candidate: the golden ratio spreads them evenly.
const JITTER_STEP: f64 = 0.618;

/// A backend that may be selected. Ordered by preference: the first difference counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_unavailable: bool,
    is_short_of_allowance: bool,
    /// The expected wait, in microseconds.
    cost: Micros,
    id: BackendId,
}

impl Controller {
    /// Selects the backend that a request waits for, in place of the one that it waits for now, and queues it
    /// there. Without a candidate it waits for none, until a sweep selects again.
    pub(crate) fn select_backend(&mut self, id: RequestId, now: Micros) {
        let chance = self.random.next_fraction();
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.backends.dequeue(id, request);
        let class = &self.settings.classes[request.spec.class];
        // While a backend is replaced two may hold the shard; one in slow start takes what it has allowance
        // for.
        let drawn = match request.required_shard(class) {
            Some(shard) => self.backends.ready_in_shard(shard).to_vec(),
            None => draw_candidates(&self.backends, chance),
        };
        let candidates = drawn.into_iter().enumerate().filter_map(|(position, candidate_id)| {
            let backend = self.backends.get_mut(candidate_id)?;
            let allowance = backend.slow_start_allowance(&self.settings, now);
            Some(Candidate {
                is_unavailable: backend.health.is_unavailable(),
                is_short_of_allowance: allowance < request.spec.units,
                cost: expected_wait(backend, jitter(chance, position), now),
                id: candidate_id,
            })
        });
        if let Some(best) = candidates.min() {
            self.backends.enqueue(id, request, best.id);
        }
    }
}

/// The ready backends from a random one on, as many as are to be compared.
fn draw_candidates(backends: &BackendSet, chance: f64) -> Vec<BackendId> {
    let ready = backends.ready();
    let first = (chance * ready.len() as f64) as usize;
    let count = DRAWN_CANDIDATES.min(ready.len());
    ready.iter().cycle().skip(first).take(count).copied().collect()
}

/// The factor that chance puts on the cost of the candidate at `position`.
fn jitter(chance: f64, position: usize) -> f64 {
    1.0 + JITTER * (chance * JITTER_SCALE + position as f64 * JITTER_STEP).fract()
}

/// How long a request will take at a backend, the wait behind those that are there included, in microseconds.
fn expected_wait(backend: &Backend, jitter: f64, now: Micros) -> Micros {
    let requests = f64::from(backend.in_flight) + backend.queue.len() as f64;
    let utilization = backend.concurrency_limit.utilization(requests);
    let wait = backend.expected_latency(now) * (1.0 + utilization) * jitter;
    wait as Micros
}

// Scheduling

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
        actions.push(Action::Send { id, backend: backend_id, until: attempt_timeout(request, class, now) });
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
fn attempt_timeout(request: &QueuedRequest, class: &RequestClass, now: Micros) -> Micros {
    request.due_at.max(now + class.latency_objective / 2).min(request.spec.deadline)
}

// Outcomes

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
