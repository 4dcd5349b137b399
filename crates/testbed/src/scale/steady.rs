//! Steady load: a size of the fleet, a list of backends and a rate of changes, measured for some seconds.

use super::changes::SettledChange;
use super::error::ScaleError;
use super::host_process::reached;
use super::measure::Snapshot;
use super::real_heads::VersionWatch;
use super::results::{Latency, Point};
use super::scale_fleet::ScaleFleet;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a load is measured.
const MEASURED: Duration = Duration::from_secs(6);
/// How long a load with few changes is measured at the most.
const MOST_MEASURED: Duration = Duration::from_secs(10);
/// How long a load lasts before it is measured.
const SETTLING: Duration = Duration::from_secs(1);
/// Time in which changes must be in force.
pub const IN_FORCE_TIME: Duration = Duration::from_secs(7);
/// Between two changes that real heads are asked about: each question costs a head processor time.
const REAL_HEAD_INTERVAL: Duration = Duration::from_secs(1);

/// How long a load is measured: for one change at the least, where it has any.
fn measured(changes_per_second: f64) -> Duration {
    if changes_per_second <= 0.0 {
        return MEASURED;
    }
    Duration::from_secs_f64(1.0 / changes_per_second).clamp(MEASURED, MOST_MEASURED)
}

/// Measures one load.
pub fn measure(fleet: &mut ScaleFleet, changes_per_second: f64) -> Result<Point, ScaleError> {
    let stop = fleet.stop.clone();
    stop.pause(SETTLING)?;
    reached(&mut fleet.hosts)?;
    let watches =
        fleet.harness.up().into_iter().map(|head| VersionWatch::start(fleet.harness.admin_client(head)));
    let watches: Vec<VersionWatch> = watches.collect();
    let before = Snapshot::take(fleet)?;
    let begun = Instant::now();
    let settled = make_changes(fleet, changes_per_second, &watches)?;
    let seconds = begun.elapsed().as_secs_f64();
    let after = Snapshot::take(fleet)?;
    let version = fleet.version;
    // What is overdue shows in the figures; it does not end the run.
    let _ = fleet.wait_for("changes in force", IN_FORCE_TIME, |report| report.version >= version);
    stop.check()?;
    let last = Snapshot::take(fleet)?;
    let in_force = in_force(fleet, &settled, watches)?;
    Ok(Point {
        heads: fleet.heads(),
        backends: fleet.backends,
        changes_per_second,
        seconds,
        roles: after.costs_since(&before),
        in_force,
        depth: last.depth(),
        reached: last.holding(version),
    })
}

/// Makes changes for as long as the load is measured, and has real heads watched for some of them.
fn make_changes(
    fleet: &mut ScaleFleet,
    changes_per_second: f64,
    watches: &[VersionWatch],
) -> Result<Vec<SettledChange>, ScaleError> {
    let (mut all, mut watched): (Vec<SettledChange>, Option<Instant>) = (Vec::new(), None);
    let stop = fleet.stop.clone();
    fleet.changes.run(changes_per_second, measured(changes_per_second), &stop, |settled| {
        all.push(settled);
        if watched.is_none_or(|watched| watched.elapsed() >= REAL_HEAD_INTERVAL) {
            watched = Some(Instant::now());
            watches.iter().for_each(|watch| watch.expect(settled.version));
        }
    })?;
    fleet.version = all.iter().map(|settled| settled.version).fold(fleet.version, u64::max);
    Ok(all)
}

/// From the settling of each change until heads acted on it.
fn in_force(
    fleet: &mut ScaleFleet,
    settled: &[SettledChange],
    watches: Vec<VersionWatch>,
) -> Result<Option<Latency>, ScaleError> {
    let settled_at: BTreeMap<u64, u64> =
        settled.iter().map(|settled| (settled.version, settled.at_us)).collect();
    let hollow = reached(&mut fleet.hosts)?;
    let hollow =
        hollow.into_iter().flat_map(|(version, times)| times.into_iter().map(move |time| (version, time)));
    let real: Vec<(u64, u64)> = watches.into_iter().flat_map(VersionWatch::end).collect();
    // A head may act on a change before it is known here to be settled.
    let times = hollow
        .chain(real)
        .filter_map(|(version, at_us)| Some(at_us.saturating_sub(*settled_at.get(&version)?)));
    Ok(Latency::of_us(times))
}
