//! Applies the dispatcher's effects: starts and cancels attempts, and sends final responses to clients.

use super::DispatchService;
use super::attempts::{AttemptKey, AttemptTask};
use crate::backend::{AttemptContext, AttemptProgress, BackendRequest, BackendResponse, BeginCheck};
use sedgerun_dispatch::{AttemptResult, Effect, FinalResponse};
use sedgerun_policy::{AttemptEnd, BackendId, Micros, RequestId};
use std::rc::Rc;

/// The times of an attempt.
struct AttemptTimes {
    /// When it times out.
    deadline: Micros,
    /// When the client must have its response, or the beginning of one that is passed on.
    respond_by: Micros,
    /// Before when it must begin, so that backends recognise it as a duplicate.
    begin_before: Option<Micros>,
}

impl DispatchService {
    /// Applies the dispatcher's effects in order. Effects that arise while one is applied are queued and
    /// applied by the outer call.
    pub(super) fn apply_effects(self: &Rc<Self>) {
        if self.is_applying_effects.replace(true) {
            return;
        }
        loop {
            let Some(effect) = self.dispatcher.borrow_mut().next_effect() else { break };
            match effect {
                Effect::Send { id, attempt, backend, deadline, respond_by, begin_before, payload } => {
                    let times = AttemptTimes { deadline, respond_by, begin_before };
                    self.start_attempt(AttemptKey { id, attempt }, backend, times, payload);
                }
                Effect::Cancel { id, attempt } => self.cancel_attempt(AttemptKey { id, attempt }),
                Effect::Respond { id, response } => self.send_response(id, response),
                Effect::Watch => self.watch_request.notify_one(),
            }
        }
        self.is_applying_effects.set(false);
        self.timer_wakeup.wake_if_earlier(self.dispatcher.borrow().next_timer());
    }

    fn start_attempt(
        self: &Rc<Self>,
        key: AttemptKey,
        backend: BackendId,
        times: AttemptTimes,
        payload: Rc<BackendRequest>,
    ) {
        let service = Rc::clone(self);
        let observer = Rc::clone(self);
        let progress = AttemptProgress::new(move |report| observer.attempt_reported(key, report));
        let AttemptTimes { deadline, respond_by, begin_before } = times;
        let clock = self.clock;
        let begin_check = BeginCheck::new(clock, respond_by, begin_before);
        let task_check = begin_check.clone();
        let context = AttemptContext { clock, deadline, respond_by, begin_check, progress: progress.clone() };
        let request = Rc::clone(&payload);
        let task = actix_rt::spawn(async move {
            let result = service.backends.attempt(backend, &context, &payload).await;
            let result =
                result.unwrap_or_else(|| AttemptResult::without_response(AttemptEnd::CancelledUnsent));
            service.attempt_ended(key.id, key.attempt, result);
        });
        let handle = task.abort_handle();
        self.attempts
            .insert(key, AttemptTask { request, backend, progress, begin_check: task_check, handle });
    }

    fn cancel_attempt(&self, key: AttemptKey) {
        if let Some(task) = self.attempts.remove(key) {
            task.abort();
            // The attempt was cancelled in flight, so it counts as written to the backend.
            self.count_relayed(key.id);
        }
    }

    fn send_response(&self, id: RequestId, response: FinalResponse<BackendResponse>) {
        let request = self.open_requests.borrow_mut().remove(&id);
        if let Some(request) = request {
            // Sending fails if the client has disconnected in the meantime.
            let _ = request.response_sender.send(response);
        }
        self.response_sent.notify_waiters();
    }
}
