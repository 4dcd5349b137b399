//! The direct self-tuning regulator of "Triage: Performance Isolation and Differentiation for Storage
//! Systems" (sections 4.1 and 4.2, figure 6), which sets the rate of one backend once per control period.
//!
//! The input is the latency as a multiple of its target, so that the reference `y_ref` is 1; the output is a
//! rate in units per second. Each law of the paper is one function, called in the paper's order. Departures
//! from the paper are noted at the functions.

mod least_squares;

pub use least_squares::LeastSquares;

/// With fewer responses in a period, the conditional update law keeps the model and the rate (value from the
/// paper).
const MIN_RESPONSES: u32 = 6;
/// In this many consecutive periods with too few responses, the regulator is updated in the last one, unless
/// that had no response at all. Otherwise a regulator with few responses would keep its rate for ever.
/// Departure: the paper updates one random regulator of all instead.
const FORCED_UPDATE_PERIODS: u32 = 3;
/// Relative change of a parameter above which the reset law discards the model (value from the paper).
const RESET_CHANGE: f64 = 0.3;
/// Periods before the reset law applies to a new model: one for each parameter.
const MIN_MODEL_AGE: u32 = 3;

/// The measurements of a backend in one control period.
#[derive(Clone, Copy, Debug)]
pub struct PeriodSample {
    /// Number of responses.
    pub responses: u32,
    /// Mean latency of the responses, as a multiple of the target: `w(k)`.
    pub latency: f64,
    /// Rate that was sent, in units per second: `u(k-1)`. It may differ from the rate that was set.
    pub sent: f64,
    /// Rate that was served, in units per second.
    pub served: f64,
    /// Upper bound of the rate, in units per second: `u_max`.
    pub ceiling: f64,
    /// Whether nothing was sent and nothing is in flight: the backend is idle, not stalled.
    pub is_idle: bool,
}

/// The direct self-tuning integral regulator of one backend.
#[derive(Clone, Debug, Default)]
pub struct SelfTuningRegulator {
    /// The current model.
    pub model: LeastSquares,
    /// The rate that was set last, in units per second: `u(k)`.
    pub rate: f64,
    previous: Option<PeriodSample>,
    skipped_periods: u32,
    model_age: u32,
}

impl SelfTuningRegulator {
    /// Ends a control period: updates the model and sets the rate.
    pub fn update(&mut self, sample: PeriodSample) {
        if self.conditional_update_law(&sample) {
            return;
        }
        let Some(previous) = self.previous.replace(sample) else {
            self.rate = sample.ceiling;
            return;
        };
        let estimate = self.estimate(&previous, &sample);
        if self.reset_law(&estimate) {
            self.reset(&sample);
        } else if self.adopt_estimate(estimate) {
            self.rate = self.control_law(&sample);
        } else {
            self.rate = self.rate.min(sample.ceiling);
        }
    }

    /// Line 1 of the paper's algorithm: returns whether the model and the rate are kept because of too few
    /// responses.
    ///
    /// Departure: the rate of an idle backend becomes the ceiling, and a rate that is kept is bounded by the
    /// ceiling.
    fn conditional_update_law(&mut self, sample: &PeriodSample) -> bool {
        if sample.responses < MIN_RESPONSES && self.rate > 0.0 {
            self.skipped_periods += 1;
            if sample.is_idle || self.rate > sample.ceiling {
                self.rate = sample.ceiling;
            }
            if self.skipped_periods < FORCED_UPDATE_PERIODS || sample.responses == 0 {
                return true;
            }
        }
        self.skipped_periods = 0;
        false
    }

    /// The current model updated with this period.
    fn estimate(&self, previous: &PeriodSample, sample: &PeriodSample) -> LeastSquares {
        let mut estimate = self.model.clone();
        estimate.update([previous.latency, sample.sent, previous.sent], sample.latency);
        estimate
    }

    /// Line 5: whether any parameter changed so much that the model has to be discarded.
    fn reset_law(&mut self, estimate: &LeastSquares) -> bool {
        let has_changed = (0..3).any(|i| {
            let (old, new) = (self.model.theta[i], estimate.theta[i]);
            (new - old).abs() > RESET_CHANGE * old.abs()
        });
        self.model_age += 1;
        has_changed && self.model_age > MIN_MODEL_AGE
    }

    /// Discards the model and sets the rate to the ceiling, as excitation for a new model.
    ///
    /// Departure: a backend above its target (slow, in slow start or congested) gets the rate that it has
    /// just served instead, so that the reset does not overload it further.
    fn reset(&mut self, sample: &PeriodSample) {
        self.model = LeastSquares::default();
        self.model_age = 0;
        let is_over_target = sample.latency > 1.0;
        self.rate = if is_over_target { sample.served.min(sample.ceiling) } else { sample.ceiling };
    }

    /// Line 9: adopts the estimate unless latency falls in it as the rate rises; the previous model is kept
    /// then, if it is plausible itself. Returns whether the model is plausible and can set a rate.
    fn adopt_estimate(&mut self, estimate: LeastSquares) -> bool {
        if estimate.is_plausible() || !self.model.is_plausible() {
            self.model = estimate;
        }
        self.model.is_plausible()
    }

    /// Lines 11 and 12: the control law (equation 7) and the anti-windup law, which clamps the rate between 0
    /// and the ceiling.
    fn control_law(&self, sample: &PeriodSample) -> f64 {
        let [s1, r1, r2] = self.model.theta;
        let rate = (1.0 - s1 * sample.latency - r2 * sample.sent) / r1;
        rate.clamp(0.0, sample.ceiling.max(0.0))
    }
}
