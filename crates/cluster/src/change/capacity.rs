//! Limits on the memory for changes: those that wait to be committed, those in the log that are not committed,
//! and the state that they would lead to.
//!
//! Only the leader checks them, before a change becomes a log entry: all voters apply an entry alike, whatever
//! their own limits are.

use crate::change_error::CommitError;
use crate::member::Member;
use crate::pending_memory::{PendingBytes, Reservation};
use openraft::{EntryPayload, ServerState};
use sedgerun_replication::heap_size::HeapSize;
use sedgerun_replication::state::{Change, ChangeOutcome};
use std::sync::Arc;

/// What the leader does with a change.
pub(super) enum Admission {
    /// It is committed.
    Admitted(Reservation),
    /// It is refused, with this outcome. It is in no log.
    Refused(ChangeOutcome),
}

impl Member {
    /// Decides whether a change may become a log entry.
    ///
    /// # Errors
    /// The change cannot be committed now; a later attempt may succeed.
    pub(super) async fn admit(&self, change: &Change) -> Result<Admission, CommitError> {
        let (objects, growth) = self.state_machine.state_bytes(&change.command);
        if self.raft.metrics().borrow().state == ServerState::Leader {
            self.check_uncommitted_log()?;
            if let Some(refusal) = self.exceeds_state_limit(objects, growth)
                && !self.has_first_attempt(change).await?
            {
                return Ok(Admission::Refused(refusal));
            }
        }
        let bytes = PendingBytes { changes: change.heap_bytes(), growth };
        let reserved = self.pending.reserve(bytes, self.settings.memory.pending_bytes);
        reserved.map(Admission::Admitted)
    }

    fn check_uncommitted_log(&self) -> Result<(), CommitError> {
        let (bytes, limit) = (self.log.uncommitted_bytes(), self.settings.memory.uncommitted_bytes);
        if bytes > limit { Err(CommitError::UncommittedLog { bytes, limit }) } else { Ok(()) }
    }

    /// The refusal of a change that adds `growth` bytes to the state, if that takes it over its limit.
    fn exceeds_state_limit(&self, objects: usize, growth: usize) -> Option<ChangeOutcome> {
        let limit = self.settings.memory.state_bytes;
        let bytes = objects + growth + self.pending.growth();
        (growth > 0 && bytes > limit).then(|| {
            ChangeOutcome::Conflict(format!(
                "the change would take the fleet's tenants and bans to {bytes} bytes of memory, over the {limit} \
                 that limits.memory_mb allows"
            ))
        })
    }

    /// Whether a change was committed before, or may still be committed: then its retry is not refused.
    async fn has_first_attempt(&self, change: &Change) -> Result<bool, CommitError> {
        // Confirms that this head has applied what any leader had committed.
        self.linearizable_version().await.map_err(|_| CommitError::NoMajority)?;
        if self.state_machine.remembers(&change.key) {
            return Ok(true);
        }
        let uncommitted = self.log.entries_after(self.state_machine.applied_index()).await;
        let uncommitted = uncommitted.map_err(|error| CommitError::Log(Arc::new(error)))?;
        for entry in uncommitted {
            if let EntryPayload::Normal(batch) = entry.payload
                && batch.changes().map_err(CommitError::Encode)?.iter().any(|first| first.key == change.key)
            {
                return Ok(true);
            }
        }
        Ok(false)
    }
}
