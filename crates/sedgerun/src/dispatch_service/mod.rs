//! Connects front ends and backends: runs the dispatcher of `sedgerun-dispatch` with real sockets and a real
//! clock.
//!
//! A process has one [`DispatchService`], which all tasks of its single thread share. It owns the dispatcher,
//! the tasks of attempts in flight, the senders of final responses and the operators' overrides. Each method
//! that passes an event to the dispatcher also applies the resulting effects before it returns.
//!
//! This module accepts requests and events, `effects` applies the dispatcher's effects, `attempts` holds the
//! tasks of attempts, `pending_request` is the client's side of a request, `overrides` disables and enables
//! backends, and `timers` runs the dispatcher's timers.

mod attempts;
mod effects;
mod overrides;
mod pending_request;
mod timers;

pub use pending_request::PendingRequest;

use crate::backend::{AttemptReport, BackendRequest, BackendResponse, Backends};
use crate::clock::Clock;
use crate::metrics::{Metrics, OperationStatus};
use attempts::{AttemptKey, AttemptTask, AttemptTasks, CallOffReason};
use futures_util::FutureExt;
use pending_request::OpenRequest;
use sedgerun_dispatch::{AttemptResult, BackendOverrides, Dispatcher, RequestSpec};
use sedgerun_policy::{AttemptEnd, BackendId, Endpoint, Micros, Readiness, RequestId, Settings, UpdateScope};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use timers::TimerWakeup;
use tokio::sync::{Notify, oneshot};

/// Outcomes of attempts of which nothing was written to a backend.
const UNSENT_ENDS: [AttemptEnd; 3] =
    [AttemptEnd::ConnectFailed, AttemptEnd::ConnectTimeout, AttemptEnd::CancelledUnsent];

/// The dispatcher with its I/O.
pub struct DispatchService {
    clock: Clock,
    dispatcher: RefCell<Dispatcher<BackendRequest, BackendResponse>>,
    backends: Backends,
    /// The requests whose clients wait for a final response.
    open_requests: RefCell<HashMap<RequestId, OpenRequest>>,
    attempts: AttemptTasks,
    /// What attempts have reported and the dispatcher was not told yet.
    reports: RefCell<VecDeque<(AttemptKey, AttemptReport)>>,
    overrides: RefCell<BackendOverrides>,
    is_applying_effects: Cell<bool>,
    /// How long after its backend began to drain an attempt of several messages may begin, in microseconds.
    drain_time: Micros,
    timer_wakeup: TimerWakeup,
    watch_request: Notify,
    /// Notified when a request has received its final response.
    pub response_sent: Notify,
    /// Counters for the operators.
    pub metrics: Metrics,
}

