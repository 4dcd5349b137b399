//! Admission of large transfers. When a whole zone returns at once, a head sends only a few followers what they lack at
//! the same time; the others get a retry-after.
//!
//! [`TransferPermits`] belongs to the head that serves; it does not send anything itself.

use crate::store::StoreId;
use crate::time::Millis;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Chunks up to this size, in bytes, are sent without a permit.
pub const SMALL_CHUNK_BYTES: usize = 64 << 10;
/// Large transfers in progress at one head, at most.
pub const MAX_TRANSFERS: usize = 8;
/// A permit expires when its owner has not requested the next chunk for this long, in milliseconds.
const PERMIT_TIMEOUT_MS: Millis = 2000;
/// Least and greatest retry-after of a follower that gets no permit, in milliseconds.
const RETRY_AFTER_MS: (Millis, Millis) = (200, 1000);

/// The transfer permits of one head.
#[derive(Debug)]
pub struct TransferPermits {
    /// Owners of permits, each with the time of its last request.
    last_request_at: BTreeMap<StoreId, Millis>,
    rng: ChaCha8Rng,
}

impl TransferPermits {
    /// All permits are free; `seed` feeds the jitter of retry-after times.
    pub fn new(seed: u64) -> TransferPermits {
        TransferPermits { last_request_at: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Whether a follower has a permit or could get one.
    pub fn is_available(&self, now: Millis, store: StoreId) -> bool {
        let is_live = |requested_at: &&Millis| now < **requested_at + PERMIT_TIMEOUT_MS;
        let in_use = self.last_request_at.values().filter(is_live).count();
        in_use < MAX_TRANSFERS || self.last_request_at.contains_key(&store)
    }

    /// Gets a permit for a follower's next chunk, or renews the one that it has.
    ///
    /// # Errors
    /// All permits are in use; the follower may retry after this time, in milliseconds.
    pub fn acquire(&mut self, now: Millis, store: StoreId) -> Result<(), Millis> {
        self.last_request_at.retain(|_, requested_at| now < *requested_at + PERMIT_TIMEOUT_MS);
        if self.last_request_at.len() >= MAX_TRANSFERS && !self.last_request_at.contains_key(&store) {
            let (least, most) = RETRY_AFTER_MS;
            return Err(least + u64::from(self.rng.next_u32()) % (most - least + 1));
        }
        self.last_request_at.insert(store, now);
        Ok(())
    }

    /// The follower has received its last chunk.
    pub fn release(&mut self, store: StoreId) {
        self.last_request_at.remove(&store);
    }
}
