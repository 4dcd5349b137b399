//! Starts of hollow heads: the time and the bytes until they are ready.

use super::error::ScaleError;
use super::protocol::HeadReport;
use super::results::{Latency, Spread, Start};
use super::scale_fleet::ScaleFleet;

/// Grows the fleet to a size; the last head starts alone, and is measured.
pub fn grow(fleet: &mut ScaleFleet, heads: u64) -> Result<Option<Start>, ScaleError> {
    fleet.grow_to(heads - 1)?;
    let before: Vec<String> = names(fleet)?;
    fleet.grow_to(heads)?;
    let is_new = |report: &HeadReport| !before.contains(&report.name);
    let fresh = fleet.reports()?.into_iter().flatten().filter(is_new).collect();
    Ok(start(fleet, fresh))
}

fn names(fleet: &mut ScaleFleet) -> Result<Vec<String>, ScaleError> {
    Ok(fleet.reports()?.into_iter().flatten().map(|report| report.name).collect())
}

/// What heads that started together took; `None` where none of them is ready.
pub fn start(fleet: &ScaleFleet, started: Vec<HeadReport>) -> Option<Start> {
    let ready = || started.iter().filter_map(|report| report.ready);
    Some(Start {
        heads: fleet.heads(),
        backends: fleet.backends,
        started: started.len() as u64,
        ready: Latency::of_us(ready().map(|ready| (ready.elapsed_ms * 1000.0) as u64))?,
        bytes_in: Spread::of(ready().map(|ready| ready.bytes_in as f64)),
    })
}
