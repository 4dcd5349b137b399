//! Detects stalls of the event loop: a task that blocks it delays all other tasks, and no other log line shows that.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time between looks. A stall shorter than this may fall between two of them.
const INTERVAL: Duration = Duration::from_millis(100);
/// The delay of a task from which on it counts as a stall.
const STALL_TIME: Duration = Duration::from_millis(50);

/// The stalls of the event loop since the start.
#[derive(Debug, Default)]
pub struct EventLoopMonitor {
    stalls: Cell<u64>,
    longest: Cell<Duration>,
}

impl EventLoopMonitor {
    /// Looks for stalls for as long as the future is polled.
    pub async fn run(&self) {
        loop {
            let due_at = Instant::now() + INTERVAL;
            tokio::time::sleep_until(due_at.into()).await;
            self.record_delay(due_at.elapsed());
        }
    }

    fn record_delay(&self, delay: Duration) {
        if delay < STALL_TIME {
            return;
        }
        self.stalls.set(self.stalls.get() + 1);
        self.longest.set(self.longest.get().max(delay));
        tracing::warn!("the event loop stood still for {} ms", delay.as_millis());
    }

    /// The number of stalls, and the longest in milliseconds, under their names in the metrics.
    pub fn as_metrics(&self) -> [(&'static str, u64); 2] {
        let longest_ms = self.longest.get().as_millis() as u64;
        [("event_loop_stalls", self.stalls.get()), ("event_loop_longest_stall_ms", longest_ms)]
    }
}
