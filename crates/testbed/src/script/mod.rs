//! The script of a scenario: what is done to the test bed, and when: `(at S ACTION...)` and `(between S S ACTION...)`,
//! in seconds.
//!
//! This module holds the steps and runs them against any [`ScriptTarget`]; [`parse`] reads them. The words of the
//! script's text (`box`, `die`, `cold` and so on) are a file format.

pub mod parse;
mod target;

pub use target::ScriptTarget;

use crate::random::{sample, source};
use sedgerun_policy::Micros;

/// Purposes of random sources from here on belong to the steps of the script, by their position.
pub const FIRST_STEP_PURPOSE: u64 = 1000;

/// Which of the backends or heads a step acts on.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetSelection {
    /// Those of these numbers.
    Numbers(Vec<usize>),
    /// A randomly drawn part of all, 0 to 1.
    Fraction(f64),
}

impl TargetSelection {
    /// The selected positions below `count`: the same ones for all steps of one form.
    pub fn positions(&self, count: usize, seed: u64, form: usize) -> Vec<usize> {
        match self {
            TargetSelection::Numbers(numbers) => {
                numbers.iter().copied().filter(|number| *number < count).collect()
            }
            TargetSelection::Fraction(part) if *part >= 1.0 => (0..count).collect(),
            TargetSelection::Fraction(part) => {
                let wanted = (part * count as f64).ceil() as usize;
                sample(count, wanted, &mut step_source(seed, form))
            }
        }
    }
}

/// The source of random numbers of a form of the script.
pub fn step_source(seed: u64, form: usize) -> rand_chacha::ChaCha8Rng {
    source(seed, FIRST_STEP_PURPOSE + form as u64)
}

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptAction {
    /// Backends run so many times slower; a factor of 1 ends it.
    Slow(TargetSelection, f64),
    /// A part of a class's requests costs so many times the work; a part of 0 ends it.
    Cost {
        /// Position of the class.
        class: usize,
        /// Part of its requests, 0 to 1.
        part: f64,
        /// Factor on their work.
        times: f64,
    },
    /// Backends die: connections are reset, new ones are refused, the endpoint list removes them.
    Die(TargetSelection),
    /// Backends start, and warm up.
    Start(TargetSelection),
    /// Backends restart at once under the same id, and warm up.
    Restart(TargetSelection),
    /// Backends drain.
    Drain(TargetSelection),
    /// Backends that drain are ready again.
    Ready(TargetSelection),
    /// Backends drain, and after a time (us) a new one takes the address of each, under another id.
    Replace(TargetSelection, Micros),
    /// Backends cannot be reached and send nothing, or are back.
    Silence(TargetSelection, bool),
    /// Backends stall for a time, us.
    Pause(TargetSelection, Micros),
    /// The endpoint list is delayed by so much more, us; 0 ends it.
    ListDelay(Micros),
    /// The discovery server answers nobody, or answers again.
    DiscoveryDown(bool),
    /// Heads are killed, and start again after a time (us) without any state.
    KillHead(TargetSelection, Micros),
    /// All traffic is so many times the usual; 1 ends it.
    Swell(f64),
    /// So many volumes of a plan (of all plans) send so many times their rate; 1 ends it.
    Burst {
        /// Position of the plan; all plans where it is absent.
        plan: Option<usize>,
        /// How many volumes.
        volumes: usize,
        /// Factor on their rate.
        times: f64,
    },
}

/// One action at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptStep {
    /// When, in microseconds from the start.
    pub at: Micros,
    /// What is done.
    pub action: ScriptAction,
    /// Its name in charts and logs.
    pub label: String,
    /// Position of the form in the script: an action that ends another selects the same targets.
    pub form: usize,
}

impl ScriptStep {
    /// Acts on the target. Actions that shape the traffic took effect when the traffic was drawn.
    pub fn apply(&self, target: &mut impl ScriptTarget, seed: u64) {
        let (backends, heads) = target.size();
        let all = |which: &TargetSelection, count| which.positions(count, seed, self.form).into_iter();
        match &self.action {
            ScriptAction::Slow(which, times) => all(which, backends).for_each(|i| target.slow(i, *times)),
            ScriptAction::Die(which) => all(which, backends).for_each(|i| target.die(i)),
            ScriptAction::Start(which) => all(which, backends).for_each(|i| target.start(i)),
            ScriptAction::Restart(which) => all(which, backends).for_each(|i| target.restart(i)),
            ScriptAction::Drain(which) => all(which, backends).for_each(|i| target.drain(i, true)),
            ScriptAction::Ready(which) => all(which, backends).for_each(|i| target.drain(i, false)),
            ScriptAction::Replace(which, after) => {
                all(which, backends).for_each(|i| target.replace(i, *after));
            }
            ScriptAction::Silence(which, is_silent) => {
                all(which, backends).for_each(|i| target.silence(i, *is_silent));
            }
            ScriptAction::Pause(which, time) => all(which, backends).for_each(|i| target.pause(i, *time)),
            ScriptAction::ListDelay(delay) => target.delay_list(*delay),
            ScriptAction::DiscoveryDown(is_down) => target.set_discovery_down(*is_down),
            ScriptAction::KillHead(which, restart_after) => {
                all(which, heads).for_each(|head| target.kill_head(head, *restart_after));
            }
            ScriptAction::Cost { .. } | ScriptAction::Swell(_) | ScriptAction::Burst { .. } => {}
        }
    }
}
