//! Faults at the largest size of a run: a zone is lost and returns at once, a region is cut off, the leader is
//! killed, a backend is replaced, and those that serve many others are stopped.

use super::changes::SettledChange;
use super::error::ScaleError;
use super::host_process::{HostProcess, reached, reports, tell_all};
use super::protocol::{HeadReport, HostAnswer, HostCommand};
use super::real_heads::{PeakWatch, VersionWatch};
use super::results::{Fault, Start};
use super::scale_fleet::{READY_TIME, REGIONS, ScaleFleet};
use super::starts::start;
use super::steady::IN_FORCE_TIME;
use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, Instant};

/// Time in which a change of primary must be over.
const PRIMARY_TIME: Duration = Duration::from_secs(13);
/// Time after which a change that is not in force is waited for no longer.
const GIVE_UP: Duration = Duration::from_secs(20);
/// How long a zone stays lost, and a region cut off: longer than heads wait for each other.
const LASTS: Duration = Duration::from_secs(8);
/// Heads of a zone that returns start within this time.
const RETURN_SPREAD: Duration = Duration::from_secs(1);
/// How much younger than the cut the state of a head that is cut off may say it is: its last update may have come
/// a long poll after the cut began, and reading it takes time.
const AGE_SLACK: Duration = Duration::from_millis(2500);
/// Time between checks whether a change is in force.
const POLL_EVERY: Duration = Duration::from_millis(100);
/// The zone that is lost.
const LOST_ZONE: u8 = 8;

/// A fault that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A zone is lost and returns at once.
    ZoneReturned,
    /// A region is cut off, and connected again.
    RegionCut,
    /// The leader of the store is killed.
    LeaderKilled,
    /// A backend is removed from discovery's list, and another takes over its shard.
    BackendReplaced,
    /// A relay of each region is stopped, or, without relays, the hollow heads that hear from a voter itself and serve
    /// others; they start again later.
    RelaysKilled,
}

impl FaultKind {
    /// All of them, the most important first.
    pub const ALL: [FaultKind; 5] = [
        FaultKind::ZoneReturned,
        FaultKind::RegionCut,
        FaultKind::LeaderKilled,
        FaultKind::BackendReplaced,
        FaultKind::RelaysKilled,
    ];

