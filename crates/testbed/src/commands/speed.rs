//! The command `speed`: how fast the simulator is at several sizes of the fleet.

use super::errors::fault_of;
use super::run_arguments::RunArguments;
use sedgerun_config::Faults;
use sedgerun_testbed::experiment;
use sedgerun_testbed::report::{Chart, figure, lines, table};
use std::path::Path;

/// Runs the simulator at each size, and prints the cost of a request.
pub fn run(
    arguments: &RunArguments,
    sizes: &[String],
    runs: u64,
    chart: Option<&str>,
) -> Result<bool, Faults> {
    let scenario = arguments.scenario()?;
    let (mut rows, mut points) = (Vec::new(), Vec::new());
    for size in sizes {
        let malformed = || fault_of(format!("--sizes {size}: no AxB"));
        let (heads, backends) = size.split_once('x').ok_or_else(malformed)?;
        let mut sized = scenario.clone();
        sized.set("heads", &[heads]).map_err(fault_of)?;
        sized.set("boxes", &[backends]).map_err(fault_of)?;
        let cost = experiment::simulator_cost(&sized, runs)?;
        let (requests, us) = (cost.requests, cost.us_per_request);
        let events = figure(cost.events as f64 / requests.max(1) as f64);
        rows.push(vec![size.clone(), requests.to_string(), events, figure(us), figure(1e6 / us)]);
        points.push((sized.heads as f64 * sized.backends as f64, us));
    }
    let head = ["heads x boxes", "requests", "events a request", "us a request", "requests a second"];
    println!("{}", table(&head, rows));
    if let Some(path) = chart {
        let title = format!("World on one core: cost of a request, {}", scenario.name);
        let chart = Chart { title: &title, axes: ("heads times boxes", "us"), marks: &[], top: 1.0 };
        lines(Path::new(path), &chart, &[("us a request".to_owned(), points)]).map_err(fault_of)?;
    }
    Ok(true)
}
