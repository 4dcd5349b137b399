//! Responses that take long to transfer: what their first bytes and their progress mean for the backend and the
//! request.
//!
//! The first byte ends the time that an attempt counts as waiting: it gives the latency of the backend and frees the
//! place of the attempt among those that the concurrency limit allows. How long the transfer takes from there on depends
//! on the size of the response and says nothing of the load of the backend.

use crate::attempt::Attempt;
use crate::{Action, AttemptEnd, Controller, Micros, RequestId};

impl Controller {
    /// A part of the response to an attempt has arrived.
    pub(crate) fn on_attempt_progress(
        &mut self,
        id: RequestId,
        attempt: u8,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id, attempt) else { return };
        if std::mem::replace(&mut attempt.response_began, true) {
            let backend = attempt.backend;
            if let Some(backend) = self.backends.get_mut(backend) {
                backend.health.on_transfer_progress(now);
            }
            return;
        }
        let attempt = attempt.clone();
        self.release_slots(&attempt, AttemptEnd::Ok);
        if let Some(backend) = self.backends.get_mut(attempt.backend) {
            backend.on_response(&attempt, now.saturating_sub(attempt.sent_at), now);
        }
        self.dispatch_queued(attempt.backend, now, actions);
    }

    /// The response to an attempt is passed on while it comes in: the request is not retried any more. A request whose
    /// response has progressed has run, and the next request of its key may run.
    pub(crate) fn on_response_start(&mut self, id: RequestId, attempt: u8) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_streaming = true;
        if self.attempts.get_mut(id, attempt).is_some_and(|attempt| attempt.response_began) {
            self.key_order.remove(request.spec.key, id);
        }
    }

    /// Records at the backend how the transfer of a response ended, whose latency its first byte has given.
    pub(crate) fn record_transfer_end(&mut self, attempt: &Attempt, end: AttemptEnd, now: Micros) {
        let Some(backend) = self.backends.get_mut(attempt.backend) else { return };
        match end {
            AttemptEnd::Ok => backend.health.on_response(now),
            AttemptEnd::Error => backend.on_error(attempt, backend.latency.objective(), now),
            AttemptEnd::Reset | AttemptEnd::ConnectFailed | AttemptEnd::ConnectTimeout => {
                backend.on_reset(now);
            }
            AttemptEnd::Timeout => backend.health.on_timeout(),
            AttemptEnd::Rejected | AttemptEnd::Cancelled | AttemptEnd::CancelledUnsent => {}
        }
    }
}
