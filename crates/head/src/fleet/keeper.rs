//! One head's part in the fleet: it keeps the state with the others, passes changes on to the leader, and says
//! how it stands.

use super::disk::{Disk, Held, Identity, random};
use super::link::{Links, protocol};
use super::log::Log;
use super::machine::Machine;
use super::settings::Settings;
use super::types::{Call, Known, Place, Raft, Reply, Status, Vote};
use openraft::error::{ClientWriteError, ForwardToLeader, RaftError};
use openraft::{Config, ServerState, SnapshotPolicy};
use sedgerun_fleet::greeting::{Greeting, StoreId, origin};
use sedgerun_fleet::memory::Life;
use sedgerun_fleet::record::Kind;
use sedgerun_fleet::state::{Change, Outcome};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Between signs of life of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// Silence after which a keeper stands for election, in milliseconds: the longer, by which a leader counts as
/// heard, and on top of it between these two, by chance.
const ELECTION_MS: (u64, u64) = (400, 800);
/// Entries between snapshots, and those kept behind one for keepers that are a little late.
const SNAPSHOT_EVERY: u64 = 5000;
const SNAPSHOT_KEEP: u64 = 1000;
/// Time in which a change is settled or refused.
const CHANGE: Duration = Duration::from_millis(950);
/// Time that a store which has just woken waits for the word of each other keeper.
const WAKE: Duration = Duration::from_secs(2);
/// How often what is remembered of other stores is written down.
const REMEMBER: Duration = Duration::from_millis(200);
/// Between tries while there is no leader.
const RETRY: Duration = Duration::from_millis(25);

/// Why a change was not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsettled(pub String);

/// A head's part in the fleet.
pub struct Keeper {
    /// The protocol.
    pub raft: Raft,
    /// The state.
    pub machine: Machine,
    /// The ways to others.
    pub links: Links,
    settings: Settings,
    disk: Disk,
    identity: Mutex<Identity>,
    /// Frames and greetings refused.
    pub refused: AtomicU64,
    /// The others have been asked what this store acknowledged: it votes and acknowledges.
    awake: AtomicBool,
}

