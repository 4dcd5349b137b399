//! Scale runs: hollow heads beside real ones on loopback, and what each role costs at growing sizes.
//!
//! `orchestrator` takes the steps of a run one after the other: it grows the fleet (`scale_fleet`), measures
//! steady loads (`steady`) and injects faults (`faults`), and leaves a record (`results`). Hollow heads
//! (`hollow`) live by the hundred in host processes (`host`) that take their commands as JSON lines
//! (`protocol`).

pub mod arguments;
pub mod boot_clock;
mod budget;
pub mod changes;
pub mod data_path;
pub mod discovery;
pub mod error;
pub mod faults;
mod hollow;
pub mod host;
pub mod host_process;
pub mod json_lines;
pub mod measure;
pub mod memory_disk;
mod network;
pub mod orchestrator;
pub mod output;
mod progress;
pub mod protocol;
pub mod real_heads;
pub mod results;
pub mod scale_fleet;
pub mod starts;
mod statistics;
pub mod steady;
pub mod stop;
pub mod table;

use arguments::ScaleArguments;
use error::ScaleError;
use output::OutputFile;
use std::path::Path;
use stop::StopRequest;

/// Runs the command `scale` with heads of a program; whether all was measured.
pub fn command(arguments: &ScaleArguments, program: &Path) -> Result<bool, ScaleError> {
    let plan = arguments.plan()?;
    let file = plan.out.as_deref().map(OutputFile::check).transpose()?;
    let stop = StopRequest::on_signals()?;
    let results = orchestrator::run(&plan, program, &stop)?;
    if let Some(file) = file {
        file.write(&results)?;
    }
    println!("{}", table::tables(&results));
    Ok(results.complete)
}
