//! A deterministic pseudo-random number generator for tests.

/// A linear congruential generator.
pub struct TestRandom(pub u64);

impl TestRandom {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.0 >> 33
    }

    /// A number below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    /// True with a probability of `percent`.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
