//! A change in the queue between the task that requests it and the task that writes batches.

use crate::change_error::CommitError;
use crate::pending_memory::Reservation;
use sedgerun_replication::state::{Change, ChangeOutcome};
use tokio::sync::oneshot;

/// The result of committing a change as leader.
pub type CommitResult = Result<ChangeOutcome, CommitError>;

/// A queued change.
pub struct PendingChange {
    /// The change.
    pub change: Change,
    /// Receives the result.
    pub result: oneshot::Sender<CommitResult>,
    /// The memory that is reserved for it.
    pub reservation: Reservation,
}
