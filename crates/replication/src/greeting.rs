//! The handshake of two heads on a new connection: what each says about itself, and whether the other admits it.
//!
//! Whether a store is an older copy of its disk is decided by [`watermark`](crate::watermark).

pub use crate::store::StoreId;
use crate::watermark::{Incarnation, Watermark};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a head says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The fleet's name in the settings.
    pub cluster: String,
    /// The secret that all heads of the fleet share.
    pub secret: String,
    /// The head's name.
    pub head: String,
    /// Its store; `None` from the command line.
    pub store: Option<StoreId>,
    /// Its zone, if it has one.
    pub zone: Option<String>,
    /// The address at which others reach it, as far as it knows.
    pub address: String,
    /// Its store's incarnation.
    pub incarnation: Incarnation,
    /// How far its store was when this incarnation began.
    pub initial_watermark: Watermark,
    /// The origin of its state: a digest of the first voters' stores ([`cluster_origin`]); `None` while it has no state.
    pub origin: Option<u64>,
}

/// Why a head rejects a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum HandshakeError {
    /// The other head belongs to a fleet with another name.
    #[error("of another fleet")]
    OtherCluster,
    /// It does not know the secret.
    #[error("wrong secret")]
    WrongSecret,
    /// It has the state of another fleet, though one of the same name.
    #[error("holds the state of another fleet of this name")]
    OtherOrigin,
    /// It has this head's name, and another store.
    #[error("two heads have this name")]
    DuplicateName,
    /// It has forgotten what it acknowledged: its disk is an older copy.
    #[error("an older copy of its disk, and has forgotten what it acknowledged")]
    RolledBack,
}

/// Whether a head admits one that says this about itself.
///
/// # Errors
/// Why it rejects it.
pub fn admit(own: &Greeting, theirs: &Greeting) -> Result<(), HandshakeError> {
    if !secrets_match(own.secret.as_bytes(), theirs.secret.as_bytes()) {
        return Err(HandshakeError::WrongSecret);
    }
    if own.cluster != theirs.cluster {
        return Err(HandshakeError::OtherCluster);
    }
    // Guards against two fleets that were each set up under one name: their logs must never mix.
    if own.origin.zip(theirs.origin).is_some_and(|(own, theirs)| own != theirs) {
        return Err(HandshakeError::OtherOrigin);
    }
    let stores = own.store.zip(theirs.store);
    if own.head == theirs.head && stores.is_some_and(|(own, theirs)| own != theirs) {
        return Err(HandshakeError::DuplicateName);
    }
    Ok(())
}

/// Whether two secrets are equal, in a time that does not depend on where they differ.
pub fn secrets_match(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
}

/// The origin of a fleet whose first voters have these stores: the same on whichever head it is computed.
pub fn cluster_origin(stores: impl IntoIterator<Item = StoreId>) -> u64 {
    let mut stores: Vec<StoreId> = stores.into_iter().collect();
    stores.sort_unstable();
    // FNV-1a over the sorted numbers, which are random already.
    let bytes = stores.iter().flat_map(|store| store.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
