//! The rate of one backend: set by its regulator once a control period, and divided among the volumes in
//! bands.
//!
//! Owns the regulator, the totals of the present period, and what each volume demands of the backend through
//! this head. The bands are the design's: reservations first, then weighted fair shares, unused share passing
//! on.

use crate::fair_share::{WeightedDemand, fair_share_level};
use crate::quota::{VolumeQuota, VolumeQuotas};
use crate::regulator::{PeriodSample, SelfTuningRegulator};
use crate::token_bucket::TokenBucket;
use crate::{Micros, Settings};
use std::collections::BTreeMap;

/// Requests a second that the ceiling grants a backend at the least: enough for a fit of the model.
const MIN_CEILING_REQUESTS: f64 = 6.0;
/// Multiple of what was offered, and of the demand of volumes without a limit, that the ceiling grants (the
/// design's figure).
const CEILING_MULTIPLE: f64 = 2.0;
/// Weight of the last period in a volume's demand: a memory of two periods, as surges start within one.
const DEMAND_WEIGHT: f64 = 0.5;
/// Demand, in units a second, under which a volume's is forgotten.
const MIN_DEMAND: f64 = 1e-3;
/// Seconds of the rate that a backend over its latency objective may be sent at once.
const PACING_BURST: f64 = 0.1;

/// What one volume demands of one backend through this head.
#[derive(Clone, Debug, Default)]
struct VolumeDemand {
    /// Units in the present period.
    offered: f64,
    /// Moving average, in units a second.
    rate: f64,
    /// What its fair share has left.
    share: TokenBucket,
}

/// What happened at one backend in the present period.
#[derive(Clone, Debug, Default)]
struct PeriodTotals {
    responses: u32,
    /// Sum of their latencies, in microseconds.
    latency: f64,
    /// Units of the requests that were to be sent there.
    offered: f64,
    /// Units that were sent.
    sent: f64,
    /// Units of the attempts that were answered.
    served: f64,
}

/// What the demands of all volumes come to.
#[derive(Default)]
struct TotalDemand {
    /// The part within the reservations, in units a second.
    reserved: f64,
    /// Summed limits of the volumes, one without a limit counting as a multiple of its demand.
    limits: f64,
    /// The rest of each volume's demand, with its weight.
    unreserved: Vec<WeightedDemand>,
}

/// What the end of a control period depends on besides the rate control itself.
pub(super) struct PeriodEnd<'a> {
    /// The latency target, in microseconds.
    pub(super) objective: Micros,
    /// The latency that counts where no response came, in microseconds.
    pub(super) mean_latency: f64,
    /// Nothing is in flight.
    pub(super) is_idle: bool,
    /// Requests wait for the concurrency limit.
    pub(super) has_queue: bool,
    /// The plans of the volumes.
    pub(super) quotas: &'a VolumeQuotas,
    /// The settings of the head.
    pub(super) settings: &'a Settings,
}

/// The rate control of one backend.
#[derive(Clone, Debug)]
pub(crate) struct RateControl {
    regulator: SelfTuningRegulator,
    /// Holds back what is sent while the backend is over its objective.
    pacing: TokenBucket,
    /// Whether the mean latency of the last period was over the objective.
    is_over_objective: bool,
    /// Units a second and weight that each volume is granted; infinite where all demands fit.
    fair_share_level: f64,
    demands: BTreeMap<u64, VolumeDemand>,
    /// Units a second that volumes demand, each counted without surges.
    typical_demand: f64,
    totals: PeriodTotals,
}

impl Default for RateControl {
    fn default() -> Self {
        RateControl {
            regulator: SelfTuningRegulator::default(),
            pacing: TokenBucket::default(),
            is_over_objective: false,
            fair_share_level: f64::INFINITY,
            demands: BTreeMap::new(),
            typical_demand: 0.0,
            totals: PeriodTotals::default(),
        }
    }
}

impl RateControl {
    /// That of a backend that was replaced by a new process: the demands stay, what was learned does not.
    pub(super) fn restarted(self) -> RateControl {
        RateControl { demands: self.demands, ..RateControl::default() }
    }

    /// Units a second that volumes demand here, each counted without surges.
    pub(crate) fn typical_demand(&self) -> f64 {
        self.typical_demand
    }