    /// Its name in the results.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::ZoneReturned => "zone_returned",
            FaultKind::RegionCut => "region_cut",
            FaultKind::LeaderKilled => "leader_killed",
            FaultKind::BackendReplaced => "backend_replaced",
            FaultKind::RelaysKilled => "relays_killed",
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Injects a fault; what came of it, and the starts that it brought about.
pub fn inject(fleet: &mut ScaleFleet, kind: FaultKind) -> Result<(Fault, Option<Start>), ScaleError> {
    fleet.tell_hosts(HostCommand::ResetPeaks)?;
    let voter_watch = PeakWatch::start(fleet.voter_operators());
    let head_watch = PeakWatch::start(fleet.whole_head_operators());
    let mut record = Fault {
        name: kind.name().to_owned(),
        heads: fleet.heads(),
        backends: fleet.backends,
        struck: 0,
        settled_again_ms: None,
        in_force_ms: None,
        peak_bytes: None,
        head_peak_bytes: None,
        oldest_ms: None,
        passed: false,
        failures: Vec::new(),
    };
    let started = match kind {
        FaultKind::ZoneReturned => lose_zone(fleet, &mut record)?,
        FaultKind::RegionCut => cut_region(fleet, &mut record).map(|()| None)?,
        FaultKind::LeaderKilled => kill_leader(fleet, &mut record).map(|()| None)?,
        FaultKind::BackendReplaced => replace_backend(fleet, &mut record).map(|()| None)?,
        FaultKind::RelaysKilled => stop_upstreams(fleet, &mut record).map(|()| None)?,
    };
    let hollow = fleet.hollow_peaks()?;
    let head_peak = head_watch.end().max(hollow.head_bytes);
    let peak = head_peak.max(voter_watch.end()).max(hollow.relay_bytes);
    record.head_peak_bytes = Some(head_peak as f64);
    record.peak_bytes = Some(peak as f64);
    record.passed = record.failures.is_empty();
    Ok((record, started))
}

fn lose_zone(fleet: &mut ScaleFleet, record: &mut Fault) -> Result<Option<Start>, ScaleError> {
    let is_lost = |host: &HostProcess| host.zone_number == LOST_ZONE;
    record.struck = heads_where(fleet, is_lost);
    tell_all(fleet.hosts.iter_mut().filter(|host| is_lost(host)), HostCommand::Stop)?;
    let lost = Instant::now();
    let settled = settle_again(fleet, record)?;
    check_in_force(fleet, record, settled, |host| !is_lost(host))?;
    fleet.stop.pause_until(lost + LASTS)?;
    let restart =
        HostCommand::Restart { within_ms: RETURN_SPREAD.as_millis() as u64, ready_when: fleet.ready_when() };
    tell_all(fleet.hosts.iter_mut().filter(|host| is_lost(host)), restart)?;
    let settled = fleet.change()?;
    check_in_force(fleet, record, settled, |host| !is_lost(host))?;
    let returned = fleet.wait_until_ready();
    fleet.stop.check()?;
    if returned.is_err() {
        record
            .failures
            .push(format!("not all heads of the zone were ready {} s later", READY_TIME.as_secs()));
    }
    let reports = reports(fleet.hosts.iter_mut().filter(|host| is_lost(host)))?;
    Ok(start(fleet, reports.into_iter().flatten().collect()))
}

fn cut_region(fleet: &mut ScaleFleet, record: &mut Fault) -> Result<(), ScaleError> {
    let is_cut = |host: &HostProcess| host.region == REGIONS;
    record.struck = heads_where(fleet, is_cut);
    let version_before = fleet.version;
    tell_all(fleet.hosts.iter_mut().filter(|host| is_cut(host)), HostCommand::Cut)?;
    let cut = Instant::now();
    let settled = settle_again(fleet, record)?;
    check_in_force(fleet, record, settled, |host| !is_cut(host))?;
    fleet.stop.pause_until(cut + LASTS)?;
    let reports = reports(fleet.hosts.iter_mut().filter(|host| is_cut(host)))?;
    let reports: Vec<HeadReport> = reports.into_iter().flatten().collect();
    check_cut_heads(record, &reports, version_before, settled.version, cut.elapsed());
    tell_all(fleet.hosts.iter_mut().filter(|host| is_cut(host)), HostCommand::Heal)?;
    let settled = fleet.change()?;
    check_in_force(fleet, record, settled, |_| true)
}

/// A head that is cut off serves the state it had, has nothing newer, and says how old it is.
fn check_cut_heads(
    record: &mut Fault,
    reports: &[HeadReport],
    version_before: u64,
    newer: u64,
    lasted: Duration,
) {
    let wrong = |holds: &dyn Fn(&HeadReport) -> bool| reports.iter().filter(|report| !holds(report)).count();
    let mut failed = |count: usize, what: &str| {
        if count > 0 {
            record.failures.push(format!("{count} of {} cut heads {what}", reports.len()));
        }
    };
    failed(wrong(&|report| report.version >= version_before), "lost what they held");
    failed(wrong(&|report| report.version < newer), "heard of a change from outside");
    failed(wrong(&|report| report.backends == record.backends), "lost their list of backends");
    let least_age = lasted.saturating_sub(AGE_SLACK).as_millis() as u64;
    failed(
        wrong(&|report| report.age_ms.is_some_and(|age| age >= least_age)),
        "do not say how old their state is",
    );
    record.oldest_ms = reports.iter().filter_map(|report| report.age_ms).max().map(|age| age as f64);
}

fn kill_leader(fleet: &mut ScaleFleet, record: &mut Fault) -> Result<(), ScaleError> {
    let leader = fleet.harness.leader().ok_or_else(|| ScaleError::Failed("nobody leads".into()))?;
    record.struck = 1;
    fleet.harness.kill(leader);
    let settled = settle_again(fleet, record)?;
    check_in_force(fleet, record, settled, |_| true)?;
    fleet.harness.start(leader).map_err(|error| ScaleError::Failed(error.to_string()))
}

/// Removes a backend from discovery's list, and puts another in its place once all heads were notified of that. The time
/// counts from the first to when all heads hold the list with the new one.
fn replace_backend(fleet: &mut ScaleFleet, record: &mut Fault) -> Result<(), ScaleError> {
    let backends = fleet.backends;
    if backends < 2 {
        return Err(ScaleError::Failed("a list of one backend has none to spare".into()));
    }
    record.struck = 1;
    let begun = Instant::now();
    // The list is as long after as before: a head that was not seen without the first may have been notified of neither.
    for length in [backends - 1, backends] {
        fleet.set_backends(length)?;
        let overdue = wait_for_list_at_real_heads(fleet, begun + GIVE_UP)?;
        if overdue > 0 {
            let seconds = GIVE_UP.as_secs();
            let what =
                format!("{overdue} real heads do not hold a list of {length} backends after {seconds} s");
            record.failures.push(what);
        }
    }
    if !record.failures.is_empty() {
        return Ok(());
    }
    let elapsed = begun.elapsed();
    record.in_force_ms = Some(elapsed.as_secs_f64() * 1000.0);
    if elapsed > PRIMARY_TIME {
        record.failures.push(format!("all heads knew the new backend after {:.1} s", elapsed.as_secs_f64()));
    }
    Ok(())
}

/// Waits until the real heads that run hold the list in its present length; how many do not by a time.
fn wait_for_list_at_real_heads(fleet: &ScaleFleet, until: Instant) -> Result<usize, ScaleError> {
    let holds =
        |head: &usize| fleet.real_report(*head).is_some_and(|report| report.backends == fleet.backends);
    loop {
        let overdue = fleet.harness.up().iter().filter(|head| !holds(head)).count();
        if overdue == 0 || Instant::now() > until {
            return Ok(overdue);
        }
        fleet.stop.pause(POLL_EVERY)?;
    }
}

fn stop_upstreams(fleet: &mut ScaleFleet, record: &mut Fault) -> Result<(), ScaleError> {
    let mut stopped_at = Vec::new();
    for number in upstream_hosts(fleet) {
        let host = &mut fleet.hosts[number];
        host.tell(HostCommand::StopUpstreams)?;
        let HostAnswer::Stopped(stopped) = host.answer()? else { continue };
        host.heads -= stopped;
        record.struck += stopped;
        stopped_at.push((number, stopped));
    }
    if record.struck == 0 {
        record.failures.push("no upstream was there to be stopped".to_owned());
    }
    let settled = settle_again(fleet, record)?;
    check_in_force(fleet, record, settled, |_| true)?;
    let restart =
        HostCommand::Restart { within_ms: RETURN_SPREAD.as_millis() as u64, ready_when: fleet.ready_when() };
    for (number, stopped) in stopped_at {
        let host = &mut fleet.hosts[number];
        host.tell(restart)?;
        host.answer()?;
        host.heads += stopped;
    }
    fleet.wait_until_ready()
}

/// The processes whose upstreams are stopped: a relay of each region that keeps another, or one where no region has two;
/// all processes where there are no relays.
fn upstream_hosts(fleet: &ScaleFleet) -> Vec<usize> {
    let relays: Vec<usize> = (0..fleet.hosts.len()).filter(|host| fleet.hosts[*host].is_relay).collect();
    if relays.is_empty() {
        return (0..fleet.hosts.len()).collect();
    }
    let keeps_another = |host: &&usize| {
        let region = fleet.hosts[**host].region;
        relays.iter().any(|other| other > *host && fleet.hosts[*other].region == region)
    };
    let mut struck = BTreeSet::new();
    let victims = relays.iter().filter(keeps_another);
    let victims: Vec<usize> =
        victims.filter(|host| struck.insert(fleet.hosts[**host].region)).copied().collect();
    // Where each region has one, the heads of the first go to the relays of others.
    if victims.is_empty() { relays.into_iter().take(1).collect() } else { victims }
}

fn heads_where(fleet: &ScaleFleet, which: impl Fn(&HostProcess) -> bool) -> u64 {
    fleet.hosts.iter().filter(|host| which(host)).map(|host| host.heads).sum()
}

/// Makes the first change after a fault, and notes how long it took to settle.
fn settle_again(fleet: &mut ScaleFleet, record: &mut Fault) -> Result<SettledChange, ScaleError> {
    let begun = Instant::now();
    let settled = fleet.change()?;
    let elapsed = begun.elapsed();
    record.settled_again_ms = Some(elapsed.as_secs_f64() * 1000.0);
    if elapsed > PRIMARY_TIME {
        record.failures.push(format!("the next change was settled after {:.1} s", elapsed.as_secs_f64()));
    }
    Ok(settled)
}

/// Waits until a change is in force at the real heads that run and at the heads of some hosts, and notes the time
/// since it was settled.
fn check_in_force(
    fleet: &mut ScaleFleet,
    record: &mut Fault,
    settled: SettledChange,
    reachable: impl Fn(&HostProcess) -> bool,
) -> Result<(), ScaleError> {
    let real: Vec<usize> = fleet.harness.up();
    let watches: Vec<VersionWatch> =
        real.iter().map(|head| VersionWatch::start(fleet.harness.admin_client(*head))).collect();
    watches.iter().for_each(|watch| watch.expect(settled.version));
    let hollow = wait_for_hollow(fleet, settled.version, reachable)?;
    let reached: Vec<u64> = watches.into_iter().flat_map(VersionWatch::end).map(|(_, at)| at).collect();
    let overdue = hollow.missing + (real.len() - reached.len()) as u64;
    if overdue > 0 {
        let seconds = GIVE_UP.as_secs();
        record
            .failures
            .push(format!("a change was not in force at {overdue} heads {seconds} s after it was settled"));
        return Ok(());
    }
    let last = reached.into_iter().chain([hollow.last_us]).max().unwrap_or(settled.at_us);
    let elapsed_ms = last.saturating_sub(settled.at_us) as f64 / 1000.0;
    if elapsed_ms > IN_FORCE_TIME.as_secs_f64() * 1000.0 {
        record.failures.push(format!("a change was in force after {elapsed_ms:.0} ms"));
    }
    record.in_force_ms = Some(record.in_force_ms.unwrap_or(0.0).max(elapsed_ms));
    Ok(())
}

/// What became of a change at hollow heads.
struct HollowReach {
    /// Heads that do not act on it.
    missing: u64,
    /// When the last one came to act on it, us on the boot clock.
    last_us: u64,
}

fn wait_for_hollow(
    fleet: &mut ScaleFleet,
    version: u64,
    reachable: impl Fn(&HostProcess) -> bool,
) -> Result<HollowReach, ScaleError> {
    let begun = Instant::now();
    let expected = heads_where(fleet, &reachable);
    let mut times = Vec::new();
    loop {
        let all = reached(fleet.hosts.iter_mut().filter(|host| reachable(host)))?;
        times.extend(all.get(&version).into_iter().flatten().copied());
        let missing = expected.saturating_sub(times.len() as u64);
        if missing == 0 || begun.elapsed() > GIVE_UP {
            return Ok(HollowReach { missing, last_us: times.into_iter().max().unwrap_or(0) });
        }
        fleet.stop.pause(POLL_EVERY)?;
    }
}
