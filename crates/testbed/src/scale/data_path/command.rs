//! The subcommand `data-path`: its arguments, its table and its file.

use super::{DataPathPlan, HeadProgram, UnservedRequests};
use crate::report::table;
use crate::scale::error::ScaleError;
use crate::scale::output::{self, OutputFile};
use crate::scale::results::{DataPath, FORMAT, ScaleResults};
use crate::scale::stop::StopRequest;
use clap::Args;
use std::path::PathBuf;

/// What is measured, and where it is written.
#[derive(Args, Clone, Debug)]
pub struct DataPathArgs {
    /// Numbers of backends, one measurement each
    #[arg(long, value_delimiter = ',', default_value = "10,1000,7400")]
    backends: Vec<usize>,
    /// How long each is measured, s
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Clients that each have one request out at a time
    #[arg(long, default_value_t = 8)]
    clients: usize,
    /// Descriptors that the head may hold
    #[arg(long, default_value_t = 1024)]
    sockets: usize,
    /// Bytes of the body of each request; 0: reads without a body
    #[arg(long, default_value_t = 0, conflicts_with = "out")]
    body_bytes: usize,
    /// The program of the head; this one where it is absent
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the results to a file, as JSON; one that holds something else is left alone
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Measures, with progress on standard error, and prints a table; whether every size was measured and every request
/// served. What was measured before an operator's stop, or a failure, is written and marked as partial.
pub fn run(args: &DataPathArgs) -> Result<bool, ScaleError> {
    let DataPathArgs { backends, seconds, clients, sockets, body_bytes, program, out } = args.clone();
    let plan = DataPathPlan { backends, clients, seconds, sockets, body_bytes };
    plan.check()?;
    let file = out.as_deref().map(OutputFile::check).transpose()?;
    let own = std::env::current_exe().map_err(|error| ScaleError::failed("own program", error))?;
    let program = program.map_or_else(|| HeadProgram::Own(own.clone()), HeadProgram::Other);
    let stop = StopRequest::on_signals()?;
    let (mut rows, mut results) = (Vec::new(), empty_results()?);
    let mut all_served = true;
    for count in &plan.backends {
        match plan.measure(&own, &program, *count, &stop) {
            Ok((figures, unserved)) => {
                eprintln!("{count} backends: {:.1} us a request", figures.cpu_us);
                all_served &= unserved == UnservedRequests(0);
                rows.push(row(&figures, unserved));
                results.data_path.push(figures);
            }
            Err(error) => {
                eprintln!("{count} backends: {error}");
                results.not_run.push(format!("data path, {count} backends: {error}"));
            }
        }
    }
    println!("{}", table(&HEADINGS, rows));
    results.complete = results.not_run.is_empty();
    if let Some(file) = file {
        file.write(&results)?;
    }
    Ok(results.complete && all_served)
}

fn empty_results() -> Result<ScaleResults, ScaleError> {
    Ok(ScaleResults {
        format: FORMAT,
        machine: output::machine()?,
        commit: output::commit(),
        seed: 0,
        complete: false,
        not_run: Vec::new(),
        points: Vec::new(),
        starts: Vec::new(),
        faults: Vec::new(),
        data_path: Vec::new(),
    })
}

const HEADINGS: [&str; 9] = [
    "backends",
    "clients",
    "requests/s",
    "head CPU us a request",
    "connects/s",
    "connects a request",
    "p50 ms",
    "p99 ms",
    "not served",
];

fn row(figures: &DataPath, unserved: UnservedRequests) -> Vec<String> {
    let connects = figures.connects_per_second / figures.requests_per_second.max(f64::EPSILON);
    vec![
        figures.backends.to_string(),
        figures.clients.to_string(),
        format!("{:.0}", figures.requests_per_second),
        format!("{:.1}", figures.cpu_us),
        format!("{:.0}", figures.connects_per_second),
        format!("{connects:.3}"),
        format!("{:.2}", figures.latency.median_ms),
        format!("{:.2}", figures.latency.p99_ms),
        unserved.0.to_string(),
    ]
}
