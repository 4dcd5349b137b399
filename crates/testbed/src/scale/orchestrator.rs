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
    /// End all hollow heads with their processes, and start new processes.
    RenewHosts,
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
            Step::RenewHosts => formatter.write_str("new processes of hollow heads"),
            Step::Grow { heads } => write!(formatter, "{heads} heads: start"),
            Step::Steady { heads, backends, changes_per_second } => {
                write!(formatter, "{heads} heads, {backends} backends, {changes_per_second} changes a second")
            }
            Step::Fault(kind) => write!(formatter, "fault {kind}"),
        }
    }
}

/// The steps of a plan, and those that this machine has no room for, each with the reason.
#[derive(Debug, Default)]
struct Schedule {
    steps: Vec<Step>,
    left_out: Vec<String>,
}

impl Schedule {
    /// Sizes from the smallest on, and faults at the largest.
    fn new(plan: &ScalePlan) -> Schedule {
        let mut schedule = Schedule::default();
        // The longest list at the size before: what it took of the hosts' memory comes back with their end alone.
        let mut longest = 0;
        for heads in plan.heads.iter().copied() {
            if budget::check_size(plan, heads, longest).is_err() {
                schedule.steps.push(Step::RenewHosts);
                longest = 0;
            }
            schedule.steps.push(Step::Grow { heads });
            for backends in plan.backends.iter().copied() {
                longest = longest.max(schedule.add_loads(plan, heads, backends));
            }
        }
        if !plan.steady_only {
            schedule.steps.extend(FaultKind::ALL.map(Step::Fault));
        }
        schedule
    }

    /// Adds the loads of one size and list; the length of the list where there is room for it, else 0.
    fn add_loads(&mut self, plan: &ScalePlan, heads: u64, backends: u64) -> u64 {
        if let Err(error) = budget::check_size(plan, heads, backends) {
            self.left_out.push(format!("{heads} heads, {backends} backends: {error}"));
            return 0;
        }
        let load = |changes_per_second: &f64| Step::Steady {
            heads,
            backends,
            changes_per_second: *changes_per_second,
        };
        self.steps.extend(plan.changes.iter().map(load));
        backends
    }
}

/// Runs a plan. What fails on the way is said in the results, which are partial then; an error is what kept the run
/// from beginning.
pub fn run(plan: &ScalePlan, program: &Path, stop: &StopRequest) -> Result<ScaleResults, ScaleError> {
    budget::check_plan(plan)?;
    let schedule = Schedule::new(plan);
    let mut results = ScaleResults {
        format: FORMAT,
        machine: output::machine()?,
        commit: output::commit(),
        seed: plan.seed,
        complete: false,
        not_run: schedule.left_out,
        points: Vec::new(),
        starts: Vec::new(),
        faults: Vec::new(),
        data_path: Vec::new(),
    };
    let progress = Progress::begin(schedule.steps.len() as u64);
    progress.say("starting voters and whole heads");
    let mut left = schedule.steps.iter();
    match ScaleFleet::start(plan, program, stop) {
        Ok(mut fleet) => {
            for step in left.by_ref() {
                progress.say(&step.to_string());
                if let Err(error) = take(&mut fleet, *step, &mut results) {
                    let error = if stop.check().is_err() { ScaleError::Stopped } else { error };
                    results.not_run.push(format!("{step}: {error}"));
                    if matches!(step, Step::RenewHosts | Step::Grow { .. }) || error == ScaleError::Stopped {
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
        Step::RenewHosts => fleet.renew_hosts()?,
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
