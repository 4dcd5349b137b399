//! Every decision of sedgerun; the plain types that go in and come out are in `settings.rs`, `event.rs` and `action.rs`.
//!
//! From top to bottom: tuned constants, node health and slow start, and the life of a request. One
//! [`Controller`] decides for one dispatcher. It knows its settings, its seed and its own events only.

use crate::attempt::{Attempt, AttemptsInFlight};
use crate::fair_share::{WeightedDemand, fair_share_level};
use crate::key_order::KeyOrder;
use crate::queue::DeadlineQueue;
use crate::quota::{VolumeQuota, VolumeQuotas};
use crate::random::SplitMix64;
use crate::regulator::{PeriodSample, SelfTuningRegulator};
use crate::request::{FirstAttemptTimes, PossibleExecution, QueuedRequest};
use crate::retry::{self, RetryBudget};
use crate::timers::{Timer, Timers};
use crate::token_bucket::TokenBucket;
use crate::{
    Action, AttemptEnd, AttemptOutcome, BackendId, Endpoint, Event, Micros, Readiness, Request, RequestId,
    SECOND, Settings, UpdateScope,
};
use std::collections::BTreeMap;

// ---- Tuned constants ---------------------------------------------------------------------------------

/// Requests a second that the ceiling grants a node at the least: enough for a fit.
const CEILING_REQUESTS: f64 = 6.0;
/// Outstanding requests a node is allowed at first: a few.
const BOUND_START: f64 = 4.0;
/// The most outstanding requests at a node (the design's figure).
const BOUND_TOP: f64 = 32.0;
/// Part of the tightest aim that a node's latency may take before its bound falls: the rest is for the
/// wait here, where requests can still be ordered.
const NODE_PART: f64 = 0.18;
/// Factor on the bound when latency is over that part, at most once a latency.
const BOUND_CUT: f64 = 0.85;
/// Weight of one answer in a node's latency at the least: about the last ten answers count.
const LATENCY_GAIN: f64 = 0.2;
/// Time over which what an answer told of a node wears off (us): surges last several seconds, queues fewer.
const MEMORY: f64 = 1e6;
/// Weight of the last period in what a volume asks: two periods, as surges start within one.
const ASK_GAIN: f64 = 0.5;
/// Attempts in a row that found nobody before a node counts as down: one or two may be the link's doing.
const DOWN_MISSES: u32 = 3;
/// Dispatchers whose late requests may look after a crowded node at the pace of one; more share that pace.
const LOOKERS: u64 = 8;
/// Wait between trials of a node that is down (us): a fair part of a client's patience.
const TRIAL_WAIT: Micros = SECOND / 2;
/// First wait before a failed subscription is renewed (us); doubles up to a quarter of `ask_within`.
const ASK_START: Micros = 250_000;
/// The same for each dispatcher (us): all fail together, and the list's one service answers tens a second.
const ASK_PART: Micros = 25_000;
/// The longest wait (us): news counts as told 6 s after the list's service has it, its answer read by then.
const ASK_TOP: f64 = 4.5e6;
/// Dispatchers up to which each has its even part of the allowance for chance at a backend in slow start.
const FEW_DISPATCHERS: u32 = 8;
/// Part of its even part that a dispatcher adds to its thinned demand: all come to N then.
const EVEN_PART: f64 = 0.3;
/// Nodes drawn for a new object to choose from: a few keep stale news from sending all to one node, and
/// the cost flat in fleet size.
const DRAWN: usize = 32;

// ---- Band split --------------------------------------------------------------------------------------

/// What one volume asks of one node through this dispatcher.
#[derive(Clone, Debug, Default)]
struct Ask {
    asked: f64,
    rate: f64,
    share: TokenBucket,
}

