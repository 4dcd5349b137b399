//! Requests and attempts: what a frontend submits, what a backend reports, and what the dispatcher remembers of
//! either while it is open.

use crate::effect::FinalAnswer;
use sedgerun_policy::{AttemptEnd, BackendId, Micros, Request, RequestId};
use std::rc::Rc;

/// What a frontend asks for. The dispatcher gives it a [`RequestId`] of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// Index of the request class in the settings.
    pub class: usize,
    /// Index of the service plan in the settings.
    pub plan: usize,
    /// The item of data that the request is about; 0: none.
    pub key: u64,
    /// When the client gives up, in microseconds of the caller's clock.
    pub deadline: Micros,
    /// The volume that the request is charged to.
    pub volume: u64,
    /// The size, in units of quota.
    pub units: f64,
    /// The shard that holds the data; none: any.
    pub shard: Option<u32>,
    /// The number of heads through which the volume's requests come.
    pub volume_heads: f64,
}

impl RequestSpec {
    /// The request as the controller takes it, with the deadline by which its answer must have been decided.
    pub(crate) fn into_request(self, id: RequestId, deadline: Micros) -> Request {
        let RequestSpec { class, plan, key, volume, units, shard, volume_heads, .. } = self;
        Request { id, class, plan, key, deadline, volume, units, shard, volume_heads }
    }
}

/// How an attempt ended, as its backend connection saw it.
#[derive(Clone, Debug)]
pub struct AttemptResult<R> {
    /// How it ended.
    pub end: AttemptEnd,
    /// The response to pass on, where there is one.
    pub response: Option<R>,
    /// The volume's load at all heads, as a multiple of its plan's rate, where the backend reported it.
    pub volume_usage: Option<f64>,
    /// Units that the backend served the volume through other heads.
    pub units_elsewhere: f64,
}

impl<R> AttemptResult<R> {
    /// A result without a response and without a load report.
    pub fn bare(end: AttemptEnd) -> AttemptResult<R> {
        AttemptResult { end, response: None, volume_usage: None, units_elsewhere: 0.0 }
    }
}

/// A request without a final answer.
#[derive(Debug)]
pub(crate) struct OpenRequest<J> {
    pub job: Rc<J>,
    /// When the controller is to have decided, and the latest deadline of any attempt.
    pub decision_deadline: Micros,
    /// Attempts begun so far; also the number of the next one.
    pub attempts_begun: u8,
    /// The attempt that is in flight, one at most.
    pub attempt_in_flight: Option<u8>,
    /// Its client has cancelled it, and still waits for an answer.
    pub is_cancelled: bool,
}

impl<J> OpenRequest<J> {
    pub fn new(job: J, decision_deadline: Micros) -> Self {
        let job = Rc::new(job);
        OpenRequest {
            job,
            decision_deadline,
            attempts_begun: 0,
            attempt_in_flight: None,
            is_cancelled: false,
        }
    }

    /// The number of the next attempt, which is counted as begun.
    pub fn begin_attempt(&mut self) -> u8 {
        let attempt = self.attempts_begun;
        self.attempts_begun = self.attempts_begun.saturating_add(1);
        attempt
    }

    /// Whether a further attempt may leave: none is in flight, and the client still wants one.
    pub fn may_send(&self) -> bool {
        self.attempt_in_flight.is_none() && !self.is_cancelled
    }

    /// The final answer of a request that got no response: a rejection is safe to retry, so it is given only
    /// where no attempt was ever begun.
    pub fn answer_without_response<R>(&self) -> FinalAnswer<R> {
        if self.attempts_begun == 0 { FinalAnswer::Rejected(0) } else { FinalAnswer::Failed }
    }
}

/// An attempt whose end has not been counted.
#[derive(Debug)]
pub(crate) struct AttemptInFlight {
    pub backend: BackendId,
    pub sent_at: Micros,
}
