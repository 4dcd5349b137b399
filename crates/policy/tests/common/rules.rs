//! The rules that no decision may break, checked on each action of a simulation.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// A key as one incarnation of a head orders it: head, incarnation, key.
type OrderedKey = (usize, u32, u64);

/// An attempt as the checker saw it.
struct ObservedAttempt {
    sent_at: Micros,
    backend: BackendId,
    end: Option<AttemptEnd>,
}

impl ObservedAttempt {
    fn may_have_run(&self) -> bool {
        !matches!(self.end, Some(AttemptEnd::Rejected | AttemptEnd::ConnectFailed))
    }
}

/// A request as the checker saw it.
struct ObservedRequest {
    head: usize,
    incarnation: u32,
    request: Request,
    answers: u32,
    attempts: Vec<ObservedAttempt>,
}

/// A backend as the checker knows it.
#[derive(Clone, Default)]
struct ObservedBackend {
    started_at: Micros,
    draining_since: Option<Micros>,
    /// What was sent to it since its start: when, and how many units.
    sends: Vec<(Micros, f64)>,
}

/// A head as the checker knows it.
#[derive(Clone, Default)]
struct ObservedHead {
    incarnation: u32,
    requests: Vec<Micros>,
    retries: Vec<Micros>,
}

/// A volume's limit: the tokens that all heads together have left, and when they were counted.
type Limit = (f64, Micros);

pub struct RuleChecker {
    settings: Settings,
    heads: Vec<ObservedHead>,
    backends: Vec<ObservedBackend>,
    requests: BTreeMap<RequestId, ObservedRequest>,
    key_order: BTreeMap<OrderedKey, Vec<RequestId>>,
    paused_until: BTreeMap<OrderedKey, Micros>,
    limits: BTreeMap<u64, Limit>,
}

impl RuleChecker {
    pub fn new(settings: &Settings, backends: usize) -> RuleChecker {
        RuleChecker {
            settings: settings.clone(),
            heads: vec![ObservedHead::default(); settings.heads as usize],
            backends: vec![ObservedBackend::default(); backends],
            requests: BTreeMap::new(),
            key_order: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            limits: BTreeMap::new(),
        }
    }

    pub fn on_head_restart(&mut self, head: usize) {
        let incarnation = self.heads[head].incarnation + 1;
        self.heads[head] = ObservedHead { incarnation, ..ObservedHead::default() };
    }

    pub fn on_backend_start(&mut self, backend: usize, now: Micros) {
        self.backends[backend] = ObservedBackend { started_at: now, ..ObservedBackend::default() };
    }

    pub fn on_backend_drain(&mut self, backend: usize, now: Micros) {
        self.backends[backend].draining_since = Some(now);
    }

    pub fn on_request(&mut self, head: usize, request: &Request, now: Micros) {
        let incarnation = self.heads[head].incarnation;
        self.heads[head].requests.push(now);
        if self.settings.classes[request.class].ordered_by_key && request.key != 0 {
            self.key_order.entry((head, incarnation, request.key)).or_default().push(request.id);
        }
        let request = request.clone();
        let observed = ObservedRequest { head, incarnation, request, answers: 0, attempts: Vec::new() };
        self.requests.insert(observed.request.id, observed);
    }

    /// Notes the end of an attempt; whether its request has its final answer.
    pub fn on_attempt_end(&mut self, id: RequestId, attempt: u8, end: AttemptEnd, now: Micros) -> bool {
        let observed = self.requests.get_mut(&id).expect("known");
        observed.attempts[usize::from(attempt)].end = Some(end);
        if end == AttemptEnd::Ok && observed.answers == 0 {
            observed.answers = 1;
        }
        let may_still_run = matches!(end, AttemptEnd::Timeout | AttemptEnd::Reset | AttemptEnd::Cancelled);
        let is_current = observed.incarnation == self.heads[observed.head].incarnation;
        if is_current && may_still_run && self.settings.classes[observed.request.class].ordered_by_key {
            let key = (observed.head, observed.incarnation, observed.request.key);
            self.paused_until.insert(key, now + self.settings.rules.key_order_pause);
        }
        observed.answers > 0
    }