impl DispatchService {
    /// Creates a service with a new dispatcher, which accepts up to `max_open_requests` open requests.
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        max_open_requests: usize,
        backends: Backends,
    ) -> Rc<DispatchService> {
        let drain_time = settings.rules.drain_grace.saturating_sub(settings.max_pause);
        Rc::new(DispatchService {
            clock,
            drain_time,
            dispatcher: RefCell::new(Dispatcher::new(settings, seed, max_open_requests)),
            backends,
            open_requests: RefCell::default(),
            attempts: AttemptTasks::default(),
            reports: RefCell::default(),
            overrides: RefCell::default(),
            is_applying_effects: Cell::new(false),
            timer_wakeup: TimerWakeup::default(),
            watch_request: Notify::new(),
            response_sent: Notify::new(),
            metrics: Metrics::default(),
        })
    }

    /// The clock of the process.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The clients, names and addresses of the backends.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// The number of requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.dispatcher.borrow().open_requests()
    }

    /// Whether an attempt is in flight at a backend.
    pub fn has_attempt_at(&self, backend: BackendId) -> bool {
        self.dispatcher.borrow().has_attempt_at(backend)
    }

    /// Sets the time by which all requests receive a final response, for a graceful shutdown.
    pub fn set_shutdown_deadline(&self, deadline: Micros) {
        self.dispatcher.borrow_mut().set_shutdown_deadline(deadline);
    }

    /// Submits a request; `None` if the limit of open requests is reached.
    pub fn submit(self: &Rc<Self>, spec: RequestSpec, payload: BackendRequest) -> Option<PendingRequest> {
        let (sender, receiver) = oneshot::channel();
        let class = spec.class;
        let id = self.dispatcher.borrow_mut().submit(self.clock.now(), spec, payload)?;
        self.open_requests.borrow_mut().insert(id, OpenRequest { class, response_sender: sender });
        self.apply_effects();
        Some(PendingRequest::new(Rc::clone(self), id, receiver))
    }

    /// Reports the result of an attempt to the dispatcher.
    pub fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u8,
        result: AttemptResult<BackendResponse>,
    ) {
        if let Some(task) = self.attempts.remove(AttemptKey { id, attempt }) {
            if !UNSENT_ENDS.contains(&result.end) {
                self.count_relayed(id);
            }
            if task.begin_check.is_called_off() {
                self.metrics.count_called_off();
            }
        }
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.attempt_ended(now, id, attempt, result));
    }

    /// Passes what an attempt reports on to the dispatcher, once that is free: the end of a transfer may come from a
    /// response that the dispatcher drops.
    fn attempt_reported(self: &Rc<Self>, key: AttemptKey, report: AttemptReport) {
        self.reports.borrow_mut().push_back((key, report));
        self.handle_reports();
    }

    fn handle_reports(self: &Rc<Self>) {
        loop {
            let Ok(mut dispatcher) = self.dispatcher.try_borrow_mut() else { return };
            let Some((AttemptKey { id, attempt }, report)) = self.reports.borrow_mut().pop_front() else {
                break;
            };
            let now = self.clock.now();
            match report {
                AttemptReport::Advanced(stage) => dispatcher.attempt_advanced(now, id, attempt, stage),
                AttemptReport::TransferProgressed => dispatcher.transfer_progressed(now, id, attempt),
                AttemptReport::TransferEnded(end) => dispatcher.transfer_ended(now, id, attempt, end),
            }
        }
        self.apply_effects();
    }

    /// Cancels a request for its client. The client still receives the response of an attempt in flight; no
    /// further attempt starts.
    pub fn cancel(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.cancel(now, id));
        self.call_off_attempts(CallOffReason::CancelledByClient, |key, _| key.id == id);
    }

    /// Applies an update of the endpoint list. Backends that operators have disabled are passed on as
    /// draining.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        let now = self.clock.now();
        let endpoints = self.overrides.borrow_mut().filter(scope, endpoints);
        self.notify_controller(now, scope, endpoints);
    }

    /// Waits until the controller requests a subscription to the endpoint list.
    pub async fn watch_requested(&self) {
        self.watch_request.notified().await;
    }

    /// Discards a pending request for a subscription. A request from before a failed poll would otherwise cut
    /// short the backoff after it.
    pub fn discard_watch_request(&self) {
        let _ = self.watch_request.notified().now_or_never();
    }

    /// Passes an update of the endpoint list, with the overrides applied, to the controller. Attempts at
    /// backends that no longer accept requests are called off if nothing of them has been written yet: their
    /// connection might be established long after the grace period. An attempt counts from its first byte here, so
    /// others go on; one over 9P, which consists of several messages, begins within the grace period or not at all.
    fn notify_controller(self: &Rc<Self>, now: Micros, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        let is_ready: BTreeMap<BackendId, bool> = endpoints
            .iter()
            .map(|endpoint| (endpoint.backend, endpoint.readiness == Readiness::Ready))
            .collect();
        self.with_dispatcher(|dispatcher| dispatcher.update_endpoints(now, scope, endpoints));
        let is_complete = matches!(scope, UpdateScope::Cached | UpdateScope::Full);
        let is_leaving = |task: &AttemptTask| !is_ready.get(&task.backend).copied().unwrap_or(!is_complete);
        self.attempts.limit(now + self.drain_time, |task| !task.request.is_one_message() && is_leaving(task));
        self.call_off_attempts(CallOffReason::BackendLeaving, |_, task| {
            !task.progress.is_started() && is_leaving(task)
        });
    }

    /// Calls off the attempts that match `is_affected` and have not begun; they never ran.
    fn call_off_attempts(
        self: &Rc<Self>,
        reason: CallOffReason,
        is_affected: impl Fn(&AttemptKey, &AttemptTask) -> bool,
    ) {
        for key in self.attempts.call_off(is_affected) {
            if let Some(task) = self.attempts.remove(key) {
                let request = &task.request;
                tracing::info!("{request}: attempt {} called off before it began: {reason}", key.attempt);
                self.metrics.count_called_off();
                task.abort();
            }
            let now = self.clock.now();
            let result = AttemptResult::without_response(AttemptEnd::CancelledUnsent);
            self.with_dispatcher(|dispatcher| dispatcher.attempt_ended(now, key.id, key.attempt, result));
        }
    }

    /// Counts an attempt that was written to a backend, by the class of its request.
    fn count_relayed(&self, id: RequestId) {
        if let Some(request) = self.open_requests.borrow().get(&id) {
            self.metrics.count(request.class, OperationStatus::Relayed);
        }
    }

    /// Passes an event to the dispatcher and applies the resulting effects.
    fn with_dispatcher(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Dispatcher<BackendRequest, BackendResponse>),
    ) {
        event(&mut self.dispatcher.borrow_mut());
        self.handle_reports();
    }
}
