//! The command `sweep`: a scenario with several values of a setting, and several seeds for each.

use super::errors::fault_of;
use super::files::save;
use super::play::progress;
use super::run_arguments::RunArguments;
use sedgerun_config::Faults;
use sedgerun_testbed::experiment::{Summary, summaries};
use sedgerun_testbed::report::{Chart, figure, lines, table};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Plays all values and seeds, prints the figures, and draws the first of them where a chart is wanted.
pub fn run(
    arguments: &RunArguments,
    set: &str,
    seeds: u64,
    figures: &[String],
    chart: Option<&str>,
) -> Result<bool, Faults> {
    let scenario = arguments.scenario()?;
    let (key, values) = set.split_once('=').ok_or_else(|| fault_of(format!("--set {set}: no values")))?;
    let values: Vec<&str> = values.split(',').collect();
    let bar = progress(values.len() as u64 * seeds, key);
    let (mut rows, mut points, mut all) = (Vec::new(), Vec::new(), Vec::new());
    for (i, value) in values.iter().enumerate() {
        let mut changed = scenario.clone();
        changed.set(key, &[value]).map_err(|error| fault_of(format!("--set: {error}")))?;
        let mut results = Vec::new();
        for seed in scenario.seed..scenario.seed + seeds {
            results.push(arguments.play(&changed, seed, None)?);
            bar.inc(1);
        }
        let sums = summaries(&results);
        rows.push(row(value, figures, &sums));
        if let Some(sum) = figures.first().and_then(|name| sums.get(name)) {
            points.push((value.parse().unwrap_or(i as f64), *sum));
        }
        all.extend(results);
    }
    bar.finish_and_clear();
    let mut head = vec![key];
    head.extend(figures.iter().map(String::as_str));
    println!("{}", table(&head, rows));
    if let (Some(path), Some(name)) = (chart, figures.first()) {
        let title = format!("{}: {name} by {key}, {seeds} seeds", scenario.name);
        draw(path, &title, (key, name), &points)?;
    }
    save(arguments.json.as_deref(), &Value::Array(all))?;
    Ok(true)
}

fn row(value: &str, figures: &[String], sums: &BTreeMap<String, Summary>) -> Vec<String> {
    let cells = figures.iter().map(|name| {
        let Some(sum) = sums.get(name) else { return "unknown".to_owned() };
        format!("{} ({} to {})", figure(sum.mean), figure(sum.least), figure(sum.most))
    });
    [value.to_owned()].into_iter().chain(cells).collect()
}

fn draw(path: &str, title: &str, axes: (&str, &str), points: &[(f64, Summary)]) -> Result<(), Faults> {
    let line = |what: &str, pick: &dyn Fn(&Summary) -> f64| {
        (what.to_owned(), points.iter().map(|(x, sum)| (*x, pick(sum))).collect())
    };
    let all = [line("mean", &|sum| sum.mean), line("least", &|sum| sum.least), line("most", &|sum| sum.most)];
    let chart = Chart { title, axes, marks: &[], top: 1.0 };
    lines(Path::new(path), &chart, &all).map_err(fault_of)
}
