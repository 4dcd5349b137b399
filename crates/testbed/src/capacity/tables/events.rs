//! Tables of what was measured at each size, and of times beside what is promised.

use super::cells::{NOT_RUN, OVER, or_not_run};
use crate::capacity::documents::{Documents, ResultSet};
use crate::capacity::format::{number, optional};
use crate::capacity::target::Target;
use crate::scale::results::{Fault, Latency, Point};

const MS_PER_S: f64 = 1000.0;
/// The fault that changes the primary among the voters.
const LEADER_KILLED: &str = "leader_killed";
/// The fault that changes the primary of a shard: another backend takes it over.
const BACKEND_REPLACED: &str = "backend_replaced";

fn in_sets<T>(of: impl Fn(ResultSet) -> Vec<T>) -> Vec<(ResultSet, T)> {
    ResultSet::ALL.into_iter().flat_map(|set| of(set).into_iter().map(move |one| (set, one))).collect()
}

fn latency_cells(latency: Option<&Latency>) -> [String; 3] {
    match latency {
        Some(latency) => [latency.median_ms, latency.p99_ms, latency.most_ms].map(number),
        None => ["-"; 3].map(str::to_owned),
    }
}

/// The measured steady loads.
pub fn sizes(documents: &Documents) -> String {
    let header = [
        "set",
        "heads",
        "backends",
        "changes/s",
        "for s",
        "depth, mean",
        "depth, most",
        "in force ms, median",
        "99th percentile",
        "most",
        "reached",
    ];
    let rows = in_sets(|set| documents.points(set).collect()).into_iter().map(|(set, point)| {
        let size = [point.heads as f64, point.backends as f64, point.changes_per_second, point.seconds];
        let mut row = vec![set.name().to_owned()];
        row.extend(size.map(number));
        row.extend([point.depth.mean, point.depth.most].map(number));
        row.extend(latency_cells(point.in_force.as_ref()));
        row.push(number(point.reached as f64));
        row
    });
    or_not_run(&header, rows.collect())
}

/// Heads that start together.
pub fn starts(documents: &Documents) -> String {
    let header = [
        "set",
        "heads",
        "backends",
        "started",
        "ready ms, median",
        "99th percentile",
        "most",
        "bytes read, mean",
        "bytes read, most",
    ];
    let rows = in_sets(|set| documents.starts(set).collect()).into_iter().map(|(set, start)| {
        let mut row = vec![set.name().to_owned()];
        row.extend([start.heads, start.backends, start.started].map(|count| number(count as f64)));
        row.extend(latency_cells(Some(&start.ready)));
        row.extend([start.bytes_in.mean, start.bytes_in.most].map(number));
        row
    });
    or_not_run(&header, rows.collect())
}

/// Injected faults.
pub fn faults(documents: &Documents) -> String {
    let header = [
        "set",
        "fault",
        "heads",
        "backends",
        "struck",
        "settled again ms",
        "in force ms",
        "peak bytes in 1 s",
        "of a head",
        "oldest state ms",
        "checks",
    ];
    let rows = in_sets(|set| documents.faults(set).collect()).into_iter().map(|(set, fault)| {
        let mut row = vec![set.name().to_owned(), fault.name.clone()];
        row.extend([fault.heads, fault.backends, fault.struck].map(|count| number(count as f64)));
        let figures = [
            fault.settled_again_ms,
            fault.in_force_ms,
            fault.peak_bytes,
            fault.head_peak_bytes,
            fault.oldest_ms,
        ];
        row.extend(figures.map(|figure| optional(figure, NOT_RUN)));
        row.push(checks_cell(fault));
        row
    });
    or_not_run(&header, rows.collect())
}

fn checks_cell(fault: &Fault) -> String {
    if fault.passed { "passed".to_owned() } else { format!("failed: {}", one_line(&fault.failures)) }
}

