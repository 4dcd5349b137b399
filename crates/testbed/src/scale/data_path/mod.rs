//! What requests cost a head, by the number of backends: one head, clients in a closed loop, and requests spread
//! evenly over all backends.

mod backends;
mod clients;
pub mod command;
mod head;

pub use backends::run as run_backends;

use super::discovery::DiscoveryProcess;
use super::error::ScaleError;
use super::results::{DataPath, Latency};
use super::stop::StopRequest;
use crate::process::{MachineLimits, ProcessUsage, ResourcePlan};
use backends::Backends;
use clients::{Clients, Window};
use head::HeadProcess;
pub use head::HeadProgram;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

/// The most clients.
const MOST_CLIENTS: usize = 256;
/// Descriptors that the head may hold.
const SOCKETS: RangeInclusive<usize> = 32..=16_000;
/// The most backends.
pub const MOST_BACKENDS: usize = 16_000;
/// The longest measurement of one size, s.
pub const MOST_SECONDS: u64 = 60;
/// The largest body of a request, bytes.
const MOST_BODY_BYTES: usize = 1 << 20;
/// Load before the measurement, in which connections are made that are kept later.
const WARM_UP: Duration = Duration::from_secs(3);
/// Memory that is planned for a process, bytes; more than a head or 7,400 listeners were seen to take.
const MEMORY_OF_PROCESS: u64 = 300 << 20;
/// Processes beside those of the backends: this one, discovery and the head.
const OTHER_PROCESSES: usize = 3;

/// What is measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataPathPlan {
    /// Numbers of backends, one measurement each.
    pub backends: Vec<usize>,
    /// Clients that each have one request out at a time.
    pub clients: usize,
    /// Length of each measurement, s.
    pub seconds: u64,
    /// Descriptors that the head may hold.
    pub sockets: usize,
    /// Bytes of the body of each request; 0: reads without a body.
    pub body_bytes: usize,
}

impl DataPathPlan {
    /// Refuses what makes no sense, and what the machine could not bear.
    pub fn check(&self) -> Result<(), ScaleError> {
        let refused = |option, what: String| Err(ScaleError::refused(option, what));
        let sizes = &self.backends;
        if sizes.is_empty() || sizes.iter().any(|count| !(1..=MOST_BACKENDS).contains(count)) {
            return refused("--backends", format!("numbers from 1 to {MOST_BACKENDS}"));
        }
        if !(1..=MOST_SECONDS).contains(&self.seconds) {
            return refused("--seconds", format!("from 1 to {MOST_SECONDS}"));
        }
        if !(1..=MOST_CLIENTS).contains(&self.clients) {
            return refused("--clients", format!("from 1 to {MOST_CLIENTS}"));
        }
        if !SOCKETS.contains(&self.sockets) {
            return refused("--sockets", format!("from {} to {}", SOCKETS.start(), SOCKETS.end()));
        }
        if self.body_bytes > MOST_BODY_BYTES {
            return refused("--body-bytes", format!("up to {MOST_BODY_BYTES}"));
        }
        let largest = sizes.iter().copied().max().unwrap_or(0);
        let processes = (backends::processes_for(largest) + OTHER_PROCESSES) as u64;
        let plan = ResourcePlan { processes, memory_bytes: processes * MEMORY_OF_PROCESS };
        let limits =
            MachineLimits::of_machine().map_err(|error| ScaleError::failed("/proc/meminfo", error))?;
        limits.check(&plan).map_err(|error| ScaleError::refused("--backends", error.to_string()))
    }

    /// Measures one number of backends. `own` is the program of the emulated parts, `sedgerun-testbed`.
    pub fn measure(
        &self,
        own: &Path,
        program: &HeadProgram,
        count: usize,
        stop: &StopRequest,
    ) -> Result<(DataPath, UnservedRequests), ScaleError> {
        let backends_failed = |error| ScaleError::failed("backends", error);
        let discovery_failed = |error| ScaleError::failed("discovery", error);
        let head_failed = |error| ScaleError::failed("head", error);
        let mut backends = Backends::start(own, count).map_err(backends_failed)?;
        let mut discovery = DiscoveryProcess::start(own).map_err(discovery_failed)?;
        discovery.set_addresses(backends.addresses().to_vec()).map_err(discovery_failed)?;
        let head = HeadProcess::start(program, discovery.address(), self.sockets, self.body_bytes)?;
        head.wait_until_it_serves(count, stop)?;
        let clients = Clients::start(head.traffic(count), self.clients)?;
        stop.pause(WARM_UP)?;
        let before = ProcessUsage::of(head.id()).map_err(head_failed)?;
        let connections_before = backends.connections().map_err(backends_failed)?;
        clients.open_window();
        stop.pause(Duration::from_secs(self.seconds))?;
        clients.close_window();
        let after = ProcessUsage::of(head.id()).map_err(head_failed)?;
        let connections_after = backends.connections().map_err(backends_failed)?;
        let Window { times, not_served } = clients.end()?;
        let elapsed = after.at.saturating_duration_since(before.at).as_secs_f64();
        let requests = times.len();
        let cpu = after.cpu.saturating_sub(before.cpu);
        let milliseconds = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
        let measured = DataPath {
            backends: count as u64,
            clients: self.clients as u64,
            requests,
            cpu_us: cpu.as_secs_f64() * 1e6 / requests.max(1) as f64,
            connects_per_second: connections_after.saturating_sub(connections_before) as f64 / elapsed,
            requests_per_second: requests as f64 / elapsed,
            latency: Latency {
                count: requests,
                median_ms: milliseconds(0.5),
                p99_ms: milliseconds(0.99),
                most_ms: times.max() as f64 / 1e3,
            },
        };
        Ok((measured, UnservedRequests(not_served)))
    }
}

/// Requests of a measurement that were answered with anything but 200; they count in no figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnservedRequests(pub u64);
