//! The commands of the program: their arguments, and what each does.
//!
//! The comments on commands and arguments are the program's help: users see them.

mod capacity;
mod cluster;
mod demo;
mod errors;
mod files;
mod play;
mod run_arguments;
mod serve;
mod speed;
mod sweep;

use clap::Subcommand;
use cluster::StoreArguments;
use errors::fault_of;
use files::read_results;
use run_arguments::RunArguments;
use sedgerun_config::Faults;
use sedgerun_testbed::capacity::CapacityArguments;
use sedgerun_testbed::report::{compare_table, write_page};
use sedgerun_testbed::scale::arguments::ScaleArguments;
use sedgerun_testbed::scale::data_path::command::DataPathArgs;
use sedgerun_testbed::scale::{self, data_path, discovery, host, host_process};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Command {
    /// Play a scenario once; exit status 1 where a rule broke
    Run {
        #[command(flatten)]
        arguments: RunArguments,
        /// Plant a fault in the heads (tests of the auditor)
        #[arg(long = "plant", value_name = "PLANT", hide = true)]
        bug: Option<String>,
    },
    /// Play a scenario several times with one seed; exit status 1 where two digests differ
    Repeat {
        #[command(flatten)]
        arguments: RunArguments,
        /// How many times
        #[arg(long, default_value_t = 10)]
        runs: u64,
    },
    /// Play a scenario with several values of a setting, and several seeds for each
    Sweep {
        #[command(flatten)]
        arguments: RunArguments,
        /// The setting and its values
        #[arg(long, value_name = "KEY=A,B,C")]
        set: String,
        /// How many seeds, from the first on
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// The figures to show
        #[arg(long, value_delimiter = ',', default_value = "service,worst10,cold_peak,rules broken")]
        figures: Vec<String>,
        /// Draw the first figure as an SVG chart
        #[arg(long)]
        chart: Option<String>,
    },
    /// Set two files of results against each other, with 95% confidence intervals
    Compare {
        /// The results before
        a: String,
        /// The results after
        b: String,
    },
    /// How fast the simulator is: requests a second and the cost of each, at several sizes of the fleet
    Speed {
        #[command(flatten)]
        arguments: RunArguments,
        /// Sizes, heads by boxes
        #[arg(long, value_delimiter = ',', default_value = "3x9,10x30,30x60,100x60")]
        sizes: Vec<String>,
        /// Runs of each; the best counts
        #[arg(long, default_value_t = 5)]
        runs: u64,
        /// Draw the cost of a request as an SVG chart
        #[arg(long)]
        chart: Option<String>,
    },
    /// A head, three boxes, a registry and load on loopback for some seconds, with a live table
    Demo {
        /// How long, s
        #[arg(long, default_value_t = 12)]
        seconds: u32,
    },
    /// Play the fleet's store in its simulator under faults, seed by seed; exit status 1 where a rule broke
    Store(StoreArguments),
    /// Five heads of a fleet on loopback: changes, the leader lost with its disk, nothing lost; under 40 s
    StoreDemo,
    /// What the fleet's store bears and costs, on real processes, as tables
    StoreMeasure {
        /// The program of the heads; this one where it is absent
        #[arg(long)]
        program: Option<PathBuf>,
        /// How long each figure is taken, s
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Heads in all, for what followers cost
        #[arg(long, value_delimiter = ',', default_value = "10,40")]
        heads: Vec<usize>,
    },
    /// Measure what heads cost at growing sizes: hollow heads beside real ones, on loopback; exit status 1 where
    /// something was not measured
    Scale(ScaleArguments),
    /// Run one head, as `sedgerun serve` does: what heads on sockets are processes of
    #[command(hide = true)]
    Serve {
        /// End at once when standard input ends: no head outlives whoever started it
        #[arg(long)]
        end_with_input: bool,
    },
    /// Run many hollow heads, told what to do on standard input
    #[command(hide = true, name = host_process::SUBCOMMAND)]
    ScaleHost,
    /// Run the stand-in for discovery, told what to do on standard input: a process of scale runs
    #[command(hide = true)]
    ScaleDiscovery,
    /// Run backends that answer at once: a process of data-path
    #[command(hide = true)]
    ScaleBackends {
        /// How many
        #[arg(long)]
        listeners: usize,
    },
    /// What requests through one head cost, by the number of backends, as a table
    DataPath(DataPathArgs),
    Capacity(CapacityArguments),
    /// Write tables and charts of all results in a folder, as its README.md
    Report {
        /// The folder
        folder: String,
    },
}

/// Runs a command to its end; the status that the process ends with.
pub fn run(command: Command) -> ExitCode {
    if let Command::Serve { end_with_input } = command {
        return serve::serve(end_with_input);
    }
    match dispatch(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(faults) => {
            faults.0.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(2)
        }
    }
}

/// Runs a command; whether all was as it should be.
fn dispatch(command: Command) -> Result<bool, Faults> {
    match command {
        Command::Run { arguments, bug } => play::run_once(&arguments, bug.as_deref()),
        Command::Repeat { arguments, runs } => play::repeat(&arguments, runs),
        Command::Sweep { arguments, set, seeds, figures, chart } => {
            sweep::run(&arguments, &set, seeds, &figures, chart.as_deref())
        }
        Command::Compare { a, b } => {
            println!("{}", compare_table(&read_results(&a)?, &read_results(&b)?));
            Ok(true)
        }
        Command::Speed { arguments, sizes, runs, chart } => {
            speed::run(&arguments, &sizes, runs, chart.as_deref())
        }
        Command::Demo { seconds } => demo::run(seconds),
        Command::Store(arguments) => cluster::play_seeds(arguments),
        Command::StoreDemo => cluster::demo(),
        Command::StoreMeasure { program, seconds, heads } => cluster::measure(program, seconds, &heads),
        Command::Scale(arguments) => {
            let program = std::env::current_exe().map_err(fault_of)?;
            scale::command(&arguments, &program).map_err(fault_of)
        }
        // It ends the process by itself: see `run`.
        Command::Serve { .. } => Ok(true),
        Command::ScaleHost => host::run().map(|()| true).map_err(fault_of),
        Command::ScaleDiscovery => discovery::run().map(|()| true).map_err(fault_of),
        Command::ScaleBackends { listeners } => {
            data_path::run_backends(listeners).map(|()| true).map_err(fault_of)
        }
        Command::DataPath(arguments) => data_path::command::run(&arguments).map_err(fault_of),
        Command::Capacity(arguments) => capacity::run(&arguments),
        Command::Report { folder } => {
            println!("{}", write_page(Path::new(&folder)).map_err(fault_of)?);
            Ok(true)
        }
    }
}
