//! The fleet of a run: voters and whole heads as processes of their own, hollow heads by the hundred in host
//! processes, and the emulated discovery service.

use super::arguments::{ScalePlan, VOTERS};
use super::changes::ChangeMaker;
use super::discovery::DiscoveryProcess;
use super::discovery::catalog::ZONES;
use super::error::ScaleError;
use super::host_process::{HostProcess, reports, tell_all};
use super::protocol::{HeadReport, HostAnswer, HostCommand, HostSpec, ReadyWhen};
use super::real_heads::RealHeadReport;
use super::stop::StopRequest;
use crate::cluster_processes::harness::{Harness, HarnessLayout};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Regions that the zones are spread over.
pub const REGIONS: u8 = 3;
/// Hollow heads of one host process.
const MOST_HEADS_OF_HOST: u64 = 800;
/// Seeds of relays begin so far past those of other processes.
const RELAY_SEEDS: u64 = 1 << 32;
/// Time in which voters name relays that have registered: voters say nothing of relays for a lease after they begin to
/// vote, and relays register at intervals.
const RELAYS_NAMED: Duration = Duration::from_secs(9);
/// Heads that start are spread over this time, so that a thousand of them do so in a second.
const START_SPREAD_PER_HEAD: Duration = Duration::from_millis(1);
/// Time in which heads that start must be ready.
pub const READY_TIME: Duration = Duration::from_secs(60);
/// How long heads keep places for followers that have ended, and a little more.
const PLACES_KEPT: Duration = Duration::from_secs(6);
/// Time between checks of the heads.
const POLL_EVERY: Duration = Duration::from_millis(250);

/// The name of a region.
pub fn region_name(region: u8) -> String {
    format!("region{region}")
}

/// The region of a zone; both are numbered from 1.
fn region(zone_number: u8) -> u8 {
    (zone_number - 1) % REGIONS + 1
}

/// All processes of a run; dropped, they end.
pub struct ScaleFleet {
    /// Voters first, then whole heads.
    pub harness: Harness,
    /// The emulated discovery service.
    pub discovery: DiscoveryProcess,
    /// The hollow heads, by their processes.
    pub hosts: Vec<HostProcess>,
    /// What makes changes.
    pub changes: ChangeMaker,
    /// The version of the store that was last settled.
    pub version: u64,
    /// Backends on discovery's list.
    pub backends: u64,
    /// The operator's wish to stop.
    pub stop: StopRequest,
    plan: ScalePlan,
    program: PathBuf,
}

impl ScaleFleet {
    /// Starts the real heads, and processes for hollow ones, without heads in them.
    pub fn start(plan: &ScalePlan, program: &Path, stop: &StopRequest) -> Result<ScaleFleet, ScaleError> {
        let failed = |error: &dyn std::fmt::Display| ScaleError::failed("discovery", error);
        let mut discovery = DiscoveryProcess::start(program).map_err(|error| failed(&error))?;
        let backends = plan.backends.first().copied().unwrap_or(1);
        discovery.set_backends(backends as usize).map_err(|error| failed(&error))?;
        let layout = HarnessLayout {
            voters: VOTERS as usize,
            heads: (VOTERS + plan.whole_heads) as usize,
            discovery: discovery.address(),
            zones: ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
            regions: (1..=ZONES.len() as u8).map(|zone| region_name(region(zone))).collect(),
        };
        let harness =
            Harness::begin_with(program, &layout).map_err(|error| ScaleError::Failed(error.to_string()))?;
        let callers = (0..VOTERS as usize).map(|voter| harness.admin_client(voter)).collect();
        let mut fleet = ScaleFleet {
            changes: ChangeMaker::new(callers),
            harness,
            discovery,
            hosts: Vec::new(),
            version: 0,
            backends,
            stop: stop.clone(),
            plan: plan.clone(),
            program: program.to_owned(),
        };
        fleet.change()?;
        fleet.start_hosts()?;
        Ok(fleet)
    }

