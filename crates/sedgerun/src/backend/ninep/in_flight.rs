//! The tags of a connection that are in use, and who waits for the reply to each.

use sedgerun_protocol_9p::{Message, NO_TAG};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A backend that has not answered a flush by then is given up, with its connection.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Who waits for the reply to a tag.
enum Waiter {
    /// The call that sent the message.
    Call(oneshot::Sender<Message>),
    /// Nobody any more; the tag is free once it, or its flush, is answered.
    Cancelled,
    /// A flush of another tag, or a clunk in the way of a flush of itself.
    Flush { flushed_tag: u16, sent_at: Instant },
}

/// The tags in use of one connection.
#[derive(Default)]
pub(super) struct InFlightTags {
    waiters: HashMap<u16, Waiter>,
    next_tag: u16,
}

impl InFlightTags {
    /// A tag that is not in use; `None` where all are. It stays free until something is sent with it.
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

    /// Notes a call, and gives what its reply comes through.
    pub(super) fn insert_call(&mut self, tag: u16) -> oneshot::Receiver<Message> {
        let (sender, reply) = oneshot::channel();
        self.waiters.insert(tag, Waiter::Call(sender));
        reply
    }

    /// Notes a flush that was sent now.
    pub(super) fn insert_flush(&mut self, tag: u16, flushed_tag: u16) {
        self.waiters.insert(tag, Waiter::Flush { flushed_tag, sent_at: Instant::now() });
    }

    /// Notes that nobody waits for a tag's reply any more.
    pub(super) fn cancel(&mut self, tag: u16) {
        self.waiters.insert(tag, Waiter::Cancelled);
    }

    /// Frees a tag whose message was never sent.
    pub(super) fn remove(&mut self, tag: u16) {
        self.waiters.remove(&tag);
    }

    /// Frees all tags: their calls end without a reply.
    pub(super) fn clear(&mut self) {
        self.waiters.clear();
    }

    /// Hands a reply to who waits for it.
    pub(super) fn deliver(&mut self, tag: u16, message: Message) {
        match self.waiters.remove(&tag) {
            Some(Waiter::Call(call)) => {
                let _ = call.send(message);
            }
            Some(Waiter::Flush { flushed_tag, .. }) => {
                self.waiters.remove(&flushed_tag);
            }
            // The flush that follows frees the tag; until then it stays in use.
            Some(Waiter::Cancelled) => self.cancel(tag),
            None => {}
        }
    }

    /// Whether a flush has been waiting for too long.
    pub(super) fn has_overdue_flush(&self) -> bool {
        self.waiters.values().any(
            |waiter| matches!(waiter, Waiter::Flush { sent_at, .. } if sent_at.elapsed() > FLUSH_TIMEOUT),
        )
    }
}
