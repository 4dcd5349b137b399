//! The controller's pseudo-random numbers. Controllers with the same seed and events make the same decisions.

/// SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
///
/// Implemented here rather than taken from a crate: recorded runs depend on the sequence, so it must not
/// change with a dependency.
#[derive(Clone, Debug, Default)]
pub(crate) struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    /// A generator that starts at `seed`.
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64 { state: seed }
    }

    /// The next number, uniformly distributed over [0, 1], both ends included.
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }

    fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
