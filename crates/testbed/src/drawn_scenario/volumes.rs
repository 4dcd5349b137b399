//! Draws the volumes: how many each plan has, and which heads and shards serve each.

use super::types::{BackendSpec, Volume};
use crate::random::{sample, weighted_sample, within};
use crate::scenario::{PlanSpec, Scenario};
use rand_chacha::ChaCha8Rng;

/// Ids of volumes are numbers from here on.
const FIRST_VOLUME_ID: u64 = 0xa000_0000;

/// The volumes for so many requests a second in all, and the rate of the smallest volume, requests a second.
pub fn draw_volumes(
    scenario: &Scenario,
    random: &mut ChaCha8Rng,
    rate: f64,
    backends: &[BackendSpec],
) -> (Vec<Volume>, f64) {
    let shard_weights: Vec<f64> = backends.iter().map(BackendSpec::weight).collect();
    let wanted = scenario.traffic.volumes_per_backend * scenario.backends as f64;
    let count = (wanted.round() as usize).max(1);
    let shares: f64 = scenario.plans.iter().map(|plan| plan.share).sum();
    // Traffic is split by share and a plan's volumes are of one size, so that its count follows.
    let weight = |plan: &PlanSpec| plan.share / shares.max(1e-9) / plan.size;
    let weights: f64 = scenario.plans.iter().map(weight).sum();
    let base_rate = rate * weights / count as f64;
    let mut volumes = Vec::new();
    let mut edge = 0.0;
    for (plan, spec) in scenario.plans.iter().enumerate() {
        edge += weight(spec) / weights * count as f64;
        while (volumes.len() as f64) + 0.5 < edge {
            let id = FIRST_VOLUME_ID + volumes.len() as u64;
            let (heads, shards) = draw_members(scenario, random, &shard_weights);
            let rate = base_rate * spec.size;
            volumes.push(Volume { id, plan, heads, shards, rate, speaks_ninep: false });
        }
    }
    let speakers = (scenario.clients.ninep_fraction * volumes.len() as f64).round() as usize;
    for position in sample(volumes.len(), speakers, random) {
        volumes[position].speaks_ninep = true;
    }
    (volumes, base_rate)
}

/// The heads and the shards of one volume.
fn draw_members(scenario: &Scenario, random: &mut ChaCha8Rng, shard_weights: &[f64]) -> (Vec<u16>, Vec<u32>) {
    let heads = within(random, scenario.traffic.volume_heads).round() as usize;
    let shards = within(random, scenario.traffic.volume_shards).round() as usize;
    let heads = sample(scenario.heads as usize, heads.max(1), random);
    let shards = weighted_sample(shard_weights, shards.max(1), random);
    (
        heads.into_iter().map(|head| head as u16).collect(),
        shards.into_iter().map(|shard| shard as u32).collect(),
    )
}
