//! The endpoint list: the effects of an update, and the delay of the next poll after a failure.

use crate::timers::Timer;
use crate::{Action, Controller, Endpoint, Micros, RequestClass, SECOND, Settings, UpdateScope};

/// Backoff after the first failure in a row; it doubles with each further failure, up to a quarter of the
/// poll interval in the settings.
const INITIAL_BACKOFF: Micros = 250_000;
/// The longest backoff is the poll interval in the settings divided by this.
const MAX_BACKOFF_DIVISOR: u64 = 4;
/// Minimum mean delay before the next poll, for each head of the cluster: all heads fail together, and the
/// discovery service responds to about 20 polls per second. With 62 ms, 100 heads that lose their watches
/// together recover more slowly and gain nothing.
const DELAY_PER_HEAD: Micros = 25_000;
/// The longest delay before the next poll, in microseconds: a head counts as notified 6 s after the service
/// has an update, so it must have read the response by then.
const MAX_DELAY: f64 = 4.5e6;
/// Smallest jitter factor of a backoff.
const MIN_BACKOFF_JITTER: f64 = 0.75;
/// Width of the range of a backoff's jitter factor.
const BACKOFF_JITTER_RANGE: f64 = 0.5;
/// Smallest jitter factor of the minimum mean delay; the range has width 1, so that the mean factor is 1.
const MIN_DELAY_JITTER: f64 = 0.5;
/// Increment of the initial debts from backend to backend, as a fraction of the largest: multiples of the
/// golden ratio spread evenly over the range.
const DEBT_STEP: f64 = 0.618;

/// The backoff of polls of the endpoint list after failures.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPolling {
    /// Backoff after the next failure.
    backoff: Micros,
    next_poll_at: Micros,
}

impl Default for EndpointPolling {
    fn default() -> Self {
        EndpointPolling { backoff: INITIAL_BACKOFF, next_poll_at: 0 }
    }
}

impl EndpointPolling {
    /// Whether the time of the next poll has come.
    fn may_poll(&self, now: Micros) -> bool {
        now >= self.next_poll_at
    }

    /// The list was received: resets the backoff.
    fn on_update(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    /// A poll failed: schedules the next one, with jitter from `random_fraction` between 0 and 1.
    ///
    /// The discovery service handles polls in order, including those whose clients have timed out. Polls that
    /// are retried in step, or faster than the service can respond to all of them, would keep its queue
    /// longer than the timeout of every poll.
    fn on_failure(&mut self, random_fraction: f64, settings: &Settings, now: Micros) -> Action {
        let backoff = self.backoff as f64 * (MIN_BACKOFF_JITTER + BACKOFF_JITTER_RANGE * random_fraction);
        let min_delay = DELAY_PER_HEAD as f64 * f64::from(settings.heads);
        let min_delay = min_delay.min(MAX_DELAY / (MIN_DELAY_JITTER + 1.0));
        let delay = backoff.max(min_delay * (MIN_DELAY_JITTER + random_fraction));
        self.next_poll_at = now + delay.min(MAX_DELAY) as Micros;
        let max_backoff = (settings.rules.poll_interval / MAX_BACKOFF_DIVISOR).max(INITIAL_BACKOFF);
        self.backoff = (self.backoff * 2).min(max_backoff);
        Timer::Poll.set(self.next_poll_at)
    }
}

impl Controller {
    /// Schedules the next poll after a failure.
    pub(crate) fn on_poll_failure(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let random_fraction = self.random.next_fraction();
        actions.push(self.polling.on_failure(random_fraction, &self.settings, now));
    }

    /// Polls the list again, unless another failure has postponed the poll.
    pub(crate) fn poll_unless_postponed(&self, now: Micros, actions: &mut Vec<Action>) {
        if self.polling.may_poll(now) {
            actions.push(Action::Watch);
        }
    }

    /// Applies an update of the endpoint list, and selects other backends for the requests that are queued at
    /// a backend which takes no requests any more.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        self.polling.on_update();
        if scope != UpdateScope::Delta {
            self.backends.mark_all_removed();
        }
        self.update_backends(now, scope, endpoints);
        for id in self.backends.finish_update() {
            self.select_backend(id, now);
        }
        self.sweep(now, actions);
    }

    /// Applies each entry of an update. The slow-start tokens of a backend that is new or has restarted begin
    /// with a random debt, as do those of all backends after a start of this head, whose previous incarnation
    /// may just have used up its share.
    fn update_backends(&mut self, now: Micros, scope: UpdateScope, endpoints: &[Endpoint]) {
        let objective = shortest_objective(&self.settings.classes);
        let max_debt = max_initial_debt(&self.settings);
        let mut random_fraction = self.random.next_fraction();
        for endpoint in endpoints {
            let (backend, has_restarted) = self.backends.update(endpoint, objective, now);
            if has_restarted || scope == UpdateScope::Cached || backend.slow_start.is_unused() {
                backend.slow_start.set_debt(random_fraction.fract() * max_debt, now);
                random_fraction += DEBT_STEP;
            }
        }
    }
}

fn shortest_objective(classes: &[RequestClass]) -> Micros {
    classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND)
}

/// The largest initial debt, in units: this head's equal share of the safe units, or a mean request if that
/// is more.
fn max_initial_debt(settings: &Settings) -> f64 {
    let equal_share = settings.rules.slow_start.safe_units / f64::from(settings.heads.max(1));
    equal_share.max(settings.mean_units)
}
