//! What the target's events come to: on an ordinary day, and when a zone is lost.

use super::cells::NOT_RUN;
use crate::capacity::documents::{Documents, ResultSet};
use crate::capacity::format::number;
use crate::capacity::target::{SECONDS_PER_DAY, Target};
use crate::report::table;

const BYTES_PER_MB: f64 = 1e6;
const FROM_TARGET: &str = "target";
/// The operators count machines, not roles.
const EVEN_SHARE: &str = "target; assumed: spread evenly over heads and backends";

/// A figure with what it was worked out from.
struct Row {
    what: String,
    figure: Option<f64>,
    unit: &'static str,
    source: String,
}

impl Row {
    fn new(what: &str, figure: f64, unit: &'static str, source: &str) -> Row {
        Row { what: what.to_owned(), figure: Some(figure), unit, source: source.to_owned() }
    }
}

fn rows_table(rows: Vec<Row>) -> String {
    let cells = rows.into_iter().map(|row| {
        let figure = row.figure.map_or_else(|| NOT_RUN.to_owned(), number);
        vec![row.what, figure, row.unit.to_owned(), row.source]
    });
    table(&["what", "figure", "unit", "worked out from"], cells.collect())
}

/// What one head reads until it is ready, measured at the target's backends in the newest set that has it.
struct StartCost {
    bytes: Option<f64>,
    source: String,
}

impl StartCost {
    fn new(target: &Target, documents: &Documents) -> StartCost {
        let at = |set| {
            let starts = documents.starts(set).filter(|start| start.backends as f64 == target.backends);
            let largest = starts.max_by_key(|start| (start.heads, start.started))?;
            Some((set, largest))
        };
        match at(ResultSet::After).or_else(|| at(ResultSet::Before)) {
            Some((set, start)) => StartCost {
                bytes: Some(start.bytes_in.mean),
                source: format!("{}, start of {} heads", set.name(), number(start.started as f64)),
            },
            None => StartCost {
                bytes: None,
                source: format!("no start was measured at {} backends", number(target.backends)),
            },
        }
    }

    fn row(&self, what: &str, times: f64, unit: &'static str) -> Row {
        let figure = self.bytes.map(|bytes| bytes * times);
        Row { what: what.to_owned(), figure, unit, source: self.source.clone() }
    }
}

/// Rates of an ordinary day.
pub fn ordinary_day(target: &Target, documents: &Documents) -> String {
    let every =
        |what: &str, per_day: f64| Row::new(what, SECONDS_PER_DAY / per_day, "s between two", FROM_TARGET);
    let replaced_per_day = target.machine_failures_per_day + target.restarts_per_day;
    let members = target.heads + target.backends;
    let heads_per_second = replaced_per_day * target.heads / members / SECONDS_PER_DAY;
    let backends_per_second = replaced_per_day * target.backends / members / SECONDS_PER_DAY;
    let start = StartCost::new(target, documents);
    rows_table(vec![
        every("changes of configuration", target.configuration.per_day),
        every("changes of primary", target.primary.per_day),
        every("machines that fail", target.machine_failures_per_day),
        every("restarts and replacements", target.restarts_per_day),
        Row::new("heads that start", heads_per_second, "a second", EVEN_SHARE),
        Row::new(
            "entries of the list that change, out and in",
            2.0 * backends_per_second,
            "a second",
            EVEN_SHARE,
        ),
        start.row("read by a head that starts", 1.0, "bytes"),
        start.row("read by all that start", heads_per_second, "bytes a second"),
        Row::new("requests of a head", target.requests_per_second / target.heads, "a second", FROM_TARGET),
        Row::new(
            "requests of a backend",
            target.requests_per_second / target.backends,
            "a second",
            FROM_TARGET,
        ),
        Row::new("clients of a head", target.client_connections / target.heads, "connections", FROM_TARGET),
        Row::new("pairs of head and backend", target.heads * target.backends, "pairs", FROM_TARGET),
    ])
}

/// A zone lost, and back at once.
pub fn zone_lost(target: &Target, documents: &Documents) -> String {
    let lost_heads = (target.heads / target.zones).round();
    let lost_backends = (target.backends / target.zones).round();
    let left = (target.heads - lost_heads).max(1.0);
    let start = StartCost::new(target, documents);
    rows_table(vec![
        Row::new("heads lost", lost_heads, "heads", FROM_TARGET),
        Row::new("backends lost", lost_backends, "backends", FROM_TARGET),
        Row::new("requests of each head left", target.requests_per_second / left, "a second", FROM_TARGET),
        Row::new("clients of each head left", target.client_connections / left, "connections", FROM_TARGET),
        Row::new("entries of the list that change at each head left", lost_backends, "entries", FROM_TARGET),
        start.row("read by all heads of the zone when they are back", lost_heads / BYTES_PER_MB, "MB"),
    ])
}
