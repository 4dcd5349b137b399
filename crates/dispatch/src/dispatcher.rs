//! The dispatcher: tracks open requests, their attempts and their timers, and applies the decisions of the
//! [`Controller`]. It has no knowledge of wire formats: request payloads and responses are opaque to it.
//!
//! Whatever the controller decides, the dispatcher guarantees that each request gets exactly one final
//! response before its deadline and has at most one attempt in flight.

use crate::effect::{Effect, FinalResponse};
use crate::request::{AttemptInFlight, AttemptResult, AttemptStage, LoadReport, OpenRequest, RequestSpec};
use crate::timers::{TimerKind, TimerQueue};
use sedgerun_policy::Controller;
use sedgerun_policy::{
    Action, AttemptEnd, AttemptOutcome, BackendId, Endpoint, Event, Micros, RequestId, Settings, UpdateScope,
};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long before a request's deadline the controller must have decided, in microseconds. This leaves time
/// for a few turns of the event loop on a busy core, so that the final response comes from the controller and
/// not from the dispatcher's deadline timer, which expires half this margin before the deadline.
const RESPONSE_MARGIN: Micros = 12_000;

/// The dispatcher of one head. `P` is the payload that is sent to a backend, `R` the backend's response.
#[derive(Debug)]
pub struct Dispatcher<P, R> {
    controller: Controller,
    requests: BTreeMap<RequestId, OpenRequest<P>>,
    attempts: BTreeMap<(RequestId, u8), AttemptInFlight>,
    timers: TimerQueue,
    next_request: RequestId,
    max_open_requests: usize,
    /// The latest time for the final response to any request submitted from now on; [`Micros::MAX`] until
    /// [`Dispatcher::set_shutdown_deadline`] is called.
    shutdown_deadline: Micros,
    /// The latest time passed to any method. Time never goes backwards for the controller.
    now: Micros,
    effects: VecDeque<Effect<P, R>>,
}

impl<P, R> Dispatcher<P, R> {
    /// Creates a dispatcher with a new controller that accepts at most `max_open_requests` requests at a
    /// time.
    pub fn new(settings: Settings, seed: u64, max_open_requests: usize) -> Self {
        Dispatcher {
            controller: Controller::new(settings, seed),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: TimerQueue::default(),
            next_request: 0,
            max_open_requests,
            shutdown_deadline: Micros::MAX,
            now: 0,
            effects: VecDeque::new(),
        }
    }

