//! The dispatcher: open requests, their attempts and timers round the [`Controller`]. It owns the controller and
//! all of that state; it knows no wire, so that jobs and responses are opaque to it.
//!
//! Whatever the controller decides, a request gets one final answer, in time, and has at most one attempt in
//! flight.

use crate::effect::{Effect, FinalAnswer};
use crate::request::{AttemptInFlight, AttemptResult, OpenRequest, RequestSpec};
use crate::timers::{TimerKind, TimerQueue};
use sedgerun_policy::Controller;
use sedgerun_policy::{
    Action, AttemptEnd, AttemptOutcome, BackendId, Endpoint, Event, Micros, RequestId, Settings, UpdateScope,
};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Time before a client's deadline by which its answer must be on its way (us): a few turns of the program on a
/// busy core. The controller is given a deadline that much earlier, so that the final answer is its own.
const ANSWER_MARGIN: Micros = 12_000;

/// The dispatcher of one head; `J` is the job that is sent, `R` the response that comes back.
#[derive(Debug)]
pub struct Dispatcher<J, R> {
    controller: Controller,
    requests: BTreeMap<RequestId, OpenRequest<J>>,
    attempts: BTreeMap<(RequestId, u8), AttemptInFlight>,
    timers: TimerQueue,
    next_request: RequestId,
    max_open_requests: usize,
    /// The time by which all requests are answered, however long their clients would wait.
    final_deadline: Micros,
    /// The latest time that any call brought.
    now: Micros,
    effects: VecDeque<Effect<J, R>>,
}

impl<J, R> Dispatcher<J, R> {
    /// A dispatcher round a fresh controller, with a bound on the number of open requests.
    pub fn new(settings: Settings, seed: u64, max_open_requests: usize) -> Self {
        Dispatcher {
            controller: Controller::new(settings, seed),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: TimerQueue::default(),
            next_request: 0,
            max_open_requests,
            final_deadline: Micros::MAX,
            now: 0,
            effects: VecDeque::new(),
        }
    }

