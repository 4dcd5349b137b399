//! Processes of a measurement: what they take of the machine, their end, and how many and how large they may be.

use std::collections::BTreeSet;
use std::io;
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The part of the machine's memory that all processes of a run may take.
const MEMORY_PART: u64 = 2;
/// The most processes of a run.
const MAX_PROCESSES: u64 = 300;
const MIB: u64 = 1 << 20;

/// What a process has taken of the machine by a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// When it was read.
    pub at: Instant,
    /// Processor time of all its threads that live, since their starts.
    pub cpu: Duration,
    /// Resident memory, bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process of the same user.
    pub fn of(process: u32) -> io::Result<ProcessUsage> {
        Ok(ProcessUsage {
            at: Instant::now(),
            cpu: cpu_time(process)?,
            memory_bytes: memory_bytes(process)?,
            descriptors: std::fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64,
        })
    }

    /// Processor time since an earlier reading, in percent of one core.
    pub fn cpu_percent_since(&self, earlier: &ProcessUsage) -> f64 {
        let elapsed = self.at.saturating_duration_since(earlier.at).as_secs_f64();
        100.0 * self.cpu.saturating_sub(earlier.cpu).as_secs_f64() / elapsed.max(f64::EPSILON)
    }
}

fn malformed(path: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{path}: not in the form that is known"))
}

/// Processor time of all threads of a process that live: the scheduler's own count, in nanoseconds.
pub fn cpu_time(process: u32) -> io::Result<Duration> {
    let mut nanoseconds = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let path = thread?.path().join("schedstat");
        // A thread may end while the list is read.
        let Ok(text) = std::fs::read_to_string(&path) else { continue };
        let first = text.split(' ').next().and_then(|count| count.parse::<u64>().ok());
        nanoseconds += first.ok_or_else(|| malformed(&path.display().to_string()))?;
    }
    Ok(Duration::from_nanos(nanoseconds))
}

/// Resident memory of a process, bytes.
pub fn memory_bytes(process: u32) -> io::Result<u64> {
    read_field(&format!("/proc/{process}/status"), "VmRSS:")
}

/// A field of a file of `/proc` in kB, as bytes.
fn read_field(path: &str, name: &str) -> io::Result<u64> {
    let text = std::fs::read_to_string(path)?;
    let mut fields = text.lines().filter_map(|line| line.strip_prefix(name));
    let kilobytes = fields.next().and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kilobytes.ok_or_else(|| malformed(path))? * 1024)
}

/// Memory of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineMemory {
    /// All of it, bytes.
    pub total_bytes: u64,
    /// What programs could take without swapping, bytes.
    pub available_bytes: u64,
}

impl MachineMemory {
    /// Reads that of this machine.
    pub fn of_machine() -> io::Result<MachineMemory> {
        let field = |name| read_field("/proc/meminfo", name);
        Ok(MachineMemory { total_bytes: field("MemTotal:")?, available_bytes: field("MemAvailable:")? })
    }
}

/// The process that started another one.
fn parent(process: u32) -> Option<u32> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The second field is the program's name in brackets, which may hold any character.
    let (_, rest) = text.rsplit_once(')')?;
    rest.split_whitespace().nth(1)?.parse().ok()
}

/// Processes that this one started, and those that they did.
pub fn descendants() -> io::Result<BTreeSet<u32>> {
    let entries = std::fs::read_dir("/proc")?.flatten();
    let processes = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let pairs: Vec<(u32, u32)> = processes.filter_map(|process| Some((process, parent(process)?))).collect();
    let (mut found, own) = (BTreeSet::new(), std::process::id());
    loop {
        let known = found.len();
        let children = pairs.iter().filter(|(_, parent)| *parent == own || found.contains(parent));
        let children: Vec<u32> = children.map(|(process, _)| *process).collect();
        found.extend(children);
        if found.len() == known {
            return Ok(found);
        }
    }
}

/// A child process that is killed and reaped when the guard is dropped.
#[derive(Debug)]
pub struct ChildGuard {
    child: Child,
}

impl ChildGuard {
    /// Guards a process.
    pub fn new(child: Child) -> ChildGuard {
        ChildGuard { child }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The process, for its pipes and to see whether it has ended.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Waits until it has ended by itself.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        // One that has ended is only reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a run is going to take of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourcePlan {
    /// Processes in all.
    pub processes: u64,
    /// Resident memory of all of them, bytes.
    pub memory_bytes: u64,
}

/// What a run may take of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// The most processes.
    pub processes: u64,
    /// The most resident memory of all of them, bytes.
    pub memory_bytes: u64,
}

impl MachineLimits {
    /// The limits on this machine: half of its memory, and a few hundred processes.
    pub fn of_machine() -> io::Result<MachineLimits> {
        let memory = MachineMemory::of_machine()?;
        Ok(MachineLimits { processes: MAX_PROCESSES, memory_bytes: memory.total_bytes / MEMORY_PART })
    }

    /// Refuses a plan that would go past a limit.
    pub fn check(&self, plan: &ResourcePlan) -> Result<(), LimitExceeded> {
        if plan.processes > self.processes {
            return Err(LimitExceeded::Processes { planned: plan.processes, limit: self.processes });
        }
        if plan.memory_bytes > self.memory_bytes {
            return Err(LimitExceeded::Memory { planned: plan.memory_bytes, limit: self.memory_bytes });
        }
        Ok(())
    }
}

/// The limit that a plan would go past.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitExceeded {
    /// Too many processes.
    #[error("the run needs {planned} processes, more than the limit of {limit}")]
    Processes {
        /// How many were planned.
        planned: u64,
        /// How many there may be.
        limit: u64,
    },
    /// Too much memory, bytes.
    #[error(
        "the run needs {} MiB of memory, more than half of this machine's: the limit is {} MiB",
        .planned.div_ceil(MIB),
        .limit / MIB
    )]
    Memory {
        /// How much was planned.
        planned: u64,
        /// How much it may be.
        limit: u64,
    },
}
