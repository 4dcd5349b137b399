//! Limit on concurrent large transfers. When all heads of a zone come back at the same time, a head serves
//! only a few large transfers at once; the other followers get a retry-after.
//!
//! [`TransferPermits`] belongs to the head that serves the transfers; it does no I/O.

use crate::store::StoreId;
use crate::time::Millis;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Largest chunk that is sent without a permit, in bytes, if it completes the transfer.
pub const SMALL_CHUNK_BYTES: usize = 64 << 10;
/// Maximum number of large transfers in progress at one head.
pub const MAX_TRANSFERS: usize = 8;
/// A permit expires if its owner does not request the next chunk within this time, in milliseconds.
const PERMIT_TIMEOUT_MS: Millis = 2000;
/// Range of the random retry-after of a follower that gets no permit, in milliseconds.
const RETRY_AFTER_RANGE_MS: (Millis, Millis) = (200, 1000);

/// The transfer permits of one head.
#[derive(Debug)]
pub struct TransferPermits {
    /// The followers that have a permit, each with the time of its last request.
    last_request_at: BTreeMap<StoreId, Millis>,
    rng: ChaCha8Rng,
}

impl TransferPermits {
    /// Creates the permits, all free; `seed` initializes the random numbers for retry-after times.
    pub fn new(seed: u64) -> TransferPermits {
        TransferPermits { last_request_at: BTreeMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Whether a follower has a permit or could get one now.
    pub fn is_available(&self, now: Millis, store: StoreId) -> bool {
        let is_live = |requested_at: &&Millis| now < **requested_at + PERMIT_TIMEOUT_MS;
        let in_use = self.last_request_at.values().filter(is_live).count();
        in_use < MAX_TRANSFERS || self.last_request_at.contains_key(&store)
    }

    /// Grants a follower a permit for its next chunk, or renews the one that it has.
    ///
    /// # Errors
    /// All permits are in use; the value is the retry-after for the follower, in milliseconds.
    pub fn acquire(&mut self, now: Millis, store: StoreId) -> Result<(), Millis> {
        self.last_request_at.retain(|_, requested_at| now < *requested_at + PERMIT_TIMEOUT_MS);
        if self.last_request_at.len() >= MAX_TRANSFERS && !self.last_request_at.contains_key(&store) {
            let (min, max) = RETRY_AFTER_RANGE_MS;
            return Err(min + u64::from(self.rng.next_u32()) % (max - min + 1));
        }
        self.last_request_at.insert(store, now);
        Ok(())
    }

    /// Releases the permit of a follower that has received its last chunk.
    pub fn release(&mut self, store: StoreId) {
        self.last_request_at.remove(&store);
    }
}
