//! The rate of one backend, which its regulator sets once per control period, and its division among the
//! volumes: reservations first, then weighted fair shares of the rest, with unused shares passed on.
//!
//! Owns the regulator, the totals of the current period, and each volume's demand on the backend through this
//! head.

use crate::fair_share::{WeightedDemand, fair_share_level};
use crate::quota::{VolumeQuota, VolumeQuotas};
use crate::regulator::{PeriodSample, SelfTuningRegulator};
use crate::token_bucket::TokenBucket;
use crate::{Micros, Settings};
use std::collections::BTreeMap;

/// Lower bound of the ceiling, in mean requests per second: enough samples for a fit of the regulator's
/// model.
const MIN_CEILING_REQUESTS: f64 = 6.0;
/// The ceiling is at least this multiple of the offered load, and counts the demand of a volume without a
/// limit with this factor.
const CEILING_MULTIPLE: f64 = 2.0;
/// Weight of the last period in the moving average of a volume's demand: about two periods count, because
/// surges start within one.
const DEMAND_WEIGHT: f64 = 0.5;
/// Demand, in units per second, below which a volume's entry is dropped.
const MIN_DEMAND: f64 = 1e-3;
/// Burst that a backend above its latency objective may be sent, in seconds of its rate.
const PACING_BURST_SECONDS: f64 = 0.1;

/// The demand of one volume on one backend through this head.
#[derive(Clone, Debug, Default)]
struct VolumeDemand {
    /// Units offered in the current period.
    offered: f64,
    /// Moving average of the offered load, in units per second.
    rate: f64,
    /// The tokens left of its fair share.
    share: TokenBucket,
}

/// What was counted at one backend in the current period.
#[derive(Clone, Debug, Default)]
struct PeriodTotals {
    responses: u32,
    /// Sum of the latencies of the responses, in microseconds.
    latency: f64,
    /// Units of the requests that were queued there on arrival.
    offered: f64,
    /// Units that were sent.
    sent: f64,
    /// Units of the attempts that got a response.
    served: f64,
}

/// The demands of all volumes together.
#[derive(Default)]
struct TotalDemand {
    /// The demand within the reservations, in units per second.
    reserved: f64,
    /// Sum of the volumes' limits; a volume without a limit counts with a multiple of its demand.
    limits: f64,
    /// Each volume's demand beyond its reservation, with its weight.
    unreserved: Vec<WeightedDemand>,
}

/// The state outside of the rate control that the end of a control period depends on.
pub(super) struct PeriodInput<'a> {
    /// The latency objective, which is the regulator's target.
    pub(super) objective: Micros,
    /// The backend's moving average of the latency in microseconds, used for a period without responses.
    pub(super) mean_latency: f64,
    /// Whether the backend has no attempt in flight.
    pub(super) is_idle: bool,
    /// Whether requests are queued at the backend.
    pub(super) has_queue: bool,
    /// The quotas of the volumes.
    pub(super) quotas: &'a VolumeQuotas,
    /// The settings of the head.
    pub(super) settings: &'a Settings,
}

/// The rate control of one backend.
#[derive(Clone, Debug)]
pub(crate) struct RateControl {
    regulator: SelfTuningRegulator,
    /// Limits what is sent to the regulator's rate while the backend is above its objective.
    pacing: TokenBucket,
    /// Whether the mean latency of the last period was above the objective.
    is_over_objective: bool,
    /// Fair share of a volume in units per second, for each unit of weight; infinite if all demands fit.
    fair_share_level: f64,
    demands: BTreeMap<u64, VolumeDemand>,
    /// Demand of all volumes in units per second, each capped at its highest demand without a surge.
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
    /// The rate control after a restart of the backend's process: only the volumes' demands are kept.
    pub(super) fn restarted(self) -> RateControl {
        RateControl { demands: self.demands, ..RateControl::default() }
    }

    /// Demand of all volumes in units per second, each capped at its highest demand without a surge.
    pub(crate) fn typical_demand(&self) -> f64 {
        self.typical_demand
    }

