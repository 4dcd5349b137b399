//! Where fronts and backends meet: the dispatcher with its effects carried out. One [`DispatchService`] a program, shared by
//! all tasks of its one thread; whoever brings an event in also carries out what follows from it.

use crate::backend::{AttemptStarted, BackendRequest, BackendResponse, Backends};
use crate::clock::Clock;
use crate::metrics::{Metrics, OperationStatus};
use futures_util::FutureExt;
use sedgerun_dispatch::maintenance::{BanResult, Bans};
use sedgerun_dispatch::{AttemptResult, Dispatcher, Effect, FinalAnswer, RequestSpec};
use sedgerun_policy::{AttemptEnd, BackendId, Endpoint, Micros, Readiness, RequestId, Settings, UpdateScope};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// The dispatcher on sockets.
pub struct DispatchService {
    clock: Clock,
    dispatcher: RefCell<Dispatcher<BackendRequest, BackendResponse>>,
    backends: Backends,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<FinalAnswer<BackendResponse>>>>,
    flights: RefCell<HashMap<(RequestId, u8), Flight>>,
    bans: RefCell<Bans>,
    carrying: Cell<bool>,
    armed: Cell<Micros>,
    rearm: Notify,
    watch: Notify,
    /// Told when a request got its final answer.
    pub settled: Notify,
    /// The classes of open requests, for the figures.
    classes: RefCell<HashMap<RequestId, usize>>,
    /// What operators read.
    pub metrics: Metrics,
}

/// An attempt that is out.
struct Flight {
    node: BackendId,
    begun: AttemptStarted,
    task: AbortHandle,
}

/// A request on its way. Dropped before its answer, it tells the dispatcher that the client has gone.
pub struct PendingRequest {
    dispatch: Rc<DispatchService>,
    id: RequestId,
    answer: oneshot::Receiver<FinalAnswer<BackendResponse>>,
    done: bool,
}

impl PendingRequest {
    /// The request that it stands for.
    pub fn request(&self) -> RequestId {
        self.id
    }

    /// Waits for the final answer.
    pub async fn answer(mut self) -> FinalAnswer<BackendResponse> {
        let answer = (&mut self.answer).await;
        self.done = true;
        answer.unwrap_or(FinalAnswer::Failed)
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.done {
            self.dispatch.waiting.borrow_mut().remove(&self.id);
            self.dispatch.classes.borrow_mut().remove(&self.id);
            let now = self.dispatch.clock.now();
            self.dispatch.with(|dispatcher| dispatcher.client_disconnected(now, self.id));
            self.dispatch.call_off(|(id, _), _| *id == self.id);
        }
    }
}

