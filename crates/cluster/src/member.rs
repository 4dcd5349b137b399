//! One head as a member of the fleet: a voter or a follower, and its status.

use super::disk::{Disk, Held, Identity};
use super::environment::{now, random};
use super::link::Links;
use super::log::Log;
use super::machine::Machine;
use super::node_setup::NodeSetup;
use super::pending::PendingChange;
use super::settings::Settings;
use super::types::{Call, LogId, Raft, Reply, Status, Vote, VoterAddress, VoterStatus};
use super::voter_connection::protocol;
use openraft::raft::AppendEntriesResponse;
use openraft::{Config, ServerState, SnapshotPolicy};
use sedgerun_replication::election::{Election, ElectionTimeouts};
use sedgerun_replication::follow::{Follower, Followers, Peer, Voters};
use sedgerun_replication::greeting::{Greeting, StoreId, origin};
use sedgerun_replication::relay::RelayRegistry;
use sedgerun_replication::transfer_permits::TransferPermits;
use sedgerun_replication::watermark::{Incarnation, Watermark};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Between heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// For so long after a heartbeat of a leader no other gets this voter's vote, in milliseconds.
const LEASE_MS: u64 = 400;
/// When a voter campaigns. The silence is longer than the lease, so that an election is not refused
/// where the last heartbeat came to another voter a little later.
const ELECTION_TIMEOUTS: ElectionTimeouts =
    ElectionTimeouts { leader_timeout_ms: 500, jitter_ms: 250, retry_ms: 300 };
/// Entries between snapshots, and those kept behind one for voters that are a little late.
const SNAPSHOT_EVERY: u64 = 5000;
const SNAPSHOT_KEEP: u64 = 1000;

/// Bytes of one chunk of a snapshot.
const SNAPSHOT_CHUNK: u64 = 512 << 10;

/// Entries between snapshots; tests ask for fewer.
fn snapshot_every() -> u64 {
    fail::fail_point!("entries between snapshots", |asked| asked
        .and_then(|asked| asked.parse().ok())
        .unwrap_or(SNAPSHOT_EVERY));
    SNAPSHOT_EVERY
}

/// Bytes of one chunk of a snapshot; tests ask for fewer.
fn snapshot_chunk() -> u64 {
    fail::fail_point!("bytes of a piece", |asked| asked
        .and_then(|asked| asked.parse().ok())
        .unwrap_or(SNAPSHOT_CHUNK));
    SNAPSHOT_CHUNK
}

/// A head as a member of the fleet: a voter or a follower.
pub struct Member {
    /// The protocol.
    pub raft: Raft,
    /// The state.
    pub machine: Machine,
    /// Connections to other heads.
    pub links: Links,
    /// What it is set up with.
    pub settings: Settings,
    /// The writer.
    pub disk: Disk,
    /// The log.
    pub log: Log,
    identity: tokio::sync::Mutex<Identity>,
    /// Frames and greetings refused.
    pub refused: AtomicU64,
    /// The others have been asked what this store acknowledged: it votes and acknowledges.
    pub recovered: AtomicBool,
    /// This store was a voter, and others have taken its place.
    pub removed: AtomicBool,
    /// Membership changes made as leader.
    pub repairs: AtomicU64,
    election: Mutex<Election>,
    follower: Mutex<Follower>,
    followers: Mutex<Followers>,
    registry: Mutex<RelayRegistry>,
    transfer_slots: Mutex<TransferPermits>,
    /// Changes that wait to be written.
    pub changes: mpsc::Sender<PendingChange>,
}

/// Guards against one panic that would end all threads that look.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How far the store is that calls so, by its own word: its vote is saved, and what it sends is synced.
fn caller_watermark(call: &Call) -> Option<Watermark> {
    let position = |at: LogId| (at.leader_id.term, at.index);
    match call {
        Call::Append(rpc) => {
            let last = rpc.entries.last().map(|entry| entry.log_id).or(rpc.prev_log_id);
            Some(Watermark { vote: rpc.vote.leader_id().term, last: last.map_or((0, 0), position) })
        }
        Call::Vote(rpc) => Some(Watermark { vote: rpc.vote.leader_id().term, last: (0, 0) }),
        _ => None,
    }
}