    /// Records a request for a volume that is queued at the backend on arrival; whether the volume is tracked from now
    /// on, which `may_track` allows.
    pub(crate) fn on_demand(&mut self, volume: u64, units: f64, may_track: bool) -> bool {
        self.totals.offered += units;
        if let Some(demand) = self.demands.get_mut(&volume) {
            demand.offered += units;
            return false;
        }
        if may_track {
            self.demands.insert(volume, VolumeDemand { offered: units, ..VolumeDemand::default() });
        }
        may_track
    }

    /// The number of volumes whose demand is tracked.
    pub(crate) fn demands(&self) -> usize {
        self.demands.len()
    }

    /// Records an attempt that is sent.
    pub(crate) fn on_send(&mut self, units: f64) {
        self.pacing.take(units);
        self.totals.sent += units;
    }

    /// Records a response, with its latency in microseconds.
    pub(crate) fn on_response(&mut self, latency: f64, units: f64) {
        self.totals.responses += 1;
        self.totals.latency += latency;
        self.totals.served += units;
    }

    /// Whether the backend is above its latency objective and its rate allows nothing more now.
    pub(crate) fn is_exhausted(&mut self, max_units: f64, now: Micros) -> bool {
        let rate = self.regulator.rate;
        self.is_over_objective
            && self.pacing.refill(now, rate, rate * PACING_BURST_SECONDS + max_units) <= 0.0
    }

    /// Whether all demands fit into the rate.
    pub(crate) fn fits_all_demands(&self) -> bool {
        self.fair_share_level.is_infinite()
    }

    /// Whether a volume has fair share left. It accumulates up to one second of its share plus the largest
    /// request.
    pub(crate) fn has_share_left(&mut self, volume: u64, weight: f64, max_units: f64, now: Micros) -> bool {
        let rate = self.fair_share_level * weight;
        let mut unused = TokenBucket::default();
        let share = self.demands.get_mut(&volume).map_or(&mut unused, |demand| &mut demand.share);
        share.refill(now, rate, rate + max_units) > 0.0
    }

    /// Takes units from a volume's fair share.
    pub(crate) fn charge_share(&mut self, volume: u64, units: f64) {
        if let Some(demand) = self.demands.get_mut(&volume) {
            demand.share.take(units);
        }
    }

    /// Ends a control period: the regulator sets the rate, which is then divided among the volumes.
    pub(super) fn end_period(&mut self, input: &PeriodInput) {
        let demand = self.total_demand(input.quotas);
        let totals = std::mem::take(&mut self.totals);
        let has_responses = totals.responses > 0;
        let mean_latency =
            if has_responses { totals.latency / f64::from(totals.responses) } else { input.mean_latency };
        let objective = input.objective as f64;
        self.regulator.update(PeriodSample {
            responses: totals.responses,
            latency: mean_latency / objective,
            sent: totals.sent,
            served: totals.served,
            ceiling: ceiling(&totals, &demand, input.settings),
            is_idle: totals.sent == 0.0 && input.is_idle,
        });
        self.is_over_objective = has_responses && mean_latency > objective;
        // Departure from the paper: while requests are queued, the concurrency limit and not the regulator's
        // rate bounds what the backend serves, so only the served rate is divided.
        let rate = self.regulator.rate;
        let rate = if input.has_queue { rate.min(totals.served) } else { rate };
        self.fair_share_level = fair_share_level(rate - demand.reserved, &demand.unreserved);
    }

    /// Updates each volume's demand with the period that ends, and sums the demands.
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
        self.demands.retain(|volume, demand| demand.rate > MIN_DEMAND && quotas.get(*volume).is_some());
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

/// The ceiling of the regulator's rate: the maximum of twice the offered load, a few requests per second, and
/// the sum of the volumes' limits.
fn ceiling(totals: &PeriodTotals, demand: &TotalDemand, settings: &Settings) -> f64 {
    let few_requests = MIN_CEILING_REQUESTS * settings.mean_units;
    (CEILING_MULTIPLE * totals.offered).max(few_requests).max(demand.limits)
}
