//! What a run takes of the machine: estimated before anything is started, and looked at again before it grows.

use super::arguments::{ScalePlan, VOTERS};
use super::error::ScaleError;
use super::scale_fleet::hosts_of;
use crate::process::{MachineLimits, MachineMemory, ResourcePlan, descendants, memory_bytes};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
/// Estimated resident memory of a hollow head, without backends.
const HOLLOW_HEAD_BYTES: u64 = 640 * KIB;
/// Estimated resident memory of a backend at a hollow head.
const BACKEND_BYTES: u64 = 1100;
/// Estimated resident memory of a process of any kind, without heads and backends.
const PROCESS_BYTES: u64 = 30 * MIB;
/// Estimated resident memory of a backend at a whole head or at discovery.
const PROCESS_BACKEND_BYTES: u64 = 4 * KIB;
/// Descriptors of a hollow head: its listener, discovery, its upstream, and both ends of what hangs on it.
const HOLLOW_HEAD_DESCRIPTORS: u64 = 8;
/// Descriptors of any process beside those of its heads.
const PROCESS_DESCRIPTORS: u64 = 64;

/// Estimated resident memory of so many more hollow heads.
fn hollow_bytes(heads: u64, backends: u64) -> u64 {
    heads * (HOLLOW_HEAD_BYTES + backends * BACKEND_BYTES)
}

/// Refuses a plan that is too large for this machine, before anything is started: its largest fleet must fit with
/// the shortest list.
pub fn check_plan(plan: &ScalePlan) -> Result<(), ScaleError> {
    check_size(plan, plan.most_heads(), plan.least_backends())?;
    check_descriptors(plan)
}

/// Refuses a size that by the estimates would go past a limit.
pub fn check_size(plan: &ScalePlan, heads: u64, backends: u64) -> Result<(), ScaleError> {
    let limits = MachineLimits::of_machine().map_err(|error| ScaleError::failed("/proc/meminfo", error))?;
    let processes = 1 + 1 + VOTERS + plan.whole_heads + plan.relays + hosts_of(plan);
    let process_bytes = PROCESS_BYTES + backends * PROCESS_BACKEND_BYTES;
    let memory_bytes = processes * process_bytes + hollow_bytes(plan.hollow_heads(heads), backends);
    let checked = limits.check(&ResourcePlan { processes, memory_bytes });
    checked.map_err(|error| ScaleError::refused("--heads", error.to_string()))
}

/// Refuses a plan whose processes would need more descriptors than each may have.
fn check_descriptors(plan: &ScalePlan) -> Result<(), ScaleError> {
    let Some(limit) = descriptor_limit() else { return Ok(()) };
    let hollow = plan.hollow_heads(plan.most_heads());
    let at_host = hollow.div_ceil(hosts_of(plan)) * HOLLOW_HEAD_DESCRIPTORS + PROCESS_DESCRIPTORS;
    let at_discovery = plan.most_heads() + PROCESS_DESCRIPTORS;
    let needed = at_host.max(at_discovery);
    if needed <= limit {
        return Ok(());
    }
    let what = format!("a process needs {needed} descriptors, more than the limit of {limit}");
    Err(ScaleError::refused("--heads", what))
}

/// Descriptors that this process, and those that it starts, may have.
fn descriptor_limit() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// An error where so many more hollow heads would take the run past half of the machine's memory, or the machine
/// past what is free now.
pub fn check_growth(more_heads: u64, backends: u64) -> Result<(), ScaleError> {
    let failed = |error: std::io::Error| ScaleError::failed("/proc", error);
    let limits = MachineLimits::of_machine().map_err(failed)?;
    let processes = descendants().map_err(failed)?;
    // A process may end while the list is read.
    let taken: u64 = processes.iter().filter_map(|process| memory_bytes(*process).ok()).sum();
    let more = hollow_bytes(more_heads, backends);
    let plan = ResourcePlan { processes: processes.len() as u64 + 1, memory_bytes: taken + more };
    limits.check(&plan).map_err(|error| ScaleError::Failed(error.to_string()))?;
    let free = MachineMemory::of_machine().map_err(failed)?.available_bytes;
    if more <= free {
        return Ok(());
    }
    Err(ScaleError::Failed(format!("{} MiB more are needed, and {} MiB are free", more / MIB, free / MIB)))
}