// ---- Node health and slow start ---------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
struct Node {
    cell: u32,
    readiness: Readiness,
    came_up: Micros,
    out: u32,
    queue: DeadlineQueue,
    bound: f64,
    cut_at: Micros,
    latency: f64,
    tuner: SelfTuningRegulator,
    gate: TokenBucket,
    over: bool,
    level: f64,
    asks: BTreeMap<u64, Ask>,
    answers: u32,
    took: f64,
    served: f64,
    offered: f64,
    sent: f64,
    aim: Micros,
    slow_start: TokenBucket,
    heard: Micros,
    told: Micros,
    trial_at: Micros,
    missed: u32,
    /// When an attempt last left.
    left: Micros,
    /// Units a second that volumes ask for here, each counted up to what it is sized for.
    usual: f64,
}

impl Node {
    fn new(aim: Micros, now: Micros) -> Node {
        let latency = aim as f64 * NODE_PART / 2.0;
        let level = f64::INFINITY;
        Node { bound: BOUND_START, latency, level, aim, heard: now, told: now, ..Node::default() }
    }

    /// The latency expected now. With few answers the last one weighs more the longer it is alone, and wears
    /// off, so that a node which was crowded is tried again; silence counts before the answer comes.
    fn latency_at(&self, now: Micros) -> f64 {
        let quiet = now.saturating_sub(self.heard) as f64;
        let age = now.saturating_sub(self.told) as f64;
        let rest = (self.line() / 2.0).min(self.latency);
        let worn = rest + (self.latency - rest) * (-age / MEMORY).exp();
        if self.out > 0 { worn.max(quiet) } else { worn }
    }

    /// The latency over which the bound falls. Past half of it the node has nothing for what is late, since
    /// other dispatchers may add theirs.
    fn line(&self) -> f64 {
        NODE_PART * self.aim as f64
    }

    /// The silence after which a node, or an attempt there, is doubted (us).
    fn doubt(&self) -> Micros {
        (4.0 * self.latency).max(self.aim as f64 / 4.0) as Micros
    }

    /// Takes one answer's latency.
    fn learn(&mut self, took: f64, now: Micros) {
        let alone = 1.0 - (-(now.saturating_sub(self.told) as f64) / MEMORY).exp();
        self.latency += alone.max(LATENCY_GAIN) * (took - self.latency);
        self.told = now;
    }

    /// Cuts the bound, at most once for all that was out at the last cut.
    fn crowded(&mut self, sent_at: Micros, now: Micros) {
        if sent_at >= self.cut_at {
            self.bound = (self.bound * BOUND_CUT).max(1.0);
            self.cut_at = now;
        }
    }

    /// A few attempts in a row found nobody, with no answer between: the node gets one trial at a time until
    /// one succeeds. Links that drop single attempts do not stop a node that answers the others.
    fn down(&self) -> bool {
        self.missed >= DOWN_MISSES
    }

    /// Units that this dispatcher may send now without overloading a backend in slow start. A bucket fills
    /// with what it is usually asked for here, thinned by half of the tipping point, and less than an even
    /// part of what the settings say it always bears; both grow as it warms. Few dispatchers share what the
    /// rule puts down to chance as well, less what each may have saved. A part smaller than a request is
    /// saved up; the debt after it keeps the rate, and the random first fill keeps all from sending at once.
    fn slow_start_room(&mut self, settings: &Settings, now: Micros) -> f64 {
        let rules = &settings.rules;
        let age = now.saturating_sub(self.came_up);
        if self.came_up == 0
            || age >= rules.slow_start.duration
            || rules.slow_start.overload_window == 0
            || rules.slow_start.overload_factor <= 0.0
        {
            return f64::INFINITY;
        }
        let begin = rules.slow_start.initial_capacity.clamp(0.01, 1.0);
        let warm = 1.0 + (1.0 / begin - 1.0) * age as f64 / rules.slow_start.duration as f64;
        let mean = settings.mean_units.max(1e-3);
        let borne = rules.slow_start.safe_units.max(mean) * warm;
        let dispatchers = f64::from(settings.heads.max(1));
        let second = SECOND as f64 / rules.slow_start.overload_window as f64;
        // Half of the two roots and two calls that the rule puts down to chance.
        let chance = mean * ((borne / mean).sqrt() + 1.0) / dispatchers;
        let saved = chance.max(mean);
        let few = settings.heads <= FEW_DISPATCHERS;
        let even = borne / dispatchers + if few { (2.0 * chance - saved).max(0.0) } else { 0.0 };
        let thinned = rules.slow_start.overload_factor / 2.0 * begin * warm * self.usual / second;
        let part = if self.usual > 0.0 { thinned + EVEN_PART * even } else { even };
        let cap = if few { saved } else { part / 10.0 };
        let room = self.slow_start.refill(now, part * second, cap);
        if room >= cap { f64::INFINITY } else { room }
    }
}

