//! An open request, from its admission to its final response, and its deadline by the latency objective.

use crate::timers::SWEEP_INTERVAL;
use crate::{BackendId, Idempotency, Micros, Request, RequestClass};

/// The first attempt of a request that may have run. It holds the shard and not the backend, because the
/// backend may have been removed and dropped since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    /// The shard of the backend that may have run it.
    pub(crate) shard: u32,
    pub(crate) sent_at: Micros,
}

/// A request without a final response: queued at a backend, in flight, or without a backend to queue at.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenRequest {
    /// The client's request.
    pub(crate) spec: Request,
    /// When the latency objective of its class expires.
    pub(crate) objective_deadline: Micros,
    /// One sweep interval before half of the time to the client's deadline is over.
    pub(crate) half_time_at: Micros,
    /// Number of attempts sent so far.
    pub(crate) attempts: u32,
    /// Number of attempts in flight.
    pub(crate) in_flight: u32,
    /// The first attempt that may have run.
    pub(crate) possibly_executed: Option<PossibleExecution>,
    /// The backend it is queued at; `None` while it is in flight or no backend takes it.
    pub(crate) queued_at: Option<BackendId>,
    /// Whether its units were charged to its volume's limit, which happens once for all attempts.
    pub(crate) quota_charged: bool,
    /// Whether its response has begun to arrive.
    pub(crate) is_streaming: bool,
}

impl OpenRequest {
    /// A request that is admitted at `now`.
    pub(crate) fn new(spec: Request, objective_deadline: Micros, now: Micros) -> OpenRequest {
        let time_left = spec.deadline.saturating_sub(now);
        // One sweep interval earlier, because a sweep may come up to that much late.
        let half_time_at = now + (time_left / 2).saturating_sub(SWEEP_INTERVAL);
        OpenRequest { spec, objective_deadline, half_time_at, ..OpenRequest::default() }
    }

    /// The shard whose backends may take it: the shard of its data, or the shard of the backend that may have
    /// run it and recognises its idempotency key. `None`: any backend.
    pub(crate) fn required_shard(&self, class: &RequestClass) -> Option<u32> {
        let is_deduplicated = class.idempotency == Idempotency::WithKey;
        let executed_in = self.possibly_executed.filter(|_| is_deduplicated).map(|execution| execution.shard);
        executed_in.or(self.spec.shard)
    }
}

/// The timeouts that clients set for their first attempts, learned for each class. A request that arrives
/// with less time left is taken for a retry by its client.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstAttemptTimeouts {
    /// The longest time to the deadline that a request of each class arrived with.
    by_class: Vec<Micros>,
}

impl FirstAttemptTimeouts {
    /// The state before the first request, for `classes` classes.
    pub(crate) fn new(classes: usize) -> FirstAttemptTimeouts {
        FirstAttemptTimeouts { by_class: vec![0; classes] }
    }

    /// When the latency objective of a request that arrives now expires. The objective counts from the
    /// client's first attempt; a retry by the client arrives with less time left than the first attempt had.
    pub(crate) fn objective_deadline(
        &mut self,
        request: &Request,
        class: &RequestClass,
        now: Micros,
    ) -> Micros {
        let time_left = request.deadline.saturating_sub(now);
        let first_attempt_timeout = &mut self.by_class[request.class];
        *first_attempt_timeout = time_left.max(*first_attempt_timeout).min(class.timeout);
        // A request with less time left than the objective comes from a client with a short timeout, not from
        // a client that has already waited. Its objective expires with its deadline.
        let time_spent = if time_left > class.latency_objective {
            first_attempt_timeout.saturating_sub(time_left)
        } else {
            class.latency_objective - time_left
        };
        (now + class.latency_objective).saturating_sub(time_spent)
    }
}
