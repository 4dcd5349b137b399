//! What runs of the cluster simulator came to.

use super::fault::Fault;
use std::collections::BTreeMap;

/// The most seeds that a table names with what broke.
const MAX_LISTED: usize = 10;

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct ClusterRunReport {
    /// Faults by kind, with how often each was injected.
    pub injected: BTreeMap<Fault, u64>,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Calls that were rejected or not answered in time.
    pub rejected: u64,
    /// Rules that broke, in words; the first is what counts.
    pub broken: Vec<String>,
    /// Digest of all that was acknowledged and when.
    pub digest: u64,
}

/// The result of many runs.
#[derive(Clone, Debug, Default)]
pub struct ClusterRunSummary {
    /// How many.
    pub runs: u64,
    /// Faults by kind, with how often each was injected in all runs.
    pub injected: BTreeMap<Fault, u64>,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Calls that were rejected or not answered in time.
    pub rejected: u64,
    /// Seeds with what broke first.
    pub broken: BTreeMap<u64, String>,
}

impl ClusterRunSummary {
    /// Adds the run of a seed.
    pub fn add(&mut self, seed: u64, report: ClusterRunReport) {
        self.runs += 1;
        self.acknowledged += report.acknowledged;
        self.rejected += report.rejected;
        for (fault, count) in report.injected {
            *self.injected.entry(fault).or_default() += count;
        }
        self.broken.extend(report.broken.into_iter().next().map(|what| (seed, what)));
    }

    /// The counts and what broke, for people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} runs: {} changes acknowledged, {} calls refused; {} runs with a broken rule\n",
            self.runs,
            self.acknowledged,
            self.rejected,
            self.broken.len()
        );
        for (fault, count) in &self.injected {
            text.push_str(&format!("{fault:?}: {count}\n").to_lowercase());
        }
        for (seed, what) in self.broken.iter().take(MAX_LISTED) {
            text.push_str(&format!("seed {seed}: {what}\n"));
        }
        text
    }
}
