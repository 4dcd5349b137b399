//! The real heads of a run: what they say of themselves at their operators' addresses, and when they act on changes.

use super::boot_clock::now_us;
use super::changes::TENANT;
use crate::cluster_processes::admin_client::AdminClient;
use sedgerun_cluster::traffic::TrafficTotals;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time in which a head must answer its operators.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// A change that a head does not act on for so long is given up.
const GIVE_UP: Duration = Duration::from_secs(15);
/// Between samples of the heads' traffic.
const SAMPLE: Duration = Duration::from_secs(1);
/// Status of an answer that the head cannot give yet.
const UNAVAILABLE: u16 = 503;

/// What a real head says of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealHeadReport {
    /// The version that it holds.
    pub version: u64,
    /// Heads between a voter and it; absent before it has heard from one.
    pub depth: Option<u64>,
    /// Backends on its list.
    pub backends: u64,
    /// What passed between it and other heads of the fleet.
    pub fleet: TrafficTotals,
    /// What passed between it and discovery.
    pub discovery: TrafficTotals,
}

impl RealHeadReport {
    /// Asks a head at its operators' address.
    pub fn read(operators: SocketAddr) -> io::Result<RealHeadReport> {
        let mut stream = TcpStream::connect_timeout(&operators, ANSWER_TIME)?;
        stream.set_read_timeout(Some(ANSWER_TIME))?;
        stream.write_all(b"show-stat\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let figures = figures(&text);
        let figure = |name: &str| figures.get(name).copied().unwrap_or(0);
        let traffic = |kind: &str| TrafficTotals {
            bytes_received: figure(&format!("{kind}_bytes_received")),
            bytes_sent: figure(&format!("{kind}_bytes_sent")),
            messages_received: figure(&format!("{kind}_messages_received")),
            messages_sent: figure(&format!("{kind}_messages_sent")),
        };
        Ok(RealHeadReport {
            version: figure("fleet_version"),
            depth: figures.get("fleet_depth").copied(),
            backends: figure("registry_entries"),
            fleet: traffic("fleet"),
            discovery: traffic("discovery"),
        })
    }

    /// Payload in both directions, bytes.
    pub fn payload(&self) -> u64 {
        self.fleet.total_bytes() + self.discovery.total_bytes()
    }
}

/// The unlabelled figures of an answer to `show-stat`, without the prefix that all of them have.
fn figures(text: &str) -> BTreeMap<&str, u64> {
    let figure = |line| -> Option<(&str, u64)> {
        let (name, value) = str::strip_prefix(line, "app_")?.split_once(' ')?;
        Some((name, value.parse().ok()?))
    };
    text.lines().filter_map(figure).collect()
}

/// Notes when one real head acts on versions, on a thread of its own.
pub struct VersionWatch {
    versions: Option<Sender<u64>>,
    thread: JoinHandle<Vec<(u64, u64)>>,
}

impl VersionWatch {
    /// Watches the head behind a caller.
    pub fn start(mut caller: AdminClient) -> VersionWatch {
        let (versions, asked) = channel();
        let thread = std::thread::spawn(move || {
            let mut reached = Vec::new();
            for version in asked {
                if wait_for_version(&mut caller, version) {
                    reached.push((version, now_us()));
                }
            }
            reached
        });
        VersionWatch { versions: Some(versions), thread }
    }

    /// The head is to be watched until it acts on a version.
    pub fn expect(&self, version: u64) {
        if let Some(versions) = &self.versions {
            // A thread that has ended has nothing to note.
            let _ = versions.send(version);
        }
    }

    /// The versions, each with the time at which the head acted on it, us on the boot clock.
    pub fn end(mut self) -> Vec<(u64, u64)> {
        self.versions = None;
        self.thread.join().unwrap_or_default()
    }
}

fn wait_for_version(caller: &mut AdminClient, version: u64) -> bool {
    let begun = Instant::now();
    let request = format!("GET /v1/tenants/{TENANT}");
    let headers = format!("Fleet-At-Least: {version}\r\n");
    while begun.elapsed() < GIVE_UP {
        // Any answer but a refusal comes from the version that was asked for, or a newer one.
        if caller.call(&request, &headers, "").is_some_and(|(status, _)| status != UNAVAILABLE) {
            return true;
        }
    }
    false
}

/// Samples the traffic of real heads once a second, on a thread of its own, and keeps the largest sample.
pub struct PeakWatch {
    ended: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl PeakWatch {
    /// Watches heads by their operators' addresses.
    pub fn start(operators: Vec<SocketAddr>) -> PeakWatch {
        let ended = Arc::new(AtomicBool::new(false));
        let ending = Arc::clone(&ended);
        let thread = std::thread::spawn(move || {
            let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
            let mut peak = 0;
            while !ending.load(Ordering::SeqCst) {
                for at in &operators {
                    let Ok(report) = RealHeadReport::read(*at) else { continue };
                    if let Some(before) = last.insert(*at, report.payload()) {
                        peak = peak.max(report.payload().saturating_sub(before));
                    }
                }
                std::thread::sleep(SAMPLE);
            }
            peak
        });
        PeakWatch { ended, thread }
    }

    /// The largest payload of one head in one second, bytes.
    pub fn end(self) -> u64 {
        self.ended.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or(0)
    }
}
