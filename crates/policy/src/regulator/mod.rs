//! The rate of one backend, set once a control period by the direct self-tuning regulator of "Triage:
//! Performance Isolation and Differentiation for Storage Systems" (sections 4.1 and 4.2, figure 6).
//!
//! Latency goes in as a multiple of its target, so that the reference `y_ref` is 1; a rate in units a second
//! comes out. The paper's laws are one function each, and run in the paper's order. Where the design departs
//! from the paper, the function says so.

mod least_squares;

pub use least_squares::LeastSquares;

/// Responses in a period under which the conditional update law changes nothing (the paper's figure).
const MIN_RESPONSES: u32 = 6;
/// Unchanged periods after which the regulator runs anyway, so that one with few responses cannot lock. The
/// paper has one random regulator of all run instead; the design has each run after "a few".
const MAX_SKIPPED_PERIODS: u32 = 3;
/// Relative change of a parameter over which the reset law drops the old model (the paper's figure).
const RESET_CHANGE: f64 = 0.3;
/// Periods that a new model takes before the reset law judges it: one for each parameter.
const MODEL_PERIODS: u32 = 3;

/// What was measured of a backend in one control period.
#[derive(Clone, Copy, Debug)]
pub struct PeriodSample {
    /// Responses in the period.
    pub responses: u32,
    /// Their mean latency, as a multiple of the target: `w(k)`.
    pub latency: f64,
    /// Units a second that were sent, the input that the backend really had: `u(k-1)`.
    pub sent: f64,
    /// Units a second that were served.
    pub served: f64,
    /// The largest rate worth setting: `u_max`.
    pub ceiling: f64,
    /// Nothing was sent and nothing is in flight: the backend is idle, not stalled.
    pub is_idle: bool,
}

/// The direct self-tuning integral regulator of one backend.
#[derive(Clone, Debug, Default)]
pub struct SelfTuningRegulator {
    /// The present model.
    pub model: LeastSquares,
    /// The rate set, in units a second: `u(k)`.
    pub rate: f64,
    previous: Option<PeriodSample>,
    skipped_periods: u32,
    model_age: u32,
}

impl SelfTuningRegulator {
    /// Ends a control period: sets the rate by the paper's laws.
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
        } else if self.keep_plausible(estimate) {
            self.rate = self.control_law(&sample);
        } else {
            self.rate = self.rate.min(sample.ceiling);
        }
    }

    /// Line 1 of the paper's algorithm: whether too few responses came to change the model and the rate.
    ///
    /// Departure: an idle backend's rate goes to the ceiling, which also bounds a rate that is kept.
    fn conditional_update_law(&mut self, sample: &PeriodSample) -> bool {
        if sample.responses < MIN_RESPONSES && self.rate > 0.0 {
            self.skipped_periods += 1;
            if sample.is_idle || self.rate > sample.ceiling {
                self.rate = sample.ceiling;
            }
            if self.skipped_periods < MAX_SKIPPED_PERIODS || sample.responses == 0 {
                return true;
            }
        }
        self.skipped_periods = 0;
        false
    }

    /// The present model with this period taken in.
    fn estimate(&self, previous: &PeriodSample, sample: &PeriodSample) -> LeastSquares {
        let mut estimate = self.model.clone();
        estimate.update([previous.latency, sample.sent, previous.sent], sample.latency);
        estimate
    }

    /// Line 5: whether any parameter moved so far that the old model no longer counts.
    fn reset_law(&mut self, estimate: &LeastSquares) -> bool {
        let has_moved = (0..3).any(|i| {
            let (old, new) = (self.model.theta[i], estimate.theta[i]);
            (new - old).abs() > RESET_CHANGE * old.abs()
        });
        self.model_age += 1;
        has_moved && self.model_age > MODEL_PERIODS
    }

    /// Drops the model and excites the backend with the ceiling.
    ///
    /// Departure: a backend over its target (slow, in slow start or crowded) gets what it has just served
    /// instead, so that the reset does not overload it further.
    fn reset(&mut self, sample: &PeriodSample) {
        self.model = LeastSquares::default();
        self.model_age = 0;
        let is_over_target = sample.latency > 1.0;
        self.rate = if is_over_target { sample.served.min(sample.ceiling) } else { sample.ceiling };
    }

    /// Line 9: takes the estimate unless it has latency fall as the rate rises; then the model before is
    /// kept. Without a plausible model before, the estimate is kept to learn on. Whether the model can set a
    /// rate.
    fn keep_plausible(&mut self, estimate: LeastSquares) -> bool {
        if estimate.is_plausible() || !self.model.is_plausible() {
            self.model = estimate;
        }
        self.model.is_plausible()
    }

    /// Lines 11 and 12: the control law (equation 7), and the anti-windup law, which keeps the rate between 0
    /// and the ceiling.
    fn control_law(&self, sample: &PeriodSample) -> f64 {
        let [s1, r1, r2] = self.model.theta;
        let rate = (1.0 - s1 * sample.latency - r2 * sample.sent) / r1;
        rate.clamp(0.0, sample.ceiling.max(0.0))
    }
}
