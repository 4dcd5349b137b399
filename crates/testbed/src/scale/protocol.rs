//! What the orchestrator and a process of hollow heads say to each other: one JSON document a line.

use sedgerun_cluster::traffic::TrafficTotals;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The first line that a host process reads: what all of its heads have in common.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSpec {
    /// What the heads' names begin with.
    pub name_prefix: String,
    /// The zone of the heads.
    pub zone: String,
    /// The number of the zone, which is the fourth octet of their addresses.
    pub zone_number: u8,
    /// The region of the heads, which is the third octet of their addresses.
    pub region: u8,
    /// The heads are relays.
    pub relay: bool,
    /// The fleet's name.
    pub fleet: String,
    /// The fleet's secret.
    pub secret: String,
    /// The voters, by their names.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The platform's configuration of a head, which names discovery.
    pub config: PathBuf,
    /// Seed of the heads' names, seeds and jitter.
    pub seed: u64,
}

/// What a head that starts must hold before it counts as ready.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ReadyWhen {
    /// Version of the fleet's store.
    pub version: u64,
    /// Backends on the list.
    pub backends: u64,
}

/// What a host process is asked.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostCommand {
    /// Start so many more heads, spread over some time.
    Start {
        /// How many.
        count: u64,
        /// Over how long, ms.
        within_ms: u64,
        /// When they are ready.
        ready_when: ReadyWhen,
    },
    /// Stop all heads at once, as a loss of power would; what their stores had synced stays.
    Stop,
    /// Stop the heads that hear from a voter itself and serve others, in the same way.
    StopUpstreams,
    /// Start all stopped heads again.
    Restart {
        /// Over how long, ms.
        within_ms: u64,
        /// When they are ready.
        ready_when: ReadyWhen,
    },
    /// Lose all connections to other regions, and make none.
    Cut,
    /// Reach other regions again.
    Heal,
    /// Forget the largest traffic in one second.
    ResetPeaks,
    /// Say how each head stands.
    Report,
    /// Say when heads came to hold versions since this was last asked.
    Reached,
}

/// What it answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostAnswer {
    /// It is done, or under way.
    Done,
    /// It cannot be done.
    Failed(String),
    /// So many heads were stopped.
    Stopped(u64),
    /// How each head stands.
    Report(Vec<HeadReport>),
    /// For each version, when heads came to act on it, us on the boot clock.
    Reached(BTreeMap<u64, Vec<u64>>),
}

/// How one hollow head stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeadReport {
    /// Its name.
    pub name: String,
    /// The version that it acts on.
    pub version: u64,
    /// Heads between a voter and it; absent before it has heard from one.
    pub depth: Option<u64>,
    /// Heads that hear from it, by themselves and over others.
    pub followers: u64,
    /// How old its state may be, ms; absent before it has heard anything.
    pub age_ms: Option<u64>,
    /// Backends on its list.
    pub backends: u64,
    /// What passed between it and other heads of the fleet.
    pub fleet: TrafficTotals,
    /// What passed between it and discovery.
    pub discovery: TrafficTotals,
    /// The largest payload in and out in any one second, bytes.
    pub peak_bytes: u64,
    /// From its start until it was ready.
    pub ready: Option<Ready>,
}

/// What a head took to be ready.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Ready {
    /// From its start, ms.
    #[serde(rename = "took_ms")]
    pub elapsed_ms: f64,
    /// Payload received until then, bytes.
    pub bytes_in: u64,
}
