//! The quotas of the volumes: the reservation and the limit of each volume, and this head's equal share of
//! both.
//!
//! Owns the token buckets of every volume with recent requests. A reservation gives requests priority
//! (`scheduling`); a limit holds requests back.

use crate::token_bucket::TokenBucket;
use crate::{Micros, RequestClass, SECOND, ServicePlan};
use std::collections::{BTreeMap, BTreeSet};

/// Time after the longest possible deadline of a volume's last request until the volume is dropped. Longer
/// than any surge lasts.
const IDLE_TIMEOUT: Micros = 60 * SECOND;
/// Number of volumes above which idle ones are dropped without [`IDLE_TIMEOUT`]. Far more than a deployment
/// has, in less than a megabyte.
const MAX_IDLE_VOLUMES: usize = 2048;
/// The most volumes that are known at once, beside those with open requests.
const MAX_VOLUMES: usize = 4096;
/// A new quota starts with this head's equal share of the limit's burst divided by this.
const INITIAL_BURST_DIVISOR: f64 = 3.0;
/// Rate borrowed on delayed load reports may use up a limit's slack divided by this.
const BORROWED_SLACK_DIVISOR: f64 = 4.0;
/// Clients may use the heads of a volume unevenly: without a surge, one head may carry this multiple of its
/// equal share.
const IMBALANCE_FACTOR: f64 = 2.0;

/// A volume's quota: its plan, and this head's share of its reservation and of its limit.
#[derive(Clone, Debug)]
pub(crate) struct VolumeQuota {
    /// The plan of the volume's first request.
    pub(crate) plan: ServicePlan,
    /// Number of heads through which the volume's requests come, at least 1.
    heads: f64,
    reservation: TokenBucket,
    limit: TokenBucket,
    /// Units per second above the limit at which the buckets of all heads together may refill.
    borrowed_rate: f64,
    last_request_at: Micros,
}

impl VolumeQuota {
    /// Creates the quota of a volume on its first request.
    ///
    /// The limit starts with a third of this head's share of the burst, because the head may have restarted
    /// just after its previous incarnation used up that share. The first burst after a start is limited
    /// accordingly.
    fn new(plan: ServicePlan, heads: f64, now: Micros) -> VolumeQuota {
        let burst = plan.limit_burst / heads / INITIAL_BURST_DIVISOR;
        let limit = TokenBucket::with_tokens(burst, now);
        let reservation = TokenBucket::with_tokens(plan.reservation / heads, now);
        VolumeQuota { plan, heads, reservation, limit, borrowed_rate: 0.0, last_request_at: now }
    }

    /// Whether the limit admits `units` now. This head has an equal share of the limit's rate and of its
    /// burst.
    pub(crate) fn admits(&mut self, units: f64, now: Micros) -> bool {
        let rate = (self.plan.limit + self.borrowed_rate) / self.heads;
        self.plan.limit <= 0.0 || self.limit.refill(now, rate, self.plan.limit_burst / self.heads) >= units
    }

    /// Whether the limit admits `units` now with `margin` more units left over.
    pub(crate) fn admits_with_margin(&mut self, units: f64, margin: f64, now: Micros) -> bool {
        self.admits(units + margin, now)
    }

    pub(crate) fn charge_limit(&mut self, units: f64) {
        self.limit.take(units);
    }

    /// Whether this head's share of the reservation has units left. It accumulates up to one second of its
    /// rate plus the largest request.
    pub(crate) fn has_reservation_left(&mut self, max_units: f64, now: Micros) -> bool {
        let rate = self.reserved_rate();
        self.reservation.refill(now, rate, rate + max_units) > 0.0
    }

    /// Takes units from the reservation if it has any left; returns whether it did.
    pub(crate) fn charge_reservation(&mut self, units: f64) -> bool {
        let has_reservation = self.reservation.has_tokens();
        if has_reservation {
            self.reservation.take(units);
        }
        has_reservation
    }

    /// This head's share of the reservation, in units per second.
    pub(crate) fn reserved_rate(&self) -> f64 {
        self.plan.reservation / self.heads
    }

    /// The highest demand on this head without a surge, in units per second.
    pub(crate) fn max_typical_rate(&self) -> f64 {
        IMBALANCE_FACTOR * self.plan.nominal_rate / self.heads
    }

    /// Handles a report of the volume's usage through all heads, as a multiple of its nominal rate: adds the
    /// unused rate of the limit to the rate that the heads share.
    ///
    /// The report is delayed, so the borrowed rate is bounded: if all heads borrow at once and use it until
    /// the next report, they overdraw the limit by no more than a quarter of its slack.
    pub(crate) fn on_load_report(&mut self, usage: f64, report_period: Micros) {
        let unreported_seconds = 1.0 + 2.0 * report_period as f64 / SECOND as f64;
        let unused = self.plan.limit - usage * self.plan.nominal_rate;
        let max_borrowed_rate = self.plan.limit_slack / BORROWED_SLACK_DIVISOR / unreported_seconds;
        self.borrowed_rate = unused.max(0.0).min(max_borrowed_rate);
    }
}

/// The quotas of the volumes with recent requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct VolumeQuotas {
    by_volume: BTreeMap<u64, VolumeQuota>,
}

impl VolumeQuotas {
    /// The quota of a volume; `None` once it was dropped.
    pub(crate) fn get(&self, volume: u64) -> Option<&VolumeQuota> {
        self.by_volume.get(&volume)
    }

    /// The quota of a volume; `None` once it was dropped.
    pub(crate) fn get_mut(&mut self, volume: u64) -> Option<&mut VolumeQuota> {
        self.by_volume.get_mut(&volume)
    }

    /// Records a request for a volume whose requests come through `heads` heads; `plan` applies to a new
    /// volume.
    pub(crate) fn on_request(&mut self, volume: u64, plan: Option<&ServicePlan>, heads: f64, now: Micros) {
        let new_quota = || VolumeQuota::new(plan.cloned().unwrap_or_default(), heads, now);
        let quota = self.by_volume.entry(volume).or_insert_with(new_quota);
        quota.heads = heads;
        quota.last_request_at = now;
    }

    /// The number of volumes that are known.
    pub(crate) fn len(&self) -> usize {
        self.by_volume.len()
    }

    /// Whether a volume is unknown, and as many are known as may be.
    pub(crate) fn is_full_for(&self, volume: u64) -> bool {
        self.by_volume.len() >= MAX_VOLUMES && !self.by_volume.contains_key(&volume)
    }

    /// Drops the half of the volumes that had no request for the longest, except those with open requests.
    pub(crate) fn drop_least_recent(&mut self, open: &BTreeSet<u64>) {
        let mut times: Vec<Micros> = self.by_volume.values().map(|quota| quota.last_request_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.by_volume.retain(|volume, quota| quota.last_request_at > median || open.contains(volume));
    }

    /// Drops the quotas of idle volumes, so that memory does not grow with every volume ever requested.
    ///
    /// The buckets of an idle volume are full, and the buckets of a new quota start with less, so dropping
    /// one grants nothing extra. When clients name ever new volumes, each is dropped as soon as no request
    /// for it can be open.
    pub(crate) fn drop_idle(&mut self, classes: &[RequestClass], now: Micros) {
        let longest_timeout = classes.iter().map(|class| class.timeout).max().unwrap_or(0);
        let has_many_volumes = self.by_volume.len() > MAX_IDLE_VOLUMES;
        let idle_time = if has_many_volumes { longest_timeout } else { longest_timeout + IDLE_TIMEOUT };
        self.by_volume.retain(|_, quota| now < quota.last_request_at + idle_time);
    }
}
