//! Each quantity before and after the mechanism, at the target.

use super::cells::{OVER, or_not_run};
use super::roles::no_fit;
use crate::capacity::estimate::Estimate;
use crate::capacity::format::{number, optional};
use crate::capacity::quantity::role_name;
use crate::capacity::regression::NoFit;

/// A figure that has grown by less than this part is not marked: two runs differ by as much.
const NOISE: f64 = 0.1;

/// The largest of the members at the target, before and after, each against the budget.
pub fn before_after(before: &[Estimate], after: &[Estimate]) -> String {
    let header = [
        "role",
        "quantity",
        "before",
        "after",
        "after / before",
        "budget",
        "before / budget",
        "after / budget",
        "",
    ];
    let unmeasured = |estimate: &Estimate| matches!(estimate.most, Err(NoFit::NotMeasured));
    let pairs = before.iter().zip(after).filter(|(before, after)| !unmeasured(before) || !unmeasured(after));
    let rows: Vec<Vec<String>> = pairs
        .map(|(before, after)| {
            let figure = |estimate: &Estimate| estimate.most_at_target().map_or_else(no_fit, number);
            let change = change(before, after);
            vec![
                role_name(after.role).to_owned(),
                after.quantity.name().to_owned(),
                figure(before),
                figure(after),
                optional(change, "-"),
                optional(after.budget, "none"),
                optional(before.ratio(), "-"),
                optional(after.ratio(), "-"),
                mark(after, change),
            ]
        })
        .collect();
    or_not_run(&header, rows)
}

fn change(before: &Estimate, after: &Estimate) -> Option<f64> {
    let (before, after) = (before.most_at_target().ok()?, after.most_at_target().ok()?);
    (before > 0.0).then_some(after / before)
}

fn mark(after: &Estimate, change: Option<f64>) -> String {
    let over = after.ratio().is_some_and(|ratio| ratio > 1.0);
    let worse = change.is_some_and(|change| change > 1.0 + NOISE);
    let worse = worse.then(|| format!("worse by over {}", number(NOISE * 100.0) + "%"));
    over.then(|| OVER.to_owned()).into_iter().chain(worse).collect::<Vec<_>>().join(", ")
}
