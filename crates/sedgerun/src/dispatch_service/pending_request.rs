//! A client's side of an open request.

use super::DispatchService;
use crate::backend::BackendResponse;
use sedgerun_dispatch::FinalResponse;
use sedgerun_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The client of an open request, as the service knows it.
pub(super) struct ResponseReceiver {
    /// Index of the request's class, for the metrics.
    pub class: usize,
    /// Where the final answer goes.
    pub response: oneshot::Sender<FinalResponse<BackendResponse>>,
}

/// An open request. Dropped before its answer, it notifies the dispatcher that the client has disconnected.
pub struct PendingRequest {
    service: Rc<DispatchService>,
    id: RequestId,
    response: oneshot::Receiver<FinalResponse<BackendResponse>>,
    is_complete: bool,
}

impl PendingRequest {
    pub(super) fn new(
        service: Rc<DispatchService>,
        id: RequestId,
        response: oneshot::Receiver<FinalResponse<BackendResponse>>,
    ) -> PendingRequest {
        PendingRequest { service, id, response, is_complete: false }
    }

    /// The id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the final answer.
    pub async fn final_response(mut self) -> FinalResponse<BackendResponse> {
        let response = (&mut self.response).await;
        self.is_complete = true;
        response.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.is_complete {
            self.service.disconnect(self.id);
        }
    }
}

impl DispatchService {
    /// The client of a request has disconnected. Attempts of which nothing has been written are cancelled.
    fn disconnect(self: &Rc<Self>, id: RequestId) {
        self.clients.borrow_mut().remove(&id);
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.client_disconnected(now, id));
        self.cancel_unsent(|key, _| key.id == id);
    }
}
