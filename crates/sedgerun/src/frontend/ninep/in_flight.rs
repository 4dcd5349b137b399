//! The operations of a session in flight, by tag, and `Tflush`, which cancels one.

use super::NinePFrontend;
use super::session::Session;
use sedgerun_policy::RequestId;
use sedgerun_protocol_9p::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;

/// An operation in flight.
pub(super) struct Operation {
    pub(super) session: Rc<Session>,
    /// The operation's request in the dispatcher; `None` while no request is submitted.
    pub(super) request: Cell<Option<RequestId>>,
    /// The client has cancelled it.
    is_cancelled: Cell<bool>,
}

impl Operation {
    /// Creates an operation of a session, without a request.
    pub(super) fn new(session: Rc<Session>) -> Operation {
        Operation { session, request: Cell::new(None), is_cancelled: Cell::new(false) }
    }

    /// Whether the client has cancelled it.
    pub(super) fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }
}

/// The operations of a session in flight by tag, each with its task.
#[derive(Default)]
pub(super) struct OperationTable {
    by_tag: RefCell<HashMap<u16, (Rc<Operation>, AbortHandle)>>,
    /// Notified when an operation ends.
    ended: Notify,
}

impl OperationTable {
    /// Whether no operation is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.by_tag.borrow().is_empty()
    }

    /// Whether an operation with this tag is in flight.
    pub(super) fn contains(&self, tag: u16) -> bool {
        self.by_tag.borrow().contains_key(&tag)
    }

    /// The operation with this tag.
    fn get(&self, tag: u16) -> Option<Rc<Operation>> {
        self.by_tag.borrow().get(&tag).map(|(operation, _)| Rc::clone(operation))
    }

    /// Adds an operation and its task.
    pub(super) fn insert(&self, tag: u16, operation: Rc<Operation>, task: AbortHandle) {
        self.by_tag.borrow_mut().insert(tag, (operation, task));
    }

    /// Aborts all tasks; an operation is removed from the table when its task ends.
    pub(super) fn abort_all(&self) {
        let tasks: Vec<AbortHandle> = self.by_tag.borrow().values().map(|(_, task)| task.clone()).collect();
        tasks.iter().for_each(AbortHandle::abort);
    }

    /// Waits until no operation is in flight.
    pub(super) async fn until_empty(&self) {
        while !self.is_empty() {
            self.ended.notified().await;
        }
    }

    /// Waits until fewer than `max` operations are in flight.
    pub(super) async fn until_fewer_than(&self, max: usize) {
        while self.by_tag.borrow().len() >= max {
            self.ended.notified().await;
        }
    }

    /// Waits until no operation with this tag is in flight.
    async fn until_free(&self, tag: u16) {
        while self.contains(tag) {
            self.ended.notified().await;
        }
    }
}

/// Holds an operation's permit; removes the operation from the table when dropped.
pub(super) struct TagGuard {
    session: Rc<Session>,
    tag: u16,
    _permit: OwnedSemaphorePermit,
}

impl TagGuard {
    /// A guard for an operation's tag in a session.
    pub(super) fn new(session: Rc<Session>, tag: u16, permit: OwnedSemaphorePermit) -> TagGuard {
        TagGuard { session, tag, _permit: permit }
    }
}

impl Drop for TagGuard {
    fn drop(&mut self) {
        let operations = &self.session.operations;
        operations.by_tag.borrow_mut().remove(&self.tag);
        operations.ended.notify_waiters();
    }
}

impl NinePFrontend {
    /// Cancels the operation with a tag, and replies once it has ended.
    ///
    /// No attempt is started after the cancellation. If an attempt is already in flight, a backend may have
    /// executed it; the operation's reply is sent before the reply to the flush.
    pub(super) async fn flush(&self, session: &Session, old_tag: u16) -> Message {
        if let Some(operation) = session.operations.get(old_tag) {
            operation.is_cancelled.set(true);
            if let Some(request) = operation.request.get() {
                self.dispatch.cancel(request);
            }
        }
        session.operations.until_free(old_tag).await;
        Message::Rflush
    }
}