    /// Removes and returns the next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect<P, R>> {
        self.effects.pop_front()
    }

    /// The time at which [`Dispatcher::run_expired_timers`] must be called next; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_expiry()
    }

    /// The number of requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether any attempt is in flight at a backend.
    pub fn has_attempt_at(&self, backend: BackendId) -> bool {
        self.attempts.values().any(|attempt| attempt.backend == backend)
    }

    /// Requests submitted from now on get their final response by this time, even if their own deadline is
    /// later. The controller still sees the client's deadline: with a shorter one it would take new requests
    /// for retries that have little time left.
    pub fn set_shutdown_deadline(&mut self, at: Micros) {
        self.shutdown_deadline = at;
    }

    /// Accepts a request; returns `None` if the maximum number of requests is already open.
    pub fn submit(&mut self, now: Micros, spec: RequestSpec, payload: P) -> Option<RequestId> {
        if self.requests.len() >= self.max_open_requests {
            return None;
        }
        let id = self.next_request;
        self.next_request = self.next_request.wrapping_add(1);
        let response_deadline = spec.deadline.min(self.shutdown_deadline);
        let decision_deadline = response_deadline.saturating_sub(RESPONSE_MARGIN);
        let timer_expiry = response_deadline.saturating_sub(RESPONSE_MARGIN / 2);
        self.requests.insert(id, OpenRequest::new(payload, decision_deadline, timer_expiry));
        self.timers.set(timer_expiry, TimerKind::RequestDeadline(id));
        // Computed from the client's deadline alone: see `set_shutdown_deadline`.
        let controller_deadline = spec.deadline.saturating_sub(RESPONSE_MARGIN);
        self.handle_event(now, Event::Request(spec.into_request(id, controller_deadline)));
        Some(id)
    }

    /// Drops a request whose client has disconnected, without a final response. An attempt in flight
    /// continues.
    pub fn client_disconnected(&mut self, now: Micros, id: RequestId) {
        if self.close(id) {
            self.handle_event(now, Event::RequestEnded { id });
        }
    }

    /// Closes a request, with its timer; whether it was open.
    fn close(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        self.timers.cancel(request.timer_expiry, TimerKind::RequestDeadline(id));
        true
    }

    /// Cancels a request for a client that still expects a final response. No further attempt starts. The
    /// backend may already have executed an attempt in flight, so its response is still passed on.
    pub fn cancel(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_cancelled = true;
        self.end_if_cancelled(now, id);
    }

    /// Records how far an attempt has got. Ignored if the attempt was already abandoned.
    ///
    /// The attempt's timeout is the time without any response. It does not run while the request is still being
    /// written or read, or the response is coming in: a transfer is ended by the request's own time alone.
    pub fn attempt_advanced(&mut self, now: Micros, id: RequestId, attempt: u8, stage: AttemptStage) {
        let Some(in_flight) = self.attempts.get_mut(&(id, attempt)) else { return };
        let request_end = self.requests.get(&id).map(|request| request.decision_deadline);
        in_flight.enter_stage(stage, now);
        let timeout_at = match stage {
            AttemptStage::Connecting => return,
            AttemptStage::Sending | AttemptStage::BackendReading | AttemptStage::ReceivingResponse => None,
            AttemptStage::AwaitingResponse => Some(in_flight.response_due_at()),
        };
        // Whoever waits for the response of a transfer waits until the request's end; a request that has ended has
        // none, and the attempt goes on for as long as it was allowed.
        let timeout_at = match (timeout_at, request_end) {
            (Some(at), Some(end)) => Some(at.min(end)),
            (None, Some(end)) => Some(end),
            (at, None) => at.or(in_flight.timeout_at),
        };
        self.set_attempt_timeout(id, attempt, timeout_at);
        if stage == AttemptStage::ReceivingResponse {
            self.handle_event(now, Event::AttemptProgressed { id, attempt });
        }
    }

    fn set_attempt_timeout(&mut self, id: RequestId, attempt: u8, timeout_at: Option<Micros>) {
        let Some(in_flight) = self.attempts.get_mut(&(id, attempt)) else { return };
        let timeout_before = std::mem::replace(&mut in_flight.timeout_at, timeout_at);
        let kind = TimerKind::AttemptTimeout(id, attempt);
        timeout_before.inspect(|at| self.timers.cancel(*at, kind));
        timeout_at.inspect(|at| self.timers.set(*at, kind));
    }

    /// Records the end of an attempt, or that its response is passed on while it comes in. Ignored if the attempt was
    /// already abandoned.
    pub fn attempt_ended(&mut self, now: Micros, id: RequestId, attempt: u8, result: AttemptResult<R>) {
        let AttemptResult { end, response, volume_usage, units_elsewhere, transfer_continues } = result;
        let load = LoadReport { volume_usage, units_elsewhere };
        match (end, response) {
            (AttemptEnd::Ok, Some(response)) if transfer_continues => {
                self.pass_on(now, id, attempt, response, load);
            }
            // A success without a response to pass on counts as an error.
            (AttemptEnd::Ok, None) => self.end_attempt(now, id, attempt, AttemptEnd::Error, None, load),
            (end, response) => self.end_attempt(now, id, attempt, end, response, load),
        }
    }

    /// Gives the client a response that is still coming in. From here on neither timeout nor deadline applies.
    fn pass_on(&mut self, now: Micros, id: RequestId, attempt: u8, response: R, load: LoadReport) {
        if !self.attempts.contains_key(&(id, attempt)) {
            return;
        }
        self.set_attempt_timeout(id, attempt, None);
        if let Some(in_flight) = self.attempts.get_mut(&(id, attempt)) {
            in_flight.passed_on = Some(load);
        }
        self.respond(id, FinalResponse::Served(response));
        if !self.attempts.get(&(id, attempt)).is_some_and(AttemptInFlight::is_receiving) {
            self.handle_event(now, Event::AttemptProgressed { id, attempt });
        }
        self.handle_event(now, Event::ResponseStarted { id, attempt });
    }

    /// Records that a response which is passed on has progressed. Ignored if its attempt has ended.
    pub fn transfer_progressed(&mut self, now: Micros, id: RequestId, attempt: u8) {
        if self.attempts.contains_key(&(id, attempt)) {
            self.handle_event(now, Event::AttemptProgressed { id, attempt });
        }
    }

    /// Records the end of a response that was passed on, and of its attempt. Ignored if the attempt has ended.
    pub fn transfer_ended(&mut self, now: Micros, id: RequestId, attempt: u8, end: AttemptEnd) {
        let in_flight = self.attempts.get(&(id, attempt));
        if let Some(load) = in_flight.and_then(|in_flight| in_flight.passed_on) {
            self.end_attempt(now, id, attempt, end, None, load);
        }
    }

    fn end_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u8,
        end: AttemptEnd,
        response: Option<R>,
        load: LoadReport,
    ) {
        let Some(in_flight) = self.attempts.remove(&(id, attempt)) else { return };
        in_flight.timeout_at.inspect(|at| self.timers.cancel(*at, TimerKind::AttemptTimeout(id, attempt)));
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt_in_flight = request.attempt_in_flight.filter(|other| *other != attempt);
            request.may_have_run |= may_have_run(end);
        }
        // Only a successful attempt ends its request here. After any other end the request stays open until
        // the controller retries, rejects or fails it, so that no request is lost.
        if let (AttemptEnd::Ok, Some(response)) = (end, response) {
            self.respond(id, FinalResponse::Served(response));
        }
        let outcome = AttemptOutcome {
            id,
            attempt,
            backend: in_flight.backend,
            end,
            latency: now.saturating_sub(in_flight.sent_at),
            request_ended: !self.requests.contains_key(&id),
            volume_usage: load.volume_usage,
            units_via_other_heads: load.units_elsewhere,
        };
        self.handle_event(now, Event::AttemptEnded(outcome));
        self.end_if_cancelled(now, id);
    }

    /// Passes an update of the endpoint list to the controller.
    pub fn update_endpoints(&mut self, now: Micros, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        self.handle_event(now, Event::EndpointList { scope, endpoints });
    }

    /// Runs the timers that have expired by `now`.
    pub fn run_expired_timers(&mut self, now: Micros) {
        while let Some(kind) = self.timers.pop_expired(now) {
            match kind {
                TimerKind::Controller(token) => self.handle_event(now, Event::Timer { token }),
                TimerKind::AttemptTimeout(id, attempt) => {
                    self.abandon_attempt(now, id, attempt, AttemptEnd::Timeout);
                }
                TimerKind::RequestDeadline(id) => self.end_at_deadline(now, id),
            }
        }
    }

    /// Ends a request whose deadline timer has expired, if it is still open.
    fn end_at_deadline(&mut self, now: Micros, id: RequestId) {
        if let Some(attempt) = self.requests.get(&id).and_then(|request| request.attempt_in_flight) {
            self.abandon_attempt(now, id, attempt, AttemptEnd::Timeout);
        }
        // The controller may still hold the request in its queue; the client must get a response in time
        // anyway.
        self.end_unserved(now, id);
    }

    /// Ends a request that its client has cancelled, unless an attempt is still in flight.
    fn end_if_cancelled(&mut self, now: Micros, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_cancelled && request.attempt_in_flight.is_none()) {
            self.end_unserved(now, id);
        }
    }

    /// Ends an open request that no backend has served: emits its final response and notifies the controller.
    fn end_unserved(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let response = request.unserved_response();
        self.respond(id, response);
        self.handle_event(now, Event::RequestEnded { id });
    }

    /// Cancels an attempt in flight and reports its end to the controller. A request whose last byte was not written
    /// never ran.
    fn abandon_attempt(&mut self, now: Micros, id: RequestId, attempt: u8, end: AttemptEnd) {
        let Some(in_flight) = self.attempts.get(&(id, attempt)) else { return };
        if in_flight.passed_on.is_some() {
            return;
        }
        let is_written = in_flight.stage != AttemptStage::Sending;
        let end = if is_written { end } else { AttemptEnd::CancelledUnsent };
        self.effects.push_back(Effect::Cancel { id, attempt });
        self.attempt_ended(now, id, attempt, AttemptResult::without_response(end));
    }

    /// Closes a request and emits its final response; does nothing if it is closed already.
    fn respond(&mut self, id: RequestId, response: FinalResponse<R>) {
        if self.close(id) {
            self.effects.push_back(Effect::Respond { id, response });
        }
    }

    /// Passes an event to the controller and carries out the resulting actions.
    fn handle_event(&mut self, now: Micros, event: Event) {
        self.now = self.now.max(now);
        let now = self.now;
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, backend, timeout_at } => self.start_attempt(now, id, backend, timeout_at),
                Action::Reject { id, retry_after } => self.respond(id, FinalResponse::Rejected(retry_after)),
                Action::Fail { id } => self.respond(id, FinalResponse::Failed),
                Action::Cancel { id, attempt } => {
                    self.abandon_attempt(now, id, attempt, AttemptEnd::Cancelled);
                }
                Action::SetTimer { at, token } => self.timers.set(at, TimerKind::Controller(token)),
                Action::CheckHealth { .. } => {}
                Action::Watch => self.effects.push_back(Effect::Watch),
            }
        }
    }

    /// Starts an attempt that times out at `deadline`, if the request is still open.
    fn start_attempt(&mut self, now: Micros, id: RequestId, backend: BackendId, deadline: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let may_send = request.may_send();
        let attempt = request.next_attempt_number();
        let deadline = deadline.min(request.decision_deadline);
        let in_flight = AttemptInFlight {
            backend,
            sent_at: now,
            stage: AttemptStage::Connecting,
            stage_began_at: now,
            timeout_at: may_send.then_some(deadline),
            allowed_time: deadline.saturating_sub(now),
            transfer_time: 0,
            passed_on: None,
        };
        self.attempts.insert((id, attempt), in_flight);
        if !may_send {
            // At most one attempt may be in flight, and none starts for a cancelled request. The controller
            // has requested this attempt, so its end is reported as cancelled before it was sent.
            self.attempt_ended(
                now,
                id,
                attempt,
                AttemptResult::without_response(AttemptEnd::CancelledUnsent),
            );
            return;
        }
        request.attempt_in_flight = Some(attempt);
        let payload = Rc::clone(&request.payload);
        let respond_by = request.decision_deadline;
        let begin_before = self.controller.latest_begin(id);
        self.timers.set(deadline, TimerKind::AttemptTimeout(id, attempt));
        self.effects.push_back(Effect::Send {
            id,
            attempt,
            backend,
            deadline,
            respond_by,
            begin_before,
            payload,
        });
    }
}

/// Whether the request may have run in an attempt that ended so.
fn may_have_run(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Ok | AttemptEnd::Error | AttemptEnd::Timeout | AttemptEnd::Reset | AttemptEnd::Cancelled
    )
}
