//! Tables of the roles at the target: cost, budgets, limits, models.

use super::cells::{NOT_RUN, OVER};
use crate::capacity::estimate::{Estimate, members};
use crate::capacity::format::{number, optional, percent};
use crate::capacity::quantity::{Quantity, ROLES, role_name};
use crate::capacity::regression::{Fit, NoFit, Regressor};
use crate::capacity::target::Target;
use crate::report::table;
use crate::scale::results::Role;

/// Heads or backends that a slope is printed for.
const SLOPE_UNIT: f64 = 1000.0;

/// Number and cost of each role at the target: the mean, and the largest in parentheses.
pub fn roles(estimates: &[Estimate], target: &Target) -> String {
    let shown = Quantity::ALL.into_iter().filter(|quantity| *quantity != Quantity::Bytes);
    let shown: Vec<Quantity> = shown.collect();
    let mut header = vec!["role", "number"];
    header.extend(shown.iter().map(|quantity| quantity.name()));
    let rows = ROLES.into_iter().map(|role| {
        let cells = shown.iter().map(|quantity| cost_cell(find(estimates, role, *quantity)));
        [role_name(role).to_owned(), number_cell(role, target)].into_iter().chain(cells).collect()
    });
    table(&header, rows.collect())
}

fn number_cell(role: Role, target: &Target) -> String {
    match role {
        Role::Discovery => "1 (stand-in)".to_owned(),
        _ => number(members(role, target)),
    }
}

fn find(estimates: &[Estimate], role: Role, quantity: Quantity) -> Option<&Estimate> {
    estimates.iter().find(|estimate| (estimate.role, estimate.quantity) == (role, quantity))
}

fn cost_cell(estimate: Option<&Estimate>) -> String {
    let Some(estimate) = estimate else { return NOT_RUN.to_owned() };
    match (estimate.mean_at_target(), estimate.most_at_target()) {
        (Ok(mean), Ok(most)) => format!("{} ({})", number(mean), number(most)),
        (Err(reason), _) | (_, Err(reason)) => no_fit(reason),
    }
}

/// Why a cell holds no figure.
pub fn no_fit(reason: NoFit) -> String {
    match reason {
        NoFit::NotMeasured => NOT_RUN.to_owned(),
        NoFit::TooFewSizes(sizes) => format!("no figure: {sizes} sizes of 4"),
        NoFit::Singular => "no figure: no solution".to_owned(),
        NoFit::BelowZero => "no figure: below 0".to_owned(),
    }
}

/// The figures that have a budget, beside it.
pub fn budgets(estimates: &[Estimate], target: &Target) -> String {
    let header = [
        "role",
        "quantity",
        "mean",
        "most",
        "budget",
        "most / budget",
        "",
        "measured up to heads",
        "root mean square residual",
        "largest relative residual",
    ];
    let rows = budgeted(estimates).map(|estimate| {
        let ratio = estimate.ratio();
        let mark = if ratio.is_some_and(|ratio| ratio > 1.0) { OVER } else { "" };
        let most = estimate.most.as_ref();
        vec![
            role_name(estimate.role).to_owned(),
            estimate.quantity.name().to_owned(),
            estimate.mean_at_target().map_or_else(no_fit, number),
            estimate.most_at_target().map_or_else(no_fit, number),
            budget_cell(estimate),
            optional(ratio, "-"),
            mark.to_owned(),
            reach_cell(estimate, target),
            most.map_or_else(|_| "-".to_owned(), |fit| number(fit.root_mean_square)),
            most.map_or_else(|_| "-".to_owned(), |fit| percent(fit.largest_relative)),
        ]
    });
    table(&header, rows.collect())
}

fn budgeted(estimates: &[Estimate]) -> impl Iterator<Item = &Estimate> {
    estimates.iter().filter(|estimate| estimate.budget.is_some())
}

/// A budget that the operators have not named is marked.
fn budget_cell(estimate: &Estimate) -> String {
    let assumed = matches!(estimate.role, Role::Voter | Role::Relay);
    let mark = if assumed { " (assumed)" } else { "" };
    estimate.budget.map_or_else(String::new, |budget| format!("{}{mark}", number(budget)))
}

/// The largest measured size, and how far the target lies beyond it.
fn reach_cell(estimate: &Estimate, target: &Target) -> String {
    let reached = estimate.largest_heads;
    if reached == 0.0 {
        return "-".to_owned();
    }
    if reached >= target.heads {
        return number(reached);
    }
    format!("{}, extrapolated x {}", number(reached), number(target.heads / reached))
}

/// At which factor of the target a budget is exceeded, the smallest first.
pub fn limits(estimates: &[Estimate], target: &Target) -> String {
    let mut factors: Vec<(f64, &Estimate)> = budgeted(estimates)
        .filter_map(|estimate| estimate.breaking_factor().map(|factor| (factor, estimate)))
        .collect();
    if factors.is_empty() {
        return "No budget is exceeded at up to 1,000 times the target, or no model could be fitted."
            .to_owned();
    }
    factors.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let rows = factors.into_iter().map(|(factor, estimate)| {
        vec![
            role_name(estimate.role).to_owned(),
            estimate.quantity.name().to_owned(),
            budget_cell(estimate),
            number(factor),
            number((factor * target.heads).floor()),
            number((factor * target.backends).floor()),
            number(factor * target.changes_per_second()),
        ]
    });
    table(&["role", "quantity", "budget", "factor", "heads", "backends", "changes/s"], rows.collect())
}

/// The models: coefficients and residuals.
pub fn fits(estimates: &[Estimate]) -> String {
    let header = [
        "role",
        "quantity",
        "of",
        "constant",
        "per 1,000 heads",
        "per change/s",
        "per 1,000 heads and change/s",
        "per 1,000 backends",
        "process / members",
        "root mean square residual",
        "largest relative residual",
        "sizes",
        "points",
    ];
    let both = estimates
        .iter()
        .flat_map(|estimate| [(estimate, "mean", &estimate.mean), (estimate, "most", &estimate.most)]);
    let rows = both.filter(|(_, _, fit)| !matches!(fit, Err(NoFit::NotMeasured)));
    let rows = rows.map(|(estimate, of, fit)| {
        let names = [role_name(estimate.role), estimate.quantity.name(), of].map(str::to_owned);
        let figures = fit.as_ref().map_or_else(|reason| vec![no_fit(*reason)], fit_cells);
        names.into_iter().chain(figures).collect()
    });
    table(&header, rows.collect())
}

fn fit_cells(fit: &Fit) -> Vec<String> {
    let scaled = |regressor, unit: f64| optional(fit.coefficient(regressor).map(|slope| slope * unit), "-");
    vec![
        scaled(Regressor::Constant, 1.0),
        scaled(Regressor::Heads, SLOPE_UNIT),
        scaled(Regressor::Changes, 1.0),
        scaled(Regressor::HeadsTimesChanges, SLOPE_UNIT),
        scaled(Regressor::Backends, SLOPE_UNIT),
        scaled(Regressor::ProcessShare, 1.0),
        number(fit.root_mean_square),
        percent(fit.largest_relative),
        fit.sizes.to_string(),
        fit.samples.to_string(),
    ]
}