    /// Checks an action of a head. For a send, the number of the attempt.
    pub fn check(&mut self, head: usize, action: &Action, now: Micros) -> Option<u8> {
        match action {
            Action::Send { id, backend, timeout_at } => {
                return Some(self.check_send(head, *id, *backend, *timeout_at, now));
            }
            Action::Reject { id, .. } => {
                self.check_final_answer(head, *id, now);
                self.check_rejection(*id);
            }
            Action::Fail { id } => self.check_final_answer(head, *id, now),
            Action::Cancel { .. } => assert!(self.settings.permissions.cancel),
            Action::CheckHealth { .. } => assert!(self.settings.permissions.health_checks),
            Action::Watch => assert!(self.settings.permissions.must_poll),
            Action::SetTimer { .. } => {}
        }
        None
    }

    fn check_send(
        &mut self,
        head: usize,
        id: RequestId,
        backend: BackendId,
        timeout_at: Micros,
        now: Micros,
    ) -> u8 {
        self.check_drain(backend, now);
        self.check_open(head, id, backend, timeout_at);
        self.check_earlier_attempts(id, backend, now);
        let is_first_attempt = self.requests[&id].attempts.is_empty();
        if is_first_attempt {
            self.check_limit(id, now);
        } else {
            self.check_retry_budget(head, now);
        }
        self.check_key_order(id, now);
        self.check_slow_start(id, backend, now);
        let observed = self.requests.get_mut(&id).expect("known");
        observed.attempts.push(ObservedAttempt { sent_at: now, backend, end: None });
        (observed.attempts.len() - 1) as u8
    }

    /// Nothing is sent to a backend whose drain is long known.
    fn check_drain(&self, backend: BackendId, now: Micros) {
        let draining_since = self.backends[backend.0 as usize].draining_since;
        let drain_grace = self.settings.rules.drain_grace;
        assert!(draining_since.is_none_or(|at| now <= at + drain_grace), "drain");
    }

    /// A request is sent by its own head, before its answer and its deadline, and where its data is.
    fn check_open(&self, head: usize, id: RequestId, backend: BackendId, timeout_at: Micros) {
        let observed = self.requests.get(&id).expect("known");
        let incarnation = self.heads[head].incarnation;
        assert_eq!(
            (observed.head, observed.incarnation, observed.answers),
            (head, incarnation, 0),
            "sent once ended"
        );
        let request = &observed.request;
        assert!(timeout_at <= request.deadline);
        assert!(request.shard.is_none_or(|shard| u64::from(shard) == backend.0), "wrong shard");
        assert!((observed.attempts.len() as u32) < self.settings.permissions.max_attempts);
    }

    /// One attempt is in flight at most, and none runs again where that is not safe.
    fn check_earlier_attempts(&self, id: RequestId, backend: BackendId, now: Micros) {
        let observed = &self.requests[&id];
        let class = &self.settings.classes[observed.request.class];
        for attempt in &observed.attempts {
            let has_run = attempt.may_have_run();
            assert!(attempt.end.is_some(), "two attempts in flight");
            match class.idempotency {
                Idempotency::NotIdempotent => assert!(!has_run, "ran twice"),
                Idempotency::WithKey if has_run => {
                    let is_in_window = now <= attempt.sent_at + class.deduplication_window;
                    assert!(attempt.backend == backend && is_in_window, "duplicate not dropped");
                }
                _ => {}
            }
        }
    }

    /// The first attempts of a volume stay within its limit and slack.
    fn check_limit(&mut self, id: RequestId, now: Micros) {
        let request = &self.requests[&id].request;
        let plan = &self.settings.plans[request.plan];
        if plan.limit <= 0.0 {
            return;
        }
        let (tokens, counted_at) = self.limits.entry(request.volume).or_insert((plan.limit_burst, now));
        let accrued = plan.limit * (now - *counted_at) as f64 / 1e6;
        *tokens = (*tokens + accrued).min(plan.limit_burst) - request.units;
        *counted_at = now;
        assert!(*tokens >= -plan.limit_slack - 1e-6, "limit passed: {tokens}");
    }

