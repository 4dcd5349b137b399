//! The controller, which turns events into actions. [`Controller::handle`] is the entry point; it dispatches
//! each event to the module that decides about it.

use crate::attempt::AttemptsInFlight;
use crate::backend::BackendSet;
use crate::endpoints::EndpointPolling;
use crate::key_order::KeyOrder;
use crate::quota::VolumeQuotas;
use crate::random::SplitMix64;
use crate::request::{FirstAttemptTimeouts, OpenRequest};
use crate::retry::RetryBudget;
use crate::timers::{Timer, Timers};
use crate::{Action, Event, Micros, RequestId, Settings, UpdateScope, retry};
use std::collections::BTreeMap;

/// Decides for one head. It depends only on its settings, its seed and its events: the same input gives the
/// same actions.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) random: SplitMix64,
    pub(crate) timers: Timers,
    pub(crate) polling: EndpointPolling,
    pub(crate) backends: BackendSet,
    pub(crate) quotas: VolumeQuotas,
    /// Requests without a final response.
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts that have not ended. An attempt may outlive its request.
    pub(crate) attempts: AttemptsInFlight,
    pub(crate) key_order: KeyOrder,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) first_attempt_timeouts: FirstAttemptTimeouts,
}

impl Controller {
    /// Creates a controller; `seed` initializes its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Controller {
        let random = SplitMix64::new(seed);
        let first_attempt_timeouts = FirstAttemptTimeouts::new(settings.classes.len());
        Controller { settings, random, first_attempt_timeouts, ..Controller::default() }
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` must not decrease from call to
    /// call.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.start_once(now, actions);
        self.ignore_own_stall(now);
        match event {
            Event::EndpointList { scope: UpdateScope::Failed, .. } => self.on_poll_failure(now, actions),
            Event::EndpointList { scope, endpoints } => {
                self.on_endpoint_list(now, scope, &endpoints, actions);
            }
            Event::Request(request) => self.admit(now, request, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_end(now, &outcome, actions),
            Event::AttemptProgressed { id, attempt } => self.on_attempt_progress(id, attempt, now, actions),
            Event::ResponseStarted { id, attempt } => self.on_response_start(id, attempt),
            Event::RequestEnded { id } => self.remove_request(id),
            Event::Timer { token } => self.on_timer(now, token, actions),
            Event::HealthCheckEnded { .. } => {}
        }
        self.schedule_next_sweep(now, actions);
    }

    /// The time before which an attempt of a request must begin, by a clock that is read right before the last byte of
    /// the request is written; `None` where only its deadline bounds it.
    pub fn latest_begin(&self, id: RequestId) -> Option<Micros> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.spec.class];
        retry::latest_begin(request, class, self.settings.max_pause)
    }

    /// The number of volumes that it knows, and of pairs of a volume and a backend whose demand it tracks. Both are
    /// bounded, whatever names clients give their volumes.
    pub fn tracked_volumes(&self) -> (usize, usize) {
        (self.quotas.len(), self.backends.demands())
    }

    /// On the first event, begins the first control period and opens the watch on the endpoint list.
    fn start_once(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.timers.are_started() {
            return;
        }
        actions.push(self.timers.start_period(now));
        if self.settings.permissions.must_poll {
            actions.push(Action::Watch);
        }
    }

    /// After a stall of the head itself, counts the time without a response of every backend from now on, so
    /// that the stall does not make all backends look unresponsive.
    ///
    /// A control period that ends far too late shows the stall; pauses of the machine and jumps of the clock
    /// are covered as well. A backend that did become unresponsive meanwhile is detected later by one latency
    /// objective.
    fn ignore_own_stall(&mut self, now: Micros) {
        if self.timers.head_has_stalled(now) {
            self.backends.restart_response_clocks(now);
        }
    }

    fn on_timer(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::PeriodEnd) => self.end_period(now, actions),
            Some(Timer::Sweep) => {
                self.timers.on_sweep();
                self.sweep(now, actions);
            }
            Some(Timer::Poll) => self.poll_unless_postponed(now, actions),
            None => {}
        }
    }

    /// Ends a control period: sets the rate of every backend and drops idle volumes and keys.
    fn end_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(self.timers.start_period(now));
        self.backends.end_period(&self.quotas, &self.settings);
        self.quotas.drop_idle(&self.settings.classes, now);
        self.key_order.drop_idle(now);
        self.sweep(now, actions);
    }

    /// Removes a request that has ended. Its attempts in flight are removed when they end.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.backends.dequeue(id, &mut request);
        self.release_key(id, request.spec.key);
    }

    /// Lets the next request of a key run once this request has ended and has no attempt in flight.
    pub(crate) fn release_key(&mut self, id: RequestId, key: u64) {
        let is_open = self.requests.contains_key(&id) || self.attempts.has_any(id);
        if !is_open {
            self.key_order.remove(key, id);
        }
    }

    /// Schedules the next sweep if a request has no attempt in flight.
    fn schedule_next_sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.timers.is_sweep_set() && self.requests.values().any(|request| request.in_flight == 0) {
            actions.push(self.timers.schedule_sweep(now));
        }
    }
}
