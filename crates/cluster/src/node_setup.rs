//! What a node is started with.

use crate::disk::{Disk, OpenedStore};
use crate::environment::Dial;
use crate::settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a node is started with.
pub struct NodeSetup {
    /// The settings of the cluster.
    pub settings: Settings,
    /// The head's name.
    pub head: String,
    /// The address at which other heads reach it.
    pub address: SocketAddr,
    /// The handle of its store's writer.
    pub disk: Disk,
    /// What the store contained when it was opened.
    pub opened: OpenedStore,
    /// The transport to other heads.
    pub dial: Arc<dyn Dial>,
}
