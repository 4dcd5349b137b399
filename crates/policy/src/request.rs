//! An open request, from its admission to its final answer, and when its response is due.

use crate::timers::SWEEP_INTERVAL;
use crate::{BackendId, Idempotency, Micros, Request, RequestClass};

/// The first attempt of a request that may have run. It names the shard and not the backend, which may have
/// left the list and been forgotten since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    /// The shard of the backend that may have run it.
    pub(crate) shard: u32,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
}

/// A request that has no final answer yet: queued at a backend, in flight, or without a backend to wait for.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueuedRequest {
    /// What the client asks for.
    pub(crate) spec: Request,
    /// When its response is due by the latency objective of its class.
    pub(crate) due_at: Micros,
    /// When half of its client's time will be over.
    pub(crate) half_time_at: Micros,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// Attempts without an outcome.
    pub(crate) in_flight: u32,
    /// The first attempt that may have run.
    pub(crate) possibly_executed: Option<PossibleExecution>,
    /// The backend it is queued at; none while it is in flight and where no backend takes it.
    pub(crate) queued_at: Option<BackendId>,
    /// Its units were taken from the quota of its volume, once for all of its attempts.
    pub(crate) quota_charged: bool,
    /// Its response has begun to arrive.
    pub(crate) is_streaming: bool,
}

impl QueuedRequest {
    /// A request that is admitted at `now`, with its response due at `due_at`.
    pub(crate) fn new(spec: Request, due_at: Micros, now: Micros) -> QueuedRequest {
        let time_left = spec.deadline.saturating_sub(now);
        // A sweep earlier, so that it is found in time.
        let half_time_at = now + (time_left / 2).saturating_sub(SWEEP_INTERVAL);
        QueuedRequest { spec, due_at, half_time_at, ..QueuedRequest::default() }
    }

    /// The shard whose backends may take it: that of its data, or that of the backend which may have run it
    /// and knows its idempotency key. None: any backend.
    pub(crate) fn required_shard(&self, class: &RequestClass) -> Option<u32> {
        let is_deduplicated = class.idempotency == Idempotency::WithKey;
        let executed_in = self.possibly_executed.filter(|_| is_deduplicated).map(|execution| execution.shard);
        executed_in.or(self.spec.shard)
    }
}

/// The time that clients have for a first attempt, learned for each class, by which a client's own retry is
/// told from a first attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstAttemptTimes {
    /// The longest time to the deadline that a request of each class arrived with.
    by_class: Vec<Micros>,
}

impl FirstAttemptTimes {
    /// Nothing learned yet, for so many classes.
    pub(crate) fn new(classes: usize) -> FirstAttemptTimes {
        FirstAttemptTimes { by_class: vec![0; classes] }
    }

    /// When the response to a request that arrives now is due: its latency objective runs from the client's
    /// first attempt, and a client's retry arrives with less time left than that had.
    pub(crate) fn due_at(&mut self, request: &Request, class: &RequestClass, now: Micros) -> Micros {
        let time_left = request.deadline.saturating_sub(now);
        let first_attempt_time = &mut self.by_class[request.class];
        *first_attempt_time = time_left.max(*first_attempt_time).min(class.timeout);
        // One with less time than an objective comes from a client in a hurry, not from one that has waited.
        let time_spent = if time_left > class.latency_objective {
            first_attempt_time.saturating_sub(time_left)
        } else {
            class.latency_objective - time_left
        };
        (now + class.latency_objective).saturating_sub(time_spent)
    }
}
