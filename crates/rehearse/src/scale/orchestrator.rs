//! The steps of a run, one after the other, and the record that they leave.

use super::arguments::ScalePlan;
use super::error::ScaleError;
use super::faults::{self, FaultKind};
use super::progress::Progress;
use super::results::{FORMAT, ScaleResults};
use super::scale_fleet::ScaleFleet;
use super::stop::StopRequest;
use super::{budget, output, starts, steady};
use std::fmt;
use std::path::Path;

/// One step of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Start hollow heads until there are so many heads in all.
    Grow { heads: u64 },
    /// Measure a steady load.
    Steady { heads: u64, backends: u64, changes_per_second: f64 },
    /// Inject a fault.
    Fault(FaultKind),
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Grow { heads } => write!(formatter, "{heads} heads: start"),
            Step::Steady { heads, backends, changes_per_second } => {
                write!(formatter, "{heads} heads, {backends} backends, {changes_per_second} changes a second")
            }
            Step::Fault(kind) => write!(formatter, "fault {kind}"),
        }
    }
}

/// The steps of a plan: sizes from the smallest on, and faults at the largest.
fn steps(plan: &ScalePlan) -> Vec<Step> {
    let mut steps = Vec::new();
    for heads in plan.heads.iter().copied() {
        steps.push(Step::Grow { heads });
        for backends in plan.backends.iter().copied() {
            let loads = plan.changes.iter().map(|changes_per_second| Step::Steady {
                heads,
                backends,
                changes_per_second: *changes_per_second,
            });
            steps.extend(loads);
        }
    }
    if !plan.steady_only {
        steps.extend(FaultKind::ALL.map(Step::Fault));
    }
    steps
}

/// Runs a plan. What fails on the way is said in the results, which are partial then; an error is what kept the run
/// from beginning.
pub fn run(plan: &ScalePlan, program: &Path, stop: &StopRequest) -> Result<ScaleResults, ScaleError> {
    budget::check_plan(plan)?;
    let mut results = ScaleResults {
        format: FORMAT,
        machine: output::machine()?,
        commit: output::commit(),
        seed: plan.seed,
        complete: false,
        not_run: Vec::new(),
        points: Vec::new(),
        starts: Vec::new(),
        faults: Vec::new(),
        data_path: Vec::new(),
    };
    let steps = steps(plan);
    let progress = Progress::begin(steps.len() as u64);
    progress.say("starting voters and whole heads");
    let mut left = steps.iter();
    match ScaleFleet::start(plan, program, stop) {
        Ok(mut fleet) => {
            for step in left.by_ref() {
                progress.say(&step.to_string());
                if let Err(error) = take(&mut fleet, *step, &mut results) {
                    let error = if stop.check().is_err() { ScaleError::Stopped } else { error };
                    results.not_run.push(format!("{step}: {error}"));
                    if !matches!(step, Step::Fault(_)) || error == ScaleError::Stopped {
                        break;
                    }
                }
                progress.step();
            }
            progress.say("ending all processes");
        }
        Err(_) if stop.check().is_err() => results.not_run.push(ScaleError::Stopped.to_string()),
        Err(error) => results.not_run.push(error.to_string()),
    }
    results.not_run.extend(left.map(|step| format!("{step}: an earlier step failed")));
    results.complete = results.not_run.is_empty();
    progress.end();
    Ok(results)
}

fn take(fleet: &mut ScaleFleet, step: Step, results: &mut ScaleResults) -> Result<(), ScaleError> {
    match step {
        Step::Grow { heads } => {
            budget::check_growth(heads.saturating_sub(fleet.heads()), fleet.backends)?;
            results.starts.extend(starts::grow(fleet, heads)?);
        }
        Step::Steady { backends, changes_per_second, .. } => {
            fleet.set_backends(backends)?;
            results.points.push(steady::measure(fleet, changes_per_second)?);
        }
        Step::Fault(kind) => {
            let (fault, start) = faults::inject(fleet, kind)?;
            results.faults.push(fault);
            results.starts.extend(start);
        }
    }
    Ok(())
}
