//! The serving thread's handle of the cluster.
//!
//! The cluster runs on a thread of its own, so that a slow disk or a busy election never delays clients. The handle reads
//! the replicated state, requests changes, and waits for versions; it never writes the state itself.
//!
//! - `start`: the thread and its runtime
//! - `metrics`: figures for `show-stat`

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

/// Time that a committed change may take until this head serves clients with it.
const SERVING_TIMEOUT: Duration = Duration::from_millis(500);

/// The serving thread's handle of the cluster.
pub struct ClusterHandle {
    runtime: Handle,
    member: Arc<Member>,
    /// The version with which this head serves clients.
    serving_version: watch::Sender<u64>,
}

impl ClusterHandle {
    /// Opens the store and joins the cluster, on a thread of its own.
    ///
    /// # Errors
    /// The store or the listening address cannot be used; the text names the file or the setting.
    pub fn start(settings: &Settings, head: &str) -> Result<ClusterHandle, ClusterStartError> {
        let (runtime, member) = start::start(settings, head)?;
        Ok(ClusterHandle { runtime, member, serving_version: watch::Sender::new(0) })
    }

    /// The handle of a node that runs in the current runtime.
    pub fn of(node: &Node) -> ClusterHandle {
        ClusterHandle {
            runtime: Handle::current(),
            member: Arc::clone(&node.member),
            serving_version: watch::Sender::new(0),
        }
    }

    /// Makes a change: committed once it is synced at a majority of the voters. On return this head serves clients with
    /// it, unless that takes longer than `SERVING_TIMEOUT`.
    ///
    /// # Errors
    /// It was not committed in time; it may still be.
    pub async fn change(&self, change: Change) -> Result<ChangeOutcome, ClusterRequestError> {
        let member = Arc::clone(&self.member);
        let outcome = self.on_cluster_thread(async move { member.change(change).await }).await?;
        if let ChangeOutcome::Done { version, .. } = outcome {
            // It is committed, whether or not this head serves clients with it in time.
            let _ = self.wait_until_serving(version).await;
        }
        Ok(outcome)
    }

    /// Bans a backend at all heads, or lifts that ban.
    ///
    /// # Errors
    /// As of [`change`](ClusterHandle::change).
    pub async fn ban(&self, backend: &str, banned: bool) -> Result<ChangeOutcome, ClusterRequestError> {
        let command = Command::Ban { backend: backend.to_owned(), banned };
        let change =
            new_change(None, None, command).map_err(|error| ClusterRequestError(error.to_string()))?;
        self.change(change).await
    }

    /// Waits until this head serves clients with all that was committed when this was called; returns the version.
    ///
    /// # Errors
    /// It did not come that far in time.
    pub async fn wait_for_latest(&self) -> Result<u64, ClusterRequestError> {
        let member = Arc::clone(&self.member);
        let version = self.on_cluster_thread(async move { member.wait_for_latest().await }).await?;
        self.wait_until_serving(version).await
    }

    /// Waits until this head serves clients with a version; returns the version.
    ///
    /// # Errors
    /// It did not come that far in time.
    pub async fn wait_for_version(&self, version: u64) -> Result<u64, ClusterRequestError> {
        let member = Arc::clone(&self.member);
        self.on_cluster_thread(async move { member.wait_for_version(version, SERVING_TIMEOUT).await })
            .await?;
        self.wait_until_serving(version).await
    }

    /// The version with which this head serves clients.
    pub fn serving_version(&self) -> u64 {
        *self.serving_version.borrow()
    }

    /// The version at which a tenant was last changed; 0 for no such tenant.
    pub fn tenant_version(&self, tenant: &str) -> u64 {
        self.read(|view| view.tenants.get(tenant).map_or(0, |tenant| tenant.version))
    }

    /// The backends that are banned at all heads, each with the version of its ban.
    pub fn bans(&self) -> BTreeMap<String, u64> {
        self.read(|view| view.bans.clone())
    }

    /// The version with which this head serves clients, as it changes.
    pub fn watch_serving_version(&self) -> watch::Receiver<u64> {
        self.serving_version.subscribe()
    }

    /// The traffic between this head and others of the cluster.
    pub fn traffic(&self) -> TrafficTotals {
        self.member.links.traffic()
    }

    /// The status of this head.
    pub fn status(&self) -> HeadStatus {
        self.member.status()
    }

    /// The version of the replicated state of this head, as it changes.
    pub fn watch_replicated_version(&self) -> watch::Receiver<u64> {
        self.member.state_machine.watch_version()
    }

    /// Reads the replicated state of this head; `read` must be short, as it holds a lock.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        self.member.state_machine.read(read)
    }

    /// Notes that this head serves clients with a version from now on.
    pub fn set_serving_version(&self, version: u64) {
        self.serving_version.send_replace(version);
    }

    async fn on_cluster_thread<T: Send + 'static>(
        &self,
        work: impl Future<Output = Result<T, ClusterRequestError>> + Send + 'static,
    ) -> Result<T, ClusterRequestError> {
        let result = self.runtime.spawn(work).await;
        result.unwrap_or_else(|_| Err(ClusterRequestError("the fleet's thread has ended".into())))
    }

    async fn wait_until_serving(&self, version: u64) -> Result<u64, ClusterRequestError> {
        let mut serving_version = self.serving_version.subscribe();
        let reached = serving_version.wait_for(|current| *current >= version);
        match tokio::time::timeout(SERVING_TIMEOUT, reached).await {
            Ok(Ok(current)) => Ok(*current),
            _ => Err(ClusterRequestError(format!(
                "this head works with version {}, not {version}",
                self.serving_version()
            ))),
        }
    }
}
