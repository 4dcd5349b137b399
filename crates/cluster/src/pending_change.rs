//! A change on its way from the task that requests it to the one that writes batches.

use crate::change_error::CommitError;
use sedgerun_replication::state::{Change, ChangeOutcome};
use tokio::sync::oneshot;

/// The outcome of a change that this head commits as leader.
pub type CommitResult = Result<ChangeOutcome, CommitError>;

/// A change that waits to be written.
pub struct PendingChange {
    /// The change.
    pub change: Change,
    /// Receives its outcome.
    pub result: oneshot::Sender<CommitResult>,
}
