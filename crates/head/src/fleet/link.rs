//! Connections to other heads: frames of a length and a record, a greeting first, then a call and its answer at
//! a time.

use super::environment::{Connection, Dial, now};
use super::types::{Call, Raft, Reply, Types, VoterAddress, address};
use crate::traffic::{Counted, Traffic, TrafficTotals};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::RPCOption;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{RaftNetwork, RaftNetworkFactory};
use sedgerun_fleet::election::Millis;
use sedgerun_fleet::follow::UpdateReply;
use sedgerun_fleet::greeting::{Greeting, Refusal, StoreId, admit};
use sedgerun_fleet::record::{self, RecordType};
use sedgerun_fleet::watermark::{Incarnation, Watermark, Watermarks};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The largest frame.
pub const MAX_FRAME: usize = 16 << 20;
/// Time in which a connection must come up and both heads have said who they are.
pub const GREETING: Duration = Duration::from_millis(500);
/// Idle connections kept to one head.
const MAX_IDLE: usize = 8;

/// A connection to another head whose payload and messages are counted.
pub type CountedConnection = Counted<Connection>;

/// Writes one frame.
pub async fn send<T: Serialize>(
    stream: &mut CountedConnection,
    record_type: RecordType,
    value: &T,
) -> io::Result<()> {
    let record = record::seal(record_type, value).map_err(io::Error::other)?;
    if record.len() > MAX_FRAME {
        return Err(io::Error::other(format!("a frame of {} bytes is too long", record.len())));
    }
    let mut frame = (record.len() as u32).to_le_bytes().to_vec();
    frame.extend(record);
    stream.write_all(&frame).await?;
    stream.traffic().add_message_sent();
    Ok(())
}

/// Reads one frame. A malformed one is an error of the kind `InvalidData`.
pub async fn receive<T: DeserializeOwned>(
    stream: &mut CountedConnection,
    record_type: RecordType,
) -> io::Result<T> {
    let corrupt = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME {
        return Err(corrupt(format!("a frame of {length} bytes")));
    }
    let mut record = Vec::new();
    // Guards against a length that was made up: memory grows with what really comes.
    (&mut *stream).take(length as u64).read_to_end(&mut record).await?;
    if record.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    stream.traffic().add_message_received();
    record::open(record_type, &record).map_err(|error| corrupt(error.to_string()))
}

/// Who this head is, and how it reaches the others.
#[derive(Clone)]
pub struct Links(Arc<Inner>);

struct Inner {
    own: Mutex<Greeting>,
    routes: BTreeMap<String, SocketAddr>,
    idle: Mutex<HashMap<SocketAddr, Vec<CountedConnection>>>,
    watermarks: Mutex<Watermarks>,
    /// Another head has said that this one is an older copy of its disk.
    rolled_back: AtomicBool,
    /// When each voter last answered a call of the protocol.
    answered_at: Mutex<BTreeMap<StoreId, Millis>>,
    dial: Arc<dyn Dial>,
    traffic: Arc<Traffic>,
}

impl Links {
    /// Links of a head that says this of itself, and reaches heads by name at these addresses.
    pub fn new(
        own: Greeting,
        routes: BTreeMap<String, SocketAddr>,
        watermarks: Watermarks,
        dial: Arc<dyn Dial>,
    ) -> Links {
        let (own, watermarks, rolled_back) = (Mutex::new(own), Mutex::new(watermarks), AtomicBool::default());
        Links(Arc::new(Inner {
            own,
            routes,
            idle: Mutex::default(),
            watermarks,
            rolled_back,
            answered_at: Mutex::default(),
            dial,
            traffic: Arc::default(),
        }))
    }

    /// When a voter last answered a call of the protocol.
    pub fn answered_at(&self, store: StoreId) -> Option<Millis> {
        self.0.answered_at.lock().unwrap_or_else(PoisonError::into_inner).get(&store).copied()
    }

    fn note_answer(&self, store: StoreId) {
        self.0.answered_at.lock().unwrap_or_else(PoisonError::into_inner).insert(store, now());
    }

