//! The record that a scale run leaves: one JSON document that the capacity page is worked out from.
//!
//! Rates are per second of wall-clock time; bytes are those of TCP payloads, counted at the sockets of the process or
//! hollow head that they are charged to. A figure that was not taken is absent, never zero.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Format of the document; a reader refuses any other.
pub const FORMAT: u32 = 1;

/// What a process or hollow head is in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A real head whose store votes.
    Voter,
    /// A real head without a vote that serves updates to many others.
    Relay,
    /// A real head without a vote, with its fronts open and no clients.
    WholeHead,
    /// The control code of a head alone, one of many in a process.
    HollowHead,
    /// The emulated discovery service of the platform.
    Discovery,
}

/// The whole document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleResults {
    /// [`FORMAT`].
    pub format: u32,
    /// Where it was run.
    pub machine: Machine,
    /// The commit of the program, with `-dirty` behind it where the tree differed from it.
    pub commit: String,
    /// The seed of all chance in the run.
    pub seed: u64,
    /// Everything that was asked for was measured.
    pub complete: bool,
    /// What was asked for and is missing, a sentence each.
    pub not_run: Vec<String>,
    /// Steady load, by size.
    pub points: Vec<Point>,
    /// Starts, by size.
    pub starts: Vec<Start>,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// The data path, by number of backends.
    pub data_path: Vec<DataPath>,
}

/// The machine of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Logical processors.
    pub cores: u64,
    /// Physical memory, bytes.
    pub memory_bytes: u64,
    /// Kernel release.
    pub kernel: String,
}

/// One steady load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Heads in all: voters, relays, whole and hollow heads.
    pub heads: u64,
    /// Backends on discovery's list.
    pub backends: u64,
    /// Changes of the fleet's store a second, as asked for.
    pub changes_per_second: f64,
    /// Length of the measurement, s.
    pub seconds: f64,
    /// Cost of one member of each role.
    pub roles: BTreeMap<Role, Cost>,
    /// From the settling of a change until the last head acts on it; absent without changes.
    pub in_force: Option<Latency>,
    /// Heads between a voter and a head: the mean and the largest.
    pub depth: Spread,
    /// Heads that acted on the last change when the measurement ended.
    pub reached: u64,
}

/// What one member of a role costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cost {
    /// Members that were measured.
    pub count: u64,
    /// Payload received, bytes a second.
    pub bytes_in: Spread,
    /// Payload sent, bytes a second.
    pub bytes_out: Spread,
    /// Messages received a second.
    pub messages_in: Spread,
    /// Messages sent a second.
    pub messages_out: Spread,
    /// Processor time, percent of one core; of a hollow head its even part of its process.
    pub cpu_percent: Spread,
    /// Resident memory, bytes; of a hollow head its even part of its process.
    pub memory_bytes: Spread,
    /// Open descriptors; of a hollow head its even part of its process.
    pub descriptors: Spread,
}

/// A figure over the members of a role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// The largest.
    pub most: f64,
}

/// Times of several events, ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Events.
    pub count: u64,
    /// Median, ms.
    pub median_ms: f64,
    /// 99th percentile, ms.
    pub p99_ms: f64,
    /// The longest, ms.
    pub most_ms: f64,
}

/// Heads that start together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Heads in all.
    pub heads: u64,
    /// Backends on discovery's list.
    pub backends: u64,
    /// Heads that started together.
    pub started: u64,
    /// From the start until a head holds the list and the store's newest version.
    pub ready: Latency,
    /// Payload that one head received until then, bytes.
    pub bytes_in: Spread,
}

/// An injected fault and what came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// `leader_killed`, `backend_replaced`, `relays_killed`, `zone_returned` or `region_cut`.
    pub name: String,
    /// Heads in all.
    pub heads: u64,
    /// Backends on discovery's list.
    pub backends: u64,
    /// Heads that the fault struck.
    pub struck: u64,
    /// From the fault until the next change was settled, ms.
    pub settled_again_ms: Option<f64>,
    /// Until every head that could be reached acted on a change made after the fault, ms; for a backend that was
    /// replaced, until all heads hold the list with the new one.
    pub in_force_ms: Option<f64>,
    /// The largest payload of one member, whatever its role, in and out in any one second after the fault, bytes.
    pub peak_bytes: Option<f64>,
    /// The same of heads that are neither voters nor relays; absent where it was not measured by itself.
    #[serde(default)]
    pub head_peak_bytes: Option<f64>,
    /// How old the cut heads said that their state was, at the most, ms.
    pub oldest_ms: Option<f64>,
    /// Every check of this fault passed.
    pub passed: bool,
    /// What did not hold, a sentence each.
    pub failures: Vec<String>,
}

/// Requests through one whole head, spread over all backends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataPath {
    /// Backends.
    pub backends: u64,
    /// Clients at once.
    pub clients: u64,
    /// Requests that were answered.
    pub requests: u64,
    /// Processor time of the head for one request, us.
    pub cpu_us: f64,
    /// New connections to backends a second.
    pub connects_per_second: f64,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Latency of a request.
    pub latency: Latency,
}
