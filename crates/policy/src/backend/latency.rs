//! The latency of a backend: what it was, what is expected now, and what is too much.

use crate::Micros;

/// Part of the tightest latency objective that a backend's latency may take before its concurrency limit
/// falls. The rest is for the wait here, where requests can still be ordered. Taken over with the decision
/// module; what it was tuned against is not recorded.
const OBJECTIVE_PART: f64 = 0.18;
/// Weight of one response at the least: about the last ten count.
const MIN_SAMPLE_WEIGHT: f64 = 0.2;
/// Time constant, in microseconds, by which what a response told wears off: surges last several seconds,
/// queues fewer. Four times as long made no difference in trials with 100 heads.
const MEMORY: f64 = 1e6;
/// Multiple of its mean latency after which the silence of a backend, or of an attempt, is suspicious. Tuned
/// against the score of `lbsim`: 0.783 with four, 0.767 with two.
const SUSPICIOUS_MULTIPLE: f64 = 4.0;
/// A silence under the latency objective divided by this is never suspicious.
const SUSPICIOUS_DIVISOR: f64 = 4.0;

/// The latency of one backend, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latency {
    /// Moving average of the responses.
    mean: f64,
    /// The tightest latency objective of the requests that were sent there.
    objective: Micros,
    /// When the last sample was taken; at first, when the backend was first heard of.
    last_sample_at: Micros,
}

impl Latency {
    /// That of a backend of which nothing is known: half of what it may take.
    pub(crate) fn new(objective: Micros, now: Micros) -> Latency {
        let mean = objective as f64 * OBJECTIVE_PART / 2.0;
        Latency { mean, objective, last_sample_at: now }
    }

    /// Moving average of the responses.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The tightest latency objective of the requests that were sent there: the target of the regulator.
    pub(crate) fn objective(&self) -> Micros {
        self.objective
    }

    /// Notes the latency objective of a request that is sent.
    pub(crate) fn tighten_objective(&mut self, objective: Micros) {
        self.objective = self.objective.min(objective);
    }

    /// The latency over which the concurrency limit falls.
    pub(crate) fn threshold(&self) -> f64 {
        OBJECTIVE_PART * self.objective as f64
    }

    /// Whether a backend with this latency has nothing left for overdue requests: it is past half of the
    /// threshold, since other heads may add theirs.
    pub(crate) fn is_crowded_at(&self, latency: f64) -> bool {
        latency > self.threshold() / 2.0
    }

    /// The silence after which the backend, or an attempt there, is under suspicion.
    pub(crate) fn suspicion_timeout(&self) -> Micros {
        (SUSPICIOUS_MULTIPLE * self.mean).max(self.objective as f64 / SUSPICIOUS_DIVISOR) as Micros
    }

    /// Takes one response's latency. Where responses are few, each counts for more.
    pub(crate) fn record(&mut self, latency: f64, now: Micros) {
        let weight = (1.0 - self.remaining_trust(now)).max(MIN_SAMPLE_WEIGHT);
        self.mean += weight * (latency - self.mean);
        self.last_sample_at = now;
    }

    /// The latency expected of a response now. What the last samples told wears off towards half of the
    /// threshold, so that a backend that was crowded is tried again.
    pub(crate) fn expected(&self, now: Micros) -> f64 {
        let floor = (self.threshold() / 2.0).min(self.mean);
        floor + (self.mean - floor) * self.remaining_trust(now)
    }

    /// By how much an expected latency may be exceeded: once just after a sample, twice with none for long.
    pub(crate) fn safety_margin(&self, now: Micros) -> f64 {
        2.0 - (-(self.sample_age(now) as f64) / self.objective as f64).exp()
    }

    /// Whether the last sample was taken less than an objective ago.
    pub(crate) fn is_sampled_within_objective(&self, now: Micros) -> bool {
        now < self.last_sample_at + self.objective
    }

    /// Whether the last sample was taken more than `age` ago.
    pub(crate) fn is_sample_older_than(&self, age: Micros, now: Micros) -> bool {
        now > self.last_sample_at + age
    }

    /// What is left of the trust in the last sample, from 1 down to 0.
    fn remaining_trust(&self, now: Micros) -> f64 {
        (-(self.sample_age(now) as f64) / MEMORY).exp()
    }

    fn sample_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_sample_at)
    }
}
