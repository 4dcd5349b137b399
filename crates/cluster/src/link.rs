//! Connections to other heads: a greeting first, then requests; and what this head remembers of the heads at their other
//! ends.
//!
//! [`Links`] is shared by all tasks of a node. It owns what the head says about itself, the idle connections and the
//! watermarks of other stores; it does not retry, and decides nothing about the cluster.

use crate::environment::{Connection, Dial, now};
use crate::frame::{CountedConnection, exchange, receive, send, within};
use crate::traffic::{CountedStream, Traffic, TrafficTotals};
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::greeting::{Greeting, HandshakeError, StoreId, admit};
use sedgerun_replication::record::RecordType;
use sedgerun_replication::time::Millis;
use sedgerun_replication::watermark::{Incarnation, Watermark, Watermarks};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time in which a connection must be made and both greetings exchanged.
pub const GREETING_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections that are kept to one head, at most.
const MAX_IDLE: usize = 8;

/// This head's identity, and its connections to the others.
#[derive(Clone)]
pub struct Links(Arc<SharedLinks>);

struct SharedLinks {
    /// What this head says about itself.
    own: Mutex<Greeting>,
    /// Addresses of heads by name, from the settings.
    routes: BTreeMap<String, SocketAddr>,
    idle: Mutex<HashMap<SocketAddr, Vec<CountedConnection>>>,
    watermarks: Mutex<Watermarks>,
    /// Another head has said that this one is an older copy of its disk.
    rolled_back: AtomicBool,
    /// When each voter last answered a Raft request.
    answered_at: Mutex<BTreeMap<StoreId, Millis>>,
    dial: Arc<dyn Dial>,
    traffic: Arc<Traffic>,
}

impl Links {
    /// Links of a head that says this about itself, and reaches heads by name at these addresses.
    pub fn new(
        own: Greeting,
        routes: BTreeMap<String, SocketAddr>,
        watermarks: Watermarks,
        dial: Arc<dyn Dial>,
    ) -> Links {
        Links(Arc::new(SharedLinks {
            own: Mutex::new(own),
            routes,
            idle: Mutex::default(),
            watermarks: Mutex::new(watermarks),
            rolled_back: AtomicBool::default(),
            answered_at: Mutex::default(),
            dial,
            traffic: Arc::default(),
        }))
    }

    /// When a voter last answered a Raft request.
    pub fn answered_at(&self, store: StoreId) -> Option<Millis> {
        self.0.answered_at.lock().unwrap_or_else(PoisonError::into_inner).get(&store).copied()
    }

    /// A voter has answered a Raft request.
    pub fn record_answer(&self, store: StoreId) {
        self.0.answered_at.lock().unwrap_or_else(PoisonError::into_inner).insert(store, now());
    }

    /// Counts the traffic of a connection with that of all others.
    pub fn counted(&self, stream: Connection) -> CountedConnection {
        CountedStream::new(stream, Arc::clone(&self.0.traffic))
    }

    /// The traffic between this head and others.
    pub fn traffic(&self) -> TrafficTotals {
        self.0.traffic.totals()
    }

    /// What this head says about itself.
    pub fn own(&self) -> Greeting {
        self.0.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// From now on this head has the state of a cluster of this origin.
    pub fn set_origin(&self, origin: u64) {
        self.0.own.lock().unwrap_or_else(PoisonError::into_inner).origin = Some(origin);
    }

    /// Whether another head has said that this one has forgotten what it acknowledged.
    pub fn is_rolled_back(&self) -> bool {
        self.0.rolled_back.load(Ordering::SeqCst)
    }

    fn lock_watermarks(&self) -> MutexGuard<'_, Watermarks> {
        self.0.watermarks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another store has stated, or acknowledged, this watermark in this incarnation.
    pub fn observe(&self, store: StoreId, incarnation: Incarnation, watermark: Watermark) {
        self.lock_watermarks().observe(store, incarnation, watermark);
    }

    /// What this head remembers of other stores.
    pub fn watermarks(&self) -> Watermarks {
        self.lock_watermarks().clone()
    }

    /// Whether this head admits one that says this about itself.
    ///
    /// # Errors
    /// Why it rejects it.
    pub fn admit(&self, own: &Greeting, theirs: &Greeting) -> Result<(), HandshakeError> {
        admit(own, theirs)?;
        let is_rolled_back = theirs.store.is_some_and(|store| {
            self.lock_watermarks().is_rolled_back(store, theirs.incarnation, theirs.initial_watermark)
        });
        if is_rolled_back { Err(HandshakeError::RolledBack) } else { Ok(()) }
    }

    /// The address at which this head reaches another: that of its own settings, else the announced one; `None` if that
    /// is malformed.
    pub fn route(&self, head: &str, announced: &str) -> Option<SocketAddr> {
        self.0.routes.get(head).copied().or_else(|| announced.parse().ok())
    }

    /// Makes a new connection. Returns it with what the other end says about itself.
    ///
    /// # Errors
    /// The connection cannot be made in time, or one of the heads rejects the other (`PermissionDenied`).
    pub async fn dial(&self, to: SocketAddr) -> io::Result<(CountedConnection, Greeting)> {
        let greet = async {
            let mut stream = self.counted(self.0.dial.dial(to).await?);
            let own = self.own();
            send(&mut stream, RecordType::Greeting, &own).await?;
            let theirs: Result<Greeting, HandshakeError> = receive(&mut stream, RecordType::Greeting).await?;
            let denied = |refusal: HandshakeError| io::Error::new(io::ErrorKind::PermissionDenied, refusal);
            if theirs == Err(HandshakeError::RolledBack) {
                self.0.rolled_back.store(true, Ordering::SeqCst);
            }
            let theirs = theirs.map_err(denied)?;
            self.admit(&own, &theirs).map_err(denied)?;
            Ok((stream, theirs))
        };
        within(GREETING_TIMEOUT, greet).await
    }

    /// Sends a request to a head, on an idle connection if there is one, and waits for its response.
    ///
    /// # Errors
    /// The connection fails, or the response does not arrive within `timeout`.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> io::Result<PeerResponse> {
        within(timeout, self.request_on_any_connection(to, request)).await
    }

    async fn request_on_any_connection(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
    ) -> io::Result<PeerResponse> {
        let idle = self.lock_idle().get_mut(&to).and_then(Vec::pop);
        let mut stream = match idle {
            Some(stream) => stream,
            None => self.dial(to).await?.0,
        };
        let response = exchange(&mut stream, request).await?;
        let mut idle = self.lock_idle();
        let to_this_head = idle.entry(to).or_default();
        if to_this_head.len() < MAX_IDLE {
            to_this_head.push(stream);
        }
        Ok(response)
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<CountedConnection>>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
