//! One head's node of the cluster with all its tasks, over any transport and disk: real sockets and a real disk, or those
//! of a simulator.
//!
//! A [`Node`] owns the tasks; dropping it ends them. It does not listen: connections of other heads are handed to it, or
//! accepted by `serve`.

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

/// Time between checks of whether the role has changed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A head's node of the cluster. Dropping it ends its tasks.
pub struct Node {
    /// The head as a member.
    pub(crate) member: Arc<Member>,
    tasks: JoinSet<()>,
    /// Number of tasks that are not connections.
    own_tasks: usize,
}

impl Node {
    /// Starts a new incarnation of a store.
    ///
    /// # Errors
    /// The store's contents cannot be used.
    pub async fn start(setup: NodeSetup) -> Result<Node, StartError> {
        let (changes, waiting) = mpsc::channel(MAX_WAITING_CHANGES);
        let member = Arc::new(Member::start(setup, changes).await?);
        let tasks = spawn_tasks(&member, waiting);
        Ok(Node { member, own_tasks: tasks.len(), tasks })
    }

    /// Serves a connection that another head has made.
    pub fn accept(&mut self, connection: Connection) {
        let member = Arc::clone(&self.member);
        while self.tasks.try_join_next().is_some() {}
        // Guards against callers that connect and stay: those past the limit are closed at once.
        if self.tasks.len() >= self.own_tasks + member.settings.max_peer_connections(member.votes()) {
            return;
        }
        self.tasks.spawn(async move { drop(serve_connection(&member, connection).await) });
    }

    /// Ends it at once. What the consensus library has begun ends by itself, and finds no disk and no connection.
    pub fn stop(self) {
        let member = Arc::clone(&self.member);
        drop(self);
        tokio::spawn(async move { drop(member.raft.shutdown().await) });
    }

    /// A client, which does not keep the tasks running.
    pub fn client(&self) -> NodeClient {
        NodeClient(Arc::clone(&self.member))
    }

    /// The number of its store.
    pub fn store_id(&self) -> StoreId {
        self.member.raft_id()
    }

    /// The term in which it leads, as far as it knows.
    pub fn leading_term(&self) -> Option<u64> {
        let metrics = self.member.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// Its status.
    pub fn status(&self) -> HeadStatus {
        self.member.status()
    }

    /// Reads its view.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        self.member.state_machine.read(read)
    }
}

/// A client of a node, in the same process.
pub struct NodeClient(Arc<Member>);

impl NodeClient {
    /// Makes a change.
    ///
    /// # Errors
    /// It was not committed in time; it may still be.
    pub async fn change(&self, change: Change) -> Result<ChangeOutcome, ClusterRequestError> {
        self.0.change(change).await
    }

    /// Begins the cluster with the voters of the settings.
    ///
    /// # Errors
    /// Which voter is not ready, or why this head cannot begin.
    pub async fn begin(&self) -> Result<(), BeginError> {
        self.0.begin().await
    }

    /// Its view, which may lag behind what is committed.
    pub fn view(&self) -> View {
        self.0.state_machine.read(View::clone)
    }

    /// Its view with all that was committed when this was called.
    ///
    /// # Errors
    /// It did not come that far in time.
    pub async fn read_latest(&self) -> Result<View, ClusterRequestError> {
        self.0.wait_for_latest().await?;
        Ok(self.view())
    }
}

/// Starts all tasks of a member.
fn spawn_tasks(member: &Arc<Member>, waiting: mpsc::Receiver<PendingChange>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(member).write_batches(waiting));
    tasks.spawn(log_role(Arc::clone(member)));
    tasks.spawn(Arc::clone(member).run_elections());
    let recovering = Arc::clone(member);
    tasks.spawn(async move {
        recovering.recover().await;
        recovering.save_watermarks().await;
    });
    let following = Arc::clone(member);
    tasks.spawn(async move { following.follow().await });
    let saving = Arc::clone(member);
    tasks.spawn(async move { saving.save_followed().await });
    if member.settings.relay {
        let registering = Arc::clone(member);
        tasks.spawn(async move { registering.run_registration().await });
    }
    let repairing = Arc::clone(member);
    tasks.spawn(async move { repairing.run_repair().await });
    tasks
}

/// Logs each change of this head's role, term or leader, and its first fault.
async fn log_role(member: Arc<Member>) {
    let mut logged = (String::new(), 0, None);
    let mut has_logged_fault = false;
    loop {
        // Updated here, so that a voter counts as one from its start on, and not from the first request.
        drop(member.voting_registry());
        let status = member.status();
        let current = (status.role, status.term, status.leader);
        if current != logged {
            let leader = current.2.as_deref().unwrap_or("nobody");
            tracing::info!(term = current.1, leader, version = status.version, "fleet: now {}", current.0);
            logged = current;
        }
        if let Some(fault) = status.fault.filter(|_| !has_logged_fault) {
            tracing::error!("fleet: keeps and promises nothing any more: {fault}");
            has_logged_fault = true;
        }
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}
