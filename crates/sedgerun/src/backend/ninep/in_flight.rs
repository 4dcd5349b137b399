//! The tags in use on a connection, each with the receiver of its response.

use crate::backend::{AttemptProgress, CalledOff};
use sedgerun_protocol_9p::{Message, NO_TAG};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time for a backend to respond to a `Tflush`. After it the connection is unusable and is replaced.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A backend sent a response that no message in flight asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a response with tag {tag}, which is not in use")]
pub(super) struct UnexpectedResponse {
    tag: u16,
}

/// The receiver of the response with a tag.
enum Waiter {
    /// The caller that sent the message, and the progress to update when a part of the response arrives.
    Call { response: oneshot::Sender<Result<Message, CalledOff>>, progress: Option<AttemptProgress> },
    /// The caller has been dropped. The tag stays in use until the response to its `Tflush`.
    Cancelled,
    /// A `Tflush` of another tag; or a `Tclunk`, which is recorded as a flush of its own tag.
    Flush { flushed_tag: u16, sent_at: Instant },
}

/// The tags in use on one connection.
#[derive(Default)]
pub(super) struct InFlightTags {
    waiters: HashMap<u16, Waiter>,
    next_tag: u16,
}

impl InFlightTags {
    /// A tag that is not in use; `None` if all are. It stays free until it is inserted here.
    pub(super) fn next_free(&mut self) -> Option<u16> {
        for _ in 0..u16::MAX {
            let tag = self.next_tag;
            self.next_tag = if tag + 1 == NO_TAG { 0 } else { tag + 1 };
            if !self.waiters.contains_key(&tag) {
                return Some(tag);
            }
        }
        None
    }

    /// Records a call and returns the receiver of its response.
    pub(super) fn insert_call(
        &mut self,
        tag: u16,
        progress: Option<AttemptProgress>,
    ) -> oneshot::Receiver<Result<Message, CalledOff>> {
        let (response, receiver) = oneshot::channel();
        self.waiters.insert(tag, Waiter::Call { response, progress });
        receiver
    }

    /// The progress of the attempt whose message has this tag.
    pub(super) fn progress_of(&self, tag: u16) -> Option<AttemptProgress> {
        match self.waiters.get(&tag) {
            Some(Waiter::Call { progress, .. }) => progress.clone(),
            _ => None,
        }
    }

    /// Records a `Tflush` that is sent now.
    pub(super) fn insert_flush(&mut self, tag: u16, flushed_tag: u16) {
        self.waiters.insert(tag, Waiter::Flush { flushed_tag, sent_at: Instant::now() });
    }

    /// Marks a tag's caller as dropped.
    pub(super) fn cancel(&mut self, tag: u16) {
        self.waiters.insert(tag, Waiter::Cancelled);
    }

    /// Fails the call with a tag, whose message was not sent, and frees the tag. The tag of a caller that has been dropped
    /// stays in use until the response to its `Tflush`.
    pub(super) fn call_off(&mut self, tag: u16, called_off: CalledOff) {
        if let Some(Waiter::Call { .. }) = self.waiters.get(&tag)
            && let Some(Waiter::Call { response, .. }) = self.waiters.remove(&tag)
        {
            let _ = response.send(Err(called_off));
        }
    }

    /// Whether no other tag is in use.
    pub(super) fn has_only(&self, tag: u16) -> bool {
        self.waiters.keys().all(|used| *used == tag)
    }

    /// Frees a tag whose message was not sent.
    pub(super) fn remove(&mut self, tag: u16) {
        self.waiters.remove(&tag);
    }

    /// Frees all tags. Pending calls end without a response.
    pub(super) fn clear(&mut self) {
        self.waiters.clear();
    }

    /// Delivers a response to the receiver of its tag.
    ///
    /// # Errors
    /// The tag is not in use.
    pub(super) fn deliver(&mut self, tag: u16, message: Message) -> Result<(), UnexpectedResponse> {
        match self.waiters.remove(&tag) {
            Some(Waiter::Call { response, .. }) => {
                // Fails where the caller has just been dropped.
                let _ = response.send(Ok(message));
            }
            Some(Waiter::Flush { flushed_tag, .. }) => {
                self.waiters.remove(&flushed_tag);
            }
            // The tag stays in use until the response to its Tflush, which follows.
            Some(Waiter::Cancelled) => self.cancel(tag),
            None => return Err(UnexpectedResponse { tag }),
        }
        Ok(())
    }

    /// Whether a `Tflush` has had no response for longer than [`FLUSH_TIMEOUT`].
    pub(super) fn has_overdue_flush(&self) -> bool {
        self.waiters.values().any(
            |waiter| matches!(waiter, Waiter::Flush { sent_at, .. } if sent_at.elapsed() > FLUSH_TIMEOUT),
        )
    }
}