    /// Counts what passes over a connection.
    pub fn counted(&self, stream: Connection) -> CountedConnection {
        Counted::new(stream, Arc::clone(&self.0.traffic))
    }

    /// What has passed between this head and others.
    pub fn traffic(&self) -> TrafficTotals {
        self.0.traffic.totals()
    }

    /// What this head says of itself.
    pub fn own(&self) -> Greeting {
        self.0.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// From now on this head holds the state of a fleet of this origin.
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

    /// Another store has said, or acknowledged, that it is so far in this incarnation.
    pub fn observe(&self, store: StoreId, incarnation: Incarnation, watermark: Watermark) {
        self.lock_watermarks().observe(store, incarnation, watermark);
    }

    /// What is remembered of other stores.
    pub fn watermarks(&self) -> Watermarks {
        self.lock_watermarks().clone()
    }

    /// Whether this head goes on with one that said this.
    pub fn admit(&self, own: &Greeting, theirs: &Greeting) -> Result<(), Refusal> {
        admit(own, theirs)?;
        let older = theirs.store.is_some_and(|store| {
            self.lock_watermarks().is_rolled_back(store, theirs.incarnation, theirs.initial_watermark)
        });
        if older { Err(Refusal::RolledBack) } else { Ok(()) }
    }

    /// Where this head calls another: its own settings come first.
    pub fn route(&self, head: &str, told: &str) -> Option<SocketAddr> {
        self.0.routes.get(head).copied().or_else(|| address(told))
    }

    /// A fresh connection, and what the other end says of itself.
    pub async fn dial(&self, to: SocketAddr) -> io::Result<(CountedConnection, Greeting)> {
        let greet = async {
            let mut stream = self.counted(self.0.dial.dial(to).await?);
            let own = self.own();
            send(&mut stream, RecordType::Greeting, &own).await?;
            let theirs: Result<Greeting, Refusal> = receive(&mut stream, RecordType::Greeting).await?;
            let refused =
                |refusal: Refusal| io::Error::new(io::ErrorKind::PermissionDenied, refusal.to_string());
            if theirs == Err(Refusal::RolledBack) {
                self.0.rolled_back.store(true, Ordering::SeqCst);
            }
            let theirs = theirs.map_err(refused)?;
            self.admit(&own, &theirs).map_err(refused)?;
            Ok((stream, theirs))
        };
        tokio::time::timeout(GREETING, greet).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Calls a head, on an idle connection where there is one.
    pub async fn call(&self, to: SocketAddr, call: &Call, within: Duration) -> io::Result<Reply> {
        let exchange = async {
            let idle = || self.0.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let kept = idle().get_mut(&to).and_then(Vec::pop);
            let mut stream = match kept {
                Some(stream) => stream,
                None => self.dial(to).await?.0,
            };
            send(&mut stream, RecordType::Call, call).await?;
            let reply = receive(&mut stream, RecordType::Reply).await?;
            // Guards against followers that are sent on and keep their connections: a head takes so many callers and
            // no more, and those that are sent on would leave no room for others to ask it.
            if matches!(reply, Reply::Update(_, UpdateReply::Full { .. })) {
                return Ok(reply);
            }
            let mut idle = idle();
            let kept = idle.entry(to).or_default();
            if kept.len() < MAX_IDLE {
                kept.push(stream);
            }
            Ok(reply)
        };
        tokio::time::timeout(within, exchange).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// The way to one voter, for the consensus library.
pub struct VoterConnection {
    links: Links,
    target: StoreId,
    to: Option<SocketAddr>,
    stream: Option<CountedConnection>,
    /// The incarnation of the store at the other end.
    incarnation: Incarnation,
}

impl VoterConnection {
    /// One call; its connection is kept only while all goes well.
    async fn call(&mut self, call: &Call, option: &RPCOption) -> io::Result<Reply> {
        let to = self.to.ok_or_else(|| io::Error::other("no address"))?;
        let exchange = async {
            let mut stream = match self.stream.take() {
                Some(stream) => stream,
                None => {
                    let (stream, greeting) = self.links.dial(to).await?;
                    // Guards against counting another store in the place of the voter that lived there.
                    if greeting.store != Some(self.target) {
                        return Err(io::Error::other("another store lives there"));
                    }
                    self.incarnation = greeting.incarnation;
                    stream
                }
            };
            send(&mut stream, RecordType::Call, call).await?;
            let reply = receive(&mut stream, RecordType::Reply).await?;
            self.stream = Some(stream);
            // Guards against a voter that answers and stores nothing any more: it counts as silent.
            if !matches!(reply, Reply::Refused(_)) {
                self.links.note_answer(self.target);
            }
            Ok(reply)
        };
        let within = option.hard_ttl();
        tokio::time::timeout(within, exchange).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

fn unreachable<E: std::error::Error>(error: &io::Error) -> RPCError<StoreId, VoterAddress, E> {
    RPCError::Unreachable(Unreachable::new(error))
}

/// An answer that says no, or is none to what was asked.
fn refused<E: std::error::Error>(reply: &Reply) -> RPCError<StoreId, VoterAddress, E> {
    let what = match reply {
        Reply::Refused(why) => why.clone(),
        _ => "an answer to something else".to_owned(),
    };
    RPCError::Network(NetworkError::new(&io::Error::other(what)))
}

impl RaftNetwork<Types> for VoterConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<StoreId>, RPCError<StoreId, VoterAddress, RaftError<StoreId>>> {
        let last = rpc.entries.last().map(|entry| entry.log_id).or(rpc.prev_log_id);
        let vote = rpc.vote.leader_id().term;
        match self.call(&Call::Append(rpc), &option).await {
            Ok(Reply::Append(answer)) => {
                if let AppendEntriesResponse::Success = answer {
                    let last = last.map_or((0, 0), |last| (last.leader_id.term, last.index));
                    self.links.observe(self.target, self.incarnation, Watermark { vote, last });
                }
                Ok(answer)
            }
            Ok(other) => Err(refused(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<
        InstallSnapshotResponse<StoreId>,
        RPCError<StoreId, VoterAddress, RaftError<StoreId, InstallSnapshotError>>,
    > {
        match self.call(&Call::Snapshot(rpc), &option).await {
            Ok(Reply::Snapshot(answer)) => Ok(answer),
            Ok(Reply::Mismatch(mismatch)) => {
                let error = RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch));
                Err(RPCError::RemoteError(RemoteError::new(self.target, error)))
            }
            Ok(other) => Err(refused(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<StoreId>,
        option: RPCOption,
    ) -> Result<VoteResponse<StoreId>, RPCError<StoreId, VoterAddress, RaftError<StoreId>>> {
        let vote = rpc.vote.leader_id().term;
        match self.call(&Call::Vote(rpc), &option).await {
            Ok(Reply::Vote(answer)) => {
                if answer.vote_granted {
                    let watermark = Watermark { vote, ..Watermark::default() };
                    self.links.observe(self.target, self.incarnation, watermark);
                }
                Ok(answer)
            }
            Ok(other) => Err(refused(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }
}

impl RaftNetworkFactory<Types> for Links {
    type Network = VoterConnection;

    async fn new_client(&mut self, target: StoreId, node: &VoterAddress) -> VoterConnection {
        let to = self.route(&node.head, &node.address);
        VoterConnection { links: self.clone(), target, to, stream: None, incarnation: Incarnation::default() }
    }
}

/// Answers a call of the protocol; `None` where it is none.
pub async fn protocol(raft: &Raft, call: Call) -> Result<Reply, Call> {
    let no = |error: &dyn std::error::Error| Reply::Refused(error.to_string());
    Ok(match call {
        Call::Append(rpc) => raft.append_entries(rpc).await.map_or_else(|error| no(&error), Reply::Append),
        Call::Vote(rpc) => raft.vote(rpc).await.map_or_else(|error| no(&error), Reply::Vote),
        Call::Snapshot(rpc) => match raft.install_snapshot(rpc).await {
            Ok(answer) => Reply::Snapshot(answer),
            Err(RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch))) => {
                Reply::Mismatch(mismatch)
            }
            Err(error) => no(&error),
        },
        other => return Err(other),
    })
}
