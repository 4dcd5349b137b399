//! The controller: an event in, actions out. Read [`Controller::handle`] first; each step names the module
//! that decides it, and nothing is worked out here.

use crate::attempt::AttemptsInFlight;
use crate::backend::BackendSet;
use crate::endpoints::EndpointPolling;
use crate::key_order::KeyOrder;
use crate::quota::VolumeQuotas;
use crate::random::SplitMix64;
use crate::request::{FirstAttemptTimes, QueuedRequest};
use crate::retry::RetryBudget;
use crate::timers::{Timer, Timers};
use crate::{Action, Event, Micros, RequestId, Settings, UpdateScope};
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
                self.on_endpoint_list(now, scope, &endpoints, actions);
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
