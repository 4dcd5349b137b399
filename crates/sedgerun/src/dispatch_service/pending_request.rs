//! A client's side of an open request.

use super::DispatchService;
use crate::backend::BackendResponse;
use sedgerun_dispatch::FinalResponse;
use sedgerun_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The client of an open request, as the service knows it.
pub(super) struct WaitingClient {
    /// Index of the request's class, for the metrics.
    pub class: usize,
    /// Where the final answer goes.
    pub answer: oneshot::Sender<FinalResponse<BackendResponse>>,
}

/// An open request. Dropped before its answer, it notifies the dispatcher that the client has disconnected.
pub struct PendingRequest {
    service: Rc<DispatchService>,
    id: RequestId,
    answer: oneshot::Receiver<FinalResponse<BackendResponse>>,
    is_answered: bool,
}

impl PendingRequest {
    pub(super) fn new(
        service: Rc<DispatchService>,
        id: RequestId,
        answer: oneshot::Receiver<FinalResponse<BackendResponse>>,
    ) -> PendingRequest {
        PendingRequest { service, id, answer, is_answered: false }
    }

    /// The id of the request.
    pub fn request(&self) -> RequestId {
        self.id
    }

    /// Waits for the final answer.
    pub async fn answer(mut self) -> FinalResponse<BackendResponse> {
        let answer = (&mut self.answer).await;
        self.is_answered = true;
        answer.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.is_answered {
            self.service.disconnect(self.id);
        }
    }
}

impl DispatchService {
    /// The client of a request has disconnected. Attempts of which nothing has been written are cancelled.
    fn disconnect(self: &Rc<Self>, id: RequestId) {
        self.waiting.borrow_mut().remove(&id);
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.client_disconnected(now, id));
        self.cancel_unsent(|key, _| key.id == id);
    }
}
