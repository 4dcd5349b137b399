//! Starts a member from its settings and its opened store.

use super::Member;
use crate::disk::{Identity, OpenedStore, StoreError};
use crate::environment::{EntropyError, now, random};
use crate::node_setup::NodeSetup;
use crate::peer_network::PeerNetwork;
use crate::pending_change::PendingChange;
use crate::pending_memory::PendingMemory;
use crate::raft_log::RaftLog;
use crate::settings::Settings;
use crate::state_machine::{ReplayError, StateMachine};
use crate::types::{Raft, Vote};
use openraft::error::Fatal;
use openraft::{Config, ConfigError, SnapshotPolicy};
use sedgerun_replication::election::{Election, ElectionTimeouts};
use sedgerun_replication::follow::{Follower, Followers, Peer};
use sedgerun_replication::greeting::{Greeting, StoreId};
use sedgerun_replication::transfer_permits::TransferPermits;
use sedgerun_replication::watermark::Incarnation;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::mpsc;

/// Interval between heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// Time after a leader's heartbeat during which a voter votes for no other candidate, in milliseconds.
const LEASE_MS: u64 = 400;
/// Timeouts that decide when a voter campaigns. The leader timeout is longer than the lease, so that a
/// candidate is not rejected by a voter that received the last heartbeat slightly later.
pub(super) const ELECTION_TIMEOUTS: ElectionTimeouts =
    ElectionTimeouts { leader_timeout_ms: 500, jitter_ms: 250, retry_ms: 300 };
/// Number of log entries between snapshots.
const ENTRIES_BETWEEN_SNAPSHOTS: u64 = 5000;
/// Number of log entries kept after a snapshot, so that a voter that lags by fewer entries needs no snapshot.
const ENTRIES_KEPT: u64 = 1000;
/// Size of one chunk of a snapshot, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 512 << 10;
/// Timeout for sending one chunk of a snapshot, in milliseconds.
const SNAPSHOT_CHUNK_TIMEOUT_MS: u64 = 2000;

/// Why a member cannot be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// There are no random numbers.
    #[error(transparent)]
    Entropy(#[from] EntropyError),
    /// The state cannot be built from the last snapshot and the log.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The log cannot be read.
    #[error(transparent)]
    Log(#[from] StoreError),
    /// The consensus library rejects its configuration.
    #[error(transparent)]
    Config(#[from] Box<ConfigError>),
    /// The consensus library cannot start with this log.
    #[error(transparent)]
    Raft(#[from] Box<Fatal<StoreId>>),
}

impl Member {
    /// Starts a member on an opened store. Changes that it commits as leader are queued in `changes`.
    ///
    /// # Errors
    /// The store's contents cannot be used.
    pub async fn start(setup: NodeSetup, changes: mpsc::Sender<PendingChange>) -> Result<Member, StartError> {
        let NodeSetup { settings, head, address, disk, opened, dial } = setup;
        let own = greeting(&settings, &head, address, &opened)?;
        let limits = settings.memory;
        let state_machine = StateMachine::new(disk.clone(), &opened, limits.whole_change_bytes)?;
        let vote = opened.vote.map(|vote| uncommit_own_vote(vote, &opened.identity));
        let log = RaftLog::new(disk.clone(), &opened, vote, limits.log_bytes)?;
        let OpenedStore { identity, watermarks, .. } = opened;
        let network = PeerNetwork::new(own, settings.routes(), watermarks, dial);
        let config = Arc::new(raft_config(&settings)?);
        let raft = Raft::new(identity.store, config, network.clone(), log.clone(), state_machine.clone());
        let raft = raft.await.map_err(Box::new)?;
        let follower = follower(&settings, &head)?;
        let followers = Followers::new(settings.role(), settings.follower_capacity());
        Ok(Member {
            raft,
            state_machine,
            network,
            settings,
            disk,
            log,
            identity: tokio::sync::Mutex::new(identity),
            rejected_connections: AtomicU64::new(0),
            has_recovered: AtomicBool::default(),
            is_removed: AtomicBool::default(),
            repairs: AtomicU64::new(0),
            election: Mutex::new(Election::new(ELECTION_TIMEOUTS, random()?, now())),
            follower: Mutex::new(follower),
            followers: Mutex::new(followers),
            registry: Mutex::default(),
            transfer_permits: Mutex::new(TransferPermits::new(random()?)),
            pending: PendingMemory::default(),
            changes,
        })
    }
}

/// The greeting that this head sends on each connection.
fn greeting(
    settings: &Settings,
    head: &str,
    address: SocketAddr,
    opened: &OpenedStore,
) -> Result<Greeting, EntropyError> {
    let identity = &opened.identity;
    Ok(Greeting {
        cluster: settings.name.clone(),
        secret: settings.secret.clone(),
        head: head.to_owned(),
        store: Some(identity.store),
        zone: settings.zone.clone(),
        address: address.to_string(),
        incarnation: Incarnation { count: identity.incarnation, nonce: random()? },
        initial_watermark: opened.watermark(),
        origin: identity.origin,
    })
}

/// Clears the committed flag of a vote for this store itself, so that a restarted leader does not continue in
/// its old term but campaigns again. Entries that it had sent but not synced are lost, and in the same term
/// it would write other entries at the same log positions.
fn uncommit_own_vote(vote: Vote, identity: &Identity) -> Vote {
    match vote.leader_id().voted_for() {
        Some(own) if own == identity.store => Vote { committed: false, ..vote },
        _ => vote,
    }
}

fn raft_config(settings: &Settings) -> Result<Config, Box<ConfigError>> {
    let entries_between_snapshots = entries_between_snapshots();
    let config = Config {
        cluster_name: settings.name.clone(),
        heartbeat_interval: HEARTBEAT_MS,
        election_timeout_min: LEASE_MS - 50,
        election_timeout_max: LEASE_MS,
        max_payload_entries: 128,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(entries_between_snapshots),
        max_in_snapshot_log_to_keep: ENTRIES_KEPT.min(entries_between_snapshots / 5),
        snapshot_max_chunk_size: snapshot_chunk_bytes(),
        install_snapshot_timeout: SNAPSHOT_CHUNK_TIMEOUT_MS,
        // The crate's `election` module decides when to campaign.
        enable_elect: false,
        ..Config::default()
    };
    config.validate().map_err(Box::new)
}

fn follower(settings: &Settings, head: &str) -> Result<Follower, EntropyError> {
    let seeds = settings.voters.iter();
    let seeds = seeds.map(|(head, at)| Peer { head: head.clone(), address: at.to_string() }).collect();
    Ok(Follower::new(head, seeds, random()?).with_role(settings.role(), settings.region.clone()))
}

/// Number of log entries between snapshots. Tests reduce it by a failpoint.
fn entries_between_snapshots() -> u64 {
    fail::fail_point!("entries between snapshots", |configured| configured
        .and_then(|configured| configured.parse().ok())
        .unwrap_or(ENTRIES_BETWEEN_SNAPSHOTS));
    ENTRIES_BETWEEN_SNAPSHOTS
}

/// Size of one chunk of a snapshot, in bytes. Tests reduce it by a failpoint.
fn snapshot_chunk_bytes() -> u64 {
    fail::fail_point!("snapshot chunk bytes", |configured| configured
        .and_then(|configured| configured.parse().ok())
        .unwrap_or(SNAPSHOT_CHUNK_BYTES));
    SNAPSHOT_CHUNK_BYTES
}
