//! The arguments of the commands that play a scenario, and what they say to play.

use super::errors::fault_of;
use clap::Args;
use sedgerun_config::Faults;
use sedgerun_testbed::scenario::Scenario;
use sedgerun_testbed::simulator::InjectedBug;
use sedgerun_testbed::{experiment, sockets};
use serde_json::Value;
use std::path::PathBuf;

// No doc comment: it would stand in the help of each command that has these arguments.
#[derive(Args)]
pub struct RunArguments {
    /// The scenario's file
    pub script: String,
    /// Settings in place of the scenario's, such as load=0.9 or box.pause-ms=63,190
    #[arg(long = "with", value_name = "KEY=VALUE")]
    pub with: Vec<String>,
    /// The seed; the scenario's own where it is absent
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write the figures to a file
    #[arg(long)]
    pub json: Option<String>,
    /// Play on loopback sockets with real heads, in real time, in place of the simulator
    #[arg(long)]
    pub sockets: bool,
    /// The program of the heads; the heads that this program is built with where it is absent
    #[arg(long)]
    pub program: Option<PathBuf>,
}

impl RunArguments {
    /// The scenario, with the settings and the seed of these arguments.
    pub fn scenario(&self) -> Result<Scenario, Faults> {
        let path = &self.script;
        let text = std::fs::read_to_string(path).map_err(|error| fault_of(format!("{path}: {error}")))?;
        let mut scenario = Scenario::read(&text).map_err(|faults| faults.under(path))?;
        for setting in &self.with {
            let no_value = || fault_of(format!("--with {setting}: no value"));
            let (key, values) = setting.split_once('=').ok_or_else(no_value)?;
            let values: Vec<&str> = values.split(',').collect();
            scenario.set(key, &values).map_err(|error| fault_of(format!("--with: {error}")))?;
        }
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        Ok(scenario)
    }

    /// Plays a scenario once, in the simulator or on sockets.
    pub fn play(&self, scenario: &Scenario, seed: u64, bug: Option<InjectedBug>) -> Result<Value, Faults> {
        if !self.sockets {
            return experiment::simulate(scenario, seed, bug);
        }
        let program = self.program.clone().map_or_else(std::env::current_exe, Ok).map_err(fault_of)?;
        sockets::play(scenario, seed, &program, &|_| ()).map_err(fault_of)
    }
}