// ---- The life of a request ---------------------------------------------------------------------------

/// Decides for one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    settings: Settings,
    random: SplitMix64,
    nodes: BTreeMap<BackendId, Node>,
    quotas: VolumeQuotas,
    requests: BTreeMap<RequestId, QueuedRequest>,
    attempts: AttemptsInFlight,
    key_order: KeyOrder,
    /// The ready nodes, and those of each cell.
    open: Vec<BackendId>,
    cells: BTreeMap<u32, Vec<BackendId>>,
    retry_budget: RetryBudget,
    first_attempt_times: FirstAttemptTimes,
    timers: Timers,
    ask_wait: Micros,
    ask_at: Micros,
}

impl Controller {
    /// A controller with its settings and the seed of its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Controller {
        let first_attempt_times = FirstAttemptTimes::new(settings.classes.len());
        Controller {
            settings,
            random: SplitMix64::new(seed),
            first_attempt_times,
            ask_wait: ASK_START,
            ..Controller::default()
        }
    }

    /// Takes one event at a time that never moves back, and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.timers.are_started() {
            actions.push(self.timers.start_period(now));
            if self.settings.permissions.must_poll {
                actions.push(Action::Watch);
            }
        }
        // Guards against reading a standstill of its own as the silence of all nodes: a timer that comes far
        // too late tells of it. Covers pauses of the machine and jumps of the clock as well; harms where a
        // node did fall silent meanwhile, by one aim.
        if self.timers.head_has_stalled(now) {
            self.nodes.values_mut().for_each(|node| node.heard = now);
        }
        match event {
            Event::EndpointList { scope, endpoints: nodes } => self.list(now, scope, nodes, actions),
            Event::Request(request) => self.take(now, request, actions),
            Event::AttemptEnded(outcome) => self.outcome(now, outcome, actions),
            Event::ResponseStarted { id } => {
                self.requests.entry(id).and_modify(|held| held.is_streaming = true);
            }
            Event::RequestEnded { id } => self.forget(id),
            Event::Timer { token } => match Timer::from_token(token) {
                Some(Timer::PeriodEnd) => {
                    actions.push(self.timers.start_period(now));
                    self.period();
                    self.quotas.forget_idle(&self.settings.classes, now);
                    self.key_order.forget_idle(now);
                    self.look(now, actions);
                }
                Some(Timer::Sweep) => {
                    self.timers.on_sweep();
                    self.look(now, actions);
                }
                Some(Timer::Poll) if now >= self.ask_at => actions.push(Action::Watch),
                Some(Timer::Poll) | None => {}
            },
            Event::HealthCheckEnded { .. } => {}
        }
        if !self.timers.has_sweep() && self.requests.values().any(|held| held.in_flight == 0) {
            actions.push(self.timers.start_sweep(now));
        }
    }

    fn list(&mut self, now: Micros, scope: UpdateScope, nodes: Vec<Endpoint>, actions: &mut Vec<Action>) {
        if scope == UpdateScope::Failed {
            // Guards against a storm: what waits there too long is still handled in turn, so that calls which
            // come back in step, or sooner than all can be answered, keep the line too long for any of them.
            let (chance, heads) = (self.random.next_fraction(), f64::from(self.settings.heads));
            let wait = self.ask_wait as f64 * (0.75 + 0.5 * chance);
            let spread = (ASK_PART as f64 * heads).min(ASK_TOP / 1.5) * (0.5 + chance);
            self.ask_at = now + wait.max(spread).min(ASK_TOP) as Micros;
            actions.push(Timer::Poll.set(self.ask_at));
            let top = (self.settings.rules.poll_interval / 4).max(ASK_START);
            self.ask_wait = (self.ask_wait * 2).min(top);
            return;
        }
        self.ask_wait = ASK_START;
        if scope != UpdateScope::Delta {
            self.nodes.values_mut().for_each(|node| node.readiness = Readiness::Removed);
        }
        let aim = self.settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND);
        let mut chance = self.random.next_fraction();
        for entry in &nodes {
            let node = self.nodes.entry(entry.backend).or_insert_with(|| Node::new(aim, now));
            let restarted = entry.started_at > node.came_up;
            if restarted {
                // A new process: what was learned of the old one is void, what is out and held stays.
                let old = std::mem::replace(node, Node::new(aim, now));
                (node.out, node.queue, node.asks) = (old.out, old.queue, old.asks);
            }
            if restarted || scope == UpdateScope::Cached || node.slow_start.is_unused() {
                let part = self.settings.rules.slow_start.safe_units / f64::from(self.settings.heads.max(1));
                let debt = chance.fract() * part.max(self.settings.mean_units);
                (node.slow_start, chance) = (TokenBucket::with_debt(debt, now), chance + 0.618);
            }
            (node.cell, node.readiness) = (entry.shard, entry.readiness);
            node.came_up = node.came_up.max(entry.started_at);
        }
        self.nodes
            .retain(|_, node| node.readiness != Readiness::Removed || node.out > 0 || !node.queue.is_empty());
        (self.open, self.cells) = Default::default();
        for (name, node) in self.nodes.iter().filter(|(_, node)| node.readiness == Readiness::Ready) {
            self.open.push(*name);
            self.cells.entry(node.cell).or_default().push(*name);
        }
        let closed = self.nodes.values_mut().filter(|node| node.readiness != Readiness::Ready);
        let stray: Vec<_> = closed.flat_map(|node| node.queue.take_all()).collect();
        stray.iter().for_each(|id| self.house(*id, now));
        self.look(now, actions);
    }

    fn take(&mut self, now: Micros, mut ask: Request, actions: &mut Vec<Action>) {
        let Request { id, volume, .. } = ask;
        let Some(class) = self.settings.classes.get(ask.class) else {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        };
        let units = if ask.units.is_finite() { ask.units.max(0.0) } else { self.settings.mean_units };
        let hosts = ask.volume_heads.max(1.0).min(f64::from(self.settings.heads.max(1)));
        (ask.units, ask.volume_heads) = (units, hosts);
        self.quotas.on_request(volume, self.settings.plans.get(ask.plan), hosts, now);
        if !class.ordered_by_key {
            ask.key = 0;
        }
        let due_at = self.first_attempt_times.due_at(&ask, class, now);
        self.key_order.push(ask.key, id);
        self.retry_budget.on_request(now);
        self.requests.insert(id, QueuedRequest::new(ask, due_at, now));
        self.house(id, now);
        if let Some(name) = self.requests.get(&id).and_then(|held| held.queued_at) {
            if let Some(node) = self.nodes.get_mut(&name) {
                node.offered += units;
                node.asks.entry(volume).or_default().asked += units;
            }
            self.release(name, now, actions);
        }
    }

    /// Finds the node that a request waits for: the holder of its data, or the best for a new object.
    fn house(&mut self, id: RequestId, now: Micros) {
        let chance = self.random.next_fraction();
        let Some(held) = self.requests.get_mut(&id) else { return };
        if let Some(node) = held.queued_at.take().and_then(|name| self.nodes.get_mut(&name)) {
            node.queue.remove(held.due_at, id);
        }
        let cell = held.required_shard(&self.settings.classes[held.spec.class]);
        // While a node is replaced two may hold the cell; one in slow start takes what it has room for.
        let drawn: Vec<BackendId> = match cell {
            Some(cell) => self.cells.get(&cell).cloned().unwrap_or_default(),
            None => {
                let first = (chance * self.open.len() as f64) as usize;
                self.open.iter().cycle().skip(first).take(DRAWN.min(self.open.len())).copied().collect()
            }
        };
        let held = &self.requests[&id];
        let ranked = drawn.into_iter().enumerate().filter_map(|(i, name)| {
            let node = self.nodes.get_mut(&name)?;
            let starting = node.slow_start_room(&self.settings, now) < held.spec.units;
            let crowd = (f64::from(node.out) + node.queue.len() as f64) / node.bound;
            let jitter = 1.0 + 0.2 * ((chance * 977.0 + i as f64 * 0.618).fract());
            let cost = node.latency_at(now) * (1.0 + crowd) * jitter;
            Some((node.down(), starting, cost as Micros, name))
        });
        let found = ranked.min().map(|(.., name)| name);
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.queued_at = found;
        if let Some(node) = found.and_then(|name| self.nodes.get_mut(&name)) {
            node.queue.insert(held.due_at, id);
        }
    }

    /// Sends what may leave for a node, earliest due first within the bands.
    fn release(&mut self, name: BackendId, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.choose(name, now) {
            self.send(id, name, now, actions);
        }
    }

    /// The next request to leave for a node. Those whose volume has reservation or share left come first;
    /// what they leave passes on to the others, and then to those too late for their aim.
    fn choose(&mut self, name: BackendId, now: Micros) -> Option<RequestId> {
        let extras_left = self.retry_budget.allows_retry(&self.settings.rules.retry_budget, now);
        let node = self.nodes.get_mut(&name)?;
        if node.queue.is_empty() || node.down() && (now < node.trial_at || node.out > 0) {
            return None;
        }
        // Guards against taking a connection that fell silent for a silent node: one request more asks it,
        // and one more after each further silence. Harms a node that does stand still, by that much.
        let silent = node.out > 0 && now > node.heard.max(node.left) + node.doubt();
        if node.out > 0 && !silent {
            let full = f64::from(node.out) >= node.bound.floor();
            // While the node is over its aim, the loop's rate rations what leaves.
            let rate = node.tuner.rate;
            let gated = node.over && node.gate.refill(now, rate, rate * 0.1 + self.settings.max_units) <= 0.0;
            if full || gated {
                return None;
            }
        }
        let room = node.slow_start_room(&self.settings, now);
        let latency = node.latency_at(now);
        let crowded = latency > node.line() / 2.0;
        let (mut spare, mut late) = (None, None);
        for id in node.queue.iter() {
            let held = &self.requests[&id];
            if held.spec.units > room
                || (held.attempts > 0 && !extras_left)
                || !self.key_order.allows(held.spec.key, id, now)
            {
                continue;
            }
            let Some(quota) = self.quotas.get_mut(held.spec.volume) else { continue };
            if !held.quota_charged && !quota.admits(held.spec.units, now) {
                continue;
            }
            let size = 0.5 + 0.5 * held.spec.units / self.settings.mean_units.max(1e-3);
            let margin = 2.0 - (-(now.saturating_sub(node.told) as f64) / node.aim as f64).exp();
            if now + (latency * size * margin) as Micros > held.due_at {
                // Past its aim a request leaves scarce units of a limit to those that can still meet theirs.
                if held.quota_charged
                    || quota.admits_with_margin(held.spec.units, self.settings.max_units, now)
                {
                    late = late.or(Some(id));
                }
                continue;
            }
            let cap = self.settings.max_units;
            if quota.has_reservation_left(cap, now) || node.level.is_infinite() {
                return Some(id);
            }
            let share = node.level * quota.plan.weight;
            let ask = node.asks.entry(held.spec.volume).or_default();
            if ask.share.refill(now, share, share + cap) > 0.0 {
                return Some(id);
            }
            spare = spare.or(Some(id));
        }
        // Guards against a belief that nothing can change: where nothing is out no answer tells that a stall
        // is over. Soon after the last news one late request goes to see; soon for all dispatchers together,
        // or their looks alone keep the node crowded.
        let lookers = Micros::from(self.settings.heads).max(LOOKERS);
        let stale = now > node.told + node.aim / 4 * lookers / LOOKERS;
        spare.or(late.filter(|_| silent || node.out == 0 && (stale || !crowded)))
    }

    fn send(&mut self, id: RequestId, name: BackendId, now: Micros, actions: &mut Vec<Action>) {
        let (Some(held), Some(node)) = (self.requests.get_mut(&id), self.nodes.get_mut(&name)) else {
            return;
        };
        let Request { class, volume, key, units, .. } = held.spec;
        node.queue.remove(held.due_at, id);
        held.queued_at = None;
        if let Some(quota) = self.quotas.get_mut(volume) {
            if !std::mem::replace(&mut held.quota_charged, true) {
                quota.charge_limit(units);
            }
            if !quota.charge_reservation(units) {
                node.asks.entry(volume).or_default().share.take(units);
            }
        }
        if node.out == 0 {
            node.heard = now;
        }
        node.left = now;
        node.gate.take(units);
        node.sent += units;
        node.out += 1;
        node.slow_start.take(units);
        let class = &self.settings.classes[class];
        node.aim = node.aim.min(class.latency_objective);
        let attempt = Attempt::new(name, node.cell, key, units, now);
        self.attempts.insert(id, held.attempts as u8, attempt);
        if held.attempts > 0 {
            self.retry_budget.on_retry(now);
        }
        held.attempts += 1;
        held.in_flight += 1;
        // An answer long after the aim is worth little, and the wait for it would fill the node: the attempt
        // ends at the aim, or half an aim after it left. Harms where late answers are worth nearly as much.
        let until = held.due_at.max(now + class.latency_objective / 2).min(held.spec.deadline);
        actions.push(Action::Send { id, backend: name, until });
    }

    fn outcome(&mut self, now: Micros, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let id = outcome.id;
        let Some(attempt) = self.attempts.remove(id, outcome.attempt) else { return };
        let name = attempt.backend;
        // Guards against a crowd at a process that has just started: where one request of each dispatcher is
        // more than it bears together, a refused connection makes it count as new before any list tells, and
        // so do a few in a row that did not come up. Harms one whose connections were full, by a slow start.
        let (rules, mean) = (&self.settings.rules, self.settings.mean_units);
        let crowd = f64::from(self.settings.heads) * mean > 2.0 * rules.slow_start.safe_units
            && rules.slow_start.overload_window > 0;
        let debt = if crowd { self.random.next_fraction() * mean } else { 0.0 };
        if let Some(node) = self.nodes.get_mut(&name) {
            let silent = outcome.end == AttemptEnd::ConnectTimeout && node.missed + 1 >= DOWN_MISSES;
            if crowd && (silent || outcome.end == AttemptEnd::ConnectFailed) {
                (node.came_up, node.slow_start) = (now, TokenBucket::with_debt(debt, now));
            }
            node.out = node.out.saturating_sub(u32::from(!attempt.is_stalled()));
            if outcome.end == AttemptEnd::Ok {
                node.out = node.out.saturating_sub(self.attempts.overtake_earlier(&attempt, node.doubt()));
            }
            Self::judge(node, &attempt, &outcome, now);
        }
        if retry::may_still_run(outcome.end) {
            self.key_order.pause(attempt.key, now + self.settings.rules.key_order_pause);
        }
        if let Some(held) = self.requests.get_mut(&id) {
            held.in_flight = held.in_flight.saturating_sub(1);
            let quota = self.quotas.get_mut(held.spec.volume);
            if let (Some(quota), Some(used)) = (quota, outcome.volume_usage) {
                quota.on_load_report(used, self.settings.usage_report_period);
            }
            if retry::may_have_run(outcome.end) && held.possibly_executed.is_none() {
                let execution = PossibleExecution { shard: attempt.shard, sent_at: attempt.sent_at };
                held.possibly_executed = Some(execution);
            }
            if outcome.request_ended || outcome.end == AttemptEnd::Ok {
                self.forget(id);
            } else if held.in_flight == 0 && !held.is_streaming {
                let has_budget = self.retry_budget.allows_retry(&self.settings.rules.retry_budget, now);
                let may_retry = has_budget && retry::may_retry(held, &self.settings, now);
                if may_retry && outcome.end != AttemptEnd::Timeout {
                    self.house(id, now);
                } else {
                    self.give_up(id, now, actions);
                }
            }
        }
        self.leave_turn(id, attempt.key);
        self.release(name, now, actions);
    }

    /// Learns from the end of an attempt: the node's latency, bound, health and warmth.
    fn judge(node: &mut Node, attempt: &Attempt, outcome: &AttemptOutcome, now: Micros) {
        match outcome.end {
            AttemptEnd::Ok | AttemptEnd::Error => {
                let took = outcome.latency as f64;
                if node.missed > 1 && now.saturating_sub(node.heard) > node.aim.max(SECOND) {
                    // It answers again after a silence: perhaps a new process that no list has told of yet.
                    // Guards against tipping it; harms a node that was only cut off, by a slow start.
                    (node.came_up, node.slow_start) =
                        (attempt.sent_at, TokenBucket::with_debt(attempt.units, now));
                }
                (node.missed, node.heard) = (0, now);
                // A quick error is no quick answer: it counts as the whole aim, so that a node which fails
                // all it gets is avoided like a slow one.
                let failed = outcome.end == AttemptEnd::Error;
                let took = if failed { took.max(node.aim as f64) } else { took };
                node.learn(took, now);
                node.answers += 1;
                node.took += took;
                node.served += attempt.units;
                if node.latency > node.line() {
                    node.crowded(attempt.sent_at, now);
                } else if f64::from(node.out) + 1.0 >= node.bound.floor() {
                    node.bound = (node.bound + 1.0 / node.bound).min(BOUND_TOP);
                }
            }
            AttemptEnd::Rejected => {
                node.heard = now;
                node.bound = (node.bound * BOUND_CUT).max(1.0);
            }
            AttemptEnd::ConnectFailed | AttemptEnd::ConnectTimeout | AttemptEnd::Reset => {
                // Guards against taking kept connections that were closed without a word for a node that is
                // down: one that answered a moment ago is there. Harms one that dies then, by a few attempts.
                let there = outcome.end == AttemptEnd::Reset && now < node.told + node.aim;
                let most = if there { node.missed.max(DOWN_MISSES - 1) } else { u32::MAX };
                node.missed = (node.missed + 1).min(most);
                node.trial_at = now + TRIAL_WAIT;
            }
            AttemptEnd::Timeout => {
                // The answer was still to come: it counts as twice as long, at a node that had answered less.
                // Where later ones were answered it is this one that is stuck, and tells nothing of the node.
                if !attempt.is_overtaken() {
                    node.missed = (node.missed + 1).min(DOWN_MISSES - 1).max(node.missed);
                    node.learn(node.latency.max(2.0 * outcome.latency as f64), now);
                    node.crowded(attempt.sent_at, now);
                }
            }
            AttemptEnd::Cancelled | AttemptEnd::CancelledUnsent => {}
        }
    }

    /// The final answer of a request that is not served: a refusal where trying again is harmless.
    fn give_up(&mut self, id: RequestId, now: Micros, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[held.spec.class];
        if retry::is_safe_for_client_to_retry(held, class) {
            let node = held.queued_at.and_then(|name| self.nodes.get(&name));
            let queue = node.map_or(SECOND, |node| node.latency_at(now) as Micros);
            let trial = node.map_or(0, |node| node.trial_at.saturating_sub(now));
            let retry_after = queue.max(trial).min(self.settings.permissions.max_retry_after);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        let Some(held) = self.requests.remove(&id) else { return };
        if let Some(node) = held.queued_at.and_then(|name| self.nodes.get_mut(&name)) {
            node.queue.remove(held.due_at, id);
        }
        self.leave_turn(id, held.spec.key);
    }

    /// Ends a request's turn once it is over and none of its attempts is without an outcome.
    fn leave_turn(&mut self, id: RequestId, key: u64) {
        if !self.attempts.has_any(id) && !self.requests.contains_key(&id) {
            self.key_order.remove(key, id);
        }
    }

    /// Looks at all that is held: gives up what cannot be answered any more, and releases the rest.
    fn look(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let homeless =
            self.requests.iter().filter(|(_, held)| held.queued_at.is_none() && held.in_flight == 0);
        for id in homeless.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.house(id, now);
        }
        let mut lost = Vec::new();
        for (id, held) in self.requests.iter().filter(|(_, held)| held.in_flight == 0) {
            let class = &self.settings.classes[held.spec.class];
            let node = held.queued_at.and_then(|name| self.nodes.get(&name));
            let needs = node.map_or(0, |node| node.latency as Micros / 2).max(2 * self.settings.tick);
            let stale = retry::is_deduplication_over(held, class, now + self.settings.tick);
            // Guards against a collapse: past its aim, at a node with work enough, a request only pushes
            // others past theirs. Harms where late answers are worth nearly as much as timely ones.
            let latency = node.map_or(0.0, |node| node.latency_at(now));
            let late = now + latency as Micros > held.due_at;
            let crowded = late && node.is_some_and(|node| latency > node.line() / 2.0);
            let (units, max_units) = (held.spec.units, self.settings.max_units);
            let short = |quota: &mut VolumeQuota| !quota.admits_with_margin(units, max_units, now);
            let scarce =
                late && !held.quota_charged && self.quotas.get_mut(held.spec.volume).is_some_and(short);
            // Guards against telling a client late what it could have known early: past half of its time a
            // request that was never sent is refused while its client can still come again. Harms where a
            // late answer is worth nearly as much as a timely one.
            let unsent = held.attempts == 0 && late && now >= held.half_time_at;
            if now + needs >= held.spec.deadline || stale || crowded || scarce || unsent {
                lost.push(*id);
            }
        }
        for id in lost {
            self.give_up(id, now, actions);
        }
        let names: Vec<BackendId> = self.nodes.keys().copied().collect();
        for name in names {
            self.release(name, now, actions);
        }
    }

    /// Ends a control period: runs each node's loop and splits its rate by bands.
    fn period(&mut self) {
        for node in self.nodes.values_mut() {
            let (mut limits, mut reserved) = (0.0, 0.0);
            node.usual = 0.0;
            let mut asks = Vec::new();
            for (volume, ask) in &mut node.asks {
                ask.rate += ASK_GAIN * (ask.asked - ask.rate);
                ask.asked = 0.0;
                let Some(quota) = self.quotas.get(*volume) else { continue };
                let plan = &quota.plan;
                // Volumes use their dispatchers unevenly: one may carry twice its part. Surges do not count.
                node.usual += ask.rate.min(quota.max_typical_rate());
                limits += if plan.limit > 0.0 { plan.limit } else { 2.0 * ask.rate };
                let reserve = ask.rate.min(quota.reserved_rate());
                reserved += reserve;
                asks.push(WeightedDemand { rate: ask.rate - reserve, weight: plan.weight });
            }
            node.asks.retain(|_, ask| ask.rate > 1e-3);
            let least = CEILING_REQUESTS * self.settings.mean_units;
            let ceiling = (2.0 * node.offered).max(least).max(limits);
            let target = node.aim as f64;
            let mean = if node.answers > 0 { node.took / f64::from(node.answers) } else { node.latency };
            node.tuner.update(PeriodSample {
                responses: node.answers,
                latency: mean / target,
                sent: node.sent,
                served: node.served,
                ceiling,
                is_idle: node.sent == 0.0 && node.out == 0,
            });
            node.over = node.answers > 0 && mean > target;
            // Departure: while requests wait here for the bound, the node takes what it takes, and that is
            // what there is to split; the loop's rate is above it then.
            let rate = if node.queue.is_empty() { node.tuner.rate } else { node.tuner.rate.min(node.served) };
            node.level = fair_share_level(rate - reserved, &asks);
            (node.answers, node.took, node.served, node.offered, node.sent) = (0, 0.0, 0.0, 0.0, 0.0);
        }
    }
}
