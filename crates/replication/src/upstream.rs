//! The responses of a head to the polls of its followers: an update or a redirect, and whether the poll waits
//! first.
//!
//! These are pure functions of the head's view and of what it knows about the cluster.
//! [`Followers`](crate::follow::Followers) decides whether a follower is served at all.

use crate::peer::Peer;
use crate::relay::RelayDirectory;
use crate::subscribe::{CachedDigests, MAX_REDIRECT_PEERS, Redirect, Route, Subscription, Update};
use crate::time::Millis;
use crate::transfer_permits::SMALL_CHUNK_BYTES;
use crate::view::{Chunk, View};

/// Whether the follower has exactly this version, so that its poll waits for the next change. A follower that
/// is ahead of this head gets a response at once, so that it looks for another upstream.
pub fn is_up_to_date(subscription: &Subscription, version: u64) -> bool {
    subscription.first_version == 0 && subscription.since == version && subscription.version == version
}

/// Whether a chunk is part of a large transfer, which needs one of the
/// [`TransferPermits`](crate::transfer_permits::TransferPermits).
pub fn needs_permit(chunk: &Chunk) -> bool {
    chunk.up_to < chunk.version || chunk.size() > SMALL_CHUNK_BYTES
}

/// What a head sends to its followers besides its view.
#[derive(Clone, Debug)]
pub struct UpdateSource {
    /// The route of its own updates, with this head last.
    pub route: Route,
    /// Time since its view was last known to be the newest version, in milliseconds.
    pub age: Millis,
    /// The relays that it knows; `None` if it does not know yet whether there are any.
    pub directory: Option<RelayDirectory>,
}

impl UpdateSource {
    /// The update for a follower: what it lacks of `view`, limited to about `max_bytes` bytes of changes.
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

/// The directory, unless the follower has cached the same.
fn missing_directory(directory: Option<&RelayDirectory>, cached: CachedDigests) -> Option<RelayDirectory> {
    directory.filter(|directory| directory.digest() != cached.directory).cloned()
}

/// Redirects a follower that is not served here to the relays and to `peers`.
pub fn redirect(directory: Option<&RelayDirectory>, cached: CachedDigests, mut peers: Vec<Peer>) -> Redirect {
    peers.truncate(MAX_REDIRECT_PEERS);
    Redirect { directory: missing_directory(directory, cached), peers }
}
