//! A simulated storage backend: cores that share their time among the requests in work, a queue, a cache of the data
//! read or written last, deferred work that is flushed in one go, pauses, and a warm-up during which it may be
//! overloaded.
//!
//! All arithmetic is in whole numbers: times in microseconds, work in millionths of a microsecond on a core of speed
//! 1, parts in millionths. So a replay is the same on every machine.

use super::backend_parameters::{BackendParameters, ONE};
use crate::drawn_scenario::types::BackendSpec;
use crate::random::{source, time_within};
use rand_chacha::ChaCha8Rng;
use sedgerun_policy::Micros;
use std::collections::{BTreeSet, VecDeque};

/// Time between steps of the capacity of a backend that warms up.
const WARM_UP_STEP: Micros = 100_000;
/// Purpose of the random source of a backend.
const PURPOSE: u64 = 3;

/// A request that comes to a backend.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Identifies it at this backend.
    pub token: u64,
    /// Work on a core of speed 1, us.
    pub work: u64,
    /// The item of data.
    pub key: u64,
    /// Whether it is the first attempt of its request: then a cached item saves work.
    pub is_first_attempt: bool,
    /// Whether it writes: then part of its work is deferred.
    pub is_write: bool,
    /// Whether a new connection came with it.
    pub needs_handshake: bool,
}

/// What becomes of a request that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is in work or queued.
    Admitted,
    /// It was rejected, and never ran.
    Rejected,
}

/// Work sent to a backend that warms up.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: Micros,
    work: u64,
}

/// A simulated backend. Its owner calls [`SimulatedBackend::advance`] up to a time before anything else happens then.
#[derive(Debug)]
pub struct SimulatedBackend {
    spec: BackendSpec,
    parameters: BackendParameters,
    random: ChaCha8Rng,
    /// Runs so many times slower, in millionths.
    slowdown: u64,
    now: Micros,
    /// Work that each request in work has been given since the start.
    work_given: u64,
    /// Requests in work: the work given at which each is done, and its token.
    running: BTreeSet<(u64, u64)>,
    /// Deferred work of the writes in work, by their token.
    deferred_by_request: BTreeSet<(u64, u64)>,
    queue: VecDeque<BackendRequest>,
    cached_keys: VecDeque<u64>,
    deferred_work: u64,
    flush_at: Micros,
    pause_at: Micros,
    stalled_until: Micros,
    /// When it started, while it warms up.
    warming_since: Option<Micros>,
    served_while_warming: u64,
    sent_while_warming: VecDeque<SentWork>,
    sent_work: u64,
    has_failed: bool,
    peak_load: u64,
    completed: Vec<u64>,
}

impl SimulatedBackend {
    /// A backend that runs from `now` on: just started, or with its warm-up long over.
    pub fn new(
        spec: BackendSpec,
        parameters: BackendParameters,
        now: Micros,
        just_started: bool,
        seed: u64,
    ) -> SimulatedBackend {
        let mut random = source(seed, PURPOSE);
        let flush_at = now + time_within(&mut random, parameters.flush_s);
        let pause_at = now + time_within(&mut random, parameters.pause_every_s);
        SimulatedBackend {
            spec,
            parameters,
            random,
            slowdown: ONE,
            now,
            work_given: 0,
            running: BTreeSet::new(),
            deferred_by_request: BTreeSet::new(),
            queue: VecDeque::new(),
            cached_keys: VecDeque::new(),
            deferred_work: 0,
            flush_at,
            pause_at,
            stalled_until: now,
            warming_since: just_started.then_some(now),
            served_while_warming: 0,
            sent_while_warming: VecDeque::new(),
            sent_work: 0,
            has_failed: false,
            peak_load: 0,
            completed: Vec::new(),
        }
    }

    /// Its capacity now, in millionths of the full one. It rises evenly with the time or with the requests that it has
    /// served, whichever is further.
    pub fn capacity(&self) -> u64 {
        let Some(since) = self.warming_since else { return ONE };
        let parameters = &self.parameters;
        let by_time = self.now.saturating_sub(since) * ONE / parameters.warm_up.max(1);
        let by_requests = self.served_while_warming * ONE / parameters.warm_up_requests.max(1);
        let progress = by_time.max(by_requests).min(ONE);
        parameters.start_capacity + (ONE - parameters.start_capacity) * progress / ONE
    }

    /// Work that one core can do in a microsecond, in millionths.
    fn power(&self) -> u64 {
        self.spec.speed * self.capacity() / ONE * ONE / self.slowdown.max(1)
    }

    /// Work that each request in work is given in a microsecond.
    fn rate(&self) -> u64 {
        let count = self.running.len() as u64;
        if count == 0 || self.now < self.stalled_until || self.has_failed {
            return 0;
        }
        let beyond_cores = count.saturating_sub(self.spec.cores);
        let share = self.power() * count.min(self.spec.cores) / count;
        (share * ONE / (ONE + self.parameters.contention * beyond_cores)).max(1)
    }

    /// When something changes here by itself; none where nobody would notice.
    pub fn next_change(&self) -> Option<Micros> {
        let is_idle = self.running.is_empty() && self.queue.is_empty();
        (!is_idle && !self.has_failed).then(|| self.next_event())
    }

    /// The next time at which something changes here, whether there is work or not.
    fn next_event(&self) -> Micros {
        let mut next = self.pause_at.min(self.flush_at);
        if self.now < self.stalled_until {
            next = next.min(self.stalled_until);
        } else if let (Some((done_at, _)), rate @ 1..) = (self.running.first(), self.rate()) {
            next = next.min(self.now + done_at.saturating_sub(self.work_given).div_ceil(rate));
        }
        if self.warming_since.is_some() {
            next = next.min(self.now + WARM_UP_STEP);
        }
        next.max(self.now)
    }

