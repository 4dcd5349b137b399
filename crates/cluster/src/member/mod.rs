//! One head as a member of the cluster: a voter or a follower.
//!
//! [`Member`] is shared by all tasks of a [`Node`](crate::node::Node). It owns the consensus library's instance, the
//! state machine, the disk's handle, the links, and the state of each decision of `sedgerun_replication`, each behind a
//! lock of its own that is never held across an await.
//!
//! What a member does is spread over the crate, by concern: here `start` (building it), `respond` (requests of other
//! heads), `origin` (beginning and joining a cluster), `role` (whether it votes or leads, and who else does) and
//! `status`; then [`change`](crate::change), [`election`](crate::election), [`follow`](crate::follow),
//! [`recovery`](crate::recovery), [`relay`](crate::relay), [`repair`](crate::repair) and
//! [`upstream`](crate::upstream).

mod origin;
mod respond;
mod role;
mod start;
mod status;

pub use origin::{AdoptError, BeginError};
pub use start::StartError;

use crate::disk::{Disk, Identity};
use crate::environment::now;
use crate::link::Links;
use crate::pending_change::PendingChange;
use crate::raft_log::RaftLog;
use crate::settings::Settings;
use crate::state_machine::StateMachine;
use crate::types::Raft;
use sedgerun_replication::election::Election;
use sedgerun_replication::follow::{Follower, Followers};
use sedgerun_replication::relay::RelayRegistry;
use sedgerun_replication::transfer_permits::TransferPermits;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// A head as a member of the cluster: a voter or a follower.
pub struct Member {
    /// The consensus protocol.
    pub raft: Raft,
    /// The replicated state.
    pub state_machine: StateMachine,
    /// Connections to other heads.
    pub links: Links,
    /// The settings of the cluster.
    pub settings: Settings,
    /// The handle of the store's writer.
    pub disk: Disk,
    /// The log.
    pub log: RaftLog,
    identity: tokio::sync::Mutex<Identity>,
    /// Connections closed because of corrupt frames or rejected greetings.
    pub rejected_connections: AtomicU64,
    /// The others have been asked for what this store acknowledged: it votes and acknowledges.
    pub has_recovered: AtomicBool,
    /// This store was a voter, and others have taken its place.
    pub is_removed: AtomicBool,
    /// Membership changes made as leader.
    pub repairs: AtomicU64,
    election: Mutex<Election>,
    follower: Mutex<Follower>,
    followers: Mutex<Followers>,
    registry: Mutex<RelayRegistry>,
    transfer_permits: Mutex<TransferPermits>,
    /// Changes that wait to be written.
    pub changes: mpsc::Sender<PendingChange>,
}

/// Guards against one panic that would end all threads that use the same state.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Member {
    /// When to campaign.
    pub fn election(&self) -> MutexGuard<'_, Election> {
        lock(&self.election)
    }

    /// Which upstream to follow.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }

    /// The followers that this head serves.
    pub fn followers(&self) -> MutexGuard<'_, Followers> {
        lock(&self.followers)
    }

    /// The leases of the relays, after the registry was updated on whether this head votes.
    pub fn voting_registry(&self) -> MutexGuard<'_, RelayRegistry> {
        let votes = self.votes();
        let mut registry = lock(&self.registry);
        registry.set_voting(now(), votes);
        registry
    }

    /// The large transfers to followers in progress.
    pub fn transfer_permits(&self) -> MutexGuard<'_, TransferPermits> {
        lock(&self.transfer_permits)
    }
}