    /// Ends all hollow heads with their processes, and starts new processes, with the shortest list.
    pub fn renew_hosts(&mut self) -> Result<(), ScaleError> {
        self.hosts.clear();
        self.set_backends(self.plan.least_backends())?;
        self.stop.pause(PLACES_KEPT)?;
        self.start_hosts()
    }

    fn start_hosts(&mut self) -> Result<(), ScaleError> {
        for number in 0..self.plan.relays {
            self.start_host(number, true)?;
        }
        self.start_relays()?;
        for number in 0..hosts_of(&self.plan) {
            self.start_host(number, false)?;
        }
        Ok(())
    }

    /// Starts a process without heads, in the next zone in turn.
    fn start_host(&mut self, number: u64, relay: bool) -> Result<(), ScaleError> {
        let settings = self.harness.settings(0).map_err(|error| ScaleError::Failed(error.to_string()))?;
        let zone = number as usize % ZONES.len();
        let zone_number = zone as u8 + 1;
        let (kind, seed_offset) = if relay { ("relay", RELAY_SEEDS) } else { ("hollow", 0) };
        let spec = HostSpec {
            name_prefix: format!("{kind}{number}-"),
            zone: ZONES[zone].to_owned(),
            zone_number,
            region: region(zone_number),
            relay,
            fleet: settings.name.clone(),
            secret: settings.secret.clone(),
            voters: settings.voters.clone(),
            config: self.harness.config_file(0),
            seed: self.plan.seed.wrapping_add(seed_offset + number),
        };
        self.hosts.push(HostProcess::start(&self.program, &spec)?);
        Ok(())
    }

    /// Starts the one head of each relay's process, and waits until the voters name all of them.
    fn start_relays(&mut self) -> Result<(), ScaleError> {
        if self.plan.relays == 0 {
            return Ok(());
        }
        let ready_when = self.ready_when();
        for host in self.hosts.iter_mut().filter(|host| host.is_relay) {
            host.heads = 1;
            host.tell(HostCommand::Start { count: 1, within_ms: 0, ready_when })?;
            host.answer()?;
        }
        self.wait_until_ready()?;
        self.stop.pause(RELAYS_NAMED)
    }

    /// Real heads.
    pub fn real_heads(&self) -> u64 {
        self.harness.count() as u64
    }

    /// Heads in all.
    pub fn heads(&self) -> u64 {
        self.real_heads() + self.hosts.iter().map(|host| host.heads).sum::<u64>()
    }

    /// Makes a change, and takes note of its version.
    pub fn change(&mut self) -> Result<super::changes::SettledChange, ScaleError> {
        let settled = self.changes.make(&self.stop)?;
        self.version = settled.version;
        Ok(settled)
    }

    /// What a head must hold that starts now.
    pub fn ready_when(&self) -> ReadyWhen {
        ReadyWhen { version: self.version, backends: self.backends }
    }

    /// Sets the length of discovery's list, and waits until all heads hold it.
    pub fn set_backends(&mut self, backends: u64) -> Result<(), ScaleError> {
        if backends != self.backends {
            let set = self.discovery.set_backends(backends as usize);
            set.map_err(|error| ScaleError::failed("discovery", error))?;
            self.backends = backends;
        }
        self.wait_for("the list of backends at all heads", READY_TIME, |report| report.backends == backends)
    }

