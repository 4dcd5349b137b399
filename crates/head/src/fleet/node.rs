//! One head's part in a fleet with all that it does by itself, on whatever carries it: real sockets and a real disk,
//! or those of a World.

use super::change::MOST_WAITING;
use super::disk::{Disk, Held};
use super::keeper::{Keeper, Unsettled};
use super::outside::{Dial, Wire};
use super::serve::converse;
use super::settings::Settings;
use super::types::Status;
use openraft::ServerState;
use sedgerun_fleet::greeting::StoreId;
use sedgerun_fleet::state::{Change, Outcome};
use sedgerun_fleet::view::View;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// A head's part in a fleet. Dropped, it does nothing more.
pub struct Node {
    /// What it is.
    pub(super) keeper: Arc<Keeper>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Takes up the life of a store; others reach this head at an address.
    pub async fn start(
        settings: Settings,
        head: &str,
        address: SocketAddr,
        (disk, held): (Disk, Held),
        dial: Arc<dyn Dial>,
    ) -> Result<Node, String> {
        let (changes, waiting) = mpsc::channel(MOST_WAITING);
        let keeper = Keeper::start(settings, head, address, (disk, held), dial, changes).await?;
        let keeper = Arc::new(keeper);
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&keeper).write_together(waiting));
        tasks.spawn(watch_role(Arc::clone(&keeper)));
        tasks.spawn(Arc::clone(&keeper).stand());
        let waking = Arc::clone(&keeper);
        tasks.spawn(async move {
            waking.wake().await;
            waking.remember().await;
        });
        let following = Arc::clone(&keeper);
        tasks.spawn(async move { following.follow().await });
        let keeping = Arc::clone(&keeper);
        tasks.spawn(async move { keeping.keep_followed().await });
        let mending = Arc::clone(&keeper);
        tasks.spawn(async move { mending.mend().await });
        Ok(Node { keeper, tasks })
    }

    /// Takes a connection that another head has made.
    pub fn accept(&mut self, wire: Wire) {
        let keeper = Arc::clone(&self.keeper);
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn(async move { drop(converse(&keeper, wire).await) });
    }

    /// Ends it at once. What the consensus library has begun ends by itself, and finds no disk and no way to others.
    pub fn end(self) {
        let keeper = Arc::clone(&self.keeper);
        drop(self);
        tokio::spawn(async move { drop(keeper.raft.shutdown().await) });
    }

    /// A way to ask it that does not hold it.
    pub fn asked(&self) -> Asked {
        Asked(Arc::clone(&self.keeper))
    }

    /// Its store.
    pub fn store(&self) -> StoreId {
        self.keeper.raft_id()
    }

    /// The term in which it leads, by its own account.
    pub fn leads_in(&self) -> Option<u64> {
        let metrics = self.keeper.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// How it stands.
    pub fn status(&self) -> Status {
        self.keeper.status()
    }

    /// Looks at what it holds.
    pub fn look<T>(&self, look: impl FnOnce(&View) -> T) -> T {
        self.keeper.machine.look(look)
    }
}

/// Asks a head as its clients do.
pub struct Asked(Arc<Keeper>);

impl Asked {
    /// Makes a change.
    pub async fn change(&self, change: Change) -> Result<Outcome, Unsettled> {
        self.0.change(change).await
    }

    /// Begins the fleet with the keepers of the settings.
    pub async fn begin(&self) -> Result<(), String> {
        self.0.begin().await
    }

    /// What it holds, settled or not by now.
    pub fn view(&self) -> View {
        self.0.machine.look(View::clone)
    }

    /// All that was settled when it was asked.
    pub async fn latest(&self) -> Result<View, Unsettled> {
        self.0.latest().await?;
        Ok(self.view())
    }
}

/// Says each change of this head's part in one line.
async fn watch_role(keeper: Arc<Keeper>) {
    let mut said = (String::new(), 0, None);
    let mut trouble = false;
    loop {
        let status = keeper.status();
        let now = (status.role, status.term, status.leader);
        if now != said {
            let leader = now.2.as_deref().unwrap_or("nobody");
            tracing::info!(term = now.1, leader, version = status.version, "fleet: now {}", now.0);
            said = now;
        }
        if let Some(what) = status.trouble.filter(|_| !trouble) {
            tracing::error!("fleet: keeps and promises nothing any more: {what}");
            trouble = true;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}
