//! Where frontends and backends meet: the dispatcher of `sedgerun-dispatch` on sockets and on the clock.
//!
//! There is one [`DispatchService`] a program, shared by all tasks of its one thread. It owns the dispatcher, the
//! tasks of attempts in flight, the clients that wait for answers and the operators' overrides. Whoever brings an
//! event in also carries out the effects that follow from it, before the call returns.
//!
//! This module takes requests and events, `effects` carries out what the dispatcher wants, `attempts` keeps the tasks
//! of attempts, `pending_request` is a client's side of a request, `overrides` takes backends out of rotation, and
//! `timers` wakes the dispatcher.

mod attempts;
mod effects;
mod overrides;
mod pending_request;
mod timers;

pub use pending_request::PendingRequest;

use crate::backend::{BackendRequest, BackendResponse, Backends};
use crate::clock::Clock;
use crate::metrics::{Metrics, OperationStatus};
use attempts::{AttemptKey, AttemptTask, AttemptTasks};
use futures_util::FutureExt;
use pending_request::ResponseReceiver;
use sedgerun_dispatch::{AttemptResult, BackendOverrides, Dispatcher, RequestSpec};
use sedgerun_policy::{AttemptEnd, BackendId, Endpoint, Micros, Readiness, RequestId, Settings, UpdateScope};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use timers::TimerWakeup;
use tokio::sync::{Notify, oneshot};

/// Ends of attempts of which nothing was written to a backend.
const UNSENT_ENDS: [AttemptEnd; 3] =
    [AttemptEnd::ConnectFailed, AttemptEnd::ConnectTimeout, AttemptEnd::CancelledUnsent];

/// The dispatcher on sockets.
pub struct DispatchService {
    clock: Clock,
    dispatcher: RefCell<Dispatcher<BackendRequest, BackendResponse>>,
    backends: Backends,
    /// The clients of open requests.
    clients: RefCell<HashMap<RequestId, ResponseReceiver>>,
    attempts: AttemptTasks,
    overrides: RefCell<BackendOverrides>,
    is_applying_effects: Cell<bool>,
    timer_wakeup: TimerWakeup,
    watch_request: Notify,
    /// Notified when a request got its final answer.
    pub response_sent: Notify,
    /// What operators read.
    pub metrics: Metrics,
}

impl DispatchService {
    /// A service round a fresh dispatcher, with a bound on the number of open requests.
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        max_open_requests: usize,
        backends: Backends,
    ) -> Rc<DispatchService> {
        Rc::new(DispatchService {
            clock,
            dispatcher: RefCell::new(Dispatcher::new(settings, seed, max_open_requests)),
            backends,
            clients: RefCell::default(),
            attempts: AttemptTasks::default(),
            overrides: RefCell::default(),
            is_applying_effects: Cell::new(false),
            timer_wakeup: TimerWakeup::default(),
            watch_request: Notify::new(),
            response_sent: Notify::new(),
            metrics: Metrics::default(),
        })
    }

    /// The program's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The backends, which know the addresses.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.dispatcher.borrow().open_requests()
    }

    /// Whether an attempt is in flight at a backend.
    pub fn has_attempt_at(&self, backend: BackendId) -> bool {
        self.dispatcher.borrow().has_attempt_at(backend)
    }

    /// From now on requests are answered by this time.
    pub fn set_shutdown_deadline(&self, at: Micros) {
        self.dispatcher.borrow_mut().set_shutdown_deadline(at);
    }

    /// Takes a request; `None` where as many are open as may be.
    pub fn submit(self: &Rc<Self>, spec: RequestSpec, payload: BackendRequest) -> Option<PendingRequest> {
        let (sender, receiver) = oneshot::channel();
        let class = spec.class;
        let id = self.dispatcher.borrow_mut().submit(self.clock.now(), spec, payload)?;
        self.clients.borrow_mut().insert(id, ResponseReceiver { class, response: sender });
        self.apply_effects();
        Some(PendingRequest::new(Rc::clone(self), id, receiver))
    }

    /// Notes how an attempt ended.
    pub fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u8,
        result: AttemptResult<BackendResponse>,
    ) {
        let was_in_flight = self.attempts.remove(AttemptKey { id, attempt }).is_some();
        if was_in_flight && !UNSENT_ENDS.contains(&result.end) {
            self.count_relayed(id);
        }
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.attempt_ended(now, id, attempt, result));
    }

    /// The client has cancelled a request: it gets the response of an attempt in flight, and no attempt begins any
    /// more.
    pub fn cancel(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.cancel(now, id));
        self.cancel_unsent(|key, _| key.id == id);
    }

    /// Brings an update of the endpoint list. Backends that operators have disabled are shown as draining.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        let now = self.clock.now();
        let endpoints = self.overrides.borrow_mut().filter(scope, endpoints);
        self.notify_controller(now, scope, endpoints);
    }

    /// Waits until the controller wants a subscription to the endpoint list.
    pub async fn watch_requested(&self) {
        self.watch_request.notified().await;
    }

    /// Discards a wish for a subscription that nobody has acted on. Guards against one from before a failed poll,
    /// which would cut the backoff after it short.
    pub fn discard_watch_request(&self) {
        let _ = self.watch_request.notified().now_or_never();
    }

    /// Brings an update of the list as the controller is to have it. Attempts at backends that take nothing new, of
    /// which nothing has been written yet, are cancelled: their connection may come up long after the grace period.
    fn notify_controller(self: &Rc<Self>, now: Micros, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        let is_ready: BTreeMap<BackendId, bool> = endpoints
            .iter()
            .map(|endpoint| (endpoint.backend, endpoint.readiness == Readiness::Ready))
            .collect();
        self.with_dispatcher(|dispatcher| dispatcher.update_endpoints(now, scope, endpoints));
        let is_complete = matches!(scope, UpdateScope::Cached | UpdateScope::Full);
        self.cancel_unsent(|_, task| !is_ready.get(&task.backend).copied().unwrap_or(!is_complete));
    }

    /// Cancels those of the attempts of which nothing has been written: they never ran.
    fn cancel_unsent(self: &Rc<Self>, is_affected: impl Fn(&AttemptKey, &AttemptTask) -> bool) {
        for key in self.attempts.unsent(is_affected) {
            if let Some(task) = self.attempts.remove(key) {
                task.abort();
            }
            let now = self.clock.now();
            let result = AttemptResult::without_response(AttemptEnd::CancelledUnsent);
            self.with_dispatcher(|dispatcher| dispatcher.attempt_ended(now, key.id, key.attempt, result));
        }
    }

    /// Counts an attempt that was written to a backend, by the class of its request.
    fn count_relayed(&self, id: RequestId) {
        if let Some(client) = self.clients.borrow().get(&id) {
            self.metrics.count(client.class, OperationStatus::Relayed);
        }
    }

    /// Brings an event to the dispatcher, and carries out what follows.
    fn with_dispatcher(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Dispatcher<BackendRequest, BackendResponse>),
    ) {
        event(&mut self.dispatcher.borrow_mut());
        self.apply_effects();
    }
}
