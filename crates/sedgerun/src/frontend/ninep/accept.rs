//! Accepts 9P clients, within the limits on clients and descriptors, and serves each in a task of its own.

use super::close_reason::CloseReason;
use super::session::Session;
use super::{NinePFrontend, ServedSession};
use crate::descriptors::DescriptorPermit;
use sedgerun_net::{Listener, Stream};
use std::rc::Rc;
use std::time::Duration;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Holds an open session's descriptor; removes and resets the session when its task ends.
struct OpenSession {
    frontend: Rc<NinePFrontend>,
    number: u64,
    _descriptor: DescriptorPermit,
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        let removed = self.frontend.sessions.borrow_mut().remove(&self.number);
        if let Some(served) = removed {
            self.frontend.reset(&served.session);
        }
    }
}

impl NinePFrontend {
    /// Accepts clients for as long as the future is polled. `shared` marks their sessions as being at an
    /// address that another head may take over.
    pub async fn serve(self: Rc<Self>, listener: Listener, shared: bool) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("accepting a 9P client failed: {error}; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            if self.has_capacity_for_client() {
                self.serve_session(stream, shared);
            } else {
                tracing::info!(
                    "a new 9P client is closed unread: the limit of clients or descriptors is reached"
                );
            }
        }
    }

    /// Whether one more client can be served, with the descriptors for backends left free.
    fn has_capacity_for_client(&self) -> bool {
        let descriptors_left = self.dispatch.backends().descriptors().available();
        descriptors_left > self.config.resource_limits.descriptors_for_backends
            && self.count() < self.config.operator.ninep_clients
    }

    /// Serves a client in a task of its own, which ends with the connection.
    fn serve_session(self: &Rc<Self>, stream: Stream, shared: bool) {
        let number = self.next_session.replace(self.next_session.get() + 1);
        let (session, mut replies) = Session::new(number, shared);
        let session = Rc::new(session);
        let descriptor = self.dispatch.backends().descriptors().acquire();
        let open_session = OpenSession { frontend: Rc::clone(self), number, _descriptor: descriptor };
        let served = Rc::clone(&session);
        let task = actix_rt::spawn(async move {
            let frontend = Rc::clone(&open_session.frontend);
            let reason = tokio::select! {
                () = served.write_replies(&mut replies, &stream) => CloseReason::ReplyNotTaken,
                reason = frontend.read_messages(&served, &stream) => reason,
            };
            reason.log(number);
        });
        self.sessions.borrow_mut().insert(number, ServedSession { session, task: task.abort_handle() });
    }
}
