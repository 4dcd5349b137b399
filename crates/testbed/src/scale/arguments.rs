//! The command line of `sedgerun-testbed scale`, and the plan that it is checked into.

use super::error::ScaleError;
use clap::Args;
use std::path::PathBuf;
use std::str::FromStr;

/// The largest fleet that can be asked for.
const MOST_HEADS: u64 = 20_000;
/// The largest list of backends that can be asked for.
const MOST_BACKENDS: u64 = 20_000;
/// The most changes a second that can be asked for.
const MOST_CHANGES: f64 = 100.0;
/// The most values of one option.
const MOST_VALUES: usize = 8;
/// The most whole heads: each is a process.
const MOST_WHOLE_HEADS: u64 = 100;
/// The most relays: each is a process.
const MOST_RELAYS: u64 = 48;
/// Voters of the fleet's store.
pub const VOTERS: u64 = 3;

/// Measures what heads cost at growing sizes: hollow heads beside real ones, on loopback
#[derive(Args, Clone, Debug)]
pub struct ScaleArguments {
    /// Heads in all, in growing sizes: voters, relays, whole heads and hollow heads
    #[arg(long, allow_hyphen_values = true, value_name = "N,N", default_value = "25,50,100,200")]
    pub heads: String,
    /// Backends on discovery's list
    #[arg(long, allow_hyphen_values = true, value_name = "N,N", default_value = "100")]
    pub backends: String,
    /// Changes of the fleet's store a second
    #[arg(long, allow_hyphen_values = true, value_name = "R,R", default_value = "0,10")]
    pub changes: String,
    /// Seed of all chance
    #[arg(long, allow_hyphen_values = true, value_name = "N", default_value = "1")]
    pub seed: String,
    /// Write the results to this file as JSON
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// Real heads without a vote, beside the voters
    #[arg(long, allow_hyphen_values = true, value_name = "N", default_value = "8")]
    pub whole: String,
    /// Relays, spread over the regions; with 0 updates go from head to head
    #[arg(long, allow_hyphen_values = true, value_name = "N", default_value = "3")]
    pub relays: String,
    /// Leave out starts and faults
    #[arg(long)]
    pub steady_only: bool,
}

/// A scale run whose figures have been checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalePlan {
    /// Sizes of the fleet, growing.
    pub heads: Vec<u64>,
    /// Sizes of discovery's list.
    pub backends: Vec<u64>,
    /// Changes a second.
    pub changes: Vec<f64>,
    /// Seed of all chance.
    pub seed: u64,
    /// Real heads without a vote.
    pub whole_heads: u64,
    /// Relays, each a process of one hollow head.
    pub relays: u64,
    /// The file of the results.
    pub out: Option<PathBuf>,
    /// Starts and faults are left out.
    pub steady_only: bool,
}

impl ScaleArguments {
    /// Checks all that can be checked without starting anything.
    pub fn plan(&self) -> Result<ScalePlan, ScaleError> {
        let whole_heads = number("--whole", &self.whole, 1, MOST_WHOLE_HEADS)?;
        let relays = number("--relays", &self.relays, 0, MOST_RELAYS)?;
        let mut heads = numbers("--heads", &self.heads, VOTERS + whole_heads + relays + 1, MOST_HEADS)?;
        heads.sort_unstable();
        heads.dedup();
        let mut backends = numbers("--backends", &self.backends, 1, MOST_BACKENDS)?;
        backends.sort_unstable();
        backends.dedup();
        let plan = ScalePlan {
            heads,
            backends,
            changes: rates("--changes", &self.changes)?,
            seed: number("--seed", &self.seed, 0, u64::MAX)?,
            whole_heads,
            relays,
            out: self.out.clone(),
            steady_only: self.steady_only,
        };
        Ok(plan)
    }
}

impl ScalePlan {
    /// The largest fleet.
    pub fn most_heads(&self) -> u64 {
        self.heads.iter().copied().max().unwrap_or(0)
    }

    /// The shortest list.
    pub fn least_backends(&self) -> u64 {
        self.backends.iter().copied().min().unwrap_or(0)
    }

    /// Hollow heads of a fleet of so many heads.
    pub fn hollow_heads(&self, heads: u64) -> u64 {
        heads.saturating_sub(VOTERS + self.whole_heads + self.relays)
    }
}

/// Splits a list at its commas, and reads each value.
fn values<T>(
    option: &str,
    text: &str,
    read: impl Fn(&str) -> Result<T, ScaleError>,
) -> Result<Vec<T>, ScaleError> {
    let parts: Vec<&str> = text.split(',').map(str::trim).collect();
    if parts.len() > MOST_VALUES {
        let what = format!("{} values, at most {MOST_VALUES}", parts.len());
        return Err(ScaleError::refused(option, what));
    }
    parts.into_iter().map(read).collect()
}

fn numbers(option: &str, text: &str, least: u64, most: u64) -> Result<Vec<u64>, ScaleError> {
    values(option, text, |value| number(option, value, least, most))
}

fn number(option: &str, text: &str, least: u64, most: u64) -> Result<u64, ScaleError> {
    let number = parse::<u64>(option, text)?;
    if (least..=most).contains(&number) {
        return Ok(number);
    }
    Err(ScaleError::refused(option, format!("{number} is not within {least} to {most}")))
}

fn rates(option: &str, text: &str) -> Result<Vec<f64>, ScaleError> {
    values(option, text, |value| {
        let rate = parse::<f64>(option, value)?;
        if (0.0..=MOST_CHANGES).contains(&rate) {
            return Ok(rate);
        }
        Err(ScaleError::refused(option, format!("{value} is not within 0 to {MOST_CHANGES}")))
    })
}

fn parse<T: FromStr>(option: &str, text: &str) -> Result<T, ScaleError> {
    text.parse().map_err(|_| ScaleError::refused(option, format!("{text:?} is not a number")))
}
