//! The handshake of two heads on a new connection: each sends a [`Greeting`], and [`admit`] decides whether
//! the connection is accepted.
//!
//! Stores that were rolled back to an older copy of their disk are detected by
//! [`watermark`](crate::watermark).

pub use crate::store::StoreId;
use crate::watermark::{Incarnation, Watermark};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The identity that a head sends at the start of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The cluster's name (`fleet.name` in the settings).
    pub cluster: String,
    /// The secret that all heads of the cluster share (`fleet.secret`).
    pub secret: String,
    /// The head's name.
    pub head: String,
    /// Its store; `None` for a connection of the command line.
    pub store: Option<StoreId>,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// The address at which it believes other heads reach it.
    pub address: String,
    /// The incarnation of its store.
    pub incarnation: Incarnation,
    /// The watermark of its store at the start of this incarnation.
    pub initial_watermark: Watermark,
    /// The origin of its state, a digest of the first voters' stores ([`cluster_origin`]); `None` while it
    /// has no state.
    pub origin: Option<u64>,
}

/// Why a head rejects a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum HandshakeError {
    /// The other head belongs to a cluster with another name.
    #[error("of a cluster with another name")]
    OtherCluster,
    /// It sent another secret.
    #[error("wrong secret")]
    WrongSecret,
    /// It has the state of another cluster with the same name.
    #[error("of another cluster with the same name")]
    OtherOrigin,
    /// It has this head's name but another store.
    #[error("two heads have this name")]
    DuplicateName,
    /// Its disk is an older copy that lacks something that its store has acknowledged.
    #[error("an older copy of its disk, which lacks acknowledged data")]
    RolledBack,
}

/// Checks the greeting of another head before its connection is accepted.
///
/// # Errors
/// The connection must be rejected, for this reason.
pub fn admit(own: &Greeting, theirs: &Greeting) -> Result<(), HandshakeError> {
    if !secrets_match(own.secret.as_bytes(), theirs.secret.as_bytes()) {
        return Err(HandshakeError::WrongSecret);
    }
    if own.cluster != theirs.cluster {
        return Err(HandshakeError::OtherCluster);
    }
    // Two clusters may have been set up separately under one name and secret: their logs must never mix.
    if own.origin.zip(theirs.origin).is_some_and(|(own, theirs)| own != theirs) {
        return Err(HandshakeError::OtherOrigin);
    }
    let stores = own.store.zip(theirs.store);
    if own.head == theirs.head && stores.is_some_and(|(own, theirs)| own != theirs) {
        return Err(HandshakeError::DuplicateName);
    }
    Ok(())
}

/// Compares two secrets in constant time for a given length, so that timing does not reveal where they
/// differ.
pub fn secrets_match(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
}

/// The origin of a cluster whose first voters have these stores. The result does not depend on their order,
/// so every head computes the same.
pub fn cluster_origin(stores: impl IntoIterator<Item = StoreId>) -> u64 {
    let mut stores: Vec<StoreId> = stores.into_iter().collect();
    stores.sort_unstable();
    // FNV-1a suffices, as the store numbers are random.
    let bytes = stores.iter().flat_map(|store| store.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