    /// Advances to a time; returns the tokens of the requests that are done by then. Pauses and flushes come at their
    /// own times, also where there is nothing to do.
    pub fn advance(&mut self, now: Micros) -> Vec<u64> {
        while self.now < now && !self.has_failed {
            let next = self.next_event().clamp(self.now, now);
            self.work_given += self.rate() * (next - self.now);
            self.now = next;
            self.settle();
        }
        self.now = self.now.max(now);
        self.settle();
        std::mem::take(&mut self.completed)
    }

    /// Handles what has come to its time by now.
    fn settle(&mut self) {
        self.complete_requests();
        if self.now >= self.flush_at {
            let stall = self.deferred_work * ONE / (self.power() * self.spec.cores).max(1);
            self.stalled_until = self.stalled_until.max(self.now) + stall;
            self.deferred_work = 0;
            self.flush_at = self.now + stall + time_within(&mut self.random, self.parameters.flush_s);
        }
        if self.now >= self.pause_at {
            let stall = time_within(&mut self.random, self.parameters.pause_s);
            self.stalled_until = self.stalled_until.max(self.now) + stall;
            self.pause_at = self.now + stall + time_within(&mut self.random, self.parameters.pause_every_s);
        }
        if self.capacity() >= ONE {
            self.warming_since = None;
            self.sent_while_warming.clear();
            self.sent_work = 0;
        }
    }

    /// Ends the requests whose work is done, and begins queued ones in their place.
    fn complete_requests(&mut self) {
        let is_done = |entry: &(u64, u64), given: u64| entry.0 <= given;
        while let Some(entry) = self.running.first().copied().filter(|entry| is_done(entry, self.work_given))
        {
            let (_, token) = entry;
            self.running.remove(&entry);
            let deferred = self.deferred_by_request.range((token, 0)..=(token, u64::MAX)).next().copied();
            if let Some(deferred) = deferred {
                self.deferred_by_request.remove(&deferred);
                self.deferred_work += deferred.1;
            }
            self.served_while_warming += 1;
            self.completed.push(token);
            while self.running.len() < self.parameters.concurrent_requests
                && let Some(request) = self.queue.pop_front()
            {
                self.begin(request);
            }
        }
    }

    fn begin(&mut self, request: BackendRequest) {
        let mut work = request.work;
        if request.is_first_attempt && self.cached_keys.contains(&request.key) {
            work -= work * self.parameters.cache_saving / ONE;
        }
        self.cached_keys.retain(|key| *key != request.key);
        self.cached_keys.push_back(request.key);
        if self.cached_keys.len() > self.parameters.cache_entries {
            self.cached_keys.pop_front();
        }
        if request.is_write {
            let deferred = work * self.parameters.deferred_fraction / ONE;
            work -= deferred;
            self.deferred_by_request.insert((request.token, deferred));
        }
        if request.needs_handshake {
            work += self.parameters.handshake;
        }
        self.running.insert((self.work_given + work.max(1) * ONE, request.token));
    }

    /// Takes a request that comes. Call [`SimulatedBackend::advance`] to the same time before.
    pub fn admit(&mut self, now: Micros, request: BackendRequest) -> AdmissionVerdict {
        self.count_while_warming(now, request.work);
        if self.has_failed {
            return AdmissionVerdict::Rejected;
        }
        if self.running.len() < self.parameters.concurrent_requests {
            self.begin(request);
            AdmissionVerdict::Admitted
        } else if self.queue.len() < self.parameters.queue_length {
            self.queue.push_back(request);
            AdmissionVerdict::Admitted
        } else {
            AdmissionVerdict::Rejected
        }
    }

    /// Counts what a backend that warms up is sent; it fails where that is too much.
    fn count_while_warming(&mut self, now: Micros, work: u64) {
        if self.warming_since.is_none() {
            return;
        }
        let parameters = &self.parameters;
        self.sent_while_warming.push_back(SentWork { at: now, work });
        self.sent_work += work;
        let is_over = |sent: &SentWork| sent.at + parameters.overload_window <= now;
        while let Some(sent) = self.sent_while_warming.front().copied().filter(is_over) {
            debug_assert!(sent.at <= now);
            self.sent_work -= sent.work;
            self.sent_while_warming.pop_front();
        }
        let power = self.spec.cores * self.spec.speed * self.capacity() / ONE;
        let possible = power * parameters.overload_window / ONE;
        let limit = (possible * parameters.overload_multiple / ONE).max(1);
        self.peak_load = self.peak_load.max(self.sent_work * ONE / limit);
        self.has_failed |= self.sent_work > limit;
    }

    /// The sender of a request has given it up. It is dropped from the queue; work that runs goes on.
    pub fn cancel(&mut self, token: u64) {
        if self.parameters.drops_cancelled {
            self.queue.retain(|request| request.token != token);
        }
    }

    /// Whether it has failed from overload; then it stays down.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// The most that it was sent while it warmed up, in millionths of what makes it fail.
    pub fn peak_load(&self) -> u64 {
        self.peak_load
    }

    /// Runs so many times slower from now on. Call [`SimulatedBackend::advance`] before.
    pub fn slow_down(&mut self, times: f64) {
        self.slowdown = ((times * ONE as f64) as u64).max(1);
    }

    /// Stalls for a time, us.
    pub fn pause(&mut self, now: Micros, time: Micros) {
        self.stalled_until = self.stalled_until.max(now + time);
    }
}