/// Sentences in one cell of a table.
pub fn one_line(sentences: &[String]) -> String {
    sentences.join("; ").replace('|', "/").replace(['\n', '\r'], " ")
}

/// One measured figure beside what is promised.
struct Promised {
    set: ResultSet,
    what: String,
    heads: f64,
    measured: f64,
    bound: f64,
}

/// Times and peaks at the largest measured size, beside what is promised.
pub fn promises(documents: &Documents, target: &Target) -> String {
    let rows = ResultSet::ALL.into_iter().flat_map(|set| {
        let faults = largest(documents.faults(set), |fault| fault.heads);
        let faults = faults.into_iter().flat_map(move |fault| fault_promises(set, fault, target));
        steady_promise(set, documents, target).into_iter().chain(faults).collect::<Vec<_>>()
    });
    let header = ["set", "promise", "heads", "measured", "bound", "measured / bound", ""];
    let rows = rows.map(|promised| {
        let ratio = promised.measured / promised.bound;
        let size = if promised.heads < target.heads {
            format!("{} of {}", number(promised.heads), number(target.heads))
        } else {
            number(promised.heads)
        };
        vec![
            promised.set.name().to_owned(),
            promised.what,
            size,
            number(promised.measured),
            number(promised.bound),
            number(ratio),
            if ratio > 1.0 { OVER.to_owned() } else { String::new() },
        ]
    });
    or_not_run(&header, rows.collect())
}

fn largest<'a, T>(all: impl Iterator<Item = &'a T>, heads: impl Fn(&T) -> u64) -> Vec<&'a T> {
    let all: Vec<&T> = all.collect();
    let most = all.iter().map(|one| heads(one)).max();
    all.into_iter().filter(|one| Some(heads(one)) == most).collect()
}

fn steady_promise(set: ResultSet, documents: &Documents, target: &Target) -> Option<Promised> {
    let with_changes = documents.points(set).filter(|point| point.in_force.is_some());
    let slowest = |point: &&Point| point.in_force.map_or(0.0, |in_force| in_force.most_ms);
    let points = largest(with_changes, |point| point.heads);
    let point = points.into_iter().max_by(|a, b| slowest(a).total_cmp(&slowest(b)))?;
    Some(Promised {
        set,
        what: format!("change in force at the last head, {} changes/s, ms", number(point.changes_per_second)),
        heads: point.heads as f64,
        measured: slowest(&point),
        bound: target.configuration.within_s * MS_PER_S,
    })
}

fn fault_promises(set: ResultSet, fault: &Fault, target: &Target) -> Vec<Promised> {
    let settled = fault.settled_again_ms.filter(|_| fault.name == LEADER_KILLED);
    // Where the roles were not told apart, the largest peak counts against the budget of a head.
    let head_peak = fault.head_peak_bytes.or(fault.peak_bytes);
    let set_aside_peak =
        fault.peak_bytes.filter(|peak| fault.head_peak_bytes.is_some_and(|head| head < *peak));
    let (in_force_what, in_force_s) = if fault.name == BACKEND_REPLACED {
        ("new backend on the list of all heads, ms", target.primary.within_s)
    } else {
        ("change in force at all that can be reached, ms", target.configuration.within_s)
    };
    let figures = [
        ("next change settled, ms", settled, target.primary.within_s * MS_PER_S),
        (in_force_what, fault.in_force_ms, in_force_s * MS_PER_S),
        ("peak of one head in 1 s, bytes", head_peak, target.head_budget.bytes_per_second),
        (
            "peak of one voter or relay in 1 s, bytes",
            set_aside_peak,
            target.set_aside_budget.bytes_per_second,
        ),
    ];
    let measured = figures.into_iter().filter_map(|(what, measured, bound)| Some((what, measured?, bound)));
    let promised = |(what, measured, bound)| Promised {
        set,
        what: format!("{}: {what}", fault.name),
        heads: fault.heads as f64,
        measured,
        bound,
    };
    measured.map(promised).collect()
}
