//! Watches what crosses the wires of a test run and counts where a rule breaks. It knows nothing of the dispatcher or
//! of the decisions: only requests, attempts, endpoint lists and answers, as anybody outside could note them.

use sedgerun_policy::{BackendId, Micros, Readiness};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was accepted got more than one final answer.
    TwoAnswers,
    /// A request got no final answer before its deadline.
    NoAnswer,
    /// Two attempts of a request were in flight at once.
    TwoAttempts,
    /// A write that may have run was sent again.
    WriteAgain,
    /// Something new was sent to a backend after the grace that begins when the head is notified that it drains or is
    /// removed.
    AfterDrain,
    /// All heads together overloaded a backend that warmed up.
    Overloaded,
    /// An answer was passed on as good that no backend gave for the request.
    CorruptAnswer,
    /// A volume got less than half of its reservation at a shard while others had more than theirs there.
    UnderReservation,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 8] = [
        Rule::TwoAnswers,
        Rule::NoAnswer,
        Rule::TwoAttempts,
        Rule::WriteAgain,
        Rule::AfterDrain,
        Rule::Overloaded,
        Rule::CorruptAnswer,
        Rule::UnderReservation,
    ];

    /// Whether it must never break. The others are findings: they are about the quality of service, not about safety.
    pub fn never_breaks(self) -> bool {
        self != Rule::UnderReservation
    }

    /// Its name in reports and results.
    pub fn name(self) -> &'static str {
        match self {
            Rule::TwoAnswers => "two final answers",
            Rule::NoAnswer => "no final answer in time",
            Rule::TwoAttempts => "two attempts at once",
            Rule::WriteAgain => "a write sent again that may have run",
            Rule::AfterDrain => "sent after the drain grace",
            Rule::Overloaded => "a cold box pushed over",
            Rule::CorruptAnswer => "a spoilt answer passed on as good",
            Rule::UnderReservation => "a volume under its reserve",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether an attempt that has ended may have run, as far as can be seen from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionProof {
    /// The backend rejected it, or no connection was made: it never ran.
    NeverRan,
    /// It ran, or may have, or may yet.
    MayHaveRun,
}

/// What a final answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served, with the answer that a backend gave for this request.
    Served(Ticket),
    /// Rejected or failed.
    NotServed,
}

/// A request at a head: the client's own id, new with each of its attempts.
pub type Ticket = u64;

/// A request that a head has accepted.
#[derive(Debug)]
struct TrackedRequest {
    head: usize,
    deadline: Micros,
    is_idempotent: bool,
    attempt_in_flight: Option<u64>,
    may_have_run: bool,
    runs: u32,
    answers: u32,
    /// No answer is owed any more.
    is_excused: bool,
}

/// What a volume had at one shard in one window: units requested, and those served in time.
#[derive(Clone, Copy, Debug, Default)]
struct VolumeUsage {
    requested: f64,
    served: f64,
}

/// The windows over which reservations are judged, us: a backend that stalls for a moment is no breach.
pub const WINDOW: Micros = 5_000_000;
/// Units in a window under which a volume is too small to judge.
const MIN_UNITS: f64 = 12.0;
/// Time past a client's deadline by which an answer still counts, for the last hop, us.
const HOP_ALLOWANCE: Micros = 8_000;
/// The most breaches that are described; all are counted.
const MAX_DESCRIPTIONS: usize = 20;

/// The auditor of one test run. Times are on the clock of the run, in microseconds.
#[derive(Debug)]
pub struct Auditor {
    start: Micros,
    drain_grace: Micros,
    requests: HashMap<Ticket, TrackedRequest>,
    /// When a head was first notified that a backend drains or is removed.
    closed_at: HashMap<(usize, BackendId), Micros>,
    overloaded: HashSet<BackendId>,
    /// Reserved units a second, by volume.
    reservations: Vec<f64>,
    /// By window, shard and volume.
    usage: BTreeMap<(Micros, u32, u32), VolumeUsage>,
    /// Units that each volume requested in a window at all shards.
    requested: BTreeMap<(Micros, u32), f64>,
    /// Breaches by rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first breaches in words.
    pub descriptions: Vec<String>,
    /// Events that were watched.
    pub watched: u64,
}

