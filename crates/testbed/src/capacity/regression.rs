//! Multiple linear regression of one quantity on the size of the fleet.
//!
//! The model is `constant + a * heads + b * changes + c * heads * changes + d * backends`, and for what is measured as an
//! even part of a shared process `+ e / members`. A regressor is left out where the measurements cannot tell it from those
//! before it, or would leave no degree of freedom. Noise here is about a part
//! of the figure rather than an amount, and loads differ by a factor of a hundred, so that the squares of the *relative*
//! residuals are made least: ordinary least squares would fit the largest loads alone.

use nalgebra::{DMatrix, DVector};

/// Different numbers of heads that a fit needs.
pub const MIN_SIZES: usize = 4;
/// A singular value under this part of the largest counts as zero.
const RANK_TOLERANCE: f64 = 1e-6;
/// Residuals of figures under this part of the largest figure are taken relative to this part of it.
const LEAST_SCALE: f64 = 1e-3;

/// The size of a fleet, and the load of changes on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Heads in all; of a relay, the heads in all for each relay.
    pub heads: f64,
    /// Backends on discovery's list.
    pub backends: f64,
    /// Changes of the store a second.
    pub changes: f64,
    /// The part of a shared process's fixed cost that falls to one member, as 1 over the members; 0 where the figure is
    /// a process's own.
    pub process_share: f64,
}

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Where it was taken.
    pub size: Size,
    /// The figure.
    pub value: f64,
}

/// What a figure may grow with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regressor {
    /// Nothing.
    Constant,
    /// Heads.
    Heads,
    /// Changes a second.
    Changes,
    /// Heads times changes a second.
    HeadsTimesChanges,
    /// Backends.
    Backends,
    /// The fixed cost of the processes that members share.
    ProcessShare,
}

impl Regressor {
    /// In the order in which they are taken into a model.
    pub const ALL: [Regressor; 6] = [
        Regressor::Constant,
        Regressor::Heads,
        Regressor::Changes,
        Regressor::HeadsTimesChanges,
        Regressor::Backends,
        Regressor::ProcessShare,
    ];

    /// Its value at a size.
    pub fn at(self, size: &Size) -> f64 {
        match self {
            Regressor::Constant => 1.0,
            Regressor::Heads => size.heads,
            Regressor::Changes => size.changes,
            Regressor::HeadsTimesChanges => size.heads * size.changes,
            Regressor::Backends => size.backends,
            Regressor::ProcessShare => size.process_share,
        }
    }
}

/// Why there is no fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoFit {
    /// Nothing was measured.
    NotMeasured,
    /// Fewer different numbers of heads than [`MIN_SIZES`]; how many.
    TooFewSizes(usize),
    /// The least squares have no solution.
    Singular,
    /// The model falls below zero at the target: it does not reach that far.
    BelowZero,
}

/// A fitted model.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The regressors in the model with their coefficients.
    pub terms: Vec<(Regressor, f64)>,
    /// Root mean square of the residuals, in the unit of the figure.
    pub root_mean_square: f64,
    /// The largest residual as a part of its figure.
    pub largest_relative: f64,
    /// Measurements.
    pub samples: usize,
    /// Different numbers of heads.
    pub sizes: usize,
}

impl Fit {
    /// The figure at a size.
    pub fn at(&self, size: &Size) -> f64 {
        self.terms.iter().map(|(regressor, coefficient)| coefficient * regressor.at(size)).sum()
    }

    /// The coefficient of a regressor; `None` where it is not in the model.
    pub fn coefficient(&self, wanted: Regressor) -> Option<f64> {
        self.terms.iter().find(|(regressor, _)| *regressor == wanted).map(|(_, coefficient)| *coefficient)
    }
}

/// Fits the model to measurements.
///
/// # Errors
/// [`NoFit`] where there are too few.
pub fn fit(samples: &[Sample]) -> Result<Fit, NoFit> {
    let sizes = count_sizes(samples);
    match sizes {
        0 => return Err(NoFit::NotMeasured),
        few if few < MIN_SIZES => return Err(NoFit::TooFewSizes(few)),
        _ => (),
    }
    let scales = scales(samples);
    let regressors = choose_regressors(samples, &scales);
    let coefficients = solve(samples, &scales, &regressors).ok_or(NoFit::Singular)?;
    let terms: Vec<(Regressor, f64)> = regressors.into_iter().zip(coefficients).collect();
    let mut fit = Fit { terms, root_mean_square: 0.0, largest_relative: 0.0, samples: samples.len(), sizes };
    let residuals: Vec<f64> = samples.iter().map(|sample| fit.at(&sample.size) - sample.value).collect();
    let squares: f64 = residuals.iter().map(|residual| residual * residual).sum();
    fit.root_mean_square = (squares / samples.len() as f64).sqrt();
    let relative = residuals.iter().zip(&scales).map(|(residual, scale)| (residual / scale).abs());
    fit.largest_relative = relative.fold(0.0, f64::max);
    Ok(fit)
}

fn count_sizes(samples: &[Sample]) -> usize {
    let mut heads: Vec<f64> = samples.iter().map(|sample| sample.size.heads).collect();
    heads.sort_by(f64::total_cmp);
    heads.dedup();
    heads.len()
}

/// What the residual of each sample is divided by.
fn scales(samples: &[Sample]) -> Vec<f64> {
    let largest = samples.iter().map(|sample| sample.value.abs()).fold(0.0, f64::max);
    let least = if largest > 0.0 { largest * LEAST_SCALE } else { 1.0 };
    samples.iter().map(|sample| sample.value.abs().max(least)).collect()
}

fn choose_regressors(samples: &[Sample], scales: &[f64]) -> Vec<Regressor> {
    let mut chosen = Vec::new();
    for regressor in Regressor::ALL {
        chosen.push(regressor);
        let degrees_of_freedom = samples.len().saturating_sub(chosen.len());
        let (matrix, _) = scaled_matrix(samples, scales, &chosen);
        let singular = matrix.singular_values();
        let full_rank = singular.min() > singular.max() * RANK_TOLERANCE;
        if degrees_of_freedom == 0 || !full_rank {
            chosen.pop();
        }
    }
    chosen
}

/// The weighted design matrix, its columns divided by their norms, and the norms.
fn scaled_matrix(samples: &[Sample], scales: &[f64], regressors: &[Regressor]) -> (DMatrix<f64>, Vec<f64>) {
    let entry = |row: usize, column: usize| regressors[column].at(&samples[row].size) / scales[row];
    let mut matrix = DMatrix::from_fn(samples.len(), regressors.len(), entry);
    let mut norms = Vec::with_capacity(regressors.len());
    for mut column in matrix.column_iter_mut() {
        let norm = column.norm();
        if norm > 0.0 {
            column /= norm;
        }
        norms.push(norm);
    }
    (matrix, norms)
}

fn solve(samples: &[Sample], scales: &[f64], regressors: &[Regressor]) -> Option<Vec<f64>> {
    let (matrix, norms) = scaled_matrix(samples, scales, regressors);
    let values = DVector::from_fn(samples.len(), |row, _| samples[row].value / scales[row]);
    let solution = matrix.svd(true, true).solve(&values, f64::EPSILON).ok()?;
    let coefficients: Vec<f64> = solution.iter().zip(&norms).map(|(scaled, norm)| scaled / norm).collect();
    coefficients.iter().all(|coefficient| coefficient.is_finite()).then_some(coefficients)
}
