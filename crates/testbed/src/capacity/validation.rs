//! Which figures a record of a scale run can hold.

use crate::scale::results::{Cost, DataPath, FORMAT, Fault, Latency, Point, ScaleResults, Spread, Start};
use thiserror::Error;

/// The most heads, backends, members or clients of a record.
const MAX_MEMBERS: u64 = 1_000_000;
/// The largest figure of any kind.
const MAX_FIGURE: f64 = 1e15;
/// A mean may exceed the largest member by this part, through rounding.
const ROUNDING: f64 = 1e-6;

/// Why a document is not valid. Its text names the line and column, or the key.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It is not the JSON of a record.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// It is of another format.
    #[error("format {0}, expected {FORMAT}")]
    Format(u64),
    /// A count that cannot be.
    #[error("{key} is out of range, 1 to {MAX_MEMBERS}: {value}")]
    CountOutOfRange {
        /// The key.
        key: String,
        /// The count.
        value: u64,
    },
    /// A figure that cannot be.
    #[error("{key} is out of range, 0 to {MAX_FIGURE}: {value}")]
    FigureOutOfRange {
        /// The key.
        key: String,
        /// The figure.
        value: f64,
    },
    /// A part that is more than the whole.
    #[error("{key} is more than there are {of}: {value} of {most}")]
    MoreThanThereAre {
        /// The key.
        key: String,
        /// What is counted.
        of: &'static str,
        /// The part.
        value: u64,
        /// The whole.
        most: u64,
    },
    /// A peak of one head that is over the peak of the fault.
    #[error("{0}.head_peak_bytes is over its peak_bytes")]
    HeadPeakOverPeak(String),
    /// A mean that is over the largest member.
    #[error("{key}.mean is over its most: {mean} and {most}")]
    MeanOverMost {
        /// The key.
        key: String,
        /// The mean.
        mean: f64,
        /// The largest member.
        most: f64,
    },
    /// Quantiles of a latency that do not rise.
    #[error("{0}: median, 99th percentile and most do not rise")]
    LatenciesNotRising(String),
}

/// Checks all figures of a document: each within its range, and those that belong together in their order.
///
/// # Errors
/// The first figure that cannot be, by its key.
pub fn validate(results: &ScaleResults) -> Result<(), DocumentError> {
    count("machine.cores", results.machine.cores)?;
    for (i, point) in results.points.iter().enumerate() {
        validate_point(&format!("points[{i}]"), point)?;
    }
    for (i, start) in results.starts.iter().enumerate() {
        validate_start(&format!("starts[{i}]"), start)?;
    }
    for (i, fault) in results.faults.iter().enumerate() {
        validate_fault(&format!("faults[{i}]"), fault)?;
    }
    for (i, path) in results.data_path.iter().enumerate() {
        validate_data_path(&format!("data_path[{i}]"), path)?;
    }
    Ok(())
}

fn validate_point(key: &str, point: &Point) -> Result<(), DocumentError> {
    count(&format!("{key}.heads"), point.heads)?;
    count(&format!("{key}.backends"), point.backends)?;
    figure(&format!("{key}.changes_per_second"), point.changes_per_second)?;
    figure(&format!("{key}.seconds"), point.seconds)?;
    spread(&format!("{key}.depth"), &point.depth)?;
    if let Some(in_force) = &point.in_force {
        latency(&format!("{key}.in_force"), in_force)?;
    }
    at_most(&format!("{key}.reached"), point.reached, point.heads, "heads")?;
    for (role, cost) in &point.roles {
        validate_cost(&format!("{key}.roles.{role:?}"), cost, point.heads)?;
    }
    Ok(())
}

fn validate_cost(key: &str, cost: &Cost, heads: u64) -> Result<(), DocumentError> {
    count(&format!("{key}.count"), cost.count)?;
    at_most(&format!("{key}.count"), cost.count, heads, "heads")?;
    let figures = [
        ("bytes_in", &cost.bytes_in),
        ("bytes_out", &cost.bytes_out),
        ("messages_in", &cost.messages_in),
        ("messages_out", &cost.messages_out),
        ("cpu_percent", &cost.cpu_percent),
        ("memory_bytes", &cost.memory_bytes),
        ("descriptors", &cost.descriptors),
    ];
    figures.iter().try_for_each(|(name, value)| spread(&format!("{key}.{name}"), value))
}

