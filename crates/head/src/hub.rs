//! Where fronts and backs meet: the exchange with its effects carried out. One [`Hub`] a program, shared by
//! all tasks of its one thread; whoever brings an event in also carries out what follows from it.

use crate::back::{Backs, Begun, Job, Reply};
use crate::clock::Clock;
use crate::figures::{Figures, Status};
use futures_util::FutureExt;
use sedgerun_core::exchange::{Answer, Ask, Effect, Ended, Exchange};
use sedgerun_core::maintenance::{Bans, Verdict};
use sedgerun_decide::api::{Ending, Listed, Micros, NodeId, Readiness, RequestId, Scope, Settings};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// The exchange on sockets.
pub struct Hub {
    clock: Clock,
    exchange: RefCell<Exchange<Job, Reply>>,
    backs: Backs,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Answer<Reply>>>>,
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
    pub figures: Figures,
}

/// An attempt that is out.
struct Flight {
    node: NodeId,
    begun: Begun,
    task: AbortHandle,
}

/// A request on its way. Dropped before its answer, it tells the exchange that the client has gone.
pub struct Ticket {
    hub: Rc<Hub>,
    id: RequestId,
    answer: oneshot::Receiver<Answer<Reply>>,
    done: bool,
}

impl Ticket {
    /// The request that it stands for.
    pub fn request(&self) -> RequestId {
        self.id
    }

    /// Waits for the final answer.
    pub async fn answer(mut self) -> Answer<Reply> {
        let answer = (&mut self.answer).await;
        self.done = true;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.done {
            self.hub.waiting.borrow_mut().remove(&self.id);
            self.hub.classes.borrow_mut().remove(&self.id);
            let now = self.hub.clock.now();
            self.hub.with(|exchange| exchange.gone(now, self.id));
            self.hub.call_off(|(id, _), _| *id == self.id);
        }
    }
}

impl Hub {
    /// A hub round a fresh exchange.
    pub fn new(clock: Clock, settings: Settings, seed: u64, most_open: usize, backs: Backs) -> Rc<Hub> {
        Rc::new(Hub {
            clock,
            exchange: RefCell::new(Exchange::new(settings, seed, most_open)),
            backs,
            waiting: RefCell::default(),
            flights: RefCell::default(),
            bans: RefCell::default(),
            carrying: Cell::new(false),
            armed: Cell::new(Micros::MAX),
            rearm: Notify::new(),
            watch: Notify::new(),
            settled: Notify::new(),
            classes: RefCell::default(),
            figures: Figures::default(),
        })
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The backs, which know the addresses.
    pub fn backs(&self) -> &Backs {
        &self.backs
    }

    /// Requests without a final answer.
    pub fn open(&self) -> usize {
        self.exchange.borrow().open()
    }

    /// Whether an attempt is out at a node.
    pub fn in_flight(&self, node: NodeId) -> bool {
        self.exchange.borrow().in_flight(node)
    }

    /// From now on requests are answered by this time.
    pub fn end_by(&self, at: Micros) {
        self.exchange.borrow_mut().end_by(at);
    }

    /// Takes a request; `None` where there is no room for it.
    pub fn request(self: &Rc<Self>, ask: Ask, job: Job) -> Option<Ticket> {
        let (sender, answer) = oneshot::channel();
        let class = ask.class;
        let id = self.exchange.borrow_mut().request(self.clock.now(), ask, job)?;
        self.classes.borrow_mut().insert(id, class);
        self.waiting.borrow_mut().insert(id, sender);
        self.carry_out();
        Some(Ticket { hub: Rc::clone(self), id, answer, done: false })
    }

    /// Tells how an attempt ended.
    pub fn outcome(self: &Rc<Self>, id: RequestId, attempt: u8, ended: Ended<Reply>) {
        let flew = self.flights.borrow_mut().remove(&(id, attempt)).is_some();
        let unwritten = [Ending::ConnectFailed, Ending::ConnectTimeout, Ending::Moot];
        let written = !unwritten.contains(&ended.ending);
        if flew && written {
            self.relayed(id);
        }
        let now = self.clock.now();
        self.with(|exchange| exchange.outcome(now, id, attempt, ended));
    }

    /// Brings news of the list. Bricks that operators have taken out are told as draining.
    pub fn list(self: &Rc<Self>, scope: Scope, nodes: Vec<Listed>) {
        let now = self.clock.now();
        let nodes = self.bans.borrow_mut().filter(scope, nodes);
        self.hear(now, scope, nodes);
    }

    /// Brings news of the list as the decisions are to have it. What is on its way to a node that takes nothing
    /// new, and has not begun, is called off: its connection may come up long after the grace.
    fn hear(self: &Rc<Self>, now: Micros, scope: Scope, nodes: Vec<Listed>) {
        let ready: BTreeMap<NodeId, bool> =
            nodes.iter().map(|listed| (listed.node, listed.readiness == Readiness::Ready)).collect();
        self.with(|exchange| exchange.list(now, scope, nodes));
        let whole = matches!(scope, Scope::Cached | Scope::Full);
        self.call_off(|_, flight| !ready.get(&flight.node).copied().unwrap_or(!whole));
    }

    /// Calls off those of the attempts that have not begun: they never ran.
    fn call_off(self: &Rc<Self>, which: impl Fn(&(RequestId, u8), &Flight) -> bool) {
        let waiting = |(name, flight): (&(RequestId, u8), &Flight)| {
            (!flight.begun.get() && which(name, flight)).then_some(*name)
        };
        let called_off: Vec<_> = self.flights.borrow().iter().filter_map(waiting).collect();
        for (id, attempt) in called_off {
            if let Some(flight) = self.flights.borrow_mut().remove(&(id, attempt)) {
                flight.task.abort();
            }
            let now = self.clock.now();
            self.with(|exchange| exchange.outcome(now, id, attempt, Ended::bare(Ending::Moot)));
        }
    }

    /// The client has called a request off: it gets its answer if one is out for it, and no attempt begins any
    /// more.
    pub fn withdraw(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        self.with(|exchange| exchange.withdraw(now, id));
        self.call_off(|(request, _), _| *request == id);
    }

    /// Whether operators have taken a brick out.
    pub fn is_banned(&self, node: NodeId) -> bool {
        self.bans.borrow().is_banned(node)
    }

    /// The bricks that operators have taken out.
    pub fn banned(&self) -> BTreeSet<NodeId> {
        self.bans.borrow().banned().collect()
    }

    /// Bricks on the list, and those of them that are out of rotation.
    pub fn rotation(&self) -> (usize, usize) {
        let bans = self.bans.borrow();
        (bans.listed(), bans.out_of_rotation())
    }

    /// Takes a brick out (`disable`) or puts it back; what the decisions hear follows at once.
    pub fn ban(self: &Rc<Self>, node: NodeId, disable: bool) -> Result<(), &'static str> {
        let now = self.clock.now();
        let verdict = if disable {
            self.bans.borrow_mut().disable(node)
        } else {
            self.bans.borrow_mut().enable(node, now)
        };
        match verdict {
            Verdict::Yes(told) => {
                self.tell(now, told);
                Ok(())
            }
            Verdict::No(why) => Err(why),
        }
    }

