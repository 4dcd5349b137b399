//! A response that is passed on while it comes in, as the dispatcher sees it.

use super::attempt_context::{AttemptProgress, AttemptReport};
use sedgerun_policy::AttemptEnd;
use std::time::{Duration, Instant};

/// Time between reports of progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports the progress and the end of a transfer. Dropped before the end, it reports that the transfer was cancelled.
pub struct Transfer {
    progress: AttemptProgress,
    reported_at: Instant,
    has_ended: bool,
}

impl Transfer {
    /// The transfer of the response to an attempt.
    pub fn new(progress: AttemptProgress) -> Transfer {
        Transfer { progress, reported_at: Instant::now(), has_ended: false }
    }

    /// A part of the response has arrived.
    pub fn record_progress(&mut self) {
        if self.reported_at.elapsed() >= REPORT_INTERVAL {
            self.reported_at = Instant::now();
            self.progress.report(AttemptReport::TransferProgressed);
        }
    }

    /// The transfer has ended.
    pub fn end(mut self, end: AttemptEnd) {
        self.has_ended = true;
        self.progress.report(AttemptReport::TransferEnded(end));
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if !self.has_ended {
            self.progress.report(AttemptReport::TransferEnded(AttemptEnd::Cancelled));
        }
    }
}

impl std::fmt::Debug for Transfer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Transfer").field("has_ended", &self.has_ended).finish_non_exhaustive()
    }
}