impl Auditor {
    /// An auditor that knows when the test run begins, the grace after a drain (us), and the reserved units a second
    /// of each volume.
    pub fn new(start: Micros, drain_grace: Micros, reservations: Vec<f64>) -> Auditor {
        Auditor {
            start,
            drain_grace,
            requests: HashMap::new(),
            closed_at: HashMap::new(),
            overloaded: HashSet::new(),
            reservations,
            usage: BTreeMap::new(),
            requested: BTreeMap::new(),
            breaches: BTreeMap::new(),
            descriptions: Vec::new(),
            watched: 0,
        }
    }

    fn breach(&mut self, now: Micros, rule: Rule, what: &str) {
        *self.breaches.entry(rule).or_default() += 1;
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            let at = now.saturating_sub(self.start) as f64 / 1e6;
            self.descriptions.push(format!("{at:.3} s: {rule}: {what}"));
        }
    }

    /// A head has accepted a request with a deadline.
    pub fn request_accepted(&mut self, ticket: Ticket, head: usize, deadline: Micros, is_idempotent: bool) {
        self.watched += 1;
        let request = TrackedRequest {
            head,
            deadline,
            is_idempotent,
            attempt_in_flight: None,
            may_have_run: false,
            runs: 0,
            answers: 0,
            is_excused: false,
        };
        self.requests.insert(ticket, request);
    }

    /// A head has begun to send an attempt.
    pub fn attempt_sent(&mut self, now: Micros, ticket: Ticket, attempt: u64, backend: BackendId) {
        self.watched += 1;
        let Some(request) = self.requests.get_mut(&ticket) else {
            return self.breach(now, Rule::TwoAttempts, &format!("request {ticket} that no client sent"));
        };
        let repeats_write = !request.is_idempotent && request.may_have_run;
        let overlaps = request.attempt_in_flight.replace(attempt).is_some();
        let head = request.head;
        if repeats_write {
            self.breach(now, Rule::WriteAgain, &format!("request {ticket} to {backend:?}"));
        }
        if overlaps {
            self.breach(now, Rule::TwoAttempts, &format!("request {ticket} to {backend:?}"));
        }
        let closed_at = self.closed_at.get(&(head, backend));
        if closed_at.is_some_and(|closed_at| now > closed_at + self.drain_grace) {
            self.breach(now, Rule::AfterDrain, &format!("head {head} to {backend:?}"));
        }
    }

    /// A backend has begun a request, or has queued it.
    pub fn request_begun(&mut self, now: Micros, ticket: Ticket) {
        self.watched += 1;
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.runs += 1;
        if !request.is_idempotent && request.runs > 1 {
            self.breach(now, Rule::WriteAgain, &format!("request {ticket} has begun twice"));
        }
    }

    /// An attempt has ended for its head.
    pub fn attempt_ended(&mut self, ticket: Ticket, attempt: u64, proof: ExecutionProof) {
        self.watched += 1;
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.attempt_in_flight = request.attempt_in_flight.filter(|in_flight| *in_flight != attempt);
            request.may_have_run |= proof == ExecutionProof::MayHaveRun;
        }
    }

    /// A client has got a final answer.
    pub fn answered(&mut self, now: Micros, ticket: Ticket, answer: AnswerKind) {
        self.watched += 1;
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.answers += 1;
        let is_second = request.answers > 1;
        let is_overdue = now > request.deadline + HOP_ALLOWANCE;
        if is_second {
            self.breach(now, Rule::TwoAnswers, &format!("request {ticket}"));
        } else if is_overdue {
            self.breach(now, Rule::NoAnswer, &format!("request {ticket}, answered late"));
        }
        if matches!(answer, AnswerKind::Served(of) if of != ticket) {
            self.breach(now, Rule::CorruptAnswer, &format!("request {ticket}"));
        }
    }

    /// A client has disconnected, or the head was killed: no answer is owed.
    pub fn excuse(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.is_excused = true;
        }
    }

    /// A head was notified of the readiness of a backend.
    pub fn head_notified(&mut self, now: Micros, head: usize, backend: BackendId, readiness: Readiness) {
        self.watched += 1;
        match readiness {
            Readiness::Ready => {
                self.closed_at.remove(&(head, backend));
            }
            Readiness::Draining | Readiness::Removed => {
                self.closed_at.entry((head, backend)).or_insert(now);
            }
        }
    }

    /// A head was notified of a complete list: for it, known backends that are not on the list are removed.
    pub fn head_notified_of_list(
        &mut self,
        now: Micros,
        head: usize,
        list: &[(BackendId, Readiness)],
        known: &[BackendId],
    ) {
        for backend in known.iter().filter(|backend| !list.iter().any(|(listed, _)| listed == *backend)) {
            self.head_notified(now, head, *backend, Readiness::Removed);
        }
        for (backend, readiness) in list {
            self.head_notified(now, head, *backend, *readiness);
        }
    }

    /// A head starts anew: it has been notified of nothing yet.
    pub fn head_restarted(&mut self, head: usize) {
        self.closed_at.retain(|(of, _), _| *of != head);
    }

    /// A backend that warmed up has failed from overload.
    pub fn backend_failed(&mut self, now: Micros, backend: BackendId) {
        if self.overloaded.insert(backend) {
            self.breach(now, Rule::Overloaded, &format!("{backend:?}"));
        }
    }

    /// Units of a volume were requested at a time at a shard, and served there in time or not.
    pub fn count_usage(&mut self, at: Micros, volume: u32, shard: u32, units: f64, served_in_time: bool) {
        let window = at / WINDOW;
        let usage = self.usage.entry((window, shard, volume)).or_default();
        usage.requested += units;
        usage.served += if served_in_time { units } else { 0.0 };
        *self.requested.entry((window, volume)).or_default() += units;
    }

    /// The end of the test run: requests without an answer are breaches, and the reservations are judged.
    pub fn finish(&mut self, now: Micros) {
        let mut unanswered: Vec<(Ticket, Micros)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.answers == 0 && !request.is_excused)
            .map(|(ticket, request)| (*ticket, request.deadline))
            .collect();
        unanswered.sort_unstable();
        for (ticket, deadline) in unanswered {
            self.breach(deadline.min(now), Rule::NoAnswer, &format!("request {ticket}, never answered"));
        }
        self.judge_reservations();
    }

    /// Units that a volume may count on at a shard: what it requested there, as far as all that it requested is
    /// reserved.
    fn reserved_at(&self, window: Micros, volume: u32, requested: f64) -> f64 {
        let total = self.requested.get(&(window, volume)).copied().unwrap_or(requested).max(1e-9);
        let a_second = self.reservations.get(volume as usize).copied().unwrap_or(0.0);
        let reserved = a_second * (WINDOW as f64 / 1e6);
        requested * (reserved / total).min(1.0)
    }

    fn judge_reservations(&mut self) {
        let mut breaches = Vec::new();
        for ((window, shard, volume), usage) in &self.usage {
            let reserved = self.reserved_at(*window, *volume, usage.requested);
            let missing = reserved - usage.served;
            if reserved < MIN_UNITS || missing <= reserved / 2.0 {
                continue;
            }
            let excess = self.excess_of_others(*window, *shard, *volume);
            if excess >= 2.0 * missing {
                let what = format!(
                    "volume {volume} at shard {shard}: {:.0} of {reserved:.0} units, others {excess:.0} beyond theirs",
                    usage.served
                );
                breaches.push((self.start + (window + 1) * WINDOW, what));
            }
        }
        for (at, what) in breaches {
            self.breach(at, Rule::UnderReservation, &what);
        }
    }

    /// Units that others had at a shard beyond their own reservations: they could have gone to this volume.
    fn excess_of_others(&self, window: Micros, shard: u32, volume: u32) -> f64 {
        let at_shard = self.usage.range((window, shard, 0)..=(window, shard, u32::MAX));
        at_shard
            .filter(|((_, _, other), _)| *other != volume)
            .map(|((_, _, other), usage)| {
                (usage.served - self.reserved_at(window, *other, usage.requested)).max(0.0)
            })
            .sum()
    }

    /// Breaches of the rules that must never break.
    pub fn broken(&self) -> u64 {
        self.breaches.iter().filter(|(rule, _)| rule.never_breaks()).map(|(_, count)| count).sum()
    }
}
