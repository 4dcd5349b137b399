//! The figures of a test run: service, latencies, results of requests and load, gathered request by request and written
//! as JSON. The keys of that JSON are read by others and keep their spelling.
//!
//! Service is the priority weight of the requests answered in time over that of all requests; an answer past the
//! latency objective earns its class's part. Latency counts from the time at which a request was to be sent, whatever
//! held its client up, so that a stall shows in every request that it touched (no coordinated omission).

use crate::auditor::Auditor;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use sedgerun_policy::Micros;
use serde_json::{Map, Value, json};

/// The result of a request, over all attempts of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served within the latency objective.
    InTime,
    /// Served after it.
    PastObjective,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// Its head was down, or went down.
    Lost,
    /// No answer came before the deadline.
    NoAnswer,
}

impl RequestResult {
    /// All, with their names.
    pub const ALL: [(RequestResult, &'static str); 6] = [
        (RequestResult::InTime, "in time"),
        (RequestResult::PastObjective, "late"),
        (RequestResult::Rejected, "refused"),
        (RequestResult::Failed, "failed"),
        (RequestResult::Lost, "lost"),
        (RequestResult::NoAnswer, "silent"),
    ];
}

/// One request at its end.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// When it was to be sent, us from the start.
    pub at: Micros,
    /// Position of its class.
    pub class: usize,
    /// Position of its plan.
    pub plan: usize,
    /// Its size.
    pub units: u8,
    /// Its result.
    pub result: RequestResult,
    /// From when it was to be sent to its answer, or to its deadline.
    pub latency: Micros,
}

#[derive(Clone, Copy, Debug, Default)]
/// Priority weight, in all and earned.
struct EarnedWeight {
    total: f64,
    earned: f64,
}

impl EarnedWeight {
    fn add(&mut self, total: f64, earned: f64) {
        self.total += total;
        self.earned += earned;
    }

    fn service(&self) -> f64 {
        if self.total > 0.0 { self.earned / self.total } else { 1.0 }
    }
}

/// The figures of one test run.
#[derive(Debug)]
pub struct RunFigures {
    all: EarnedWeight,
    classes: Vec<EarnedWeight>,
    plans: Vec<EarnedWeight>,
    seconds: Vec<EarnedWeight>,
    rejected: Vec<u64>,
    results: [u64; 6],
    latency: Vec<Histogram<u64>>,
    /// Attempts at each backend in each second.
    attempts_by_backend: Vec<Vec<u64>>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Handshakes at backends.
    pub handshakes: u64,
    /// Retries of clients.
    pub retries: u64,
    /// The most that a warming backend was sent, in millionths of what makes it fail.
    pub warm_up_peak: u64,
    /// When the script did what, us from the start.
    pub marks: Vec<(Micros, String)>,
}

/// The longest latency that a histogram distinguishes from a longer one, us.
const MAX_LATENCY: u64 = 60_000_000;
/// The window of the worst service, s.
const WORST_WINDOW: usize = 10;

impl RunFigures {
    /// Empty figures.
    pub fn new(scenario: &Scenario, backends: usize) -> RunFigures {
        let seconds = scenario.seconds.ceil() as usize + 1;
        let empty = || Histogram::new_with_bounds(1, MAX_LATENCY, 3).ok();
        RunFigures {
            all: EarnedWeight::default(),
            classes: vec![EarnedWeight::default(); scenario.classes.len()],
            plans: vec![EarnedWeight::default(); scenario.plans.len()],
            seconds: vec![EarnedWeight::default(); seconds],
            rejected: vec![0; seconds],
            results: [0; 6],
            latency: (0..scenario.classes.len()).filter_map(|_| empty()).collect(),
            attempts_by_backend: vec![vec![0; seconds]; backends],
            attempts: 0,
            handshakes: 0,
            retries: 0,
            warm_up_peak: 0,
            marks: Vec::new(),
        }
    }

