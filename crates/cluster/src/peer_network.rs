//! Connections to other heads. A connection begins with an exchange of greetings; requests and responses
//! follow.
//!
//! [`PeerNetwork`] is shared by all tasks of a node. It owns this head's greeting, a pool of idle connections
//! and the watermarks of other stores. It does not retry requests.

use crate::environment::{Connection, Dial, now};
use crate::frame::{CountedConnection, exchange, receive, send, with_timeout};
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

/// Timeout for making a connection and exchanging the greetings.
pub const GREETING_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to one head.
const MAX_IDLE: usize = 8;

/// This head's greeting and its connections to the other heads; clones share them.
#[derive(Clone)]
pub struct PeerNetwork(Arc<SharedNetwork>);

struct SharedNetwork {
    /// The greeting that this head sends on each connection.
    own: Mutex<Greeting>,
    /// Addresses of heads by name, from the settings.
    routes: BTreeMap<String, SocketAddr>,
    /// Idle connections by address.
    idle: Mutex<HashMap<SocketAddr, Vec<CountedConnection>>>,
    watermarks: Mutex<Watermarks>,
    /// Another head has rejected this store as an older copy of its disk.
    rolled_back: AtomicBool,
    /// When each voter last responded to a Raft request.
    last_response_at: Mutex<BTreeMap<StoreId, Millis>>,
    dial: Arc<dyn Dial>,
    traffic: Arc<Traffic>,
}

impl PeerNetwork {
    /// Creates the network of a head. `routes` are the addresses of other heads by name, from the settings.
    pub fn new(
        own: Greeting,
        routes: BTreeMap<String, SocketAddr>,
        watermarks: Watermarks,
        dial: Arc<dyn Dial>,
    ) -> PeerNetwork {
        PeerNetwork(Arc::new(SharedNetwork {
            own: Mutex::new(own),
            routes,
            idle: Mutex::default(),
            watermarks: Mutex::new(watermarks),
            rolled_back: AtomicBool::default(),
            last_response_at: Mutex::default(),
            dial,
            traffic: Arc::default(),
        }))
    }

    /// When a voter last responded to a Raft request; `None` if it has not since the start.
    pub fn last_response_at(&self, store: StoreId) -> Option<Millis> {
        self.0.last_response_at.lock().unwrap_or_else(PoisonError::into_inner).get(&store).copied()
    }

    /// Records that a voter has responded to a Raft request now.
    pub fn record_response(&self, store: StoreId) {
        self.0.last_response_at.lock().unwrap_or_else(PoisonError::into_inner).insert(store, now());
    }

    /// Counts the traffic of a connection in this head's totals.
    pub fn count_traffic(&self, stream: Connection) -> CountedConnection {
        CountedStream::new(stream, Arc::clone(&self.0.traffic))
    }

    /// The totals of the traffic between this head and other heads.
    pub fn traffic(&self) -> TrafficTotals {
        self.0.traffic.totals()
    }

    /// The greeting that this head sends on each connection.
    pub fn own_greeting(&self) -> Greeting {
        self.0.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the origin of the cluster in this head's greeting.
    pub fn set_origin(&self, origin: u64) {
        self.0.own.lock().unwrap_or_else(PoisonError::into_inner).origin = Some(origin);
    }

    /// Whether another head has rejected this store as an older copy of its disk, which has forgotten what it
    /// acknowledged.
    pub fn is_rolled_back(&self) -> bool {
        self.0.rolled_back.load(Ordering::SeqCst)
    }

    fn lock_watermarks(&self) -> MutexGuard<'_, Watermarks> {
        self.0.watermarks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the watermark that another store has sent or acknowledged in this incarnation.
    pub fn observe(&self, store: StoreId, incarnation: Incarnation, watermark: Watermark) {
        self.lock_watermarks().observe(store, incarnation, watermark);
    }

    /// The recorded watermarks of other stores.
    pub fn watermarks(&self) -> Watermarks {
        self.lock_watermarks().clone()
    }

    /// Checks the greeting of another head, and whether its store is an older copy of its disk.
    ///
    /// # Errors
    /// The reason for rejecting the other head.
    pub fn admit(&self, own: &Greeting, theirs: &Greeting) -> Result<(), HandshakeError> {
        admit(own, theirs)?;
        let is_rolled_back = theirs.store.is_some_and(|store| {
            self.lock_watermarks().is_rolled_back(store, theirs.incarnation, theirs.initial_watermark)
        });
        if is_rolled_back { Err(HandshakeError::RolledBack) } else { Ok(()) }
    }

    /// The address at which this head reaches another head: the one in the settings, else the one that the
    /// other head announces. `None` if the announced address is malformed.
    pub fn route(&self, head: &str, announced: &str) -> Option<SocketAddr> {
        self.0.routes.get(head).copied().or_else(|| announced.parse().ok())
    }

    /// Makes a new connection, and returns it with the greeting of the other head.
    ///
    /// # Errors
    /// The connection cannot be made in time, or one of the heads rejects the other's greeting
    /// (`PermissionDenied`).
    pub async fn dial(&self, to: SocketAddr) -> io::Result<(CountedConnection, Greeting)> {
        let greet = async {
            let mut stream = self.count_traffic(self.0.dial.dial(to).await?);
            let own = self.own_greeting();
            send(&mut stream, RecordType::Greeting, &own).await?;
            let theirs: Result<Greeting, HandshakeError> = receive(&mut stream, RecordType::Greeting).await?;
            let permission_denied =
                |refusal: HandshakeError| io::Error::new(io::ErrorKind::PermissionDenied, refusal);
            if theirs == Err(HandshakeError::RolledBack) {
                self.0.rolled_back.store(true, Ordering::SeqCst);
            }
            let theirs = theirs.map_err(permission_denied)?;
            self.admit(&own, &theirs).map_err(permission_denied)?;
            Ok((stream, theirs))
        };
        with_timeout(GREETING_TIMEOUT, greet).await
    }

    /// Sends a request to a head on an idle or a new connection, and waits for the response.
    ///
    /// # Errors
    /// The connection fails, or the response does not arrive within `timeout`.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> io::Result<PeerResponse> {
        with_timeout(timeout, self.request_on_any_connection(to, request)).await
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
