//! Tables of the documents themselves and of the data path.

use super::cells::or_not_run;
use super::events::one_line;
use crate::capacity::documents::{Documents, ResultSet};
use crate::capacity::format::{number, optional};
use crate::capacity::target::Target;

const BYTES_PER_GB: f64 = 1e9;
/// Microseconds of a core in a second, for a percentage.
const US_PER_PERCENT: f64 = 10_000.0;

/// The documents: where each was run, with what, and what is missing in it.
pub fn runs(documents: &Documents) -> String {
    let header = ["document", "commit", "seed", "cores", "memory, GB", "kernel", "complete", "not run"];
    let rows = documents.0.iter().map(|document| {
        let results = &document.results;
        let partial = if results.complete { "yes" } else { "**partial**" };
        vec![
            format!("{}/{}", document.set.name(), document.file),
            one_line(std::slice::from_ref(&results.commit)),
            results.seed.to_string(),
            results.machine.cores.to_string(),
            number(results.machine.memory_bytes as f64 / BYTES_PER_GB),
            one_line(std::slice::from_ref(&results.machine.kernel)),
            partial.to_owned(),
            one_line(&results.not_run),
        ]
    });
    or_not_run(&header, rows.collect())
}

/// Requests through one head, and what a head's share of the target's requests would take.
pub fn data_path(documents: &Documents, target: &Target) -> String {
    let share = target.requests_per_second / target.heads;
    let at_share = format!("% of a core at {} requests/s", number(share));
    let header = [
        "set",
        "backends",
        "clients",
        "requests",
        "CPU us a request",
        "connects/s",
        "connects a request",
        "requests/s",
        "median ms",
        "99th percentile",
        &at_share,
    ];
    let paths =
        ResultSet::ALL.into_iter().flat_map(|set| documents.data_path(set).map(move |path| (set, path)));
    let rows: Vec<Vec<String>> = paths
        .map(|(set, path)| {
            let rate = path.requests_per_second;
            let per_request = (rate > 0.0).then(|| path.connects_per_second / rate);
            let mut row = vec![set.name().to_owned()];
            row.extend([path.backends, path.clients, path.requests].map(|count| number(count as f64)));
            row.extend([path.cpu_us, path.connects_per_second].map(number));
            row.push(optional(per_request, "-"));
            row.extend([rate, path.latency.median_ms, path.latency.p99_ms].map(number));
            row.push(number(path.cpu_us * share / US_PER_PERCENT));
            row
        })
        .collect();
    or_not_run(&header, rows)
}
