//! The tables that a run ends with.

use super::results::{Cost, Fault, Point, Role, ScaleResults, Spread, Start};
use crate::report::table;

const KIB: f64 = 1024.0;
const MIB: f64 = 1024.0 * 1024.0;

/// All tables of a run's results, as text.
pub fn tables(results: &ScaleResults) -> String {
    let mut text = Vec::new();
    text.push(table(&POINT_HEADER, results.points.iter().flat_map(point_rows).collect()).clone());
    let fidelity: Vec<Vec<String>> = results.points.iter().flat_map(fidelity_rows).collect();
    if !fidelity.is_empty() {
        text.push(table(&FIDELITY_HEADER, fidelity));
    }
    if !results.starts.is_empty() {
        text.push(table(&START_HEADER, results.starts.iter().map(start_row).collect()).clone());
    }
    if !results.faults.is_empty() {
        text.push(table(&FAULT_HEADER, results.faults.iter().map(fault_row).collect()).clone());
    }
    let failures = results
        .faults
        .iter()
        .flat_map(|fault| fault.failures.iter().map(move |failure| format!("{}: {failure}", fault.name)));
    text.extend(failures);
    text.extend(results.not_run.iter().map(|missing| format!("not run: {missing}")));
    text.extend(results.points.iter().filter_map(|point| saturation(point, results.machine.cores)));
    let most = results.points.iter().map(|point| point.heads).max().unwrap_or(0);
    let complete = if results.complete { "complete" } else { "partial" };
    text.push(format!(
        "{complete}; largest size {most} heads; seed {}; commit {}",
        results.seed, results.commit
    ));
    text.join("\n")
}

const POINT_HEADER: [&str; 12] = [
    "heads",
    "backends",
    "changes/s",
    "role",
    "members",
    "KB/s in",
    "KB/s out",
    "msg/s in",
    "msg/s out",
    "% of a core",
    "MB",
    "descriptors",
];

/// A row for each role, and one for the changes.
fn point_rows(point: &Point) -> Vec<Vec<String>> {
    let load =
        || vec![point.heads.to_string(), point.backends.to_string(), point.changes_per_second.to_string()];
    let role = |(role, cost): (&Role, &Cost)| {
        let mut row = load();
        row.extend(cost_cells(*role, cost));
        row
    };
    let mut rows: Vec<Vec<String>> = point.roles.iter().map(role).collect();
    let mut summary = load();
    summary.extend(["all".to_owned(), format!("{} reached", point.reached)]);
    summary.push(format!("depth {}", spread(&point.depth, 1.0)));
    if let Some(in_force) = &point.in_force {
        let (median, p99, most) = (in_force.median_ms, in_force.p99_ms, in_force.most_ms);
        summary.push(format!("in force {median:.1} p99 {p99:.1} most {most:.1} ms"));
    }
    summary.resize(POINT_HEADER.len(), String::new());
    rows.push(summary);
    rows
}

fn cost_cells(role: Role, cost: &Cost) -> Vec<String> {
    vec![
        role_name(role).to_owned(),
        cost.count.to_string(),
        spread(&cost.bytes_in, KIB),
        spread(&cost.bytes_out, KIB),
        spread(&cost.messages_in, 1.0),
        spread(&cost.messages_out, 1.0),
        spread(&cost.cpu_percent, 1.0),
        spread(&cost.memory_bytes, MIB),
        spread(&cost.descriptors, 1.0),
    ]
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Voter => "voter",
        Role::Relay => "relay",
        Role::WholeHead => "whole head",
        Role::HollowHead => "hollow head",
        Role::Discovery => "discovery",
    }
}

/// The mean, and the largest in brackets.
fn spread(spread: &Spread, unit: f64) -> String {
    format!("{:.2} ({:.2})", spread.mean / unit, spread.most / unit)
}

const FIDELITY_HEADER: [&str; 7] =
    ["heads", "backends", "changes/s", "figure", "whole head", "hollow head", "hollow / whole"];

/// A figure of a cost, with its name.
type Figure = (&'static str, fn(&Cost) -> f64);

/// What hollow heads are compared with whole ones by.
const FIDELITY_FIGURES: [Figure; 5] = [
    ("bytes/s in", |cost| cost.bytes_in.mean),
    ("bytes/s out", |cost| cost.bytes_out.mean),
    ("msg/s in", |cost| cost.messages_in.mean),
    ("msg/s out", |cost| cost.messages_out.mean),
    ("% of a core", |cost| cost.cpu_percent.mean),
];

/// Hollow heads against whole ones, where all hang on voters and so have the same to do.
fn fidelity_rows(point: &Point) -> Vec<Vec<String>> {
    let costs = point.roles.get(&Role::WholeHead).zip(point.roles.get(&Role::HollowHead));
    let Some((whole, hollow)) = costs.filter(|_| point.depth.most < 1.0) else { return Vec::new() };
    let row = |(name, figure): &Figure| {
        let (whole, hollow) = (figure(whole), figure(hollow));
        vec![
            point.heads.to_string(),
            point.backends.to_string(),
            point.changes_per_second.to_string(),
            (*name).to_owned(),
            format!("{whole:.2}"),
            format!("{hollow:.2}"),
            format!("{:.2}", hollow / whole),
        ]
    };
    FIDELITY_FIGURES.iter().map(row).collect()
}

/// Part of the machine's cores above which times are those of a machine that is too small.
const MOST_LOAD: f64 = 0.75;

/// Says that a load took more of the machine than leaves its times to be trusted.
fn saturation(point: &Point, cores: u64) -> Option<String> {
    let taken: f64 =
        point.roles.values().map(|cost| cost.cpu_percent.mean * cost.count as f64).sum::<f64>() / 100.0;
    let load = (point.heads, point.backends, point.changes_per_second);
    (taken > MOST_LOAD * cores as f64).then(|| {
        format!(
            "{} heads, {} backends, {} changes a second: {taken:.1} of {cores} cores were taken, so that times are \
             those of a machine that is too small",
            load.0, load.1, load.2
        )
    })
}

const START_HEADER: [&str; 7] =
    ["heads", "backends", "started", "ready median ms", "p99 ms", "most ms", "KB in (most)"];

fn start_row(start: &Start) -> Vec<String> {
    vec![
        start.heads.to_string(),
        start.backends.to_string(),
        start.started.to_string(),
        format!("{:.0}", start.ready.median_ms),
        format!("{:.0}", start.ready.p99_ms),
        format!("{:.0}", start.ready.most_ms),
        spread(&start.bytes_in, KIB),
    ]
}

const FAULT_HEADER: [&str; 9] = [
    "fault",
    "heads",
    "struck",
    "settled again ms",
    "in force ms",
    "peak KB in 1 s",
    "of a head",
    "oldest state ms",
    "verdict",
];

fn fault_row(fault: &Fault) -> Vec<String> {
    let figure = |figure: Option<f64>, unit: f64| {
        figure.map_or_else(|| "-".to_owned(), |figure| format!("{:.0}", figure / unit))
    };
    vec![
        fault.name.clone(),
        fault.heads.to_string(),
        fault.struck.to_string(),
        figure(fault.settled_again_ms, 1.0),
        figure(fault.in_force_ms, 1.0),
        figure(fault.peak_bytes, KIB),
        figure(fault.head_peak_bytes, KIB),
        figure(fault.oldest_ms, 1.0),
        if fault.passed { "passed" } else { "failed" }.to_owned(),
    ]
}
