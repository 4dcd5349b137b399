//! When the next poll is made behind one that failed, and what the log says of failures. Owns the history of
//! failures since the last list; decides nothing about backends.

use super::failure::PollFailure;
use super::timing::{DELIVERY_DEADLINE, ListSource, PollTiming, TIMEOUT_MARGIN};
use std::time::{Duration, Instant};

/// The least part of the time left for the next poll after which it is made, where the controller would wait for
/// longer: spread over the heads, as the controller's own intervals are.
const MIN_BACKOFF_FRACTION: f64 = 0.7;
/// What a new discovery has counts as delivered this long after the program was switched to it: within it, polls
/// do not back off.
const SWITCH_PERIOD: Duration = Duration::from_secs(4);
/// Interval between polls of a new discovery that does not answer yet.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest interval between the starts of two polls that bring lists, however soon each is answered: reading a list
/// holds the event loop up.
pub(super) const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest interval between polls of an agent that refuses, or that answers at once with nothing newer:
/// guards against a busy loop.
pub(super) const MIN_AGENT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How many lists in a row may be too large before polls come at growing intervals. Until then a fault that passes
/// costs no more time than that of any other poll.
const OVERSIZED_LISTS_WITHOUT_BACKOFF: u32 = 2;
/// The most doublings of the interval between polls that bring lists too large: bounds the exponent alone.
const MAX_DOUBLINGS: u32 = 16;
/// The longest interval between polls that bring lists too large.
const MAX_OVERSIZED_INTERVAL: Duration = Duration::from_secs(30);

/// The failures since the last usable list.
#[derive(Debug, Default)]
pub(super) struct FailureHistory {
    /// The last poll of the agent failed, and the log says so: it says it once, not at each poll.
    agent_failure_logged: bool,
    /// Lists in a row that were too large.
    oversized_lists: u32,
    /// When the program was switched to this discovery, until that one has sent a list.
    switched_at: Option<Instant>,
}

impl FailureHistory {
    /// The program polls another discovery from now on.
    pub(super) fn on_switch(&mut self) {
        self.switched_at = Some(Instant::now());
        self.oversized_lists = 0;
    }

    /// A usable list of so many entries came; logs the end of a failure.
    pub(super) fn on_list(&mut self, entries: usize) {
        self.switched_at = None;
        if std::mem::take(&mut self.agent_failure_logged) {
            tracing::info!("discovery: answers again");
        }
        if std::mem::take(&mut self.oversized_lists) > 0 {
            tracing::info!("discovery: the list can be held again: {entries} entries");
        }
    }

    /// A poll failed. Logs it: a failure of an agent, and a list that is too large, once; the others each time.
    pub(super) fn on_failure(&mut self, failure: &PollFailure, source: ListSource) {
        if let PollFailure::TooLarge(_) = failure {
            self.oversized_lists = self.oversized_lists.saturating_add(1);
            if self.oversized_lists == 1 {
                tracing::error!("discovery: {failure}; the list in force stands");
            }
        } else if !std::mem::replace(&mut self.agent_failure_logged, source == ListSource::Agent) {
            tracing::warn!("discovery: {failure}");
        }
    }

    /// Whether the program was switched to this discovery so recently that polls do not back off.
    pub(super) fn is_switching(&self) -> bool {
        self.switched_at.is_some_and(|at| at.elapsed() < SWITCH_PERIOD)
    }

    /// Whether so many lists in a row were too large, up to this failure, that polls come at growing intervals.
    pub(super) fn is_oversized_backoff(&self, failure: &PollFailure) -> bool {
        matches!(failure, PollFailure::TooLarge(_)) && self.oversized_lists > OVERSIZED_LISTS_WITHOUT_BACKOFF
    }

    /// The interval behind a list that is one too many of those too large; `interval` is that of any other failure.
    /// Guards against fetching a list that cannot be held over and over.
    pub(super) fn oversized_interval(&self, interval: Duration, timing: &mut PollTiming) -> Duration {
        let doublings = (self.oversized_lists - OVERSIZED_LISTS_WITHOUT_BACKOFF).min(MAX_DOUBLINGS);
        let interval = interval.max(MIN_AGENT_POLL_INTERVAL).saturating_mul(1 << doublings);
        if interval < MAX_OVERSIZED_INTERVAL {
            interval
        } else {
            timing.random_part(MIN_BACKOFF_FRACTION, MAX_OVERSIZED_INTERVAL)
        }
    }
}

/// The time left to the next poll of a new discovery, behind one that failed and started then. Guards against a
/// backoff that outlasts the time in which a new discovery counts as having delivered.
pub(super) fn switch_interval(poll_started: Instant) -> Duration {
    SWITCH_POLL_INTERVAL.saturating_sub(poll_started.elapsed())
}

/// The time left to the next poll of an agent, behind one that started then.
pub(super) fn agent_interval(poll_started: Instant) -> Duration {
    MIN_AGENT_POLL_INTERVAL.saturating_sub(poll_started.elapsed())
}

/// The longest time to the next poll of the service, behind one that failed and started then. Guards against a drain
/// that discovery has while this head backs off: whatever the controller says, the next poll is answered by the time
/// at which the drain counts as delivered. Discovery may have had it, and could be reached, from the moment in which
/// it last said nothing or no.
pub(super) fn service_interval(
    failure: &PollFailure,
    poll_started: Instant,
    timing: &mut PollTiming,
) -> Duration {
    let silence = match failure {
        PollFailure::TimedOut => poll_started.elapsed(),
        _ => Duration::ZERO,
    };
    timing.random_part(MIN_BACKOFF_FRACTION, DELIVERY_DEADLINE.saturating_sub(TIMEOUT_MARGIN + silence))
}
