//! The commands `store`, `store-demo` and `store-measure`: the replicated store of a cluster.

use super::errors::fault_of;
use clap::Args;
use sedgerun_config::Faults;
use sedgerun_testbed::cluster_processes::{demo, measure};
use sedgerun_testbed::cluster_simulator::{ClusterRun, InjectedBug, play_all};
use std::path::PathBuf;
use std::time::Duration;

// No doc comment: it would stand in the help of the command.
#[derive(Args)]
pub struct StoreArguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub from: u64,
    /// How many seeds
    #[arg(long, default_value_t = 200)]
    pub seeds: u64,
    /// Heads that keep, and heads in all
    #[arg(long, value_delimiter = ',', num_args = 2, default_values_t = [3, 5])]
    pub heads: Vec<usize>,
    /// How long faults strike, s of virtual time
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Seeds that are played side by side
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
    /// Plant a fault: lying-disk, old-name, stale-read
    #[arg(long = "plant", value_name = "PLANT")]
    pub bug: Option<String>,
}

/// Plays the store in its simulator, seed by seed; whether no rule broke.
pub fn play_seeds(arguments: StoreArguments) -> Result<bool, Faults> {
    let bug = arguments
        .bug
        .as_deref()
        .map(|name| InjectedBug::named(name).ok_or_else(|| fault_of(format!("--plant {name}: unknown"))));
    let [voters, all] = arguments.heads[..] else { return Err(fault_of("--heads: two numbers")) };
    let run = ClusterRun {
        seed: arguments.from,
        heads: (voters, all),
        faults_for: Duration::from_secs(arguments.seconds),
        bug: bug.transpose()?,
    };
    let summary = play_all(run, arguments.seeds, arguments.threads.max(1));
    println!("{}", summary.table());
    Ok(summary.broken.is_empty())
}

/// Plays the demo of the store on loopback.
pub fn demo() -> Result<bool, Faults> {
    let program = std::env::current_exe().map_err(fault_of)?;
    demo::play(&program, |line| println!("{line}")).map_err(fault_of)?;
    Ok(true)
}

/// Measures what the store bears and costs, on real processes.
pub fn measure(program: Option<PathBuf>, seconds: u64, heads: &[usize]) -> Result<bool, Faults> {
    let program = program.map_or_else(std::env::current_exe, Ok).map_err(fault_of)?;
    println!("{}", measure::rates(&program, seconds).map_err(fault_of)?);
    for heads in heads {
        println!("{}", measure::costs(&program, *heads, seconds).map_err(fault_of)?);
    }
    Ok(true)
}
