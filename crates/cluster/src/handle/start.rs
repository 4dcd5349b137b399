//! Starts the cluster thread with its runtime, listener and node.

use crate::disk::{self, Disk, OpenError, OpenedStore};
use crate::environment::Tcp;
use crate::member::{Member, StartError};
use crate::node::{Node, NodeSetup};
use crate::serve;
use crate::settings::Settings;
use sedgerun_net::Listener;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use thiserror::Error;
use tokio::runtime::Handle;

/// Why the cluster thread cannot be started.
#[derive(Debug, Error)]
pub enum ClusterStartError {
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] OpenError),
    /// The listening address cannot be bound.
    #[error("fleet.listen: cannot bind {address}: {source}")]
    Bind {
        /// The listening address from the settings.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: io::Error,
    },
    /// The listener's address cannot be read.
    #[error("fleet.listen: {0}")]
    LocalAddress(#[source] io::Error),
    /// The thread cannot be started.
    #[error("fleet: cannot start the cluster thread: {0}")]
    Thread(#[source] io::Error),
    /// The thread's runtime cannot be created.
    #[error("fleet: cannot create the runtime of the cluster thread: {0}")]
    Runtime(#[source] io::Error),
    /// The runtime cannot use the listener.
    #[error(transparent)]
    Listener(io::Error),
    /// The node cannot be started.
    #[error(transparent)]
    Node(#[from] StartError),
    /// The thread ended before it was ready.
    #[error("fleet: the cluster thread ended during its start")]
    EndedAtStart,
}

/// The runtime of the cluster's thread, and the member that runs in it.
pub(super) type StartedCluster = (Handle, Arc<Member>);
type StartResult = Result<StartedCluster, ClusterStartError>;

/// The inputs of the cluster thread.
struct ThreadSetup {
    settings: Settings,
    head: String,
    listener: TcpListener,
    address: SocketAddr,
    disk: Disk,
    opened: OpenedStore,
}

/// Opens the store, binds the listener, and starts the thread; returns once the node runs.
pub(super) fn start(settings: &Settings, head: &str) -> StartResult {
    let (disk, opened) = disk::open(&settings.dir)?;
    let (store, incarnation) = (opened.identity.store, opened.identity.incarnation);
    let listener = bind(settings.listen)?;
    let local_address = listener.local_addr().map_err(ClusterStartError::LocalAddress)?;
    tracing::info!("fleet.listen: {local_address}");
    let setup = ThreadSetup {
        address: settings.address.unwrap_or(local_address),
        settings: settings.clone(),
        head: head.to_owned(),
        listener,
        disk,
        opened,
    };
    let (started, starting) = mpsc::channel();
    let thread = std::thread::Builder::new().name("fleet".into());
    thread.spawn(move || run_thread(setup, &started)).map_err(ClusterStartError::Thread)?;
    let cluster = starting.recv().map_err(|_| ClusterStartError::EndedAtStart)??;
    tracing::info!("fleet: {head} started with store {store:016x}, incarnation {incarnation}");
    Ok(cluster)
}

fn bind(address: SocketAddr) -> Result<TcpListener, ClusterStartError> {
    TcpListener::bind(address).map_err(|source| ClusterStartError::Bind { address, source })
}

/// Runs the node on this thread. Before that, reports through `started` that the node runs, or why it cannot.
fn run_thread(setup: ThreadSetup, started: &mpsc::Sender<StartResult>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(ClusterStartError::Runtime(error)))),
    };
    runtime.block_on(async {
        match start_node(setup).await {
            Ok((node, listener)) => {
                let _ = started.send(Ok((Handle::current(), Arc::clone(&node.member))));
                serve::serve(Arc::clone(&node.member), listener).await;
                // Dropping the node aborts its tasks.
                drop(node);
            }
            Err(error) => drop(started.send(Err(error))),
        }
    });
}

async fn start_node(setup: ThreadSetup) -> Result<(Node, Listener), ClusterStartError> {
    let ThreadSetup { settings, head, listener, address, disk, opened } = setup;
    let listener = Listener::from_std(listener).map_err(ClusterStartError::Listener)?;
    let node = Node::start(NodeSetup { settings, head, address, disk, opened, dial: Arc::new(Tcp) }).await?;
    Ok((node, listener))
}
