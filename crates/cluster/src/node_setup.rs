//! The inputs of [`Node::start`](crate::node::Node::start).

use crate::disk::{Disk, OpenedStore};
use crate::environment::Dial;
use crate::settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// The settings, store and transport with which a node is started.
pub struct NodeSetup {
    /// The settings of the cluster.
    pub settings: Settings,
    /// The head's name.
    pub head: String,
    /// The address at which other heads reach this head.
    pub address: SocketAddr,
    /// The handle of the store's writer.
    pub disk: Disk,
    /// The contents of the store when it was opened.
    pub opened: OpenedStore,
    /// The transport to other heads.
    pub dial: Arc<dyn Dial>,
}
