//! The figures of each role at the target size, beside their budgets.

use super::documents::{Documents, ResultSet};
use super::quantity::{Quantity, ROLES};
use super::regression::{Fit, NoFit, Sample, Size, fit};
use super::target::{Budget, Target};
use crate::scale::results::{Cost, Point, Role};

/// Factors of the target size that are searched for the first one over a budget.
const MAX_FACTOR: f64 = 1000.0;
/// Ratio of one searched factor to the next.
const FACTOR_STEP: f64 = 1.01;

/// The two models of one quantity of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The role.
    pub role: Role,
    /// The quantity.
    pub quantity: Quantity,
    /// The model of the mean over the members.
    pub mean: Result<Fit, NoFit>,
    /// The model of the largest of the members.
    pub most: Result<Fit, NoFit>,
    /// The most heads that it was measured with.
    pub largest_heads: f64,
    /// The target as the models see it.
    pub target: Size,
    /// What the budget allows.
    pub budget: Option<f64>,
}

impl Estimate {
    /// The mean at the target.
    ///
    /// # Errors
    /// [`NoFit`] where there is no model, or it does not reach the target.
    pub fn mean_at_target(&self) -> Result<f64, NoFit> {
        at_target(&self.mean, &self.target)
    }

    /// The largest at the target, no less than the mean: the two models are fitted apart. A budget holds for every
    /// member, so this is what is compared with it.
    ///
    /// # Errors
    /// [`NoFit`] where there is no model, or it does not reach the target.
    pub fn most_at_target(&self) -> Result<f64, NoFit> {
        Ok(at_target(&self.most, &self.target)?.max(self.mean_at_target()?))
    }

    /// The largest at the target as a part of the budget.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.most_at_target().ok()? / self.budget?)
    }

    /// The smallest factor of the target size (heads, backends and changes together) at which the budget is exceeded,
    /// from a hundredth on; `None` where none up to `MAX_FACTOR` does.
    pub fn breaking_factor(&self) -> Option<f64> {
        let (fit, budget) = (self.most.as_ref().ok()?, self.budget?);
        let at = |factor: f64| {
            let target = &self.target;
            fit.at(&Size {
                heads: target.heads * factor,
                backends: target.backends * factor,
                changes: target.changes * factor,
                process_share: target.process_share,
            })
        };
        let factors = std::iter::successors(Some(0.01), |factor| Some(factor * FACTOR_STEP));
        let over = factors.take_while(|factor| *factor <= MAX_FACTOR).find(|factor| at(*factor) > budget)?;
        Some(bisect(over / FACTOR_STEP, over, |factor| at(factor) > budget))
    }
}

fn at_target(fit: &Result<Fit, NoFit>, target: &Size) -> Result<f64, NoFit> {
    let value = fit.as_ref().map_err(|reason| *reason)?.at(target);
    if value < 0.0 { Err(NoFit::BelowZero) } else { Ok(value) }
}

/// The place between two where a condition begins to hold.
fn bisect(mut below: f64, mut above: f64, holds: impl Fn(f64) -> bool) -> f64 {
    const STEPS: usize = 40;
    for _ in 0..STEPS {
        let middle = f64::midpoint(below, above);
        if holds(middle) {
            above = middle;
        } else {
            below = middle;
        }
    }
    above
}

/// The estimates of all roles and quantities of a set of results.
pub fn estimates(documents: &Documents, set: ResultSet, target: &Target) -> Vec<Estimate> {
    let points: Vec<&Point> = documents.points(set).collect();
    let pairs = ROLES.into_iter().flat_map(|role| Quantity::ALL.map(|quantity| (role, quantity)));
    pairs.map(|(role, quantity)| estimate(&points, role, quantity, target)).collect()
}

fn estimate(points: &[&Point], role: Role, quantity: Quantity, target: &Target) -> Estimate {
    let measured: Vec<(&Point, &Cost)> =
        points.iter().filter_map(|point| Some((*point, point.roles.get(&role)?))).collect();
    let is_shared = role == Role::HollowHead && quantity.is_shared_by_hollow_heads();
    let sample = |(point, cost): &(&Point, &Cost), value: f64| Sample {
        size: Size {
            heads: heads_carried(role, point.heads as f64, cost.count as f64),
            backends: point.backends as f64,
            changes: point.changes_per_second,
            process_share: if is_shared { 1.0 / cost.count as f64 } else { 0.0 },
        },
        value,
    };
    let means: Vec<Sample> = measured.iter().map(|pair| sample(pair, quantity.of(pair.1).mean)).collect();
    let mosts: Vec<Sample> = measured.iter().map(|pair| sample(pair, quantity.of(pair.1).most)).collect();
    Estimate {
        role,
        quantity,
        mean: fit(&means),
        most: fit(&mosts),
        largest_heads: measured.iter().map(|(point, _)| point.heads as f64).fold(0.0, f64::max),
        target: Size {
            heads: heads_carried(role, target.heads, target.relays),
            backends: target.backends,
            changes: target.changes_per_second(),
            // A head of the target shares its process with nobody, and the control code alone is what is asked for.
            process_share: 0.0,
        },
        budget: budget(role, target).and_then(|budget| quantity.allowed(&budget)),
    }
}

/// What a role's cost grows with: the heads in all, and for a relay those that fall to each relay.
fn heads_carried(role: Role, heads: f64, members: f64) -> f64 {
    if role == Role::Relay { heads / members.max(1.0) } else { heads }
}

/// The budget of one member of a role; discovery is the platform's and has none.
pub fn budget(role: Role, target: &Target) -> Option<Budget> {
    match role {
        Role::Voter | Role::Relay => Some(target.set_aside_budget),
        Role::WholeHead | Role::HollowHead => Some(target.head_budget),
        Role::Discovery => None,
    }
}

/// How many members a role has at the target.
pub fn members(role: Role, target: &Target) -> f64 {
    match role {
        Role::Voter => target.voters,
        Role::Relay => target.relays,
        Role::WholeHead | Role::HollowHead => target.other_heads(),
        Role::Discovery => 1.0,
    }
}