impl Member {
    /// Starts a new incarnation of a store; its changes go there.
    pub async fn start(setup: NodeSetup, changes: mpsc::Sender<PendingChange>) -> Result<Member, String> {
        let NodeSetup { settings, head, address, disk, held, dial } = setup;
        let initial_watermark = held.watermark();
        let Held { identity, vote, committed, purged, log, watermarks, snapshot, followed } = held;
        let own = Greeting {
            fleet: settings.name.clone(),
            secret: settings.secret.clone(),
            head: head.clone(),
            store: Some(identity.store),
            zone: settings.zone.clone(),
            address: address.to_string(),
            incarnation: Incarnation { count: identity.incarnation, nonce: random()? },
            initial_watermark,
            origin: identity.origin,
        };
        let links = Links::new(own, settings.routes(), watermarks, dial);
        let machine = Machine::new(disk.clone(), snapshot, &log, committed, followed)?;
        // Guards against a leader that goes on where it was: what it sent and had not synced is gone, and it would
        // put other entries in the same places. A restarted process is a new incarnation, and campaigns anew.
        let vote = vote.map(|vote| match vote.leader_id().voted_for() {
            Some(own) if own == identity.store => Vote { committed: false, ..vote },
            _ => vote,
        });
        let log = Log::new(disk.clone(), log, purged, vote, committed);
        let config = Config {
            cluster_name: settings.name.clone(),
            heartbeat_interval: HEARTBEAT_MS,
            election_timeout_min: LEASE_MS - 50,
            election_timeout_max: LEASE_MS,
            max_payload_entries: 128,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(snapshot_every()),
            max_in_snapshot_log_to_keep: SNAPSHOT_KEEP.min(snapshot_every() / 5),
            snapshot_max_chunk_size: snapshot_chunk(),
            install_snapshot_timeout: 2000,
            // When to campaign is decided here.
            enable_elect: false,
            ..Config::default()
        };
        let config = Arc::new(config.validate().map_err(|error| error.to_string())?);
        let raft = Raft::new(identity.store, config, links.clone(), log.clone(), machine.clone());
        let raft = raft.await.map_err(|error| error.to_string())?;
        let seeds = settings.voters.iter();
        let seeds = seeds.map(|(head, at)| Peer { head: head.clone(), address: at.to_string() }).collect();
        let follower = Follower::new(&head, seeds, random()?);
        let follower = follower.with_role(settings.role(), settings.region.clone());
        let followers = Followers::new(settings.role(), settings.follower_capacity());
        Ok(Member {
            raft,
            machine,
            links,
            settings,
            disk,
            log,
            identity: tokio::sync::Mutex::new(identity),
            refused: AtomicU64::new(0),
            recovered: AtomicBool::default(),
            removed: AtomicBool::default(),
            repairs: AtomicU64::new(0),
            election: Mutex::new(Election::new(ELECTION_TIMEOUTS, random()?, now())),
            follower: Mutex::new(follower),
            followers: Mutex::new(followers),
            registry: Mutex::default(),
            transfer_slots: Mutex::new(TransferPermits::new(random()?)),
            changes,
        })
    }

