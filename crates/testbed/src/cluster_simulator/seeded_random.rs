//! Random numbers that repeat with their seed.

use crate::random::source;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Random numbers that repeat with their seed.
#[derive(Clone, Debug)]
pub struct SeededRandom(ChaCha8Rng);

impl SeededRandom {
    /// Numbers of a seed, for one purpose.
    pub fn new(seed: u64, purpose: u64) -> SeededRandom {
        SeededRandom(source(seed, purpose))
    }

    /// A number below a bound; 0 for a bound of 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }
}
