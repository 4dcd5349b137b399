//! Requests and attempts: what a frontend submits, what a backend connection reports, and the dispatcher's
//! state of each while it is open.

use crate::effect::FinalResponse;
use sedgerun_policy::{AttemptEnd, BackendId, Micros, Request, RequestId};
use std::rc::Rc;

/// A request as a frontend submits it. The dispatcher assigns its [`RequestId`].
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// Index of the request class in the settings.
    pub class: usize,
    /// Index of the service plan in the settings.
    pub plan: usize,
    /// Identifies the object that the request operates on; 0: none.
    pub key: u64,
    /// When the client stops waiting for a response, in microseconds of the caller's clock.
    pub deadline: Micros,
    /// The volume that the request is charged to.
    pub volume: u64,
    /// The size, in units of quota.
    pub units: f64,
    /// The shard that holds the data; `None`: any shard.
    pub shard: Option<u32>,
    /// The number of heads that receive requests for the volume.
    pub volume_heads: f64,
}

impl RequestSpec {
    /// Converts to the controller's request type, with the deadline by which the controller must have
    /// decided.
    pub(crate) fn into_request(self, id: RequestId, deadline: Micros) -> Request {
        let RequestSpec { class, plan, key, volume, units, shard, volume_heads, .. } = self;
        Request { id, class, plan, key, deadline, volume, units, shard, volume_heads }
    }
}

/// The result of an attempt, as the connection to the backend reports it.
#[derive(Clone, Debug)]
pub struct AttemptResult<R> {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The response to pass on, if there is one.
    pub response: Option<R>,
    /// The volume's load at all heads, as a multiple of its plan's rate; `None` if the backend did not report
    /// it.
    pub volume_usage: Option<f64>,
    /// Units that the backend has served this volume for requests through other heads.
    pub units_elsewhere: f64,
    /// The response is still coming in, and is passed on to the client meanwhile. The attempt ends with
    /// [`Dispatcher::transfer_ended`](crate::Dispatcher::transfer_ended).
    pub transfer_continues: bool,
}

impl<R> AttemptResult<R> {
    /// A result without a response and without a load report.
    pub fn without_response(end: AttemptEnd) -> AttemptResult<R> {
        AttemptResult {
            end,
            response: None,
            volume_usage: None,
            units_elsewhere: 0.0,
            transfer_continues: false,
        }
    }
}

/// How far an attempt has got, as the connection to the backend reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptStage {
    /// Nothing has been passed to a connection.
    Connecting,
    /// The request is being written; its last byte is not. The backend does not run it before that.
    Sending,
    /// The request is written. It is so large that its backend may still be reading it from the system's buffers.
    BackendReading,
    /// The request is written, and nothing of the response has arrived.
    AwaitingResponse,
    /// The response has begun to arrive.
    ReceivingResponse,
}

/// A request without a final response.
#[derive(Debug)]
pub(crate) struct OpenRequest<P> {
    pub payload: Rc<P>,
    /// When the timer of its final response expires.
    pub timer_expiry: Micros,
    /// When the controller must have decided; no attempt's timeout is later.
    pub decision_deadline: Micros,
    /// The number of attempts started so far.
    pub attempts_started: u8,
    /// The attempt in flight; there is at most one.
    pub attempt_in_flight: Option<u8>,
    /// The client has cancelled the request and still expects a final response.
    pub is_cancelled: bool,
    /// An attempt may have run it.
    pub may_have_run: bool,
}

impl<P> OpenRequest<P> {
    pub fn new(payload: P, decision_deadline: Micros, timer_expiry: Micros) -> Self {
        let payload = Rc::new(payload);
        OpenRequest {
            payload,
            timer_expiry,
            decision_deadline,
            attempts_started: 0,
            attempt_in_flight: None,
            is_cancelled: false,
            may_have_run: false,
        }
    }

    /// Returns the number of the next attempt and counts that attempt as started.
    pub fn next_attempt_number(&mut self) -> u8 {
        let attempt = self.attempts_started;
        self.attempts_started = self.attempts_started.saturating_add(1);
        attempt
    }

    /// Whether another attempt may be sent: none is in flight, and the client has not cancelled the request.
    pub fn may_send(&self) -> bool {
        self.attempt_in_flight.is_none() && !self.is_cancelled
    }

    /// The final response for a request that no backend has served. A rejection tells the client that a retry
    /// is safe, so it is given only if no attempt can have run.
    pub fn unserved_response<R>(&self) -> FinalResponse<R> {
        if self.may_have_run { FinalResponse::Failed } else { FinalResponse::Rejected(0) }
    }
}

/// An attempt whose end has not been recorded yet.
#[derive(Debug)]
pub(crate) struct AttemptInFlight {
    pub backend: BackendId,
    pub sent_at: Micros,
    pub stage: AttemptStage,
    /// When the stage began.
    pub stage_began_at: Micros,
    /// When its timer expires; `None` while a transfer makes progress, which only the request's own time ends.
    pub timeout_at: Option<Micros>,
    /// How long the controller lets the attempt take.
    pub allowed_time: Micros,
    /// Time in which the request or a response was being transferred, in the stages before this one.
    pub transfer_time: Micros,
    /// The response is passed on to the client: nothing but the transfer's own end ends the attempt.
    pub passed_on: Option<LoadReport>,
}

/// What a response said of the load, kept until the end of its transfer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    pub volume_usage: Option<f64>,
    pub units_elsewhere: f64,
}

impl AttemptInFlight {
    /// Records that a stage has begun.
    pub fn enter_stage(&mut self, stage: AttemptStage, now: Micros) {
        if matches!(self.stage, AttemptStage::Sending | AttemptStage::ReceivingResponse) {
            self.transfer_time += now.saturating_sub(self.stage_began_at);
        }
        self.stage = stage;
        self.stage_began_at = now;
    }

    /// Whether a part of a response has arrived.
    pub fn is_receiving(&self) -> bool {
        self.stage == AttemptStage::ReceivingResponse
    }

    /// When a response must have begun that the attempt waits for. The time of transfers does not count.
    pub fn response_due_at(&self) -> Micros {
        self.sent_at + self.allowed_time + self.transfer_time
    }
}