fn validate_start(key: &str, start: &Start) -> Result<(), DocumentError> {
    count(&format!("{key}.heads"), start.heads)?;
    count(&format!("{key}.backends"), start.backends)?;
    count(&format!("{key}.started"), start.started)?;
    at_most(&format!("{key}.started"), start.started, start.heads, "heads")?;
    latency(&format!("{key}.ready"), &start.ready)?;
    spread(&format!("{key}.bytes_in"), &start.bytes_in)
}

fn validate_fault(key: &str, fault: &Fault) -> Result<(), DocumentError> {
    count(&format!("{key}.heads"), fault.heads)?;
    count(&format!("{key}.backends"), fault.backends)?;
    at_most(&format!("{key}.struck"), fault.struck, fault.heads, "heads")?;
    let figures = [
        ("settled_again_ms", fault.settled_again_ms),
        ("in_force_ms", fault.in_force_ms),
        ("peak_bytes", fault.peak_bytes),
        ("head_peak_bytes", fault.head_peak_bytes),
        ("oldest_ms", fault.oldest_ms),
    ];
    for (name, value) in figures {
        value.map_or(Ok(()), |value| figure(&format!("{key}.{name}"), value))?;
    }
    if fault.head_peak_bytes > fault.peak_bytes {
        return Err(DocumentError::HeadPeakOverPeak(key.to_owned()));
    }
    Ok(())
}

fn validate_data_path(key: &str, path: &DataPath) -> Result<(), DocumentError> {
    count(&format!("{key}.backends"), path.backends)?;
    count(&format!("{key}.clients"), path.clients)?;
    figure(&format!("{key}.cpu_us"), path.cpu_us)?;
    figure(&format!("{key}.connects_per_second"), path.connects_per_second)?;
    figure(&format!("{key}.requests_per_second"), path.requests_per_second)?;
    latency(&format!("{key}.latency"), &path.latency)
}

fn count(key: &str, value: u64) -> Result<(), DocumentError> {
    if (1..=MAX_MEMBERS).contains(&value) {
        return Ok(());
    }
    Err(DocumentError::CountOutOfRange { key: key.to_owned(), value })
}

fn at_most(key: &str, value: u64, most: u64, of: &'static str) -> Result<(), DocumentError> {
    if value <= most {
        return Ok(());
    }
    Err(DocumentError::MoreThanThereAre { key: key.to_owned(), of, value, most })
}

fn figure(key: &str, value: f64) -> Result<(), DocumentError> {
    if (0.0..=MAX_FIGURE).contains(&value) {
        return Ok(());
    }
    Err(DocumentError::FigureOutOfRange { key: key.to_owned(), value })
}

fn spread(key: &str, value: &Spread) -> Result<(), DocumentError> {
    figure(&format!("{key}.mean"), value.mean)?;
    figure(&format!("{key}.most"), value.most)?;
    if value.mean <= value.most * (1.0 + ROUNDING) {
        return Ok(());
    }
    Err(DocumentError::MeanOverMost { key: key.to_owned(), mean: value.mean, most: value.most })
}

fn latency(key: &str, value: &Latency) -> Result<(), DocumentError> {
    figure(&format!("{key}.median_ms"), value.median_ms)?;
    figure(&format!("{key}.p99_ms"), value.p99_ms)?;
    figure(&format!("{key}.most_ms"), value.most_ms)?;
    let rises = value.median_ms <= value.p99_ms * (1.0 + ROUNDING)
        && value.p99_ms <= value.most_ms * (1.0 + ROUNDING);
    if rises { Ok(()) } else { Err(DocumentError::LatenciesNotRising(key.to_owned())) }
}
