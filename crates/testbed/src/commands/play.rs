//! The commands `run` and `repeat`: a scenario once, or several times with one seed.

use super::errors::fault_of;
use super::files::save;
use super::run_arguments::RunArguments;
use indicatif::{ProgressBar, ProgressStyle};
use sedgerun_config::Faults;
use sedgerun_testbed::experiment;
use sedgerun_testbed::report::{figure, spread_table, table};
use sedgerun_testbed::simulator::InjectedBug;
use serde_json::Value;

/// Plays a scenario once, and prints its figures; whether no rule broke.
pub fn run_once(arguments: &RunArguments, bug: Option<&str>) -> Result<bool, Faults> {
    let scenario = arguments.scenario()?;
    let bug = bug.map(injected_bug).transpose()?;
    let result = arguments.play(&scenario, scenario.seed, bug)?;
    println!("{}", headline_table(&result));
    let requests = result["requests"].as_u64().unwrap_or(0);
    let seconds = result["took_s"].as_f64().unwrap_or(0.0);
    match result["digest"].as_str() {
        Some(digest) => {
            println!(
                "{requests} requests and {} events in {seconds:.3} s, digest {digest}",
                result["events"]
            );
        }
        None => println!("{requests} requests"),
    }
    for breach in result["told"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        println!("- {breach}");
    }
    save(arguments.json.as_deref(), &result)?;
    Ok(result["broken"] == 0)
}

fn injected_bug(name: &str) -> Result<InjectedBug, Faults> {
    let found = InjectedBug::ALL.iter().find(|(_, known)| *known == name).map(|(bug, _)| *bug);
    found.ok_or_else(|| fault_of(format!("--plant {name} is unknown")))
}

/// The headline figures of a result, as a table.
pub fn headline_table(result: &Value) -> String {
    let rows = experiment::headline(result).into_iter().map(|(name, value)| vec![name, figure(value)]);
    table(&["figure", "value"], rows.collect())
}

/// Plays a scenario several times with one seed; whether all digests are the same.
pub fn repeat(arguments: &RunArguments, runs: u64) -> Result<bool, Faults> {
    let scenario = arguments.scenario()?;
    let bar = progress(runs, &scenario.name);
    let mut results = Vec::new();
    for _ in 0..runs {
        results.push(arguments.play(&scenario, scenario.seed, None)?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    let mut digests: Vec<&str> = results.iter().filter_map(|result| result["digest"].as_str()).collect();
    digests.dedup();
    println!("{:16} seed {} {runs} runs: {}", scenario.name, scenario.seed, digests.join(" "));
    if digests.len() != 1 {
        println!("{}", spread_table(&results));
    }
    let is_same = arguments.sockets || digests.len() == 1;
    save(arguments.json.as_deref(), &Value::Array(results))?;
    Ok(is_same)
}

/// Shows the progress of long work, where somebody watches.
pub fn progress(steps: u64, what: &str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(steps).with_message(what.to_owned());
    style.map_or(bar.clone(), |style| bar.with_style(style))
}
