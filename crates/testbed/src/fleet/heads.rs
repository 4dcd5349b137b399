//! The heads of the fleet's simulator, each with its disk, and the faults injected into them.

use super::auditor::Auditor;
use super::disk::SimulatedDisk;
use super::faults::{Fault, FaultSchedule};
use super::net::{LinkState, Net};
use super::{Chance, InjectedBug};
use sedgerun_cluster::disk::open_in_simulator;
use sedgerun_cluster::environment::Connection;
use sedgerun_cluster::node::{Node, NodeClient, NodeSetup};
use sedgerun_cluster::settings::{DEFAULT_SOCKETS, Settings};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

struct Head {
    disk: SimulatedDisk,
    /// An earlier copy of its disk.
    copy: Option<SimulatedDisk>,
    node: Option<Node>,
    incoming: Option<mpsc::UnboundedReceiver<Connection>>,
    /// An earlier copy lies in the place of its disk.
    restored: bool,
    /// Injected: the number that its store is to have after its disk was wiped.
    old_name: Option<u64>,
}

/// The heads.
pub struct Heads {
    voters: usize,
    heads: Vec<Head>,
    places: Vec<SocketAddr>,
    net: Net,
    syncs: Arc<Mutex<Chance>>,
    bug: Option<InjectedBug>,
    /// A disk was lost and its copies are not at full number again.
    repairing: bool,
}

