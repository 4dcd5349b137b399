//! Experiments in the simulator: single test runs, the figures that are compared, and their statistics.

use crate::auditor::Rule;
use crate::drawn_scenario::DrawnScenario;
use crate::scenario::Scenario;
use crate::simulator::{InjectedBug, Simulator};
use sedgerun_config::Faults;
use serde_json::{Value, json};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;
use std::time::Instant;

/// One test run in the simulator: its figures, with the digest and the time that it took here.
pub fn simulate(scenario: &Scenario, seed: u64, bug: Option<InjectedBug>) -> Result<Value, Faults> {
    let drawn = DrawnScenario::draw(scenario, seed)?;
    let begun = Instant::now();
    let mut simulator = Simulator::new(scenario, &drawn, seed, bug);
    let digest = simulator.run();
    let seconds = begun.elapsed().as_secs_f64();
    let mut result = simulator.figures.to_json(scenario, seed, "world", &simulator.auditor);
    result["digest"] = json!(format!("{digest:016x}"));
    result["events"] = json!(simulator.events);
    result["took_s"] = json!(seconds);
    Ok(result)
}

/// The figures of a result that are compared, by their names.
pub fn headline(result: &Value) -> BTreeMap<String, f64> {
    let mut all = BTreeMap::new();
    let mut put = |name: String, value: Option<f64>| {
        if let Some(value) = value {
            all.insert(name, value);
        }
    };
    for name in ["service", "worst10", "cold_peak", "cpu_us_a_request"] {
        put(name.into(), result[name].as_f64());
    }
    for part in ["classes", "plans"] {
        for (name, value) in result[part].as_object().into_iter().flatten() {
            put(format!("{part}.{name}"), value.as_f64());
        }
    }
    let requests = result["requests"].as_f64().unwrap_or(0.0).max(1.0);
    for (name, value) in result["fates"].as_object().into_iter().flatten() {
        put(format!("fates.{name}"), value.as_f64().map(|n| n / requests));
    }
    for (name, value) in result["latency"].as_object().into_iter().flatten() {
        for quantile in ["p50_ms", "p99_ms"] {
            put(format!("latency.{name}.{quantile}"), value[quantile].as_f64());
        }
    }
    put("rules broken".into(), result["broken"].as_f64());
    put(
        "under reserve".into(),
        Some(result["breaches"][Rule::UnderReservation.name()].as_f64().unwrap_or(0.0)),
    );
    all
}

/// Mean, least, most and half of the 95% confidence interval of the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// How many.
    pub n: usize,
    /// The mean.
    pub mean: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// Half of the interval; 0 for a single one.
    pub half: f64,
    /// The sample's variance.
    pub variance: f64,
}

impl Summary {
    /// The summary of some values; of none, all 0.
    pub fn of(values: &[f64]) -> Summary {
        let n = values.len();
        let count = n.max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let variance =
            values.iter().map(|value| (value - mean) * (value - mean)).sum::<f64>() / (count - 1.0).max(1.0);
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let half = if n > 1 { quantile(count - 1.0) * (variance / count).sqrt() } else { 0.0 };
        if n == 0 {
            return Summary { n, mean: 0.0, least: 0.0, most: 0.0, half, variance: 0.0 };
        }
        Summary { n, mean, least, most, half, variance }
    }

    /// The spread, as a part of the mean.
    pub fn spread(&self) -> f64 {
        if self.mean.abs() > 1e-12 { (self.most - self.least) / self.mean.abs() } else { 0.0 }
    }
}

/// Student's t for a two-sided 95% interval.
fn quantile(freedom: f64) -> f64 {
    StudentsT::new(0.0, 1.0, freedom.max(1.0)).map_or(1.96, |t| t.inverse_cdf(0.975))
}

/// The difference of two means and half of its 95% interval, by Welch's test.
pub fn difference(a: &Summary, b: &Summary) -> (f64, f64) {
    let (va, vb) = (a.variance / a.n.max(1) as f64, b.variance / b.n.max(1) as f64);
    let term = |v: f64, n: usize| v * v / (n.saturating_sub(1).max(1) as f64);
    let freedom = (va + vb) * (va + vb) / (term(va, a.n) + term(vb, b.n)).max(1e-300);
    (b.mean - a.mean, quantile(freedom) * (va + vb).sqrt())
}

/// What the simulator costs at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SimulatorCost {
    /// Requests of a run.
    pub requests: u64,
    /// Events of a run.
    pub events: u64,
    /// Time for each request, us.
    pub us_per_request: f64,
}

/// What the simulator costs with a scenario: the best of some runs.
pub fn simulator_cost(scenario: &Scenario, runs: u64) -> Result<SimulatorCost, Faults> {
    let mut best = SimulatorCost { requests: 0, events: 0, us_per_request: f64::INFINITY };
    for _ in 0..runs {
        let result = simulate(scenario, scenario.seed, None)?;
        let requests = result["requests"].as_u64().unwrap_or(0);
        let us_per_request = result["took_s"].as_f64().unwrap_or(0.0) * 1e6 / requests.max(1) as f64;
        if us_per_request < best.us_per_request {
            let events = result["events"].as_u64().unwrap_or(0);
            best = SimulatorCost { requests, events, us_per_request };
        }
    }
    Ok(best)
}

/// The headline figures of several results, each summed up.
pub fn summaries(results: &[Value]) -> BTreeMap<String, Summary> {
    let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for result in results {
        for (name, value) in headline(result) {
            values.entry(name).or_default().push(value);
        }
    }
    values.into_iter().map(|(name, values)| (name, Summary::of(&values))).collect()
}
