//! The latency of a backend: its moving average, the latency expected now, and the thresholds for it.

use crate::Micros;

/// Fraction of the shortest latency objective that a backend's latency may reach before its concurrency limit
/// falls. The rest of the objective is for the time in the head's own queue, where requests can still be
/// ordered.
const THRESHOLD_FRACTION: f64 = 0.18;
/// Lower bound of the weight of a sample in the moving average; about the last ten samples count.
const MIN_SAMPLE_WEIGHT: f64 = 0.2;
/// Time constant, in microseconds, of the decay of a sample's weight. Surges last several seconds, queues
/// less. A constant four times as long makes no difference with 100 heads.
const DECAY_TIME: f64 = 1e6;
/// The suspicion timeout is this multiple of the mean latency. A multiple of 2 lowers the score of the
/// simulator `lbsim` from 0.783 to 0.767.
const SUSPICION_MULTIPLE: f64 = 4.0;
/// The suspicion timeout is at least the latency objective divided by this.
const MIN_SUSPICION_DIVISOR: f64 = 4.0;

/// The latency of one backend, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latency {
    /// Moving average of the latency samples.
    mean: f64,
    /// The shortest latency objective of the requests sent to the backend.
    objective: Micros,
    /// When the last sample was taken; before the first one, when the backend became known.
    last_sample_at: Micros,
}

impl Latency {
    /// The latency assumed for a backend without samples: half of the threshold.
    pub(crate) fn new(objective: Micros, now: Micros) -> Latency {
        let mean = objective as f64 * THRESHOLD_FRACTION / 2.0;
        Latency { mean, objective, last_sample_at: now }
    }

    /// Moving average of the latency samples.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The shortest latency objective of the requests sent to the backend; the target of the regulator.
    pub(crate) fn objective(&self) -> Micros {
        self.objective
    }

    /// Lowers the objective to that of a request that is sent, if it is shorter.
    pub(crate) fn lower_objective(&mut self, objective: Micros) {
        self.objective = self.objective.min(objective);
    }

    /// The latency above which the concurrency limit falls.
    pub(crate) fn threshold(&self) -> f64 {
        THRESHOLD_FRACTION * self.objective as f64
    }

    /// Whether a backend with this latency has no capacity for overdue requests. Half of the threshold is
    /// enough, because other heads may send overdue requests too.
    pub(crate) fn is_congested_at(&self, latency: f64) -> bool {
        latency > self.threshold() / 2.0
    }

    /// The time without a response after which the backend, or an attempt there, is suspected to be stalled.
    pub(crate) fn suspicion_timeout(&self) -> Micros {
        (SUSPICION_MULTIPLE * self.mean).max(self.objective as f64 / MIN_SUSPICION_DIVISOR) as Micros
    }

    /// Adds a sample. The older the previous sample, the more weight the new one has.
    pub(crate) fn record(&mut self, latency: f64, now: Micros) {
        let weight = (1.0 - self.decayed_weight(now)).max(MIN_SAMPLE_WEIGHT);
        self.mean += weight * (latency - self.mean);
        self.last_sample_at = now;
    }

    /// The latency expected of a request sent now. Without new samples it decays from a higher mean to half
    /// of the threshold, so that a backend that was congested gets requests again.
    pub(crate) fn expected(&self, now: Micros) -> f64 {
        let floor = (self.threshold() / 2.0).min(self.mean);
        floor + (self.mean - floor) * self.decayed_weight(now)
    }

    /// Safety factor on the expected latency, for its uncertainty: from 1 just after a sample towards 2.
    pub(crate) fn safety_margin(&self, now: Micros) -> f64 {
        2.0 - (-(self.sample_age(now) as f64) / self.objective as f64).exp()
    }

    /// Whether the last sample was taken less than a latency objective ago.
    pub(crate) fn is_sampled_within_objective(&self, now: Micros) -> bool {
        now < self.last_sample_at + self.objective
    }

    /// Whether the last sample was taken more than `age` ago.
    pub(crate) fn is_sample_older_than(&self, age: Micros, now: Micros) -> bool {
        now > self.last_sample_at + age
    }

    /// Weight of the samples so far, which decays with the age of the last one from 1 to 0.
    fn decayed_weight(&self, now: Micros) -> f64 {
        (-(self.sample_age(now) as f64) / DECAY_TIME).exp()
    }

    fn sample_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_sample_at)
    }
}