    /// When to campaign.
    pub fn election(&self) -> MutexGuard<'_, Election> {
        lock(&self.election)
    }

    /// State of following an upstream.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }

    /// The followers that this head serves.
    pub fn followers(&self) -> MutexGuard<'_, Followers> {
        lock(&self.followers)
    }

    /// The leases of the relays, as far as this head votes.
    pub fn voting_registry(&self) -> MutexGuard<'_, RelayRegistry> {
        let votes = self.votes();
        let mut registry = lock(&self.registry);
        registry.set_voting(now(), votes);
        registry
    }

    /// The large transfers to followers that go on.
    pub fn transfer_slots(&self) -> MutexGuard<'_, TransferPermits> {
        lock(&self.transfer_slots)
    }

    /// Answers a call of another head, which said this of itself.
    pub async fn answer(&self, call: Call, from: &Greeting) -> Reply {
        let call = match call {
            // Whoever votes with us is of our fleet: from its first word of the protocol on.
            Call::Append(_) | Call::Vote(_) | Call::Snapshot(_) => {
                // Guards against a promise on top of what an older copy of the disk has forgotten.
                if self.links.is_rolled_back() || !self.recovered.load(Ordering::SeqCst) {
                    return Reply::Refused(
                        "has just started, and asks the others what it has acknowledged".into(),
                    );
                }
                if let Err(what) = self.adopt(from.origin).await {
                    return Reply::Refused(what);
                }
                let (begun, caller) = (now(), caller_watermark(&call));
                match protocol(&self.raft, call).await {
                    Ok(reply) => {
                        super::disk::point("before the answer to a leader");
                        if let Reply::Append(answer) = &reply
                            && !matches!(answer, AppendEntriesResponse::HigherVote(_))
                        {
                            self.election().on_heartbeat(begun);
                            self.removed.store(false, Ordering::SeqCst);
                        }
                        // A leader counts itself, too: what it sends it has synced, and a copy of its disk from
                        // before that is as old as any other's. The model in crates/replication/tests found this.
                        if let (Some(store), Some(watermark)) = (from.store, caller) {
                            self.links.observe(store, from.incarnation, watermark);
                        }
                        return reply;
                    }
                    Err(call) => call,
                }
            }
            call => call,
        };
        match call {
            Call::Change(change, left) => self.lead(change, left).await,
            Call::Propose(change) => match self.change(change).await {
                Ok(outcome) => Reply::Changed(outcome),
                Err(why) => Reply::Refused(why.0),
            },
            Call::Latest => match self.settled_here().await {
                Ok(version) => Reply::Latest(version),
                Err(what) => Reply::Refused(what),
            },
            Call::Begin => match self.begin().await {
                Ok(()) => Reply::Begun,
                Err(what) => Reply::Refused(what),
            },
            Call::Silent(last) => Reply::Silent(self.raft_id(), self.is_silent(last)),
            Call::Follow(request) => self.serve_update(*request, from).await,
            Call::Subscribe(subscription) => self.serve_subscription(*subscription, from).await,
            Call::RegisterRelay(registration) => self.register_relay(registration, from),
            Call::Distribution => Reply::Distribution(Box::new(self.distribution())),
            Call::Chunk(since, first_version) => Reply::Chunk(self.serve_chunk(since, first_version)),
            _ => Reply::Status(Box::new(self.status())),
        }
    }

    /// The number of this head's store.
    pub fn raft_id(&self) -> StoreId {
        self.raft.metrics().borrow().id
    }

    /// Takes over a fleet's origin, once, synced.
    pub async fn adopt(&self, theirs: Option<u64>) -> Result<(), String> {
        let mut identity = self.identity.lock().await;
        match (identity.origin, theirs) {
            (None, Some(theirs)) => {
                let adopted = Identity { origin: Some(theirs), ..identity.clone() };
                self.disk
                    .put(sedgerun_replication::record::RecordType::Identity, "identity", &adopted)
                    .await?;
                *identity = adopted;
                self.links.set_origin(theirs);
                Ok(())
            }
            (Some(own), Some(theirs)) if own == theirs => Ok(()),
            _ => Err("of another origin".into()),
        }
    }

    /// Begins the fleet with the voters of the settings: each must answer under its name, and hold nothing.
    /// Begun twice with the same stores, it is begun once.
    pub async fn begin(&self) -> Result<(), String> {
        let own = self.links.own();
        if !self.settings.voters.contains_key(&own.head) {
            return Err(format!("{} is not among the keepers of its own settings", own.head));
        }
        let mut members: BTreeMap<StoreId, VoterAddress> = BTreeMap::new();
        let mut origins = Vec::new();
        for (name, at) in &self.settings.voters {
            let greeting = if *name == own.head {
                own.clone()
            } else {
                let dialed = self.links.dial(*at).await;
                dialed.map_err(|error| format!("keeper {name} at {at}: {error}"))?.1
            };
            if greeting.head != *name {
                return Err(format!("at {at} answers {}, not {name}", greeting.head));
            }
            let store = greeting.store.ok_or(format!("keeper {name} has no store"))?;
            let (head, address, zone) = (name.clone(), at.to_string(), greeting.zone);
            members.insert(store, VoterAddress { head, address, zone });
            origins.push((name, greeting.origin));
        }
        let fresh = origin(members.keys().copied());
        if let Some((name, _)) = origins.iter().find(|(_, origin)| origin.is_some_and(|held| held != fresh)) {
            return Err(format!("keeper {name} holds the state of a fleet already"));
        }
        self.adopt(Some(fresh)).await?;
        if self.raft.is_initialized().await.map_err(|error| error.to_string())? {
            return Ok(());
        }
        self.raft.initialize(members).await.map_err(|error| error.to_string())
    }

    /// Whether this head votes, as far as it knows.
    pub fn votes(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let voter = metrics.membership_config.membership().voter_ids().any(|voter| voter == metrics.id);
        // One whose disk has failed stores nothing any more and hears nothing by the protocol: it follows.
        voter && !self.removed.load(Ordering::SeqCst) && metrics.running_state.is_ok()
    }

    /// Whether it leads, with a majority heard lately.
    pub fn leads(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let lately =
            metrics.millis_since_quorum_ack.is_some_and(|since| since < ELECTION_TIMEOUTS.leader_timeout_ms);
        metrics.state == ServerState::Leader && lately
    }

    /// The voters, as this head has them from the protocol or from its upstream.
    pub fn voters(&self) -> Voters {
        let membership = self.machine.membership();
        let by_store = membership.membership().nodes().map(|(store, voter)| {
            let (head, address) = (voter.head.clone(), voter.address.clone());
            (*store, Peer { head, address })
        });
        let own =
            Voters { log_index: membership.log_id().map_or(0, |at| at.index), by_store: by_store.collect() };
        let told = self.follower().voters.clone();
        // The first voters are settled at index 0, at which a follower's own empty list stands, too.
        let is_newer = told.log_index > own.log_index || own.by_store.is_empty();
        if is_newer { told } else { own }
    }

    /// Where the leader is, as far as this head knows; `None` where that is itself, or nobody.
    pub fn leader(&self) -> Option<Peer> {
        if !self.votes() {
            return self.follower().leader();
        }
        let metrics = self.raft.metrics().borrow().clone();
        let leader = metrics.current_leader.filter(|leader| *leader != metrics.id)?;
        let voter = metrics.membership_config.membership().get_node(&leader)?;
        Some(Peer { head: voter.head.clone(), address: voter.address.clone() })
    }

    /// Over which heads this one hears of changes, and how old what it holds may be.
    pub fn path_and_age(&self) -> (Vec<String>, Option<u64>) {
        if self.votes() {
            let silent = if self.leads() { 0 } else { self.election().leader_silence(now()) };
            return (vec![self.links.own().head], Some(silent));
        }
        let follower = self.follower();
        (follower.path(), follower.age(now()))
    }

    fn role(&self, stopped: bool, state: ServerState, age: Option<u64>) -> &'static str {
        match state {
            _ if stopped => "stopped",
            _ if !self.votes() && age.is_some() && self.settings.relay => "relay",
            _ if !self.votes() && age.is_some() => "follower",
            _ if !self.votes() => "new",
            ServerState::Leader => "leader",
            ServerState::Candidate => "candidate",
            _ => "keeper",
        }
    }

    /// How this head stands.
    pub fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let own = self.links.own();
        let membership = metrics.membership_config.membership();
        let voter_ids: Vec<StoreId> = membership.voter_ids().collect();
        let voters = membership.nodes().map(|(store, voter)| {
            let matched = metrics.replication.as_ref().and_then(|all| all.get(store).copied().flatten());
            let at = self.links.route(&voter.head, &voter.address);
            VoterStatus {
                head: voter.head.clone(),
                store: *store,
                address: at.map_or(voter.address.clone(), |at| at.to_string()),
                zone: voter.zone.clone(),
                votes: voter_ids.contains(store),
                matched: matched.map(|matched| matched.index),
            }
        });
        let voters: Vec<VoterStatus> = voters.collect();
        let old =
            self.links.is_rolled_back().then(|| "an older copy of its disk: remove its folder".to_owned());
        let trouble = metrics.running_state.as_ref().err().map(ToString::to_string).or(old);
        let (path, age) = self.path_and_age();
        let syncs = &self.disk.syncs;
        let (count, total) = (syncs.count.load(Ordering::Relaxed), syncs.total.load(Ordering::Relaxed));
        let leads = metrics.state == ServerState::Leader;
        Status {
            role: self.role(trouble.is_some(), metrics.state, age).to_owned(),
            leader: if leads { Some(own.head.clone()) } else { self.leader().map(|leader| leader.head) },
            fleet: own.fleet,
            head: own.head,
            store: metrics.id,
            incarnation: own.incarnation.count,
            term: metrics.current_term,
            version: self.machine.read(|view| view.version),
            applied: metrics.last_applied.map_or(0, |applied| applied.index),
            last: metrics.last_log_index.unwrap_or(0),
            voters,
            followers: self.followers().subtree(now()),
            path,
            age,
            repairs: self.repairs.load(Ordering::Relaxed),
            syncs: (count, syncs.longest.load(Ordering::Relaxed), total / count.max(1)),
            refused: self.refused.load(Ordering::Relaxed),
            trouble,
        }
    }
}
