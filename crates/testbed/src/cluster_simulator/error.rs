//! What can go wrong with a node of the simulator.

use thiserror::Error;

/// Why a node does not start, or its cluster does not begin.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SimulatedNodeError {
    /// The cluster's own reason.
    #[error("{0}")]
    Cluster(String),
    /// The first head is down.
    #[error("head 0 is not there")]
    FirstHeadDown,
}

impl SimulatedNodeError {
    /// The cluster's own reason.
    pub fn cluster(reason: impl ToString) -> SimulatedNodeError {
        SimulatedNodeError::Cluster(reason.to_string())
    }
}
