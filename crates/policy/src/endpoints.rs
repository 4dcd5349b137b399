//! The endpoint list: what an update of it changes, and when it is polled again after a failure.

use crate::timers::Timer;
use crate::{Action, Controller, Endpoint, Micros, RequestClass, SECOND, Settings, UpdateScope};

/// Backoff of the first poll after a failure; it doubles with each failure, up to a quarter of the poll
/// interval of the settings.
const INITIAL_BACKOFF: Micros = 250_000;
/// The poll interval of the settings is divided by this for the longest backoff.
const MAX_BACKOFF_DIVISOR: u64 = 4;
/// The least wait for each head: all fail together, and the one service that has the list answers about 20
/// polls a second. Tuned against 100 heads that lost their watches together: 62 ms scored the same and was
/// slower.
const WAIT_PER_HEAD: Micros = 25_000;
/// The longest wait, in microseconds: a head counts as notified 6 s after the service has an update, and has
/// to have read the response by then.
const MAX_WAIT: f64 = 4.5e6;
/// A backoff is spread over this part of it and [`BACKOFF_SPREAD`] more.
const LEAST_BACKOFF: f64 = 0.75;
/// Part of a backoff that chance adds at the most.
const BACKOFF_SPREAD: f64 = 0.5;
/// The wait that all heads need together is spread over this part of it and the whole of it more.
const LEAST_SPREAD_WAIT: f64 = 0.5;
/// Step of the random debts from backend to backend: the golden ratio spreads them evenly.
const DEBT_STEP: f64 = 0.618;

/// The polls of the endpoint list after failures.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPolling {
    backoff: Micros,
    next_poll_at: Micros,
}

impl Default for EndpointPolling {
    fn default() -> Self {
        EndpointPolling { backoff: INITIAL_BACKOFF, next_poll_at: 0 }
    }
}

impl EndpointPolling {
    /// Whether the list may be polled now.
    fn is_due(&self, now: Micros) -> bool {
        now >= self.next_poll_at
    }

    /// The list came: the next failure is the first again.
    fn on_update(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    /// A poll failed: sets the time of the next one, spread by `chance` from 0 to 1.
    ///
    /// Guards against a storm: the service handles polls in turn, also those that waited too long, so that
    /// polls which come back in step, or sooner than all can be answered, keep its queue too long for any of
    /// them.
    fn on_failure(&mut self, chance: f64, settings: &Settings, now: Micros) -> Action {
        let backoff = self.backoff as f64 * (LEAST_BACKOFF + BACKOFF_SPREAD * chance);
        let wait_of_all = WAIT_PER_HEAD as f64 * f64::from(settings.heads);
        let wait_of_all = wait_of_all.min(MAX_WAIT / (LEAST_SPREAD_WAIT + 1.0));
        let wait = backoff.max(wait_of_all * (LEAST_SPREAD_WAIT + chance));
        self.next_poll_at = now + wait.min(MAX_WAIT) as Micros;
        let max_backoff = (settings.rules.poll_interval / MAX_BACKOFF_DIVISOR).max(INITIAL_BACKOFF);
        self.backoff = (self.backoff * 2).min(max_backoff);
        Timer::Poll.set(self.next_poll_at)
    }
}

impl Controller {
    /// Sets the next poll after one that failed.
    pub(crate) fn on_poll_failure(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let chance = self.random.next_fraction();
        actions.push(self.polling.on_failure(chance, &self.settings, now));
    }

    /// Polls the list again, unless another failure has put that off.
    pub(crate) fn poll_if_due(&self, now: Micros, actions: &mut Vec<Action>) {
        if self.polling.is_due(now) {
            actions.push(Action::Watch);
        }
    }

    /// Takes in an update of the endpoint list, and selects other backends for what waits for one that takes
    /// no requests any more.
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

    /// Takes in what the list says of each backend. A head owes a random debt to a backend that is new to it
    /// or has restarted, and, when it has itself just started, to all of them: its predecessor may just have
    /// spent its part.
    fn update_backends(&mut self, now: Micros, scope: UpdateScope, endpoints: &[Endpoint]) {
        let objective = tightest_objective(&self.settings.classes);
        let largest_debt = largest_debt(&self.settings);
        let mut chance = self.random.next_fraction();
        for endpoint in endpoints {
            let (backend, has_restarted) = self.backends.update(endpoint, objective, now);
            if has_restarted || scope == UpdateScope::Cached || backend.slow_start.is_unused() {
                backend.slow_start.owe(chance.fract() * largest_debt, now);
                chance += DEBT_STEP;
            }
        }
    }
}

fn tightest_objective(classes: &[RequestClass]) -> Micros {
    classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND)
}

/// The most units that a head may owe a backend at first: its even part of what that bears, or a request.
fn largest_debt(settings: &Settings) -> f64 {
    let even_part = settings.rules.slow_start.safe_units / f64::from(settings.heads.max(1));
    even_part.max(settings.mean_units)
}
