//! What goes over each connection of a discovery process, and the figures that it reports of them.

use sedgerun_cluster::traffic::{Traffic, TrafficTotals};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Closed connections that are still reported one by one; older ones count in the total alone.
const MOST_CLOSED: usize = 16_384;

/// The traffic of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTraffic {
    /// The other end.
    pub peer: SocketAddr,
    /// What went over it.
    pub traffic: TrafficTotals,
}

/// Figures of a discovery process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The newest generation of the list.
    pub generation: u64,
    /// Over all connections since the start.
    pub total: TrafficTotals,
    /// Calls since the start, those that failed included.
    pub calls: u64,
    /// Watches that wait now.
    pub open_watches: u64,
    /// Answers since the start that contained the complete list.
    pub whole_lists: u64,
    /// Connections that are open.
    pub open_connections: u64,
    /// By connection, where that was asked for: those that are open, and the last that were closed.
    pub peers: Vec<PeerTraffic>,
}

/// All connections, and the last that were closed.
#[derive(Debug, Default)]
pub(super) struct Peers {
    open: RefCell<BTreeMap<SocketAddr, Arc<Traffic>>>,
    closed: RefCell<BTreeMap<SocketAddr, TrafficTotals>>,
    closed_total: Cell<TrafficTotals>,
}

impl Peers {
    /// Connections that are open.
    pub(super) fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// Counts a connection for as long as the guard lives.
    pub(super) fn admit(self: &Rc<Self>, peer: SocketAddr) -> Admitted {
        let traffic = Arc::new(Traffic::default());
        self.open.borrow_mut().insert(peer, Arc::clone(&traffic));
        Admitted { peers: Rc::clone(self), peer, traffic }
    }

    /// Over all connections since the start.
    pub(super) fn total(&self) -> TrafficTotals {
        let open = self.open.borrow();
        open.values().fold(self.closed_total.get(), |total, traffic| total.plus(&traffic.totals()))
    }

    /// By connection; one that came from the address of a closed one is added to it.
    pub(super) fn each(&self) -> Vec<PeerTraffic> {
        let mut all = self.closed.borrow().clone();
        for (peer, traffic) in self.open.borrow().iter() {
            add(&mut all, *peer, &traffic.totals());
        }
        all.into_iter().map(|(peer, traffic)| PeerTraffic { peer, traffic }).collect()
    }

    fn close(&self, peer: SocketAddr) {
        let Some(traffic) = self.open.borrow_mut().remove(&peer) else { return };
        let totals = traffic.totals();
        self.closed_total.set(self.closed_total.get().plus(&totals));
        let mut closed = self.closed.borrow_mut();
        if closed.len() < MOST_CLOSED || closed.contains_key(&peer) {
            add(&mut closed, peer, &totals);
        }
    }
}

/// Adds the traffic of a connection to what is known of its other end.
fn add(all: &mut BTreeMap<SocketAddr, TrafficTotals>, peer: SocketAddr, totals: &TrafficTotals) {
    let known = all.entry(peer).or_default();
    *known = known.plus(totals);
}

/// A connection that is counted.
#[derive(Debug)]
pub(super) struct Admitted {
    peers: Rc<Peers>,
    peer: SocketAddr,
    /// Its counters.
    pub(super) traffic: Arc<Traffic>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.peers.close(self.peer);
    }
}