    /// Notes a request for a volume that is to be sent here.
    pub(crate) fn on_demand(&mut self, volume: u64, units: f64) {
        self.totals.offered += units;
        self.demands.entry(volume).or_default().offered += units;
    }

    /// Notes a request that is sent.
    pub(crate) fn on_send(&mut self, units: f64) {
        self.pacing.take(units);
        self.totals.sent += units;
    }

    /// Notes a response to a request, with its latency in microseconds.
    pub(crate) fn on_response(&mut self, latency: f64, units: f64) {
        self.totals.responses += 1;
        self.totals.latency += latency;
        self.totals.served += units;
    }

    /// Whether the backend is over its objective and has been sent what its rate allows.
    pub(crate) fn is_exhausted(&mut self, max_units: f64, now: Micros) -> bool {
        let rate = self.regulator.rate;
        self.is_over_objective && self.pacing.refill(now, rate, rate * PACING_BURST + max_units) <= 0.0
    }

    /// Whether all demands fit into the rate.
    pub(crate) fn fits_all_demands(&self) -> bool {
        self.fair_share_level.is_infinite()
    }

    /// Whether a volume has fair share left. It saves up to a second of its share and the largest request.
    pub(crate) fn has_share_left(&mut self, volume: u64, weight: f64, max_units: f64, now: Micros) -> bool {
        let rate = self.fair_share_level * weight;
        let demand = self.demands.entry(volume).or_default();
        demand.share.refill(now, rate, rate + max_units) > 0.0
    }

    /// Takes units from a volume's fair share.
    pub(crate) fn charge_share(&mut self, volume: u64, units: f64) {
        self.demands.entry(volume).or_default().share.take(units);
    }

    /// Ends a control period: the regulator sets the rate, which is divided among the volumes.
    pub(super) fn end_period(&mut self, end: &PeriodEnd) {
        let demand = self.total_demand(end.quotas);
        let totals = std::mem::take(&mut self.totals);
        let has_responses = totals.responses > 0;
        let mean_latency =
            if has_responses { totals.latency / f64::from(totals.responses) } else { end.mean_latency };
        let objective = end.objective as f64;
        self.regulator.update(PeriodSample {
            responses: totals.responses,
            latency: mean_latency / objective,
            sent: totals.sent,
            served: totals.served,
            ceiling: ceiling(&totals, &demand, end.settings),
            is_idle: totals.sent == 0.0 && end.is_idle,
        });
        self.is_over_objective = has_responses && mean_latency > objective;
        // Departure: while requests wait here for the concurrency limit, the backend takes what it takes, and
        // that is what there is to divide; the regulator's rate is above it then.
        let rate = self.regulator.rate;
        let rate = if end.has_queue { rate.min(totals.served) } else { rate };
        self.fair_share_level = fair_share_level(rate - demand.reserved, &demand.unreserved);
    }

    /// Takes the period into each volume's demand, and adds the demands up.
    fn total_demand(&mut self, quotas: &VolumeQuotas) -> TotalDemand {
        let mut total = TotalDemand::default();
        self.typical_demand = 0.0;
        for (volume, demand) in &mut self.demands {
            demand.rate += DEMAND_WEIGHT * (demand.offered - demand.rate);
            demand.offered = 0.0;
            if let Some(quota) = quotas.get(*volume) {
                self.typical_demand += demand.rate.min(quota.max_typical_rate());
                total.add(demand.rate, quota);
            }
        }
        self.demands.retain(|_, demand| demand.rate > MIN_DEMAND);
        total
    }
}

impl TotalDemand {
    fn add(&mut self, rate: f64, quota: &VolumeQuota) {
        let plan = &quota.plan;
        self.limits += if plan.limit > 0.0 { plan.limit } else { CEILING_MULTIPLE * rate };
        let reserved = rate.min(quota.reserved_rate());
        self.reserved += reserved;
        self.unreserved.push(WeightedDemand { rate: rate - reserved, weight: plan.weight });
    }
}

/// The largest rate worth setting: the largest of twice what was offered, a few requests, and the volumes'
/// limits.
fn ceiling(totals: &PeriodTotals, demand: &TotalDemand, settings: &Settings) -> f64 {
    let few_requests = MIN_CEILING_REQUESTS * settings.mean_units;
    (CEILING_MULTIPLE * totals.offered).max(few_requests).max(demand.limits)
}