    /// Counts one request at its end.
    pub fn count_request(&mut self, scenario: &Scenario, record: &RequestRecord) {
        let class = &scenario.classes[record.class];
        let weight = class.priority_weight * scenario.plans[record.plan].price * f64::from(record.units);
        let earned = match record.result {
            RequestResult::InTime => weight,
            RequestResult::PastObjective => weight * class.past_objective_fraction,
            _ => 0.0,
        };
        let second = ((record.at / 1_000_000) as usize).min(self.seconds.len() - 1);
        self.all.add(weight, earned);
        self.classes[record.class].add(weight, earned);
        self.plans[record.plan].add(weight, earned);
        self.seconds[second].add(weight, earned);
        self.rejected[second] += u64::from(record.result == RequestResult::Rejected);
        for (count, (result, _)) in self.results.iter_mut().zip(RequestResult::ALL) {
            *count += u64::from(result == record.result);
        }
        if matches!(record.result, RequestResult::InTime | RequestResult::PastObjective)
            && let Some(latency) = self.latency.get_mut(record.class)
        {
            latency.saturating_record(record.latency.max(1));
        }
    }

    /// Counts an attempt that came to the backend at a position.
    pub fn count_attempt(&mut self, at: Micros, position: usize) {
        let second = ((at / 1_000_000) as usize).min(self.seconds.len() - 1);
        if let Some(count) =
            self.attempts_by_backend.get_mut(position).and_then(|seconds| seconds.get_mut(second))
        {
            *count += 1;
        }
    }

    /// Requests that were counted.
    pub fn requests(&self) -> u64 {
        self.results.iter().sum()
    }

    /// Service over all.
    pub fn service(&self) -> f64 {
        self.all.service()
    }

    /// Service over the worst seconds in a row.
    pub fn worst_service(&self) -> f64 {
        let sum = |window: &[EarnedWeight]| {
            let mut all = EarnedWeight::default();
            window.iter().for_each(|one| all.add(one.total, one.earned));
            all.service()
        };
        // The last, partial second does not begin a window of its own.
        let complete = &self.seconds[..self.seconds.len() - 1];
        complete.windows(WORST_WINDOW.min(complete.len()).max(1)).map(sum).fold(1.0, f64::min)
    }

    /// All figures, and what the auditor found.
    pub fn to_json(&self, scenario: &Scenario, seed: u64, driver: &str, auditor: &Auditor) -> Value {
        let by_name = |names: Vec<&str>, weights: &[EarnedWeight]| -> Map<String, Value> {
            let each = names.iter().zip(weights);
            each.map(|(name, weight)| ((*name).to_owned(), json!(weight.service()))).collect()
        };
        let classes: Vec<&str> = scenario.classes.iter().map(|class| class.name.as_str()).collect();
        let plans: Vec<&str> = scenario.plans.iter().map(|plan| plan.name.as_str()).collect();
        let latency: Map<String, Value> = classes
            .iter()
            .zip(&self.latency)
            .map(|(name, all)| {
                let at = |quantile| all.value_at_quantile(quantile) as f64 / 1e3;
                let shape = json!({"count": all.len(), "p50_ms": at(0.5), "p90_ms": at(0.9), "p99_ms": at(0.99),
                    "p999_ms": at(0.999), "max_ms": all.max() as f64 / 1e3});
                ((*name).to_owned(), shape)
            })
            .collect();
        let results: Map<String, Value> = self
            .results
            .iter()
            .zip(RequestResult::ALL)
            .map(|(n, (_, name))| (name.to_owned(), json!(n)))
            .collect();
        let breaches: Map<String, Value> =
            auditor.breaches.iter().map(|(rule, n)| (rule.name().to_owned(), json!(n))).collect();
        let seconds: Vec<f64> = self.seconds.iter().map(EarnedWeight::service).collect();
        let marks: Vec<Value> =
            self.marks.iter().map(|(at, label)| json!([*at as f64 / 1e6, label])).collect();
        json!({
            "scenario": scenario.name, "seed": seed, "driver": driver, "requests": self.requests(),
            "service": self.service(), "worst10": self.worst_service(), "classes": by_name(classes, &self.classes),
            "plans": by_name(plans, &self.plans), "fates": results, "latency": latency,
            "attempts": self.attempts, "handshakes": self.handshakes, "retries": self.retries,
            "cold_peak": self.warm_up_peak as f64 / 1e6, "seconds": seconds, "refused": self.rejected,
            "boxes": self.attempts_by_backend, "marks": marks, "broken": auditor.broken(), "breaches": breaches, "told": auditor.descriptions,
            "watched": auditor.watched,
        })
    }
}
