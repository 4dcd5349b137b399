//! The operations of a session in flight, by tag, and `Tflush`, which cancels one.

use super::NinePFrontend;
use sedgerun_policy::RequestId;
use sedgerun_protocol_9p::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;

/// The state of an operation that its task and `Tflush` share.
pub(super) struct OperationState {
    /// Its place in the order in which the client's messages were received.
    sequence: u64,
    /// The operation's request in the dispatcher; `None` while no request is submitted.
    pub(super) request: Cell<Option<RequestId>>,
    /// The client has cancelled the operation.
    is_cancelled: Cell<bool>,
}

impl OperationState {
    /// Whether it was received before another operation.
    fn precedes(&self, other: &OperationState) -> bool {
        self.sequence < other.sequence
    }

    /// Whether the client has cancelled the operation.
    pub(super) fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }
}

/// The operations of a session in flight by tag, each with its task.
#[derive(Default)]
pub(super) struct OperationTable {
    by_tag: RefCell<HashMap<u16, (Rc<OperationState>, AbortHandle)>>,
    next_sequence: Cell<u64>,
    /// Notified when an operation ends.
    ended: Notify,
}

impl OperationTable {
    /// The state of an operation that was just received.
    pub(super) fn new_operation(&self) -> Rc<OperationState> {
        let sequence = self.next_sequence.replace(self.next_sequence.get() + 1);
        Rc::new(OperationState { sequence, request: Cell::default(), is_cancelled: Cell::default() })
    }

    /// Whether no operation is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.by_tag.borrow().is_empty()
    }

    /// Whether an operation with this tag is in flight.
    pub(super) fn contains(&self, tag: u16) -> bool {
        self.by_tag.borrow().contains_key(&tag)
    }

    /// The operation with this tag.
    fn get(&self, tag: u16) -> Option<Rc<OperationState>> {
        self.by_tag.borrow().get(&tag).map(|(operation, _)| Rc::clone(operation))
    }

    /// Adds an operation and its task.
    pub(super) fn insert(&self, tag: u16, operation: Rc<OperationState>, task: AbortHandle) {
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

    /// Waits until no operation with this tag is in flight that precedes another. One that comes later, or is the other
    /// itself, may wait for the other in turn.
    async fn until_ended(&self, tag: u16, other: &OperationState) {
        while self.get(tag).is_some_and(|operation| operation.precedes(other)) {
            self.ended.notified().await;
        }
    }
}

/// Holds an operation's permit; removes the operation from the table when dropped.
pub(super) struct TagGuard {
    operations: Rc<OperationTable>,
    tag: u16,
    _permit: OwnedSemaphorePermit,
}

impl TagGuard {
    /// A guard for the tag of an operation in `operations`.
    pub(super) fn new(operations: Rc<OperationTable>, tag: u16, permit: OwnedSemaphorePermit) -> TagGuard {
        TagGuard { operations, tag, _permit: permit }
    }
}

impl Drop for TagGuard {
    fn drop(&mut self) {
        self.operations.by_tag.borrow_mut().remove(&self.tag);
        self.operations.ended.notify_waiters();
    }
}

impl NinePFrontend {
    /// Cancels the operation with a tag, and replies once it has ended.
    ///
    /// No attempt is started after the cancellation. If an attempt is already in flight, a backend may have
    /// executed it; the operation's reply is sent before the reply to the flush.
    pub(super) async fn flush(
        &self,
        flush: &OperationState,
        operations: &OperationTable,
        old_tag: u16,
    ) -> Message {
        if let Some(operation) = operations.get(old_tag).filter(|operation| operation.precedes(flush)) {
            operation.is_cancelled.set(true);
            if let Some(request) = operation.request.get() {
                self.dispatch.cancel(request);
            }
        }
        operations.until_ended(old_tag, flush).await;
        Message::Rflush
    }
}
