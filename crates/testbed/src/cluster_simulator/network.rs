//! The network between simulated heads: connections with a latency, that are cut, stalled, or lose what goes one way.

use super::seeded_random::SeededRandom;
use sedgerun_cluster::environment::{Connection, Dial, DialFuture};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Bytes in flight on one connection.
const BUFFER_BYTES: usize = 64 << 10;
/// Time between checks whether a stall is over.
const STALL_POLL: Duration = Duration::from_millis(20);

/// What happens to whatever goes from one head to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// It arrives.
    #[default]
    Pass,
    /// No connection is made or kept.
    Cut,
    /// It waits.
    Stall,
    /// It vanishes.
    Lose,
}

struct NetworkState {
    random: SeededRandom,
    heads_by_address: BTreeMap<SocketAddr, usize>,
    incoming: Vec<Option<mpsc::UnboundedSender<Connection>>>,
    states: BTreeMap<(usize, usize), LinkState>,
    /// Connections by their ends, the one that dialed first.
    connections: Vec<(usize, usize, AbortHandle)>,
}

/// The network.
#[derive(Clone)]
pub struct SimulatedNetwork(Arc<Mutex<NetworkState>>);

/// The port through which a head dials others.
pub struct NetworkPort {
    network: SimulatedNetwork,
    own: usize,
}

impl std::fmt::Debug for NetworkPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the port of head {}", self.own)
    }
}

impl SimulatedNetwork {
    /// A network between heads at these addresses.
    pub fn new(addresses: &[SocketAddr], random: SeededRandom) -> SimulatedNetwork {
        let incoming = addresses.iter().map(|_| None).collect();
        let heads_by_address = addresses.iter().enumerate().map(|(head, at)| (*at, head)).collect();
        SimulatedNetwork(Arc::new(Mutex::new(NetworkState {
            random,
            heads_by_address,
            incoming,
            states: BTreeMap::new(),
            connections: Vec::new(),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The port of a head.
    pub fn port(&self, own: usize) -> Arc<NetworkPort> {
        Arc::new(NetworkPort { network: self.clone(), own })
    }

    /// A head is up: its connections come here.
    pub fn up(&self, head: usize) -> mpsc::UnboundedReceiver<Connection> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().incoming[head] = Some(sender);
        receiver
    }

    /// A head is down: its connections end.
    pub fn down(&self, head: usize) {
        let mut inner = self.lock();
        inner.incoming[head] = None;
        inner.drop_connections(|from, to| from == head || to == head);
    }

    /// Sets what happens from now on to what goes from one head to another.
    pub fn set(&self, from: usize, to: usize, state: LinkState) {
        let mut inner = self.lock();
        if state == LinkState::Pass {
            inner.states.remove(&(from, to))
        } else {
            inner.states.insert((from, to), state)
        };
        if state == LinkState::Cut {
            inner.drop_connections(|a, b| (a, b) == (from, to) || (b, a) == (from, to));
        }
    }

    /// All is well again.
    pub fn heal(&self) {
        self.lock().states.clear();
    }

    /// Whether nothing is wrong between heads.
    pub fn is_well(&self) -> bool {
        self.lock().states.is_empty()
    }

    fn state(&self, from: usize, to: usize) -> LinkState {
        self.lock().states.get(&(from, to)).copied().unwrap_or_default()
    }

    fn latency(&self) -> Duration {
        Duration::from_micros(100 + self.lock().random.below(900))
    }

    async fn pump(
        self,
        mut from: ReadHalf<DuplexStream>,
        mut to: WriteHalf<DuplexStream>,
        ends: (usize, usize),
    ) {
        let mut bytes = vec![0; 16 << 10];
        while let Ok(read @ 1..) = from.read(&mut bytes).await {
            tokio::time::sleep(self.latency()).await;
            while self.state(ends.0, ends.1) == LinkState::Stall {
                tokio::time::sleep(STALL_POLL).await;
            }
            if self.state(ends.0, ends.1) == LinkState::Lose {
                continue;
            }
            if to.write_all(&bytes[..read]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    async fn connect(self, own: usize, at: SocketAddr) -> io::Result<Connection> {
        tokio::time::sleep(self.latency()).await;
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let mut inner = self.lock();
        let to = *inner.heads_by_address.get(&at).ok_or_else(refused)?;
        let cut = [(own, to), (to, own)].iter().any(|ends| inner.states.get(ends) == Some(&LinkState::Cut));
        let incoming = inner.incoming[to].clone().filter(|_| !cut).ok_or_else(refused)?;
        let ((near, near_far), (far_near, far)) =
            (tokio::io::duplex(BUFFER_BYTES), tokio::io::duplex(BUFFER_BYTES));
        incoming.send(Box::new(far)).map_err(|_| refused())?;
        let ((read_near, write_near), (read_far, write_far)) =
            (tokio::io::split(near_far), tokio::io::split(far_near));
        let forward = tokio::spawn(self.clone().pump(read_near, write_far, (own, to)));
        let backward = tokio::spawn(self.clone().pump(read_far, write_near, (to, own)));
        inner.connections.retain(|(_, _, connection)| !connection.is_finished());
        inner.connections.extend([(own, to, forward.abort_handle()), (own, to, backward.abort_handle())]);
        Ok(Box::new(near))
    }
}

impl NetworkState {
    fn drop_connections(&mut self, which: impl Fn(usize, usize) -> bool) {
        self.connections.retain(|(from, to, connection)| {
            if which(*from, *to) {
                connection.abort();
            }
            !which(*from, *to)
        });
    }
}

impl Dial for NetworkPort {
    fn dial(&self, to: SocketAddr) -> DialFuture {
        Box::pin(self.network.clone().connect(self.own, to))
    }
}