impl Heads {
    /// Heads that are not started.
    pub fn new((voters, all): (usize, usize), seed: u64, bug: Option<InjectedBug>) -> Heads {
        let place = |head: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + head as u16));
        let places: Vec<SocketAddr> = (0..all).map(place).collect();
        let lies = bug == Some(InjectedBug::LyingDisk);
        let head = |_| Head {
            disk: SimulatedDisk::new(lies),
            copy: None,
            node: None,
            incoming: None,
            restored: false,
            old_name: None,
        };
        Heads {
            voters,
            heads: (0..all).map(head).collect(),
            net: Net::new(&places, Chance::new(seed, 3)),
            places,
            syncs: Arc::new(Mutex::new(Chance::new(seed, 4))),
            bug,
            repairing: false,
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.heads.len()
    }

    /// Whether a head is up.
    pub fn is_up(&self, head: usize) -> bool {
        self.heads[head].node.is_some()
    }

    /// Whether all is as it should be: all up and reached, all copies at full number.
    pub fn is_whole(&self) -> bool {
        !self.repairing && self.net.is_well() && self.heads.iter().all(|head| head.node.is_some())
    }

    fn settings(&self, head: usize) -> Settings {
        let named = |head: usize| (format!("n{head}"), self.places[head]);
        Settings {
            name: "world".into(),
            secret: "known to the World alone".into(),
            listen: self.places[head],
            dir: PathBuf::new(),
            voters: (0..self.voters).map(named).collect(),
            heads: (self.voters..self.heads.len()).map(named).collect(),
            address: Some(self.places[head]),
            zone: None,
            region: None,
            relay: false,
            sockets: DEFAULT_SOCKETS,
        }
    }

    /// Begins to start a head.
    pub fn starting(&mut self, head: usize) -> impl Future<Output = Result<Node, String>> + use<> {
        let settings = self.settings(head);
        let (address, port, syncs) = (self.places[head], self.net.port(head), Arc::clone(&self.syncs));
        let own = &mut self.heads[head];
        own.incoming = Some(self.net.up(head));
        let (backend, old_name) = (own.disk.open(), own.old_name.take());
        async move {
            // A sync of 0.5 to 6 ms, and at times of 100.
            let sync = move || {
                let mut chance = syncs.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let long = if chance.below(200) == 0 { 100_000 } else { 0 };
                Duration::from_micros(500 + chance.below(5500) + long)
            };
            let read = open_in_simulator(backend, sync).map_err(|error| error.to_string());
            let (disk, mut opened) = read?;
            if let Some(store) = old_name {
                opened.identity.store = store;
            }
            let head = format!("n{head}");
            let setup = NodeSetup { settings, head, address, disk, opened, dial: port };
            Node::start(setup).await.map_err(|error| error.to_string())
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
        let mut whole = false;
        for (head, node) in self.heads.iter().filter_map(|head| Some((head, head.node.as_ref()?))) {
            let status = node.status();
            if !head.restored && status.trouble.as_ref().is_some_and(|what| what.contains("older copy")) {
                auditor.broke(format!("{} is taken for an older copy, and is none", status.head));
            }
            // An older copy of a disk shows what it held until it is found out.
            if !head.restored {
                auditor.at(status.store, status.incarnation, status.version);
            }
            if let Some(term) = node.leads_in() {
                auditor.leads(term, status.store);
                let there = |voter: &sedgerun_cluster::types::VoterStatus| {
                    let up = self.heads.iter().filter_map(|head| head.node.as_ref());
                    voter.votes
                        && voter.matched == Some(status.last)
                        && up.into_iter().any(|n| n.store() == voter.store)
                };
                whole |= status.voters.len() == self.voters && status.voters.iter().all(there);
            }
        }
        self.repairing &= !whole;
    }

    fn down(&mut self, head: usize) {
        self.net.down(head);
        self.heads[head].incoming = None;
        // Dropped, it does nothing more; what it had not written is never written.
        if let Some(node) = self.heads[head].node.take() {
            node.end();
        }
    }

    /// Injects a fault; the heads that are to be started.
    pub fn inject(&mut self, fault: (Fault, usize, usize), schedule: &mut FaultSchedule) -> Vec<usize> {
        let (kind, head, other) = fault;
        match kind {
            Fault::Kill => {
                self.heads[head].disk.kill();
                self.down(head);
            }
            Fault::Power => {
                self.heads[head].disk.lose_power(&mut schedule.chance);
                self.down(head);
            }
            Fault::Start => return vec![head],
            Fault::Cut => self.both(head, other, LinkState::Cut),
            Fault::Isolate => {
                (0..self.heads.len())
                    .filter(|to| *to != head)
                    .for_each(|to| self.both(head, to, LinkState::Cut));
            }
            Fault::Deaf => {
                (0..self.heads.len())
                    .filter(|to| *to != head)
                    .for_each(|to| self.net.set(to, head, LinkState::Lose));
            }
            Fault::Stall => {
                (0..self.heads.len())
                    .filter(|to| *to != head)
                    .for_each(|to| self.both(head, to, LinkState::Stall));
            }
            Fault::Heal => self.net.heal(),
            Fault::Copy => self.heads[head].copy = Some(self.heads[head].disk.copy()),
            Fault::Lose => {
                self.repairing = true;
                let store = self.heads[head].node.as_ref().map(Node::store);
                self.heads[head].disk.kill();
                self.down(head);
                self.heads[head].disk = SimulatedDisk::new(self.bug == Some(InjectedBug::LyingDisk));
                (self.heads[head].copy, self.heads[head].restored) = (None, false);
                self.heads[head].old_name = store.filter(|_| self.bug == Some(InjectedBug::OldName));
                return vec![head];
            }
            Fault::Restore => {
                let Some(copy) = self.heads[head].copy.take() else { return vec![] };
                self.heads[head].disk.kill();
                self.down(head);
                (self.heads[head].disk, self.heads[head].restored) = (copy, true);
                self.repairing = true;
                return vec![head];
            }
        }
        vec![]
    }

    fn both(&self, a: usize, b: usize, state: LinkState) {
        self.net.set(a, b, state);
        self.net.set(b, a, state);
    }

    /// Whether a head has an earlier copy of its disk.
    pub fn has_copy(&self, head: usize) -> bool {
        self.heads[head].copy.is_some()
    }

    /// All faults end; the heads that are to be started. One that has found out that it is an older copy is wiped,
    /// as operators would.
    pub fn heal(&mut self) -> Vec<usize> {
        self.net.heal();
        for head in 0..self.heads.len() {
            let old = |node: &Node| node.status().trouble.is_some_and(|what| what.contains("older copy"));
            if self.heads[head].node.as_ref().is_some_and(old) {
                self.heads[head].disk.kill();
                self.down(head);
                (self.heads[head].disk, self.heads[head].restored) = (SimulatedDisk::new(false), false);
            }
        }
        (0..self.heads.len()).filter(|head| !self.is_up(*head)).collect()
    }

    /// Why they are not yet at one, with all that was acknowledged.
    pub fn apart(&self, auditor: &Auditor) -> Option<String> {
        let nodes: Vec<&Node> = self.heads.iter().filter_map(|head| head.node.as_ref()).collect();
        let newest = nodes.iter().map(|node| node.read(|view| view.version)).max().unwrap_or(0);
        for (head, node) in nodes.iter().enumerate() {
            let status = node.status();
            // Found out late: it does not take part, and an operator wipes it.
            if status.trouble.as_ref().is_some_and(|what| what.contains("older copy")) {
                continue;
            }
            let lacks = node.read(|view| auditor.missing(view));
            if let Some(lost) = lacks {
                return Some(format!("{lost} was acknowledged, and head {head} does not hold it in the end"));
            }
            if status.version < newest {
                return Some(format!(
                    "head {head} stays at version {}, not {newest}: {status:?}",
                    status.version
                ));
            }
        }
        let leader = nodes.iter().filter(|node| node.leads_in().is_some()).max_by_key(|node| node.leads_in());
        let Some(leader) = leader.map(|leader| leader.status()) else {
            return Some("nobody leads in the end".to_owned());
        };
        let votes = leader.voters.iter().filter(|voter| voter.votes).count();
        let whole = votes == self.voters && leader.voters.len() == self.voters;
        (!whole).then(|| format!("{votes} of {} keep in the end: {leader:?}", leader.voters.len()))
    }

    /// A way to ask a head.
    pub fn asked(&self, head: usize) -> Option<NodeClient> {
        self.heads[head].node.as_ref().map(Node::client)
    }

    /// A way to ask any head that is up.
    pub fn any(&self, chance: &mut Chance) -> Option<NodeClient> {
        self.asked(chance.below(self.heads.len() as u64) as usize)
    }
}
