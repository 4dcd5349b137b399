//! The rules that the decisions of a cluster must keep, checked on each action of a simulation.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// An ordering key in the scope of one incarnation of a head: head, incarnation, key.
type OrderedKey = (usize, u32, u64);

/// An attempt as seen by the checker.
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

/// A request as seen by the checker.
struct ObservedRequest {
    head: usize,
    incarnation: u32,
    request: Request,
    /// Number of final responses.
    final_responses: u32,
    attempts: Vec<ObservedAttempt>,
}

/// A backend as seen by the checker.
#[derive(Clone, Default)]
struct ObservedBackend {
    started_at: Micros,
    draining_since: Option<Micros>,
    /// The time and the units of each attempt sent to it since its start.
    sends: Vec<(Micros, f64)>,
}

/// A head as seen by the checker.
#[derive(Clone, Default)]
struct ObservedHead {
    incarnation: u32,
    /// When requests were received.
    requests: Vec<Micros>,
    /// When retries were sent.
    retries: Vec<Micros>,
}

/// The limit of a volume over all heads: the tokens left, and when they were refilled.
type LimitTokens = (f64, Micros);

/// Checks the actions of all heads of a simulation.
pub struct RuleChecker {
    settings: Settings,
    heads: Vec<ObservedHead>,
    backends: Vec<ObservedBackend>,
    requests: BTreeMap<RequestId, ObservedRequest>,
    key_order: BTreeMap<OrderedKey, Vec<RequestId>>,
    paused_until: BTreeMap<OrderedKey, Micros>,
    limits: BTreeMap<u64, LimitTokens>,
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
        let observed =
            ObservedRequest { head, incarnation, request, final_responses: 0, attempts: Vec::new() };
        self.requests.insert(observed.request.id, observed);
    }

    /// Records the end of an attempt. Returns whether its request has its final response.
    pub fn on_attempt_end(&mut self, id: RequestId, attempt: u8, end: AttemptEnd, now: Micros) -> bool {
        let observed = self.requests.get_mut(&id).expect("the request was received");
        observed.attempts[usize::from(attempt)].end = Some(end);
        if end == AttemptEnd::Ok && observed.final_responses == 0 {
            observed.final_responses = 1;
        }
        let may_still_run = matches!(end, AttemptEnd::Timeout | AttemptEnd::Reset | AttemptEnd::Cancelled);
        let is_current = observed.incarnation == self.heads[observed.head].incarnation;
        if is_current && may_still_run && self.settings.classes[observed.request.class].ordered_by_key {
            let key = (observed.head, observed.incarnation, observed.request.key);
            self.paused_until.insert(key, now + self.settings.rules.key_order_pause);
        }
        observed.final_responses > 0
    }

    /// Checks an action of a head. Returns the number of the attempt if the action sends one.
    pub fn check(&mut self, head: usize, action: &Action, now: Micros) -> Option<u8> {
        match action {
            Action::Send { id, backend, timeout_at } => {
                return Some(self.check_send(head, *id, *backend, *timeout_at, now));
            }
            Action::Reject { id, .. } => {
                self.check_final_response(head, *id, now);
                self.check_rejection(*id);
            }
            Action::Fail { id } => self.check_final_response(head, *id, now),
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
        let observed = self.requests.get_mut(&id).expect("the request was received");
        observed.attempts.push(ObservedAttempt { sent_at: now, backend, end: None });
        (observed.attempts.len() - 1) as u8
    }

    /// No attempt is sent to a backend that has been draining for longer than the grace period.
    fn check_drain(&self, backend: BackendId, now: Micros) {
        let draining_since = self.backends[backend.0 as usize].draining_since;
        let drain_grace = self.settings.rules.drain_grace;
        assert!(draining_since.is_none_or(|at| now <= at + drain_grace), "sent to a draining backend");
    }

    /// A request is sent by the incarnation that received it, before its final response, to a backend with
    /// its data, and its attempts time out before its deadline.
    fn check_open(&self, head: usize, id: RequestId, backend: BackendId, timeout_at: Micros) {
        let observed = self.requests.get(&id).expect("the request was received");
        let incarnation = self.heads[head].incarnation;
        assert_eq!(
            (observed.head, observed.incarnation, observed.final_responses),
            (head, incarnation, 0),
            "sent after its final response, or by another head"
        );
        let request = &observed.request;
        assert!(timeout_at <= request.deadline);
        assert!(request.shard.is_none_or(|shard| u64::from(shard) == backend.0), "wrong shard");
        assert!((observed.attempts.len() as u32) < self.settings.permissions.max_attempts);
    }

    /// At most one attempt is in flight, and a request is not run twice unless that is safe.
    fn check_earlier_attempts(&self, id: RequestId, backend: BackendId, now: Micros) {
        let observed = &self.requests[&id];
        let class = &self.settings.classes[observed.request.class];
        for attempt in &observed.attempts {
            let may_have_run = attempt.may_have_run();
            assert!(attempt.end.is_some(), "two attempts in flight");
            match class.idempotency {
                Idempotency::NotIdempotent => assert!(!may_have_run, "may run twice"),
                Idempotency::WithKey if may_have_run => {
                    let latest_begin = now + self.settings.max_pause;
                    let is_in_window = latest_begin <= attempt.sent_at + class.deduplication_window;
                    assert!(attempt.backend == backend && is_in_window, "the duplicate might not be dropped");
                }
                _ => {}
            }
        }
    }

    /// The requests of a volume, each counted at its first attempt, stay within its limit and slack.
    fn check_limit(&mut self, id: RequestId, now: Micros) {
        let request = &self.requests[&id].request;
        let plan = &self.settings.plans[request.plan];
        if plan.limit <= 0.0 {
            return;
        }
        let (tokens, refilled_at) = self.limits.entry(request.volume).or_insert((plan.limit_burst, now));
        let accrued = plan.limit * (now - *refilled_at) as f64 / 1e6;
        *tokens = (*tokens + accrued).min(plan.limit_burst) - request.units;
        *refilled_at = now;
        assert!(*tokens >= -plan.limit_slack - 1e-6, "over the limit: {tokens} tokens");
    }

    /// Retries stay within the retry budget of the head.
    fn check_retry_budget(&mut self, head: usize, now: Micros) {
        let limits = &self.settings.rules.retry_budget;
        let head = &mut self.heads[head];
        head.retries.push(now);
        let since = now.saturating_sub(limits.window);
        let count = |times: &[Micros]| times.iter().filter(|at| **at > since).count() as f64;
        let allowed = limits.free_retries + limits.retries_per_request * count(&head.requests) + 1e-9;
        assert!(limits.window == 0 || count(&head.retries) <= allowed, "over the retry budget");
    }

    /// Requests with the same key run one at a time, in order of arrival, and after a pause if an attempt may
    /// still be running.
    fn check_key_order(&self, id: RequestId, now: Micros) {
        let observed = &self.requests[&id];
        let class = &self.settings.classes[observed.request.class];
        if !class.ordered_by_key || observed.request.key == 0 {
            return;
        }
        let key = (observed.head, observed.incarnation, observed.request.key);
        assert!(self.paused_until.get(&key).is_none_or(|at| now >= *at), "sent while its key is paused");
        for earlier in self.key_order[&key].iter().take_while(|other| **other != id) {
            let earlier = &self.requests[earlier];
            let is_in_flight = earlier.attempts.iter().any(|attempt| attempt.end.is_none());
            assert!(earlier.final_responses > 0 && !is_in_flight, "sent out of order");
        }
    }

    /// All heads together do not overload a backend in slow start.
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
        let capacity = limits.safe_units * (1.0 + (1.0 / limits.initial_capacity - 1.0) * age);
        assert!(age >= 1.0 || sum <= 1.5 * capacity + 1e-6, "overloaded in slow start: {sum}");
    }

    /// A request gets one final response, in time, from the incarnation of the head that received it.
    fn check_final_response(&mut self, head: usize, id: RequestId, now: Micros) {
        let observed = self.requests.get_mut(&id).expect("the request was received");
        let incarnation = self.heads[head].incarnation;
        assert_eq!(
            (observed.head, observed.incarnation, observed.final_responses),
            (head, incarnation, 0),
            "second final response, or from another head"
        );
        assert!(
            now <= observed.request.deadline + self.settings.rules.response_slack,
            "final response after the deadline"
        );
        observed.final_responses = 1;
    }

    /// A request that may have run is not rejected unless running it again is safe.
    fn check_rejection(&self, id: RequestId) {
        let observed = &self.requests[&id];
        let class = &self.settings.classes[observed.request.class];
        let may_have_run = observed.attempts.iter().any(ObservedAttempt::may_have_run);
        let is_safe = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !may_have_run || class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => !may_have_run,
        };
        assert!(is_safe, "rejected though it may have run");
    }

    /// At the end, every request whose head did not restart has its final response, and some requests were
    /// served.
    pub fn check_end(&self) {
        let mut served = BTreeSet::new();
        for (id, observed) in &self.requests {
            let has_head_restarted = observed.incarnation != self.heads[observed.head].incarnation;
            assert!(
                has_head_restarted || observed.final_responses == 1,
                "request {id} got no final response"
            );
            if observed.attempts.iter().any(|attempt| attempt.end == Some(AttemptEnd::Ok)) {
                served.insert(*id);
            }
        }
        assert!(
            served.len() * 30 > self.requests.len(),
            "only {} of {} requests were served",
            served.len(),
            self.requests.len()
        );
    }
}
