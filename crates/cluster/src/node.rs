//! One head's node of the cluster with all its tasks. The transport and the disk are parameters: TCP and a
//! real disk, or those of a simulator.
//!
//! A [`Node`] owns its tasks; dropping it aborts them. A node does not listen: `serve` accepts connections
//! over TCP, and a simulator passes them to [`Node::accept`].

use crate::change::MAX_WAITING_CHANGES;
use crate::change_error::ClusterRequestError;
use crate::environment::Connection;
use crate::member::{BeginError, Member, StartError};
pub use crate::node_setup::NodeSetup;
use crate::pending_change::PendingChange;
use crate::serve::serve_connection;
use crate::types::HeadStatus;
use openraft::ServerState;
use sedgerun_replication::state::{Change, ChangeOutcome};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::view::View;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Interval between checks of whether the role has changed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A head's node of the cluster. Dropping it aborts its tasks.
pub struct Node {
    /// The state that the tasks share.
    pub(crate) member: Arc<Member>,
    tasks: JoinSet<()>,
    /// Number of tasks other than those that serve connections.
    internal_tasks: usize,
}

impl Node {
    /// Starts a node on an opened store.
    ///
    /// # Errors
    /// The store's contents cannot be used.
    pub async fn start(setup: NodeSetup) -> Result<Node, StartError> {
        let (changes, queued) = mpsc::channel(MAX_WAITING_CHANGES);
        let member = Arc::new(Member::start(setup, changes).await?);
        let tasks = spawn_tasks(&member, queued);
        Ok(Node { member, internal_tasks: tasks.len(), tasks })
    }

    /// Serves a connection that another head has made. Connections beyond the limit are closed at once,
    /// because idle clients could use up the file descriptors.
    pub fn accept(&mut self, connection: Connection) {
        let member = Arc::clone(&self.member);
        while self.tasks.try_join_next().is_some() {}
        if self.tasks.len() >= self.internal_tasks + member.settings.max_peer_connections(member.votes()) {
            return;
        }
        self.tasks.spawn(async move { drop(serve_connection(&member, connection).await) });
    }

    /// Stops the node at once. The consensus library's own tasks shut down in the background.
    pub fn stop(self) {
        let member = Arc::clone(&self.member);
        drop(self);
        tokio::spawn(async move { drop(member.raft.shutdown().await) });
    }

    /// Creates a client of this node, which does not keep the node's tasks running.
    pub fn client(&self) -> NodeClient {
        NodeClient(Arc::clone(&self.member))
    }

    /// The identifier of the node's store.
    pub fn store_id(&self) -> StoreId {
        self.member.raft_id()
    }

    /// The term in which this node leads, as far as it knows; `None` if it does not lead.
    pub fn leading_term(&self) -> Option<u64> {
        let metrics = self.member.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// The status of the head.
    pub fn status(&self) -> HeadStatus {
        self.member.status()
    }

    /// Reads the node's view, which may lag behind what is committed. `read` must be short, as it runs under
    /// a lock.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        self.member.state_machine.read(read)
    }
}

/// A client of a node, in the same process.
pub struct NodeClient(Arc<Member>);

impl NodeClient {
    /// Commits a change, on this node if it leads, else on the leader.
    ///
    /// # Errors
    /// The change was not committed in time; it may still be committed later.
    pub async fn change(&self, change: Change) -> Result<ChangeOutcome, ClusterRequestError> {
        self.0.change(change).await
    }

    /// Begins the cluster with the voters of the settings.
    ///
    /// # Errors
    /// A voter is not ready, or this head cannot begin the cluster.
    pub async fn begin(&self) -> Result<(), BeginError> {
        self.0.begin().await
    }

    /// The node's view, which may lag behind what is committed.
    pub fn view(&self) -> View {
        self.0.state_machine.read(View::clone)
    }

    /// The node's view with all changes that were committed when this was called.
    ///
    /// # Errors
    /// No leader confirmed a version, or this node did not reach it in time.
    pub async fn read_latest(&self) -> Result<View, ClusterRequestError> {
        self.0.wait_for_latest().await?;
        Ok(self.view())
    }
}

/// Starts all tasks of a member.
fn spawn_tasks(member: &Arc<Member>, queued: mpsc::Receiver<PendingChange>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(member).write_batches(queued));
    tasks.spawn(log_role(Arc::clone(member)));
    tasks.spawn(Arc::clone(member).run_elections());
    let recovery = Arc::clone(member);
    tasks.spawn(async move {
        recovery.recover().await;
        recovery.save_watermarks().await;
    });
    let follower = Arc::clone(member);
    tasks.spawn(async move { follower.follow().await });
    let view_saver = Arc::clone(member);
    tasks.spawn(async move { view_saver.save_follower_view().await });
    if member.settings.relay {
        let registration = Arc::clone(member);
        tasks.spawn(async move { registration.run_registration().await });
    }
    let repair = Arc::clone(member);
    tasks.spawn(async move { repair.run_repair().await });
    tasks
}

/// Logs each change of this head's role, term or leader, and its first fault. Never returns.
async fn log_role(member: Arc<Member>) {
    let mut logged = (String::new(), 0, None);
    let mut has_logged_fault = false;
    loop {
        // Updates the registry, so that it learns of a change of this head's vote before the next request.
        drop(member.voting_registry());
        let status = member.status();
        let current = (status.role, status.term, status.leader);
        if current != logged {
            let leader = current.2.as_deref().unwrap_or("unknown");
            tracing::info!(
                term = current.1,
                leader,
                version = status.version,
                "fleet: role is now {}",
                current.0
            );
            logged = current;
        }
        if let Some(fault) = status.fault.filter(|_| !has_logged_fault) {
            tracing::error!(
                "fleet: this head no longer votes or stores log entries because of a fault: {fault}"
            );
            has_logged_fault = true;
        }
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}
