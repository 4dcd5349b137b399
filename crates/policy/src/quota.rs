//! The quotas of the volumes: each one's reservation and limit, and this head's even part of both.
//!
//! Owns the token buckets of every volume that was asked for lately. A reservation decides what is sent first
//! (`scheduling`); a limit decides what may be sent at all.

use crate::token_bucket::TokenBucket;
use crate::{Micros, RequestClass, SECOND, ServicePlan};
use std::collections::BTreeMap;

/// Time after the latest deadline of a volume's last request at which the volume is forgotten: past any
/// surge.
const IDLE_TIMEOUT: Micros = 60 * SECOND;
/// Volumes past which idle ones are forgotten at once: far more than a deployment has, and under a megabyte.
const MAX_IDLE_VOLUMES: usize = 2048;
/// A head starts with its even part of a limit's burst divided by this.
const INITIAL_BURST_DIVISOR: f64 = 3.0;
/// Rate borrowed on late load reports may use up a limit's slack divided by this.
const BORROWED_SLACK_DIVISOR: f64 = 4.0;
/// A volume may use its heads unevenly: one may carry this many times its even part without a surge.
const UNEVEN_USE: f64 = 2.0;

/// A volume's quota: its plan, and this head's part of its reservation and of its limit.
#[derive(Clone, Debug)]
pub(crate) struct VolumeQuota {
    /// The plan that the volume's first request named.
    pub(crate) plan: ServicePlan,
    /// Heads through which the volume's requests come, at least 1.
    heads: f64,
    reservation: TokenBucket,
    limit: TokenBucket,
    /// Units a second over the limit at which the buckets of all heads together may fill.
    borrowed_rate: f64,
    last_request_at: Micros,
}

impl VolumeQuota {
    /// Guards against a predecessor that spent its part of the limit's burst just before a restart: a head
    /// starts with a third of its part. Costs the first burst after a start.
    fn new(plan: ServicePlan, heads: f64, now: Micros) -> VolumeQuota {
        let burst = plan.limit_burst / heads / INITIAL_BURST_DIVISOR;
        let limit = TokenBucket::with_tokens(burst, now);
        let reservation = TokenBucket::with_tokens(plan.reservation / heads, now);
        VolumeQuota { plan, heads, reservation, limit, borrowed_rate: 0.0, last_request_at: now }
    }

    /// Whether the limit admits `units` now. This head has an even part of the limit's rate and of its burst.
    pub(crate) fn admits(&mut self, units: f64, now: Micros) -> bool {
        let rate = (self.plan.limit + self.borrowed_rate) / self.heads;
        self.plan.limit <= 0.0 || self.limit.refill(now, rate, self.plan.limit_burst / self.heads) >= units
    }

    /// Whether the limit admits `units` now and has `margin` left besides.
    pub(crate) fn admits_with_margin(&mut self, units: f64, margin: f64, now: Micros) -> bool {
        self.admits(units + margin, now)
    }

    /// Takes units from the limit.
    pub(crate) fn charge_limit(&mut self, units: f64) {
        self.limit.take(units);
    }

    /// Whether this head's part of the reservation is not used up. It saves up to a second of its rate and
    /// the largest request.
    pub(crate) fn has_reservation_left(&mut self, max_units: f64, now: Micros) -> bool {
        let rate = self.reserved_rate();
        self.reservation.refill(now, rate, rate + max_units) > 0.0
    }

    /// Takes units from the reservation if any is left; whether it did.
    pub(crate) fn charge_reservation(&mut self, units: f64) -> bool {
        let has_reservation = self.reservation.has_tokens();
        if has_reservation {
            self.reservation.take(units);
        }
        has_reservation
    }

    /// This head's part of the reservation, in units a second.
    pub(crate) fn reserved_rate(&self) -> f64 {
        self.plan.reservation / self.heads
    }

    /// The most units a second that this head may typically be asked for without a surge.
    pub(crate) fn max_typical_rate(&self) -> f64 {
        UNEVEN_USE * self.plan.nominal_rate / self.heads
    }

    /// A report of how much the volume was served through all heads, as a multiple of its nominal rate: what
    /// the limit has left is lent to this head's even part.
    ///
    /// The report is late: were all parts raised and used at once until the next one, a quarter of the slack
    /// would bear it.
    pub(crate) fn on_load_report(&mut self, usage: f64, report_period: Micros) {
        let seconds_unseen = 1.0 + 2.0 * report_period as f64 / SECOND as f64;
        let unused = self.plan.limit - usage * self.plan.nominal_rate;
        let affordable = self.plan.limit_slack / BORROWED_SLACK_DIVISOR / seconds_unseen;
        self.borrowed_rate = unused.max(0.0).min(affordable);
    }
}

/// The quotas of the volumes that were asked for lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct VolumeQuotas {
    by_volume: BTreeMap<u64, VolumeQuota>,
}

impl VolumeQuotas {
    /// The quota of a volume, unless it is forgotten.
    pub(crate) fn get(&self, volume: u64) -> Option<&VolumeQuota> {
        self.by_volume.get(&volume)
    }

    /// The quota of a volume, unless it is forgotten.
    pub(crate) fn get_mut(&mut self, volume: u64) -> Option<&mut VolumeQuota> {
        self.by_volume.get_mut(&volume)
    }

    /// Notes a request for a volume, with its plan, that comes through so many heads.
    pub(crate) fn on_request(&mut self, volume: u64, plan: Option<&ServicePlan>, heads: f64, now: Micros) {
        let new_quota = || VolumeQuota::new(plan.cloned().unwrap_or_default(), heads, now);
        let quota = self.by_volume.entry(volume).or_insert_with(new_quota);
        quota.heads = heads;
        quota.last_request_at = now;
    }

    /// Forgets volumes that are not asked for any more.
    ///
    /// Guards against growing with every volume ever asked for. The buckets of an idle one are full; a new
    /// one starts with less. Where clients name ever new volumes, each goes as soon as no request for it can
    /// be open.
    pub(crate) fn forget_idle(&mut self, classes: &[RequestClass], now: Micros) {
        let longest_deadline = classes.iter().map(|class| class.timeout).max().unwrap_or(0);
        let is_crowded = self.by_volume.len() > MAX_IDLE_VOLUMES;
        let idle_time = if is_crowded { longest_deadline } else { longest_deadline + IDLE_TIMEOUT };
        self.by_volume.retain(|_, quota| now < quota.last_request_at + idle_time);
    }
}
