//! The heads of the cluster simulator, each a node on its disk, and the faults injected into them.

use super::auditor::Auditor;
use super::error::SimulatedNodeError;
use super::fault::{Fault, FaultInjection};
use super::injected_bug::InjectedBug;
use super::network::{LinkState, SimulatedNetwork};
use super::seeded_random::SeededRandom;
use super::simulated_disk::SimulatedDisk;
use sedgerun_cluster::disk::open_in_simulator;
use sedgerun_cluster::environment::Connection;
use sedgerun_cluster::node::{Node, NodeClient, NodeSetup};
use sedgerun_cluster::settings::{DEFAULT_MEMORY, DEFAULT_SOCKETS, Settings};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// Purposes of the random sources of the network and of the disks.
const NETWORK_PURPOSE: u64 = 3;
const SYNC_PURPOSE: u64 = 4;

struct SimulatedHead {
    disk: SimulatedDisk,
    /// An earlier copy of its disk.
    copy: Option<SimulatedDisk>,
    node: Option<Node>,
    incoming: Option<mpsc::UnboundedReceiver<Connection>>,
    /// An earlier copy is in the place of its disk.
    is_restored: bool,
    /// Injected: the id that its store is to have after its disk was wiped.
    old_store_id: Option<u64>,
}

/// The heads of one run.
pub struct SimulatedHeads {
    voters: usize,
    heads: Vec<SimulatedHead>,
    addresses: Vec<SocketAddr>,
    network: SimulatedNetwork,
    /// Says how long each sync takes.
    sync_times: Arc<Mutex<SeededRandom>>,
    bug: Option<InjectedBug>,
    /// A disk was lost and its copies are not at full number again.
    is_repairing: bool,
}