    /// Starts hollow heads until there are so many heads in all, and waits until they are ready.
    pub fn grow_to(&mut self, heads: u64) -> Result<(), ScaleError> {
        let missing = heads.saturating_sub(self.heads());
        let within_ms = (START_SPREAD_PER_HEAD * missing as u32).as_millis() as u64;
        let ready_when = self.ready_when();
        let hollow = self.plan.hollow_heads(heads);
        let hosts = hosts_of(&self.plan);
        let mut commanded = Vec::new();
        let sharing = self.hosts.iter_mut().filter(|host| !host.is_relay);
        for (number, host) in (0..hosts).zip(sharing) {
            let share = hollow / hosts + u64::from(number < hollow % hosts);
            let count = share.saturating_sub(host.heads);
            if count > 0 {
                host.tell(HostCommand::Start { count, within_ms, ready_when })?;
                host.heads += count;
                commanded.push(host);
            }
        }
        commanded.into_iter().try_for_each(|host| host.answer().map(drop))?;
        self.wait_until_ready()
    }

    /// Waits until all hollow heads are ready.
    pub fn wait_until_ready(&mut self) -> Result<(), ScaleError> {
        self.wait_for("all heads ready", READY_TIME, |report| report.ready.is_some())
    }

    /// Waits until something holds of all hollow heads.
    pub fn wait_for(
        &mut self,
        what: &str,
        within: Duration,
        holds: impl Fn(&HeadReport) -> bool,
    ) -> Result<(), ScaleError> {
        let begun = Instant::now();
        loop {
            let expected: u64 = self.hosts.iter().map(|host| host.heads).sum();
            let holding = self.reports()?.iter().flatten().filter(|report| holds(report)).count() as u64;
            if holding == expected {
                return Ok(());
            }
            if begun.elapsed() > within {
                let seconds = within.as_secs();
                return Err(ScaleError::Failed(format!("{what}: {holding} of {expected} after {seconds} s")));
            }
            self.stop.pause(POLL_EVERY)?;
        }
    }

    /// How the hollow heads stand, host by host.
    pub fn reports(&mut self) -> Result<Vec<Vec<HeadReport>>, ScaleError> {
        reports(&mut self.hosts)
    }

    /// Tells all hosts the same.
    pub fn tell_hosts(&mut self, command: HostCommand) -> Result<Vec<HostAnswer>, ScaleError> {
        tell_all(&mut self.hosts, command)
    }

    /// How a real head stands; `None` where it does not answer.
    pub fn real_report(&self, head: usize) -> Option<RealHeadReport> {
        RealHeadReport::read(self.harness.operators(head)).ok()
    }

    /// The operators' addresses of the voters that run.
    pub fn voter_operators(&self) -> Vec<SocketAddr> {
        self.operators(|head| head < VOTERS as usize)
    }

    /// The operators' addresses of the whole heads without a vote that run.
    pub fn whole_head_operators(&self) -> Vec<SocketAddr> {
        self.operators(|head| head >= VOTERS as usize)
    }

    fn operators(&self, of: impl Fn(usize) -> bool) -> Vec<SocketAddr> {
        let up = self.harness.up().into_iter();
        up.filter(|head| of(*head)).map(|head| self.harness.operators(head)).collect()
    }

    /// The largest payload of one hollow head in one second since peaks were reset, bytes: of relays, and of others.
    pub fn hollow_peaks(&mut self) -> Result<HollowPeaks, ScaleError> {
        let reports = self.reports()?;
        let mut peaks = HollowPeaks::default();
        for (host, reports) in self.hosts.iter().zip(reports) {
            let peak = if host.is_relay { &mut peaks.relay_bytes } else { &mut peaks.head_bytes };
            *peak = reports.iter().map(|report| report.peak_bytes).fold(*peak, u64::max);
        }
        Ok(peaks)
    }
}

/// The largest payload of one hollow head in one second, bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct HollowPeaks {
    /// Of a relay.
    pub relay_bytes: u64,
    /// Of a head that is no relay.
    pub head_bytes: u64,
}

/// Host processes of a plan: one a zone, or more where they would hold too many heads.
pub fn hosts_of(plan: &ScalePlan) -> u64 {
    let zones = ZONES.len() as u64;
    let hollow = plan.hollow_heads(plan.most_heads());
    zones * hollow.div_ceil(zones * MOST_HEADS_OF_HOST).max(1)
}
