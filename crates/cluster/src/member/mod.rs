//! One head as a member of the cluster: a voter or a follower.
//!
//! [`Member`] is shared by all tasks of a [`Node`](crate::node::Node). It owns the consensus library's
//! instance, the state machine, the disk's handle, the connections to other heads, and the state machines of
//! `sedgerun_replication`. Each of the latter has its own lock, which is never held across an await.
//!
//! The methods of a member are grouped by concern. In this module: `start` (construction), `respond`
//! (responses to other heads), `origin` (beginning and joining a cluster), `role` (whether this head votes or
//! leads, and which others do) and `status`. In the crate: [`change`](crate::change),
//! [`election`](crate::election), [`follow`](crate::follow), [`recovery`](crate::recovery),
//! [`relay`](crate::relay), [`repair`](crate::repair) and [`upstream`](crate::upstream).

mod origin;
mod respond;
mod role;
mod start;
mod status;

pub use origin::{AdoptError, BeginError};
pub use start::StartError;

use crate::disk::{Disk, Identity};
use crate::environment::now;
use crate::peer_network::PeerNetwork;
use crate::pending_change::PendingChange;
use crate::pending_memory::PendingMemory;
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
    /// The consensus library's instance.
    pub raft: Raft,
    /// The replicated state.
    pub state_machine: StateMachine,
    /// Connections to other heads.
    pub network: PeerNetwork,
    /// The settings of the cluster.
    pub settings: Settings,
    /// The handle of the store's writer.
    pub disk: Disk,
    /// The Raft log.
    pub log: RaftLog,
    identity: tokio::sync::Mutex<Identity>,
    /// Number of connections closed because of a corrupt frame or a rejected greeting.
    pub rejected_connections: AtomicU64,
    /// The recovery after the start has ended: this store may vote and acknowledge entries.
    pub has_recovered: AtomicBool,
    /// This store was a voter and has been removed from the voters.
    pub is_removed: AtomicBool,
    /// Number of voter changes that this head has committed as leader.
    pub repairs: AtomicU64,
    election: Mutex<Election>,
    follower: Mutex<Follower>,
    followers: Mutex<Followers>,
    registry: Mutex<RelayRegistry>,
    transfer_permits: Mutex<TransferPermits>,
    /// The memory that is reserved for changes in the queue.
    pub pending: PendingMemory,
    /// Queue of changes for the task that writes batches.
    pub changes: mpsc::Sender<PendingChange>,
}

/// Locks a mutex and ignores poisoning: otherwise a panic of one thread would end all threads that use the
/// same state.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Member {
    /// The state that decides when this voter campaigns.
    pub fn election(&self) -> MutexGuard<'_, Election> {
        lock(&self.election)
    }

    /// The state that decides which upstream this head follows.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }

    /// The followers that this head serves.
    pub fn followers(&self) -> MutexGuard<'_, Followers> {
        lock(&self.followers)
    }

    /// The leases of the relays, updated for whether this head votes now.
    pub fn voting_registry(&self) -> MutexGuard<'_, RelayRegistry> {
        let votes = self.votes();
        let mut registry = lock(&self.registry);
        registry.set_voting(now(), votes);
        registry
    }

    /// The permits of large transfers to followers.
    pub fn transfer_permits(&self) -> MutexGuard<'_, TransferPermits> {
        lock(&self.transfer_permits)
    }
}