    /// Takes over the bans that another process of this head holds.
    pub fn adopt(self: &Rc<Self>, banned: &BTreeSet<NodeId>) {
        let now = self.clock.now();
        let told = self.bans.borrow_mut().adopt(banned, now);
        self.tell(now, told);
    }

    /// From now on these are the bricks, by name, that the fleet has banned.
    pub fn ban_for_all<'a>(self: &Rc<Self>, banned: impl Iterator<Item = &'a String>) {
        let now = self.clock.now();
        let banned = banned.map(|name| self.backs.names.node(name)).collect();
        let told = self.bans.borrow_mut().ban_for_all(banned, now);
        self.tell(now, told);
    }

    /// Tells the decisions of entries that a ban changed, as changes of the list.
    fn tell(self: &Rc<Self>, now: Micros, told: Vec<Listed>) {
        if !told.is_empty() {
            self.hear(now, Scope::Delta, told);
        }
    }

    /// Waits until the controller wants a subscription.
    pub async fn wants_watch(&self) {
        self.watch.notified().await;
    }

    /// Takes back a wish for a subscription that nobody has heeded. Guards against one from before a failed call,
    /// which would cut the wait after it short.
    pub fn forget_watch(&self) {
        let _ = self.watch.notified().now_or_never();
    }

    /// Runs the exchange's timers for as long as the program lives.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.exchange.borrow().next_due();
            self.armed.set(due.unwrap_or(Micros::MAX));
            let Some(due) = due else {
                self.rearm.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(self.clock.instant(due).into());
            tokio::select! {
                () = sleep => {
                    let now = self.clock.now();
                    self.with(|exchange| exchange.tick(now));
                }
                () = self.rearm.notified() => {}
            }
        }
    }

    fn relayed(&self, id: RequestId) {
        if let Some(class) = self.classes.borrow().get(&id) {
            self.figures.count(*class, Status::Relayed);
        }
    }

    fn with(self: &Rc<Self>, act: impl FnOnce(&mut Exchange<Job, Reply>)) {
        act(&mut self.exchange.borrow_mut());
        self.carry_out();
    }

    /// Carries out the exchange's effects in their order. What follows while one is carried out queues up
    /// behind it.
    fn carry_out(self: &Rc<Self>) {
        if self.carrying.replace(true) {
            return;
        }
        loop {
            let Some(effect) = self.exchange.borrow_mut().effect() else { break };
            match effect {
                Effect::Send { id, attempt, node, until, job } => self.send(id, attempt, node, until, job),
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
        if self.exchange.borrow().next_due().is_some_and(|due| due < self.armed.get()) {
            self.rearm.notify_one();
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, attempt: u8, node: NodeId, until: Micros, job: Rc<Job>) {
        let hub = Rc::clone(self);
        let left = until.saturating_sub(self.clock.now());
        let begun = Begun::default();
        let making = begun.clone();
        let task = actix_rt::spawn(async move {
            let ended = making.of(hub.backs.attempt(node, left, &job)).await;
            hub.outcome(id, attempt, ended.unwrap_or_else(|| Ended::bare(Ending::Moot)));
        });
        let flight = Flight { node, begun, task: task.abort_handle() };
        self.flights.borrow_mut().insert((id, attempt), flight);
    }
}