impl SimulatedHeads {
    /// Heads that are not started.
    pub fn new((voters, all): (usize, usize), seed: u64, bug: Option<InjectedBug>) -> SimulatedHeads {
        let address = |head: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + head as u16));
        let addresses: Vec<SocketAddr> = (0..all).map(address).collect();
        let lies = bug == Some(InjectedBug::LyingDisk);
        let head = |_| SimulatedHead {
            disk: SimulatedDisk::new(lies),
            copy: None,
            node: None,
            incoming: None,
            is_restored: false,
            old_store_id: None,
        };
        SimulatedHeads {
            voters,
            heads: (0..all).map(head).collect(),
            network: SimulatedNetwork::new(&addresses, SeededRandom::new(seed, NETWORK_PURPOSE)),
            addresses,
            sync_times: Arc::new(Mutex::new(SeededRandom::new(seed, SYNC_PURPOSE))),
            bug,
            is_repairing: false,
        }
    }

    /// Whether a head is up.
    pub fn is_up(&self, head: usize) -> bool {
        self.heads[head].node.is_some()
    }

    /// Whether nothing is wrong: all up and reached, all copies at full number.
    pub fn are_complete(&self) -> bool {
        !self.is_repairing && self.network.is_well() && self.heads.iter().all(|head| head.node.is_some())
    }

    fn settings(&self, head: usize) -> Settings {
        let named = |head: usize| (format!("n{head}"), self.addresses[head]);
        Settings {
            name: "world".into(),
            secret: "known to the World alone".into(),
            listen: self.addresses[head],
            dir: PathBuf::new(),
            voters: (0..self.voters).map(named).collect(),
            heads: (self.voters..self.heads.len()).map(named).collect(),
            address: Some(self.addresses[head]),
            zone: None,
            region: None,
            relay: false,
            sockets: DEFAULT_SOCKETS,
            memory: DEFAULT_MEMORY,
        }
    }

    /// Begins to start a head.
    pub fn starting(
        &mut self,
        head: usize,
    ) -> impl Future<Output = Result<Node, SimulatedNodeError>> + use<> {
        let settings = self.settings(head);
        let (address, port, sync_times) =
            (self.addresses[head], self.network.port(head), Arc::clone(&self.sync_times));
        let own = &mut self.heads[head];
        own.incoming = Some(self.network.up(head));
        let (opened, old_store_id) = (own.disk.open(), own.old_store_id.take());
        async move {
            // A sync of 0.5 to 6 ms, and at times of 100.
            let sync = move || {
                let mut random = sync_times.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let long = if random.below(200) == 0 { 100_000 } else { 0 };
                Duration::from_micros(500 + random.below(5500) + long)
            };
            let opened = open_in_simulator(opened, sync).map_err(SimulatedNodeError::cluster)?;
            let (disk, mut opened) = opened;
            if let Some(store) = old_store_id {
                opened.identity.store = store;
            }
            let head = format!("n{head}");
            let setup = NodeSetup { settings, head, address, disk, opened, dial: port };
            Node::start(setup).await.map_err(SimulatedNodeError::cluster)
        }
    }

    /// A head has started.
    pub fn started(&mut self, head: usize, node: Node) {
        self.heads[head].node = Some(node);
    }

    /// Hands on connections that wait.
    pub fn take_connections(&mut self) {
        for head in &mut self.heads {
            let (Some(node), Some(incoming)) = (&mut head.node, &mut head.incoming) else { continue };
            while let Ok(connection) = incoming.try_recv() {
                node.accept(connection);
            }
        }
    }

    /// Shows the auditor how they stand, and finds out whether the copies are at full number.
    pub fn observe(&mut self, auditor: &mut Auditor) {
        let mut is_complete = false;
        for (head, node) in self.heads.iter().filter_map(|head| Some((head, head.node.as_ref()?))) {
            let status = node.status();
            if !head.is_restored && status.fault.as_ref().is_some_and(|what| what.contains("older copy")) {
                auditor.broke(format!("{} is taken for an older copy, and is none", status.head));
            }
            // An older copy of a disk shows its old state until it is detected.
            if !head.is_restored {
                auditor.observe_version(status.store, status.incarnation, status.version);
            }
            if let Some(term) = node.leading_term() {
                auditor.observe_leader(term, status.store);
                let is_current = |voter: &sedgerun_cluster::types::VoterStatus| {
                    let up = self.heads.iter().filter_map(|head| head.node.as_ref());
                    voter.votes
                        && voter.matched_index == Some(status.last_index)
                        && up.into_iter().any(|n| n.store_id() == voter.store)
                };
                is_complete |= status.voters.len() == self.voters && status.voters.iter().all(is_current);
            }
        }
        self.is_repairing &= !is_complete;
    }

    fn down(&mut self, head: usize) {
        self.network.down(head);
        self.heads[head].incoming = None;
        // Dropped, it does nothing more; what it had not written is never written.
        if let Some(node) = self.heads[head].node.take() {
            node.stop();
        }
    }

    /// Injects a fault; returns the head that is to be started, if any.
    pub fn inject(&mut self, injection: FaultInjection, random: &mut SeededRandom) -> Option<usize> {
        let FaultInjection { fault, head, other } = injection;
        match fault {
            Fault::Kill => {
                self.heads[head].disk.kill();
                self.down(head);
            }
            Fault::Power => {
                self.heads[head].disk.lose_power(random);
                self.down(head);
            }
            Fault::Start => return Some(head),
            Fault::Cut => self.set_both(head, other, LinkState::Cut),
            Fault::Isolate => self.others(head).for_each(|to| self.set_both(head, to, LinkState::Cut)),
            Fault::Deaf => self.others(head).for_each(|to| self.network.set(to, head, LinkState::Lose)),
            Fault::Stall => self.others(head).for_each(|to| self.set_both(head, to, LinkState::Stall)),
            Fault::Heal => self.network.heal(),
            Fault::Copy => self.heads[head].copy = Some(self.heads[head].disk.copy()),
            Fault::Lose => return Some(self.lose_disk(head)),
            Fault::Restore => return self.restore_copy(head),
        }
        None
    }

    /// A head is lost with its disk; it is to be started with an empty one.
    fn lose_disk(&mut self, head: usize) -> usize {
        self.is_repairing = true;
        let store = self.heads[head].node.as_ref().map(Node::store_id);
        self.heads[head].disk.kill();
        self.down(head);
        let lies = self.bug == Some(InjectedBug::LyingDisk);
        let lost = &mut self.heads[head];
        lost.disk = SimulatedDisk::new(lies);
        (lost.copy, lost.is_restored) = (None, false);
        lost.old_store_id = store.filter(|_| self.bug == Some(InjectedBug::OldStoreId));
        head
    }

    /// The copy of a disk takes its place; the head is to be started, if there is a copy.
    fn restore_copy(&mut self, head: usize) -> Option<usize> {
        let copy = self.heads[head].copy.take()?;
        self.heads[head].disk.kill();
        self.down(head);
        (self.heads[head].disk, self.heads[head].is_restored) = (copy, true);
        self.is_repairing = true;
        Some(head)
    }

    fn others(&self, head: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.heads.len()).filter(move |other| *other != head)
    }

    fn set_both(&self, a: usize, b: usize, state: LinkState) {
        self.network.set(a, b, state);
        self.network.set(b, a, state);
    }

    /// Whether a head has an earlier copy of its disk.
    pub fn has_copy(&self, head: usize) -> bool {
        self.heads[head].copy.is_some()
    }

    /// All faults end; returns the heads that are to be started. One that has detected that it is an older copy is
    /// wiped, as operators would do.
    pub fn heal(&mut self) -> Vec<usize> {
        self.network.heal();
        for head in 0..self.heads.len() {
            let old = |node: &Node| node.status().fault.is_some_and(|what| what.contains("older copy"));
            if self.heads[head].node.as_ref().is_some_and(old) {
                self.heads[head].disk.kill();
                self.down(head);
                (self.heads[head].disk, self.heads[head].is_restored) = (SimulatedDisk::new(false), false);
            }
        }
        (0..self.heads.len()).filter(|head| !self.is_up(*head)).collect()
    }

    /// What is not yet the same at all heads, or lacks something acknowledged.
    pub fn difference(&self, auditor: &Auditor) -> Option<String> {
        let nodes: Vec<&Node> = self.heads.iter().filter_map(|head| head.node.as_ref()).collect();
        let newest = nodes.iter().map(|node| node.read(|view| view.version)).max().unwrap_or(0);
        for (head, node) in nodes.iter().enumerate() {
            let status = node.status();
            // Detected late: it does not take part, and an operator wipes it.
            if status.fault.as_ref().is_some_and(|what| what.contains("older copy")) {
                continue;
            }
            let missing = node.read(|view| auditor.missing(view));
            if let Some(lost) = missing {
                return Some(format!("{lost} was acknowledged, and head {head} does not hold it in the end"));
            }
            if status.version < newest {
                return Some(format!(
                    "head {head} stays at version {}, not {newest}: {status:?}",
                    status.version
                ));
            }
        }
        let leader =
            nodes.iter().filter(|node| node.leading_term().is_some()).max_by_key(|node| node.leading_term());
        let Some(leader) = leader.map(|leader| leader.status()) else {
            return Some("nobody leads in the end".to_owned());
        };
        let votes = leader.voters.iter().filter(|voter| voter.votes).count();
        let is_complete = votes == self.voters && leader.voters.len() == self.voters;
        (!is_complete).then(|| format!("{votes} of {} keep in the end: {leader:?}", leader.voters.len()))
    }

    /// A client of a head, while it is up.
    pub fn client(&self, head: usize) -> Option<NodeClient> {
        self.heads[head].node.as_ref().map(Node::client)
    }

    /// A client of a randomly chosen head, if that is up.
    pub fn any_client(&self, random: &mut SeededRandom) -> Option<NodeClient> {
        self.client(random.below(self.heads.len() as u64) as usize)
    }
}
