//! Draws all of a test run, in the order that its digest depends on.

use super::platform_settings::platform_settings;
use super::traffic::TrafficGenerator;
use super::types::{Arrival, BackendSpec, Volume};
use super::volumes::draw_volumes;
use crate::random::{Span, source, within};
use crate::scenario::Scenario;
use rand_chacha::ChaCha8Rng;
use sedgerun_config::policy_settings::settings;
use sedgerun_config::{Faults, Pairs, platform};
use sedgerun_policy::Settings;
use serde_json::Value;
use std::collections::BTreeMap;

/// Part of the capacity that counts as what backends can do: the rest goes to pauses and deferred work.
const USABLE_CAPACITY: f64 = 0.9;
/// Purpose of the random source for backends and volumes.
const PURPOSE: u64 = 1;

/// A test run, drawn from a scenario and a seed.
#[derive(Clone, Debug)]
pub struct DrawnScenario {
    /// The backends at the start.
    pub backends: Vec<BackendSpec>,
    /// The volumes.
    pub volumes: Vec<Volume>,
    /// All requests, in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// The platform's settings of every head, as they stand in its configuration.
    pub platform_settings: Value,
    /// The same, parsed.
    pub settings: Settings,
}

impl DrawnScenario {
    /// Draws a test run; an error says which of the resulting settings a head would not accept.
    pub fn draw(scenario: &Scenario, seed: u64) -> Result<DrawnScenario, Faults> {
        let mut random = source(seed, PURPOSE);
        let backends = draw_backends(scenario, &mut random);
        let rate = request_rate(scenario, &backends);
        let (volumes, base_rate) = draw_volumes(scenario, &mut random, rate, &backends);
        let platform_settings = platform_settings(scenario, &backends, base_rate);
        let settings = parse_settings(&platform_settings)?;
        let weights = backends.iter().map(BackendSpec::weight).collect();
        let arrivals =
            TrafficGenerator { scenario, seed, volumes: &volumes, shard_weights: weights }.arrivals();
        Ok(DrawnScenario { backends, volumes, arrivals, platform_settings, settings })
    }

    /// Reserved units a second of each volume.
    pub fn reservations(&self) -> Vec<f64> {
        self.volumes.iter().map(|volume| self.settings.plans[volume.plan].reservation).collect()
    }
}

fn draw_backends(scenario: &Scenario, random: &mut ChaCha8Rng) -> Vec<BackendSpec> {
    let settings = &scenario.backend;
    let draw = |i: u64| {
        let is_big = (i as f64 + 0.5) / (scenario.backends as f64) < settings.big_fraction;
        let span = if is_big { settings.big_speed } else { settings.small_speed };
        let speed = (within(random, span) * 1e6) as u64;
        let cores = if is_big { settings.big_cores } else { settings.small_cores };
        BackendSpec { cores, speed: speed.max(1), shard: i as u32 }
    };
    (0..scenario.backends).map(draw).collect()
}

/// Requests a second of all volumes, at the load of the scenario.
fn request_rate(scenario: &Scenario, backends: &[BackendSpec]) -> f64 {
    let power: f64 = backends.iter().map(BackendSpec::power).sum();
    let mean = |span: Span| (span[0] + span[1]) / 2.0;
    let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let work: f64 = scenario.classes.iter().map(|class| class.share * mean(class.work_ms)).sum::<f64>()
        / shares.max(1e-9);
    scenario.load * USABLE_CAPACITY * power / (work / 1e3).max(1e-9)
}

fn parse_settings(json: &Value) -> Result<Settings, Faults> {
    let mut map = BTreeMap::new();
    platform::flatten("", json, &mut map);
    let pairs = Pairs::from_map(&map);
    let parsed = settings(&pairs);
    pairs.finish(parsed)
}
