//! Seeded random numbers: one independent source for each purpose, and the draws that the test bed makes from it.
//!
//! Every result of a test run depends on the order of the draws from a source: a function here draws a fixed number
//! of times for the same arguments, and callers may not reorder their calls.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sedgerun_policy::Micros;

/// A range of values that one is drawn from: its lower and its upper bound.
pub type Span = [f64; 2];

/// A source of random numbers for one purpose: draws for one purpose do not shift those for another.
pub fn source(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut source = ChaCha8Rng::seed_from_u64(seed);
    source.set_stream(purpose);
    source
}

/// A value within a span; its lower bound where the span is empty.
pub fn within(source: &mut impl Rng, [from, to]: Span) -> f64 {
    if to > from { source.random_range(from..to) } else { from }
}

/// A time in microseconds within a span of seconds.
pub fn time_within(source: &mut impl Rng, [from, to]: Span) -> Micros {
    let (from, to) = ((from * 1e6) as Micros, (to * 1e6) as Micros);
    if to > from { source.random_range(from..to) } else { from }
}

/// `count` distinct positions below `population`, each equally likely; all of them where there are no more.
pub fn sample(population: usize, count: usize, source: &mut impl Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..population).collect();
    for i in 0..count.min(population) {
        let other = source.random_range(i..population);
        all.swap(i, other);
    }
    all.truncate(count.min(population));
    all
}

/// `count` distinct positions, each drawn with the probability of its weight.
pub fn weighted_sample(weights: &[f64], count: usize, source: &mut ChaCha8Rng) -> Vec<usize> {
    let mut remaining = weights.to_vec();
    let count = count.min(remaining.len());
    let draw = |_| {
        let position = weighted_position(source, remaining.iter().copied());
        remaining[position] = 0.0;
        position
    };
    (0..count).map(draw).collect()
}

/// A position, drawn with the probability of its weight.
pub fn weighted_position(source: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut remaining = source.random_range(0.0..1.0) * total;
    let mut last = 0;
    for (i, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = i;
        if remaining < weight {
            break;
        }
        remaining -= weight;
    }
    last
}
