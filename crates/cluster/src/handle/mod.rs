//! The serving thread's handle of the cluster.
//!
//! The cluster's node runs on its own thread, so that a slow disk or an election does not delay clients. The
//! handle reads the replicated state, requests changes and waits for versions; it does not write the state
//! itself.
//!
//! - `start`: starts the thread and its runtime
//! - `metrics`: metrics for `show-stat`

mod metrics;
mod start;

pub use start::ClusterStartError;

use crate::change::new_change;
use crate::change_error::ClusterRequestError;
use crate::member::Member;
use crate::node::Node;
use crate::settings::Settings;
use crate::traffic::TrafficTotals;
use crate::types::HeadStatus;
use sedgerun_replication::state::{Change, ChangeOutcome, Command};
use sedgerun_replication::view::View;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Time limit for waiting until this head serves clients with a committed version.
const SERVING_TIMEOUT: Duration = Duration::from_millis(500);

/// The serving thread's handle of the cluster.
pub struct ClusterHandle {
    runtime: Handle,
    member: Arc<Member>,
    /// The version of the replicated state with which this head serves clients; 0 at the start.
    serving_version: watch::Sender<u64>,
}

impl ClusterHandle {
    /// Opens the store and starts the node on its own thread.
    ///
    /// # Errors
    /// The store or the listening address cannot be used; the text names the file or the setting.
    pub fn start(settings: &Settings, head: &str) -> Result<ClusterHandle, ClusterStartError> {
        let (runtime, member) = start::start(settings, head)?;
        Ok(ClusterHandle { runtime, member, serving_version: watch::Sender::new(0) })
    }

    /// Creates a handle of a node that runs in the current runtime.
    pub fn of(node: &Node) -> ClusterHandle {
        ClusterHandle {
            runtime: Handle::current(),
            member: Arc::clone(&node.member),
            serving_version: watch::Sender::new(0),
        }
    }

    /// Commits a change: a majority of the voters has synced it. On return this head serves clients with the
    /// change, unless that takes longer than `SERVING_TIMEOUT`.
    ///
    /// # Errors
    /// The change was not committed in time; it may still be committed later.
    pub async fn change(&self, change: Change) -> Result<ChangeOutcome, ClusterRequestError> {
        let member = Arc::clone(&self.member);
        let outcome = self.on_cluster_thread(async move { member.change(change).await }).await?;
        if let ChangeOutcome::Done { version, .. } = outcome {
            // The change is committed, so a timeout here is no error.
            let _ = self.wait_until_serving(version).await;
        }
        Ok(outcome)
    }

    /// Bans a backend on all heads, or removes the ban.
    ///
    /// # Errors
    /// As of [`change`](ClusterHandle::change).
    pub async fn ban(&self, backend: &str, banned: bool) -> Result<ChangeOutcome, ClusterRequestError> {
        let command = Command::Ban { backend: backend.to_owned(), banned };
        let change =
            new_change(None, None, command).map_err(|error| ClusterRequestError(error.to_string()))?;
        self.change(change).await
    }

    /// Waits until this head serves clients with all changes that were committed when this was called;
    /// returns the version that it serves then.
    ///
    /// # Errors
    /// No leader confirmed a version, or this head did not serve it in time.
    pub async fn wait_for_latest(&self) -> Result<u64, ClusterRequestError> {
        let member = Arc::clone(&self.member);
        let version = self.on_cluster_thread(async move { member.wait_for_latest().await }).await?;
        self.wait_until_serving(version).await
    }

    /// Waits until this head serves clients with `version` or a later one; returns the version that it serves
    /// then.
    ///
    /// # Errors
    /// This head did not serve the version in time.
    pub async fn wait_for_version(&self, version: u64) -> Result<u64, ClusterRequestError> {
        let member = Arc::clone(&self.member);
        self.on_cluster_thread(async move { member.wait_for_version(version, SERVING_TIMEOUT).await })
            .await?;
        self.wait_until_serving(version).await
    }

    /// The version of the replicated state with which this head serves clients.
    pub fn serving_version(&self) -> u64 {
        *self.serving_version.borrow()
    }

    /// The version at which a tenant was last changed; 0 if there is no such tenant.
    pub fn tenant_version(&self, tenant: &str) -> u64 {
        self.read(|view| view.tenants.get(tenant).map_or(0, |tenant| tenant.version))
    }

    /// The backends that are banned on all heads, each with the version of its ban.
    pub fn bans(&self) -> BTreeMap<String, u64> {
        self.read(|view| view.bans.clone())
    }

    /// Subscribes to the version with which this head serves clients.
    pub fn watch_serving_version(&self) -> watch::Receiver<u64> {
        self.serving_version.subscribe()
    }

    /// The totals of the traffic between this head and other heads.
    pub fn traffic(&self) -> TrafficTotals {
        self.member.network.traffic()
    }

    /// The status of this head.
    pub fn status(&self) -> HeadStatus {
        self.member.status()
    }

    /// Subscribes to the version of the replicated state on this head, which it may not serve yet.
    pub fn watch_replicated_version(&self) -> watch::Receiver<u64> {
        self.member.state_machine.watch_version()
    }

    /// Reads the replicated state on this head. `read` must be short, as it runs under a lock.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        self.member.state_machine.read(read)
    }

    /// Records that this head serves clients with a version from now on.
    pub fn set_serving_version(&self, version: u64) {
        self.serving_version.send_replace(version);
    }

    async fn on_cluster_thread<T: Send + 'static>(
        &self,
        work: impl Future<Output = Result<T, ClusterRequestError>> + Send + 'static,
    ) -> Result<T, ClusterRequestError> {
        let result = self.runtime.spawn(work).await;
        result.unwrap_or_else(|_| Err(ClusterRequestError("the cluster thread has ended".into())))
    }

    async fn wait_until_serving(&self, version: u64) -> Result<u64, ClusterRequestError> {
        let mut serving_version = self.serving_version.subscribe();
        let reached = serving_version.wait_for(|current| *current >= version);
        match tokio::time::timeout(SERVING_TIMEOUT, reached).await {
            Ok(Ok(current)) => Ok(*current),
            _ => Err(ClusterRequestError(format!(
                "this head serves version {} and did not reach version {version} in time",
                self.serving_version()
            ))),
        }
    }
}