impl DispatchService {
    /// A dispatch round a fresh dispatcher.
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        most_open: usize,
        backends: Backends,
    ) -> Rc<DispatchService> {
        Rc::new(DispatchService {
            clock,
            dispatcher: RefCell::new(Dispatcher::new(settings, seed, most_open)),
            backends,
            waiting: RefCell::default(),
            flights: RefCell::default(),
            bans: RefCell::default(),
            carrying: Cell::new(false),
            armed: Cell::new(Micros::MAX),
            rearm: Notify::new(),
            watch: Notify::new(),
            settled: Notify::new(),
            classes: RefCell::default(),
            metrics: Metrics::default(),
        })
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The backends, which know the addresses.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.dispatcher.borrow().open_requests()
    }

    /// Whether an attempt is out at a node.
    pub fn has_attempt_at(&self, node: BackendId) -> bool {
        self.dispatcher.borrow().has_attempt_at(node)
    }

    /// From now on requests are answered by this time.
    pub fn set_final_deadline(&self, at: Micros) {
        self.dispatcher.borrow_mut().set_final_deadline(at);
    }

    /// Takes a request; `None` where there is no room for it.
    pub fn submit(self: &Rc<Self>, ask: RequestSpec, job: BackendRequest) -> Option<PendingRequest> {
        let (sender, answer) = oneshot::channel();
        let class = ask.class;
        let id = self.dispatcher.borrow_mut().submit(self.clock.now(), ask, job)?;
        self.classes.borrow_mut().insert(id, class);
        self.waiting.borrow_mut().insert(id, sender);
        self.carry_out();
        Some(PendingRequest { dispatch: Rc::clone(self), id, answer, done: false })
    }

    /// Tells how an attempt ended.
    pub fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: u8, ended: AttemptResult<BackendResponse>) {
        let flew = self.flights.borrow_mut().remove(&(id, attempt)).is_some();
        let unwritten = [AttemptEnd::ConnectFailed, AttemptEnd::ConnectTimeout, AttemptEnd::CancelledUnsent];
        let written = !unwritten.contains(&ended.end);
        if flew && written {
            self.relayed(id);
        }
        let now = self.clock.now();
        self.with(|dispatcher| dispatcher.attempt_ended(now, id, attempt, ended));
    }

    /// Brings news of the list. Bricks that operators have taken out are told as draining.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, nodes: Vec<Endpoint>) {
        let now = self.clock.now();
        let nodes = self.bans.borrow_mut().filter(scope, nodes);
        self.hear(now, scope, nodes);
    }

    /// Brings news of the list as the decisions are to have it. What is on its way to a node that takes nothing
    /// new, and has not begun, is called off: its connection may come up long after the grace.
    fn hear(self: &Rc<Self>, now: Micros, scope: UpdateScope, nodes: Vec<Endpoint>) {
        let ready: BTreeMap<BackendId, bool> =
            nodes.iter().map(|listed| (listed.backend, listed.readiness == Readiness::Ready)).collect();
        self.with(|dispatcher| dispatcher.update_endpoints(now, scope, nodes));
        let whole = matches!(scope, UpdateScope::Cached | UpdateScope::Full);
        self.call_off(|_, flight| !ready.get(&flight.node).copied().unwrap_or(!whole));
    }

    /// Calls off those of the attempts that have not begun: they never ran.
    fn call_off(self: &Rc<Self>, which: impl Fn(&(RequestId, u8), &Flight) -> bool) {
        let waiting = |(name, flight): (&(RequestId, u8), &Flight)| {
            (!flight.begun.is_started() && which(name, flight)).then_some(*name)
        };
        let called_off: Vec<_> = self.flights.borrow().iter().filter_map(waiting).collect();
        for (id, attempt) in called_off {
            if let Some(flight) = self.flights.borrow_mut().remove(&(id, attempt)) {
                flight.task.abort();
            }
            let now = self.clock.now();
            self.with(|dispatcher| {
                dispatcher.attempt_ended(now, id, attempt, AttemptResult::bare(AttemptEnd::CancelledUnsent))
            });
        }
    }

    /// The client has called a request off: it gets its answer if one is out for it, and no attempt begins any
    /// more.
    pub fn cancel(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        self.with(|dispatcher| dispatcher.cancel(now, id));
        self.call_off(|(request, _), _| *request == id);
    }

    /// Whether operators have taken a brick out.
    pub fn is_banned(&self, node: BackendId) -> bool {
        self.bans.borrow().is_banned(node)
    }

    /// The bricks that operators have taken out.
    pub fn banned(&self) -> BTreeSet<BackendId> {
        self.bans.borrow().banned().collect()
    }

    /// Bricks on the list, and those of them that are out of rotation.
    pub fn rotation(&self) -> (usize, usize) {
        let bans = self.bans.borrow();
        (bans.listed(), bans.out_of_rotation())
    }

    /// Takes a brick out (`disable`) or puts it back; what the decisions hear follows at once.
    pub fn ban(self: &Rc<Self>, node: BackendId, disable: bool) -> Result<(), &'static str> {
        let now = self.clock.now();
        let verdict = if disable {
            self.bans.borrow_mut().disable(node)
        } else {
            self.bans.borrow_mut().enable(node, now)
        };
        match verdict {
            BanResult::Yes(told) => {
                self.tell(now, told);
                Ok(())
            }
            BanResult::No(why) => Err(why),
        }
    }

    /// Takes over the bans that another process of this head holds.
    pub fn adopt_bans(self: &Rc<Self>, banned: &BTreeSet<BackendId>) {
        let now = self.clock.now();
        let told = self.bans.borrow_mut().adopt(banned, now);
        self.tell(now, told);
    }

    /// From now on these are the bricks, by name, that the fleet has banned.
    pub fn set_cluster_bans<'a>(self: &Rc<Self>, banned: impl Iterator<Item = &'a String>) {
        let now = self.clock.now();
        let banned = banned.map(|name| self.backends.names.node(name)).collect();
        let told = self.bans.borrow_mut().ban_for_all(banned, now);
        self.tell(now, told);
    }

    /// Tells the decisions of entries that a ban changed, as changes of the list.
    fn tell(self: &Rc<Self>, now: Micros, told: Vec<Endpoint>) {
        if !told.is_empty() {
            self.hear(now, UpdateScope::Delta, told);
        }
    }

    /// Waits until the controller wants a subscription.
    pub async fn watch_requested(&self) {
        self.watch.notified().await;
    }

    /// Takes back a wish for a subscription that nobody has heeded. Guards against one from before a failed call,
    /// which would cut the wait after it short.
    pub fn discard_watch_request(&self) {
        let _ = self.watch.notified().now_or_never();
    }

    /// Runs the dispatcher's timers for as long as the program lives.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.dispatcher.borrow().next_timer();
            self.armed.set(due.unwrap_or(Micros::MAX));
            let Some(due) = due else {
                self.rearm.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(self.clock.instant(due).into());
            tokio::select! {
                () = sleep => {
                    let now = self.clock.now();
                    self.with(|dispatcher| dispatcher.run_due_timers(now));
                }
                () = self.rearm.notified() => {}
            }
        }
    }

    fn relayed(&self, id: RequestId) {
        if let Some(class) = self.classes.borrow().get(&id) {
            self.metrics.count(*class, OperationStatus::Relayed);
        }
    }

    fn with(self: &Rc<Self>, act: impl FnOnce(&mut Dispatcher<BackendRequest, BackendResponse>)) {
        act(&mut self.dispatcher.borrow_mut());
        self.carry_out();
    }

    /// Carries out the dispatcher's effects in their order. What follows while one is carried out queues up
    /// behind it.
    fn carry_out(self: &Rc<Self>) {
        if self.carrying.replace(true) {
            return;
        }
        loop {
            let Some(effect) = self.dispatcher.borrow_mut().next_effect() else { break };
            match effect {
                Effect::Send { id, attempt, backend: node, until, job } => {
                    self.send(id, attempt, node, until, job)
                }
                Effect::Cancel { id, attempt } => {
                    let flight = self.flights.borrow_mut().remove(&(id, attempt));
                    if let Some(flight) = flight {
                        flight.task.abort();
                        // Given up while out: it was written, or as good as.
                        self.relayed(id);
                    }
                }
                Effect::Final { id, answer } => {
                    self.classes.borrow_mut().remove(&id);
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
                        // The client may have gone in the meantime; then nobody is owed an answer.
                        let _ = waiting.send(answer);
                    }
                    self.settled.notify_waiters();
                }
                Effect::Watch => self.watch.notify_one(),
            }
        }
        self.carrying.set(false);
        if self.dispatcher.borrow().next_timer().is_some_and(|due| due < self.armed.get()) {
            self.rearm.notify_one();
        }
    }

    fn send(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u8,
        node: BackendId,
        until: Micros,
        job: Rc<BackendRequest>,
    ) {
        let dispatch = Rc::clone(self);
        let left = until.saturating_sub(self.clock.now());
        let begun = AttemptStarted::default();
        let making = begun.clone();
        let task = actix_rt::spawn(async move {
            let ended = making.scope(dispatch.backends.attempt(node, left, &job)).await;
            dispatch.attempt_ended(
                id,
                attempt,
                ended.unwrap_or_else(|| AttemptResult::bare(AttemptEnd::CancelledUnsent)),
            );
        });
        let flight = Flight { node, begun, task: task.abort_handle() };
        self.flights.borrow_mut().insert((id, attempt), flight);
    }
}
