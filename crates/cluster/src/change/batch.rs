//! Batching of changes on the leader: changes that are queued at the same time become one log entry, so that
//! each voter syncs them together.

use super::CHANGE_TIMEOUT;
use super::capacity::Admission;
use crate::change_error::CommitError;
use crate::disk::failpoint;
use crate::member::Member;
use crate::pending_change::{CommitResult, PendingChange};
use crate::pending_memory::Reservation;
use crate::types::{PeerResponse, RaftTypes, VoterAddress};
use openraft::error::{ClientWriteError, RaftError};
use openraft::raft::ClientWriteResponse;
use sedgerun_replication::change_batch::ChangeBatch;
use sedgerun_replication::state::Change;
use sedgerun_replication::store::StoreId;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::error::Elapsed;

/// Capacity of the queue of changes; senders wait while it is full.
pub const MAX_WAITING_CHANGES: usize = 1024;
/// Maximum number of changes in one log entry.
const MAX_BATCH: usize = 256;
/// Memory of the changes in one log entry, in bytes, unless its first change is larger.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Maximum number of uncommitted log entries with changes.
const MAX_ENTRIES_IN_FLIGHT: usize = 2;

type ClientWriteResult =
    Result<ClientWriteResponse<RaftTypes>, RaftError<StoreId, ClientWriteError<StoreId, VoterAddress>>>;

impl Member {
    /// Commits a change on this head as leader, in a batch with other queued changes, or refuses it.
    pub(super) async fn commit(&self, change: Change) -> CommitResult {
        let reservation = match self.admit(&change).await? {
            Admission::Admitted(reservation) => reservation,
            Admission::Refused(outcome) => return Ok(outcome),
        };
        let (result, committed) = oneshot::channel();
        self.changes
            .send(PendingChange { change, result, reservation })
            .await
            .map_err(|_| CommitError::Ended)?;
        let committed = committed.await.map_err(|_| CommitError::Ended)?;
        failpoint("before the response to a client");
        committed
    }

    /// Commits a change for another head, as leader, within `left_ms` milliseconds.
    pub async fn change_for_peer(&self, change: Change, left_ms: u64) -> PeerResponse {
        let left = Duration::from_millis(left_ms).min(CHANGE_TIMEOUT);
        let committed = tokio::time::timeout(left, self.commit(change)).await;
        match committed.unwrap_or(Err(CommitError::NoMajority)) {
            Ok(outcome) => PeerResponse::Changed(outcome),
            Err(CommitError::NotLeader(leader)) => PeerResponse::NotLeader(leader),
            Err(error) => PeerResponse::Rejected(error.to_string()),
        }
    }

    /// Writes queued changes in batches until the queue is closed. The next batch is collected while earlier
    /// ones are not committed yet.
    pub async fn write_batches(self: Arc<Self>, mut waiting: mpsc::Receiver<PendingChange>) {
        let in_flight = Arc::new(Semaphore::new(MAX_ENTRIES_IN_FLIGHT));
        while let Some(first) = waiting.recv().await {
            let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
            let Batch { changes, results, reservations } = Batch::collect(first, &mut waiting);
            let batch = match ChangeBatch::new(&changes) {
                Ok(batch) => batch,
                Err(error) => {
                    fail_all(results, &CommitError::Encode(error));
                    continue;
                }
            };
            let member = Arc::clone(&self);
            tokio::spawn(async move {
                // The consensus library may never complete a write, as when this head loses the leadership.
                // Without the timeout the entry would hold its permit forever.
                let written = tokio::time::timeout(CHANGE_TIMEOUT, member.raft.client_write(batch)).await;
                drop((permit, reservations));
                send_results(written, results);
            });
        }
    }
}

/// Changes that become one log entry.
struct Batch {
    changes: Vec<Change>,
    results: Vec<oneshot::Sender<CommitResult>>,
    reservations: Vec<Reservation>,
}

impl Batch {
    /// Collects the queued changes, up to the limits on one entry.
    fn collect(first: PendingChange, waiting: &mut mpsc::Receiver<PendingChange>) -> Batch {
        let mut batch = Batch { changes: Vec::new(), results: Vec::new(), reservations: Vec::new() };
        let mut next = Some(first);
        let mut bytes = 0;
        while let Some(PendingChange { change, result, reservation }) = next {
            bytes += reservation.change_bytes();
            batch.changes.push(change);
            batch.results.push(result);
            batch.reservations.push(reservation);
            let is_full = batch.changes.len() >= MAX_BATCH || bytes >= MAX_BATCH_BYTES;
            next = if is_full { None } else { waiting.try_recv().ok() };
        }
        batch
    }
}

/// Sends the result of a batch to the requesters of its changes.
fn send_results(written: Result<ClientWriteResult, Elapsed>, results: Vec<oneshot::Sender<CommitResult>>) {
    let error = match written {
        Ok(Ok(written)) => {
            for (result, outcome) in results.into_iter().zip(written.data) {
                // The requester may have timed out.
                let _ = result.send(Ok(outcome));
            }
            return;
        }
        Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(leader)))) => {
            CommitError::NotLeader(leader.leader_node)
        }
        Ok(Err(error)) => CommitError::Raft(Box::new(error)),
        Err(_) => CommitError::NoMajority,
    };
    fail_all(results, &error);
}

/// Reports an error to the requesters of a batch's changes.
fn fail_all(results: Vec<oneshot::Sender<CommitResult>>, error: &CommitError) {
    results.into_iter().for_each(|result| drop(result.send(Err(error.clone()))));
}
