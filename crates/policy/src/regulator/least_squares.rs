//! The online model of a backend, fitted by recursive least squares with a forgetting factor.

/// Forgetting factor (λ in the paper) per control period. 0.9 gives a memory of ten periods, the length of a
/// surge, so that the model follows a surge.
const FORGETTING_FACTOR: f64 = 0.9;
/// Diagonal of the covariance matrix of a new model. It is large compared with the squared parameters, so
/// that the first samples determine the model.
const INITIAL_COVARIANCE: f64 = 1e4;

/// The model `w(k) = s1·w(k-1) + r1·u(k-1) + r2·u(k-2)` (equation 5 of the paper), in which the latency `w`
/// depends on the rates `u`.
#[derive(Clone, Debug)]
pub struct LeastSquares {
    /// The parameters `[s1, r1, r2]`.
    pub theta: [f64; 3],
    covariance: [[f64; 3]; 3],
}

impl Default for LeastSquares {
    fn default() -> Self {
        let mut covariance = [[0.0; 3]; 3];
        (0..3).for_each(|i| covariance[i][i] = INITIAL_COVARIANCE);
        LeastSquares { theta: [0.0; 3], covariance }
    }
}

impl LeastSquares {
    /// Updates the model with one period: the regressors `[w(k-1), u(k-1), u(k-2)]` and the latency `w(k)`.
    ///
    /// Implements equations 11 to 13 of the paper's appendix, with the forgetting factor added. A model that
    /// is no longer finite is replaced by a new one.
    pub fn update(&mut self, regressors: [f64; 3], latency: f64) {
        let gain: [f64; 3] =
            std::array::from_fn(|i| (0..3).map(|j| self.covariance[i][j] * regressors[j]).sum());
        let forgetting = self.forgetting_factor();
        let scale = forgetting + (0..3).map(|i| regressors[i] * gain[i]).sum::<f64>();
        let error = latency - (0..3).map(|i| regressors[i] * self.theta[i]).sum::<f64>();
        for i in 0..3 {
            self.theta[i] += gain[i] / scale * error;
            for j in 0..3 {
                self.covariance[i][j] = (self.covariance[i][j] - gain[i] * gain[j] / scale) / forgetting;
            }
        }
        if !self.is_finite() {
            *self = LeastSquares::default();
        }
    }

    /// Whether latency rises with the rate in the model (`r1 > 0`), as it does in any real system.
    pub(super) fn is_plausible(&self) -> bool {
        self.theta[1] > 0.0
    }

    /// The forgetting factor, or 1 once periods without change have let the covariance grow beyond that of a
    /// new model (estimator windup).
    fn forgetting_factor(&self) -> f64 {
        let is_wound_up = (0..3).map(|i| self.covariance[i][i]).sum::<f64>() >= 3.0 * INITIAL_COVARIANCE;
        if is_wound_up { 1.0 } else { FORGETTING_FACTOR }
    }

    fn is_finite(&self) -> bool {
        self.theta.iter().chain(self.covariance.iter().flatten()).all(|value| value.is_finite())
    }
}
