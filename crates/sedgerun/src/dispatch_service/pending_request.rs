//! A client's side of an open request.

use super::DispatchService;
use super::attempts::CallOffReason;
use crate::backend::BackendResponse;
use sedgerun_dispatch::FinalResponse;
use sedgerun_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The service's side of an open request.
pub(super) struct OpenRequest {
    /// Index of the request's class, for the metrics.
    pub class: usize,
    /// Sends the final response to the [`PendingRequest`].
    pub response_sender: oneshot::Sender<FinalResponse<BackendResponse>>,
}

/// An open request. Dropping it before the final response notifies the dispatcher that the client has
/// disconnected.
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

    /// Waits for the final response.
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
    /// Notifies the dispatcher that the client of a request has disconnected. Attempts that have not begun are called
    /// off.
    fn disconnect(self: &Rc<Self>, id: RequestId) {
        self.open_requests.borrow_mut().remove(&id);
        let now = self.clock.now();
        self.with_dispatcher(|dispatcher| dispatcher.client_disconnected(now, id));
        self.call_off_attempts(CallOffReason::Disconnected, |key, _| key.id == id);
    }
}
