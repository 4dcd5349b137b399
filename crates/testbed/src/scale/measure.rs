//! What the members of each role take, from what was counted before and after a steady load.

use super::arguments::VOTERS;
use super::error::ScaleError;
use super::results::{Cost, Role, Spread};
use super::scale_fleet::ScaleFleet;
use crate::process::ProcessUsage;
use sedgerun_cluster::traffic::TrafficTotals;
use std::collections::BTreeMap;
use std::time::Instant;

/// Counters of one member, and when they were read.
#[derive(Clone, Copy, Debug)]
struct Counters {
    at: Instant,
    traffic: TrafficTotals,
}

/// A process whose only member is of a role.
#[derive(Clone, Copy, Debug)]
struct Process {
    role: Role,
    usage: ProcessUsage,
    counters: Counters,
}

/// A process that its hollow heads share.
#[derive(Clone, Copy, Debug)]
struct SharedProcess {
    heads: u64,
    usage: ProcessUsage,
}

/// All counters of a run at one time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    processes: BTreeMap<u32, Process>,
    hosts: BTreeMap<u32, SharedProcess>,
    hollow: BTreeMap<String, Counters>,
    /// Heads between a voter and each head that has heard from one.
    depths: Vec<u64>,
    /// Versions that the heads hold.
    versions: Vec<u64>,
}

impl Snapshot {
    /// Reads all counters.
    pub fn take(fleet: &mut ScaleFleet) -> Result<Snapshot, ScaleError> {
        let mut snapshot = Snapshot {
            processes: BTreeMap::new(),
            hosts: BTreeMap::new(),
            hollow: BTreeMap::new(),
            depths: Vec::new(),
            versions: Vec::new(),
        };
        snapshot.add_hollow(fleet)?;
        snapshot.add_real(fleet)?;
        snapshot.add_discovery(fleet)?;
        Ok(snapshot)
    }

    fn add_hollow(&mut self, fleet: &mut ScaleFleet) -> Result<(), ScaleError> {
        let reports = fleet.reports()?;
        for (host, reports) in fleet.hosts.iter().zip(reports) {
            let usage = usage(host.id())?;
            for report in reports {
                let counters = Counters { at: Instant::now(), traffic: report.fleet.plus(&report.discovery) };
                self.depths.extend(report.depth);
                self.versions.push(report.version);
                if host.is_relay {
                    let relay = Process { role: Role::Relay, usage, counters };
                    self.processes.insert(host.id(), relay);
                } else {
                    self.hollow.insert(report.name, counters);
                }
            }
            if !host.is_relay {
                self.hosts.insert(host.id(), SharedProcess { heads: host.heads, usage });
            }
        }
        Ok(())
    }

    fn add_real(&mut self, fleet: &ScaleFleet) -> Result<(), ScaleError> {
        for head in fleet.harness.up() {
            let (Some(process), Some(report)) = (fleet.harness.process(head), fleet.real_report(head)) else {
                return Err(ScaleError::Failed(format!("head n{head} does not answer its operators")));
            };
            let role = if (head as u64) < VOTERS { Role::Voter } else { Role::WholeHead };
            let counters = Counters { at: Instant::now(), traffic: report.fleet.plus(&report.discovery) };
            self.processes.insert(process, Process { role, usage: usage(process)?, counters });
            self.depths.extend(report.depth);
            self.versions.push(report.version);
        }
        Ok(())
    }

    fn add_discovery(&mut self, fleet: &mut ScaleFleet) -> Result<(), ScaleError> {
        let report = fleet.discovery.report(false);
        let traffic = report.map_err(|error| ScaleError::failed("discovery", error))?.total;
        let process = fleet.discovery.id();
        let counters = Counters { at: Instant::now(), traffic };
        self.processes.insert(process, Process { role: Role::Discovery, usage: usage(process)?, counters });
        Ok(())
    }

    /// Heads between a voter and a head.
    pub fn depth(&self) -> Spread {
        Spread::of(self.depths.iter().map(|depth| *depth as f64))
    }