    /// The next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect<J, R>> {
        self.effects.pop_front()
    }

    /// When [`Dispatcher::run_due_timers`] is to be called next.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_at()
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether an attempt is in flight at a backend.
    pub fn has_attempt_at(&self, backend: BackendId) -> bool {
        self.attempts.values().any(|attempt| attempt.backend == backend)
    }

    /// From now on requests are answered by this time, however long their clients would wait. The controller is
    /// not notified: it would take them for retries with little time left.
    pub fn set_final_deadline(&mut self, at: Micros) {
        self.final_deadline = at;
    }

    /// Takes a request; `None` where as many are open as may be.
    pub fn submit(&mut self, now: Micros, spec: RequestSpec, job: J) -> Option<RequestId> {
        if self.requests.len() >= self.max_open_requests {
            return None;
        }
        let id = self.next_request;
        self.next_request = self.next_request.wrapping_add(1);
        let answer_deadline = spec.deadline.min(self.final_deadline);
        let decision_deadline = answer_deadline.saturating_sub(ANSWER_MARGIN);
        let last_moment = answer_deadline.saturating_sub(ANSWER_MARGIN / 2);
        self.requests.insert(id, OpenRequest::new(job, decision_deadline));
        self.timers.set(last_moment, TimerKind::RequestDeadline(id));
        // By the client's own deadline alone: see `set_final_deadline`.
        let controller_deadline = spec.deadline.saturating_sub(ANSWER_MARGIN);
        self.handle(now, Event::Request(spec.into_request(id, controller_deadline)));
        Some(id)
    }

    /// The client of a request has disconnected: nobody waits for an answer. An attempt in flight runs on.
    pub fn client_disconnected(&mut self, now: Micros, id: RequestId) {
        if self.requests.remove(&id).is_some() {
            self.handle(now, Event::RequestEnded { id });
        }
    }

    /// The client of a request has cancelled it, and still waits for an answer: no attempt begins any more. One in
    /// flight may have run, and its response is passed on.
    pub fn cancel(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_cancelled = true;
        self.end_if_cancelled(now, id);
    }

    /// An attempt ended. The end of one that was already abandoned is ignored.
    pub fn attempt_ended(&mut self, now: Micros, id: RequestId, attempt: u8, result: AttemptResult<R>) {
        let Some(in_flight) = self.attempts.remove(&(id, attempt)) else { return };
        let AttemptResult { end, response, volume_usage, units_elsewhere } = result;
        // A backend that says it served and gives nothing to pass on has not served.
        let end = if end == AttemptEnd::Ok && response.is_none() { AttemptEnd::Error } else { end };
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt_in_flight = request.attempt_in_flight.filter(|other| *other != attempt);
        }
        // Guards against losing requests: only a served one ends with its attempt. All others stay open until
        // the controller decides what becomes of them.
        if let (AttemptEnd::Ok, Some(response)) = (end, response) {
            self.finish(id, FinalAnswer::Served(response));
        }
        let outcome = AttemptOutcome {
            id,
            attempt,
            backend: in_flight.backend,
            end,
            latency: now.saturating_sub(in_flight.sent_at),
            request_ended: !self.requests.contains_key(&id),
            volume_usage,
            units_via_other_heads: units_elsewhere,
        };
        self.handle(now, Event::AttemptEnded(outcome));
        self.end_if_cancelled(now, id);
    }

    /// An update of the endpoint list.
    pub fn update_endpoints(&mut self, now: Micros, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        self.handle(now, Event::EndpointList { scope, endpoints });
    }

    /// Runs the timers that have expired by now.
    pub fn run_due_timers(&mut self, now: Micros) {
        while let Some(kind) = self.timers.pop_expired(now) {
            match kind {
                TimerKind::Controller(token) => self.handle(now, Event::Timer { token }),
                TimerKind::AttemptTimeout(id, attempt) => {
                    self.abandon_attempt(now, id, attempt, AttemptEnd::Timeout);
                }
                TimerKind::RequestDeadline(id) => self.end_at_deadline(now, id),
            }
        }
    }

    /// Ends a request at its last moment.
    fn end_at_deadline(&mut self, now: Micros, id: RequestId) {
        if let Some(attempt) = self.requests.get(&id).and_then(|request| request.attempt_in_flight) {
            self.abandon_attempt(now, id, attempt, AttemptEnd::Timeout);
        }
        // Guards against a request that the controller queues past its deadline: a client is never left without
        // an answer.
        self.end_without_response(now, id);
    }

    /// Ends a request that its client has cancelled, once none of its attempts is in flight.
    fn end_if_cancelled(&mut self, now: Micros, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_cancelled && request.attempt_in_flight.is_none()) {
            self.end_without_response(now, id);
        }
    }

    /// Answers a request, if it is still open, and notifies the controller that it is over.
    fn end_without_response(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let answer = request.answer_without_response();
        self.finish(id, answer);
        self.handle(now, Event::RequestEnded { id });
    }

    /// Ends an attempt from this side: it is cancelled, and the controller is notified of its end.
    fn abandon_attempt(&mut self, now: Micros, id: RequestId, attempt: u8, end: AttemptEnd) {
        if self.attempts.contains_key(&(id, attempt)) {
            self.effects.push_back(Effect::Cancel { id, attempt });
            self.attempt_ended(now, id, attempt, AttemptResult::bare(end));
        }
    }

    /// Gives the final answer, once.
    fn finish(&mut self, id: RequestId, answer: FinalAnswer<R>) {
        if self.requests.remove(&id).is_some() {
            self.effects.push_back(Effect::Final { id, answer });
        }
    }

    /// Passes an event to the controller and carries out its actions.
    fn handle(&mut self, now: Micros, event: Event) {
        self.now = self.now.max(now);
        let now = self.now;
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, backend, timeout_at } => self.send(now, id, backend, timeout_at),
                Action::Reject { id, retry_after } => self.finish(id, FinalAnswer::Rejected(retry_after)),
                Action::Fail { id } => self.finish(id, FinalAnswer::Failed),
                Action::Cancel { id, attempt } => {
                    self.abandon_attempt(now, id, attempt, AttemptEnd::Cancelled);
                }
                Action::SetTimer { at, token } => self.timers.set(at, TimerKind::Controller(token)),
                Action::CheckHealth { .. } => {}
                Action::Watch => self.effects.push_back(Effect::Watch),
            }
        }
    }

    /// Begins an attempt, if the request is still open.
    fn send(&mut self, now: Micros, id: RequestId, backend: BackendId, until: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let may_send = request.may_send();
        let attempt = request.begin_attempt();
        self.attempts.insert((id, attempt), AttemptInFlight { backend, sent_at: now });
        if !may_send {
            // Guards against two attempts at once: the second never leaves. And against one for a client that has
            // cancelled its request.
            self.attempt_ended(now, id, attempt, AttemptResult::bare(AttemptEnd::CancelledUnsent));
            return;
        }
        request.attempt_in_flight = Some(attempt);
        let until = until.min(request.decision_deadline);
        let job = Rc::clone(&request.job);
        self.timers.set(until, TimerKind::AttemptTimeout(id, attempt));
        self.effects.push_back(Effect::Send { id, attempt, backend, until, job });
    }
}