impl Keeper {
    /// Takes up the life of a store.
    pub async fn start(settings: Settings, head: &str, disk: Disk, held: Held) -> Result<Keeper, String> {
        let woke = held.mark();
        let Held { identity, vote, committed, purged, log, memory, snapshot } = held;
        let own = Greeting {
            fleet: settings.name.clone(),
            secret: settings.secret.clone(),
            head: head.to_owned(),
            store: Some(identity.store),
            life: Life { count: identity.life, birth: random()? },
            woke,
            origin: identity.origin,
        };
        let links = Links::new(own, settings.keepers.clone(), memory);
        let machine = Machine::new(disk.clone(), snapshot, &log, committed)?;
        // Guards against a leader that goes on where it was: what it sent and had not synced is gone, and it would
        // put other entries in the same places. A restarted process is a new life, and stands for election anew.
        let vote = vote.map(|vote| match vote.leader_id().voted_for() {
            Some(own) if own == identity.store => Vote { committed: false, ..vote },
            _ => vote,
        });
        let log = Log::new(disk.clone(), log, purged, vote, committed);
        let config = Config {
            cluster_name: settings.name.clone(),
            heartbeat_interval: HEARTBEAT_MS,
            election_timeout_min: ELECTION_MS.0,
            election_timeout_max: ELECTION_MS.1,
            max_payload_entries: 128,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_EVERY),
            max_in_snapshot_log_to_keep: SNAPSHOT_KEEP,
            snapshot_max_chunk_size: 512 << 10,
            install_snapshot_timeout: 2000,
            // Until it is awake.
            enable_elect: false,
            ..Config::default()
        };
        let config = Arc::new(config.validate().map_err(|error| error.to_string())?);
        let raft = Raft::new(identity.store, config, links.clone(), log, machine.clone());
        let raft = raft.await.map_err(|error| error.to_string())?;
        let (identity, refused, awake) = (Mutex::new(identity), AtomicU64::new(0), AtomicBool::default());
        Ok(Keeper { raft, machine, links, settings, disk, identity, refused, awake })
    }

    /// Answers a call of another head, which said this of itself.
    pub async fn answer(&self, call: Call, from: &Greeting) -> Reply {
        let call = match call {
            // Whoever keeps with us is of our fleet: from its first word of the protocol on.
            Call::Append(_) | Call::Vote(_) | Call::Snapshot(_) => {
                // Guards against a promise on top of what an older copy of the disk has forgotten.
                if self.links.is_old() || !self.awake.load(Ordering::SeqCst) {
                    return Reply::Refused(
                        "has just started, and asks the others what it has acknowledged".into(),
                    );
                }
                if let Err(what) = self.adopt(from.origin).await {
                    return Reply::Refused(what);
                }
                match protocol(&self.raft, call).await {
                    Ok(reply) => return reply,
                    Err(call) => call,
                }
            }
            call => call,
        };
        match call {
            Call::Change(change, left) => {
                let left = Duration::from_millis(left).min(CHANGE);
                match tokio::time::timeout(left, self.write(change)).await {
                    Ok(Ok(outcome)) => Reply::Changed(outcome),
                    Ok(Err((what, _))) => Reply::Refused(what),
                    Err(_) => Reply::Refused("no majority of the keepers answers".into()),
                }
            }
            Call::Latest => match self.settled_here().await {
                Ok(version) => Reply::Latest(version),
                Err(what) => Reply::Refused(what),
            },
            Call::Begin => match self.begin().await {
                Ok(()) => Reply::Begun,
                Err(what) => Reply::Refused(what),
            },
            _ => Reply::Status(Box::new(self.status().await)),
        }
    }

    /// Asks the other keepers, as a store that has just woken, whether it is what they remember; then it votes.
    /// One that cannot be reached is waited for so long, and no longer: it may be gone for good.
    pub async fn wake(&self) {
        let own = self.links.own();
        let membership = self.machine.membership();
        let mut others: BTreeMap<String, Place> = BTreeMap::new();
        // Guards against a store that was killed before it noted who keeps (that note has no sync of its own): it
        // would know nobody to ask. The keepers of the settings are asked too, once there is a fleet.
        if own.origin.is_some() {
            let named = self.settings.keepers.iter();
            others.extend(
                named.map(|(head, at)| (head.clone(), Place { head: head.clone(), address: at.to_string() })),
            );
        }
        others.extend(membership.nodes().map(|(_, place)| (place.head.clone(), place.clone())));
        others.remove(&own.head);
        let mut others: Vec<Place> = others.into_values().collect();
        let begun = Instant::now();
        while !others.is_empty() && begun.elapsed() < WAKE && !self.links.is_old() {
            let mut left = Vec::new();
            for place in others {
                let heard = match self.links.route(&place) {
                    Some(to) => self.links.dial(to).await.is_ok(),
                    None => false,
                };
                if !heard {
                    left.push(place);
                }
            }
            others = left;
            if !others.is_empty() {
                tokio::time::sleep(RETRY).await;
            }
        }
        if !self.links.is_old() {
            self.awake.store(true, Ordering::SeqCst);
            self.raft.runtime_config().elect(true);
        }
    }

    /// Writes down what is remembered of the others, as it changes, and ends this head's part where it is an
    /// older copy of itself.
    pub async fn remember(&self) {
        let mut written = self.links.remembered();
        loop {
            tokio::time::sleep(REMEMBER).await;
            let now = self.links.remembered();
            if now != written {
                self.disk.note(Kind::Memory, "memory", &now).await;
                written = now;
            }
            if self.links.is_old() {
                self.raft.runtime_config().elect(false);
            }
        }
    }

    /// Takes over a fleet's origin, once, synced.
    async fn adopt(&self, theirs: Option<u64>) -> Result<(), String> {
        let mut identity = self.identity.lock().await;
        match (identity.origin, theirs) {
            (None, Some(theirs)) => {
                let adopted = Identity { origin: Some(theirs), ..identity.clone() };
                self.disk.put(Kind::Identity, "identity", &adopted).await?;
                *identity = adopted;
                self.links.set_origin(theirs);
                Ok(())
            }
            (Some(own), Some(theirs)) if own == theirs => Ok(()),
            _ => Err("of another origin".into()),
        }
    }

    /// Makes a change through this head as leader; with what to do where it is none.
    async fn write(&self, change: Change) -> Result<Outcome, (String, Option<Place>)> {
        match self.raft.client_write(change).await {
            Ok(written) => written.data.ok_or(("the change came to nothing".into(), None)),
            Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to))) => {
                let ForwardToLeader { leader_node, .. } = to;
                Err(("no leader is known".into(), leader_node))
            }
            Err(error) => Err((error.to_string(), None)),
        }
    }

    /// Makes a change, wherever the leader is. Settled means synced at a majority of the keepers. Tries again
    /// carry the same key, so that one whose answer was lost still happens once.
    pub async fn change(&self, change: Change) -> Result<Outcome, Unsettled> {
        let begun = Instant::now();
        let mut why = "no leader is known".to_owned();
        while let Some(left) = CHANGE.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) {
            if self.machine.membership().nodes().next().is_none()
                && self.raft.is_initialized().await != Ok(true)
            {
                return Err(Unsettled("this head is in no fleet yet: sedgerun fleet begin".into()));
            }
            let tried = tokio::time::timeout(left, self.write(change.clone())).await;
            let leader = match tried {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err((what, leader))) => {
                    why = what;
                    leader
                }
                Err(_) => {
                    why = "no majority of the keepers answers".into();
                    None
                }
            };
            if let Some(to) = leader.and_then(|place| self.links.route(&place)) {
                let left = CHANGE.saturating_sub(begun.elapsed());
                let call = Call::Change(change.clone(), left.as_millis() as u64);
                match self.links.call(to, &call, left).await {
                    Ok(Reply::Changed(outcome)) => return Ok(outcome),
                    Ok(Reply::Refused(what)) => why = what,
                    Ok(_) => why = "the leader answers something else".into(),
                    Err(error) => why = format!("the leader at {to}: {error}"),
                }
            }
            tokio::time::sleep(RETRY).await;
        }
        Err(Unsettled(why))
    }

    /// The version that all who ask from now on must see, found by this head as leader.
    async fn settled_here(&self) -> Result<u64, String> {
        let seen = tokio::time::timeout(CHANGE, self.raft.ensure_linearizable()).await;
        match seen {
            Ok(Ok(_)) => Ok(self.machine.look(|state| state.version)),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no majority of the keepers answers".into()),
        }
    }

    /// Waits until this head holds all that was settled when it was asked.
    pub async fn latest(&self) -> Result<u64, Unsettled> {
        let begun = Instant::now();
        let mut why = "no leader is known".to_owned();
        while begun.elapsed() < CHANGE {
            match self.settled_here().await {
                Ok(version) => return Ok(version),
                Err(what) => why = what,
            }
            let metrics = self.raft.metrics().borrow().clone();
            let leader = metrics.current_leader.filter(|leader| *leader != metrics.id);
            let place =
                leader.and_then(|leader| metrics.membership_config.membership().get_node(&leader).cloned());
            if let Some(to) = place.and_then(|place| self.links.route(&place)) {
                let left = CHANGE.saturating_sub(begun.elapsed());
                match self.links.call(to, &Call::Latest, left).await {
                    Ok(Reply::Latest(version)) => {
                        return self.at_least(version, CHANGE.saturating_sub(begun.elapsed())).await;
                    }
                    Ok(Reply::Refused(what)) => why = what,
                    Ok(_) => why = "the leader answers something else".into(),
                    Err(error) => why = format!("the leader at {to}: {error}"),
                }
            }
            tokio::time::sleep(RETRY).await;
        }
        Err(Unsettled(why))
    }

    /// Waits until this head holds a version.
    pub async fn at_least(&self, version: u64, within: Duration) -> Result<u64, Unsettled> {
        let mut versions = self.machine.version();
        let reached = tokio::time::timeout(within, versions.wait_for(|held| *held >= version)).await;
        match reached {
            Ok(Ok(held)) => Ok(*held),
            _ => Err(Unsettled(format!(
                "this head holds version {}, not {version}",
                self.machine.look(|state| state.version)
            ))),
        }
    }

    /// Begins the fleet with the keepers of the settings: each must answer under its name, and hold nothing.
    /// Begun twice with the same stores, it is begun once.
    async fn begin(&self) -> Result<(), String> {
        let own = self.links.own();
        if !self.settings.keepers.contains_key(&own.head) {
            return Err(format!("{} is not among the keepers of its own settings", own.head));
        }
        let mut members: BTreeMap<StoreId, Place> = BTreeMap::new();
        let mut origins = Vec::new();
        for (name, at) in &self.settings.keepers {
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
            members.insert(store, Place { head: name.clone(), address: at.to_string() });
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

    /// How this head stands.
    pub async fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let own = self.links.own();
        let membership = metrics.membership_config.membership();
        let voters: Vec<StoreId> = membership.voter_ids().collect();
        let keepers = membership.nodes().map(|(store, place)| {
            let matched = metrics.replication.as_ref().and_then(|all| all.get(store).copied().flatten());
            Known {
                head: place.head.clone(),
                store: *store,
                address: self.links.route(place).map_or(place.address.clone(), |at| at.to_string()),
                votes: voters.contains(store),
                matched: matched.map(|matched| matched.index),
            }
        });
        let keepers: Vec<Known> = keepers.collect();
        let old = self.links.is_old().then(|| "an older copy of its disk: remove its folder".to_owned());
        let trouble = metrics.running_state.as_ref().err().map(ToString::to_string).or(old);
        let role = match metrics.state {
            _ if trouble.is_some() => "stopped",
            _ if !voters.contains(&metrics.id) => "new",
            ServerState::Leader => "leader",
            ServerState::Candidate => "candidate",
            _ => "follower",
        };
        let leader = metrics.current_leader.and_then(|leader| membership.get_node(&leader));
        let syncs = &self.disk.syncs;
        let (count, total) = (syncs.count.load(Ordering::Relaxed), syncs.total.load(Ordering::Relaxed));
        Status {
            fleet: own.fleet,
            head: own.head,
            store: metrics.id,
            life: own.life.count,
            role: role.to_owned(),
            leader: leader.map(|place| place.head.clone()),
            term: metrics.current_term,
            version: self.machine.look(|state| state.version),
            applied: metrics.last_applied.map_or(0, |applied| applied.index),
            last: metrics.last_log_index.unwrap_or(0),
            keepers,
            syncs: (count, syncs.longest.load(Ordering::Relaxed), total / count.max(1)),
            refused: self.refused.load(Ordering::Relaxed),
            trouble,
        }
    }
}
