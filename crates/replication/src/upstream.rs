//! What a head answers its followers: an update, a redirect, or nothing yet.
//!
//! These are pure functions over the head's view and what it knows about the cluster; whether a follower is served at
//! all is decided by [`Followers`](crate::follow::Followers).

use crate::peer::Peer;
use crate::relay::RelayDirectory;
use crate::subscribe::{CachedDigests, MAX_REDIRECT_PEERS, Redirect, Route, Subscription, Update};
use crate::time::Millis;
use crate::transfer_permits::SMALL_CHUNK_BYTES;
use crate::view::{Chunk, View};

/// Whether a poll waits for a change: the follower has exactly this version. A follower that is ahead of its upstream is
/// answered at once, so that it looks for another.
pub fn is_up_to_date(subscription: &Subscription, version: u64) -> bool {
    subscription.first_version == 0 && subscription.since == version && subscription.version == version
}

/// Whether a chunk needs a permit of [`TransferPermits`](crate::transfer_permits::TransferPermits), as part of a large
/// transfer.
pub fn needs_permit(chunk: &Chunk) -> bool {
    chunk.up_to < chunk.version || chunk.size() > SMALL_CHUNK_BYTES
}

/// What a head sends its followers beside its view.
#[derive(Clone, Debug)]
pub struct UpdateSource {
    /// The heads over which its own updates come, itself last.
    pub route: Route,
    /// How old its view may be, in milliseconds.
    pub age: Millis,
    /// The relays that it knows; `None` if it does not know whether there are any.
    pub directory: Option<RelayDirectory>,
}

impl UpdateSource {
    /// What a follower lacks of a view, with about `max_bytes` bytes of changes at most.
    pub fn update(&self, view: &View, subscription: &Subscription, max_bytes: usize) -> Update {
        let Subscription { since, first_version, cached, .. } = *subscription;
        let has_changes = since < view.version || first_version > 0;
        let route_differs = cached.route != crate::digest::digest_of(&self.route);
        Update {
            version: view.version,
            age: self.age,
            chunk: has_changes.then(|| view.chunk(since, first_version, max_bytes)),
            route: route_differs.then(|| self.route.clone()),
            directory: missing_directory(self.directory.as_ref(), cached),
        }
    }
}

/// The directory, if the follower has another one.
fn missing_directory(directory: Option<&RelayDirectory>, cached: CachedDigests) -> Option<RelayDirectory> {
    directory.filter(|directory| directory.digest() != cached.directory).cloned()
}

/// Redirects a follower that is not served here: to the relays, and to these peers.
pub fn redirect(directory: Option<&RelayDirectory>, cached: CachedDigests, mut peers: Vec<Peer>) -> Redirect {
    peers.truncate(MAX_REDIRECT_PEERS);
    Redirect { directory: missing_directory(directory, cached), peers }
}
