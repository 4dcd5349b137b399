//! The graceful shutdown of a head, from SIGTERM to the last answer.

use super::{Head, Phase};
use sedgerun_policy::{Micros, RequestClass};
use std::time::{Duration, Instant};

/// How long clients may still connect after SIGTERM, and a little more.
const ARRIVAL_TIME: Duration = Duration::from_millis(600);
/// What comes between SIGTERM and SIGKILL at the least, past the longest deadline of a class.
const KILL_TIME: Duration = Duration::from_millis(700);
/// The most of the longest deadline that counts towards SIGKILL.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time before SIGKILL by which all is answered: a few turns of the program where it gets little of its core.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// How long a connection must have been idle before it is closed on the way out.
const MIN_IDLE: Duration = Duration::from_millis(60);
/// Time between sweeps of the connections while the head drains.
const DRAIN_SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time between closings of idle connections while the head closes.
const CLOSE_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// How long a drain lasts, counted from SIGTERM.
struct DrainTimes {
    /// When all requests are answered.
    answered_by: Duration,
    /// When the connections that clients have begin to close.
    stay: Duration,
}

impl DrainTimes {
    fn new(classes: &[RequestClass]) -> DrainTimes {
        let longest_deadline = classes.iter().map(|class| class.timeout).max().unwrap_or(0);
        let shortest_objective = classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        let kill_deadline = Duration::from_micros(longest_deadline).min(MAX_KILL_DEADLINE);
        let answered_by = kill_deadline + KILL_TIME - KILL_MARGIN;
        let stay = answered_by.saturating_sub(Duration::from_micros(shortest_objective)).max(ARRIVAL_TIME);
        DrainTimes { answered_by, stay }
    }
}

impl Head {
    /// The next start comes no sooner for an early end, and clients that lose their connection find no head in
    /// the meantime. So those that they have stay for as long as what comes on them can be answered.
    pub(super) async fn drain(&mut self) -> Phase {
        if let Some(vrrp) = &self.vrrp {
            vrrp.stop();
        }
        if self.listener_is_shared {
            // Another process accepts on the same socket: new clients go there, and these are sent on.
            self.stop_accepting();
            self.http_frontend.is_closing.set(true);
        }
        let times = DrainTimes::new(&self.config.settings.classes);
        let answered_by = self.dispatch.clock().now() + times.answered_by.as_micros() as Micros;
        self.dispatch.set_shutdown_deadline(answered_by);
        let begun = Instant::now();
        while begun.elapsed() < ARRIVAL_TIME || (begun.elapsed() < times.stay && self.has_clients()) {
            self.http_frontend.connections.sweep(self.config.resource_limits.idle_client_threshold);
            tokio::time::sleep(DRAIN_SWEEP_INTERVAL).await;
        }
        Phase::Closing
    }

    /// Closes connections as they become idle, until none is left and all is answered.
    pub(super) async fn close(&mut self) -> Phase {
        self.http_frontend.is_closing.set(true);
        self.stop_accepting();
        while self.has_clients() {
            self.http_frontend.connections.close_idle(usize::MAX, MIN_IDLE);
            self.ninep_frontend.close_idle(true);
            tokio::time::sleep(CLOSE_SWEEP_INTERVAL).await;
        }
        Phase::Ended
    }

    fn stop_accepting(&mut self) {
        self.accept_tasks.drain(..).for_each(|task| task.abort());
    }

    /// Whether any client is connected, or any request is without an answer.
    fn has_clients(&self) -> bool {
        let connections = self.http_frontend.connections.count() + self.ninep_frontend.count();
        connections + self.dispatch.open_requests() > 0
    }
}