    /// Retries stay within the budget of the head.
    fn check_retry_budget(&mut self, head: usize, now: Micros) {
        let limits = &self.settings.rules.retry_budget;
        let head = &mut self.heads[head];
        head.retries.push(now);
        let since = now.saturating_sub(limits.window);
        let count = |times: &[Micros]| times.iter().filter(|at| **at > since).count() as f64;
        let allowed = limits.free_retries + limits.retries_per_request * count(&head.requests) + 1e-9;
        assert!(limits.window == 0 || count(&head.retries) <= allowed, "budget");
    }

    /// Requests of a key run one at a time, in order, and after a pause where one may still be running.
    fn check_key_order(&self, id: RequestId, now: Micros) {
        let observed = &self.requests[&id];
        let class = &self.settings.classes[observed.request.class];
        if !class.ordered_by_key || observed.request.key == 0 {
            return;
        }
        let key = (observed.head, observed.incarnation, observed.request.key);
        assert!(self.paused_until.get(&key).is_none_or(|at| now >= *at), "key is paused");
        for earlier in self.key_order[&key].iter().take_while(|other| **other != id) {
            let earlier = &self.requests[earlier];
            let is_in_flight = earlier.attempts.iter().any(|attempt| attempt.end.is_none());
            assert!(earlier.answers > 0 && !is_in_flight, "out of order");
        }
    }

    /// A backend in slow start gets no more than it bears from all heads together.
    fn check_slow_start(&mut self, id: RequestId, backend: BackendId, now: Micros) {
        let limits = &self.settings.rules.slow_start;
        let backend = &mut self.backends[backend.0 as usize];
        if limits.overload_window == 0 || backend.started_at == 0 {
            return;
        }
        backend.sends.push((now, self.requests[&id].request.units));
        let since = now.saturating_sub(limits.overload_window);
        let sum: f64 = backend.sends.iter().filter(|(at, _)| *at > since).map(|(_, units)| units).sum();
        let age = (now - backend.started_at) as f64 / limits.duration.max(1) as f64;
        let bears = limits.safe_units * (1.0 + (1.0 / limits.initial_capacity - 1.0) * age);
        assert!(age >= 1.0 || sum <= 1.5 * bears + 1e-6, "overloaded in slow start: {sum}");
    }

    /// A request gets one final answer, from its own head, in time.
    fn check_final_answer(&mut self, head: usize, id: RequestId, now: Micros) {
        let observed = self.requests.get_mut(&id).expect("known");
        let incarnation = self.heads[head].incarnation;
        assert_eq!(
            (observed.head, observed.incarnation, observed.answers),
            (head, incarnation, 0),
            "answered twice"
        );
        assert!(now <= observed.request.deadline + self.settings.rules.response_slack, "too late");
        observed.answers = 1;
    }

    /// What may have run is not rejected, unless running again is harmless.
    fn check_rejection(&self, id: RequestId) {
        let observed = &self.requests[&id];
        let class = &self.settings.classes[observed.request.class];
        let has_run = observed.attempts.iter().any(ObservedAttempt::may_have_run);
        let is_safe = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !has_run || class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => !has_run,
        };
        assert!(is_safe, "rejected what may have run");
    }

    /// At the end every request of a head that still runs has its answer, and some were served.
    pub fn check_end(&self) {
        let mut served = BTreeSet::new();
        for (id, observed) in &self.requests {
            let has_lost_head = observed.incarnation != self.heads[observed.head].incarnation;
            assert!(has_lost_head || observed.answers == 1, "request {id} was lost");
            if observed.attempts.iter().any(|attempt| attempt.end == Some(AttemptEnd::Ok)) {
                served.insert(*id);
            }
        }
        assert!(
            served.len() * 30 > self.requests.len(),
            "almost nothing was served: {} of {}",
            served.len(),
            self.requests.len()
        );
    }
}