    /// Heads that hold a version.
    pub fn holding(&self, version: u64) -> u64 {
        self.versions.iter().filter(|held| **held >= version).count() as u64
    }

    /// The cost of the members of each role since an earlier snapshot.
    pub fn costs_since(&self, before: &Snapshot) -> BTreeMap<Role, Cost> {
        let mut members: BTreeMap<Role, Vec<MemberCost>> = BTreeMap::new();
        for (id, process) in &self.processes {
            let Some(before) = before.processes.get(id) else { continue };
            let load = Load::between(&before.usage, &process.usage, 1);
            let rates = Rates::between(&before.counters, &process.counters);
            members.entry(process.role).or_default().push(MemberCost { load, rates });
        }
        let hollow = self.hollow_costs_since(before);
        if !hollow.is_empty() {
            members.insert(Role::HollowHead, hollow);
        }
        members.into_iter().map(|(role, members)| (role, cost(&members))).collect()
    }

    /// Each hollow head's own traffic, with its even part of what its process takes.
    fn hollow_costs_since(&self, before: &Snapshot) -> Vec<MemberCost> {
        let loads = self.hosts.iter().flat_map(|(id, host)| {
            let load =
                before.hosts.get(id).map(|before| Load::between(&before.usage, &host.usage, host.heads));
            std::iter::repeat_n(load, host.heads as usize).flatten()
        });
        let rates = self
            .hollow
            .iter()
            .filter_map(|(name, counters)| Some(Rates::between(before.hollow.get(name)?, counters)));
        loads.zip(rates).map(|(load, rates)| MemberCost { load, rates }).collect()
    }
}

fn usage(process: u32) -> Result<ProcessUsage, ScaleError> {
    ProcessUsage::of(process).map_err(|error| ScaleError::failed("a process has ended", error))
}

/// What one member takes of the machine.
#[derive(Clone, Copy, Debug)]
struct Load {
    cpu_percent: f64,
    memory_bytes: f64,
    descriptors: f64,
}

impl Load {
    /// The even part of one of so many members of a process.
    fn between(before: &ProcessUsage, after: &ProcessUsage, members: u64) -> Load {
        let members = members.max(1) as f64;
        Load {
            cpu_percent: after.cpu_percent_since(before) / members,
            memory_bytes: after.memory_bytes as f64 / members,
            descriptors: after.descriptors as f64 / members,
        }
    }
}

/// What one member receives and sends a second.
#[derive(Clone, Copy, Debug)]
struct Rates {
    bytes_in: f64,
    bytes_out: f64,
    messages_in: f64,
    messages_out: f64,
}

impl Rates {
    fn between(before: &Counters, after: &Counters) -> Rates {
        let seconds = after.at.saturating_duration_since(before.at).as_secs_f64().max(f64::EPSILON);
        let rate = |count: fn(&TrafficTotals) -> u64| {
            count(&after.traffic).saturating_sub(count(&before.traffic)) as f64 / seconds
        };
        Rates {
            bytes_in: rate(|traffic| traffic.bytes_received),
            bytes_out: rate(|traffic| traffic.bytes_sent),
            messages_in: rate(|traffic| traffic.messages_received),
            messages_out: rate(|traffic| traffic.messages_sent),
        }
    }
}

/// What one member costs.
#[derive(Clone, Copy, Debug)]
struct MemberCost {
    load: Load,
    rates: Rates,
}

fn cost(members: &[MemberCost]) -> Cost {
    let spread = |figure: fn(&MemberCost) -> f64| Spread::of(members.iter().map(figure));
    Cost {
        count: members.len() as u64,
        bytes_in: spread(|member| member.rates.bytes_in),
        bytes_out: spread(|member| member.rates.bytes_out),
        messages_in: spread(|member| member.rates.messages_in),
        messages_out: spread(|member| member.rates.messages_out),
        cpu_percent: spread(|member| member.load.cpu_percent),
        memory_bytes: spread(|member| member.load.memory_bytes),
        descriptors: spread(|member| member.load.descriptors),
    }
}
