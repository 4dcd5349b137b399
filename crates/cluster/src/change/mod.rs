//! Changes of the replicated state. Any head accepts them and forwards them to the leader.
//!
//! A change is committed once a majority of the voters has synced it. Retries carry the same idempotency key,
//! so a change is applied once even if the response to the first attempt is lost.
//!
//! - `batch`: the leader writes changes in batches
//! - `capacity`: the leader refuses changes that memory does not suffice for
//! - `forward`: requests to the leader
//! - `read`: linearizable reads
//!
//! The errors are in `change_error`.

mod batch;
mod capacity;
mod forward;
mod read;

pub use batch::MAX_WAITING_CHANGES;

use crate::change_error::{AttemptError, ClusterRequestError, CommitError};
use crate::environment::{EntropyError, random};
use crate::member::Member;
use crate::types::{PeerRequest, PeerResponse, VoterAddress};
use sedgerun_replication::follow::Peer;
use sedgerun_replication::state::{Change, ChangeOutcome, Command};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for committing a change or confirming a read, with all retries.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(950);
/// Pause between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Creates a change with the caller's idempotency key, or with a random one if `key` is `None`.
///
/// `expect` is the version that the tenant must have ([`Change::expected_version`]).
///
/// # Errors
/// No random number is available for a key.
pub fn new_change(key: Option<&str>, expect: Option<u64>, command: Command) -> Result<Change, EntropyError> {
    let key = match key {
        Some(key) => format!("caller {key}"),
        None => format!("{:016x}{:016x}", random()?, random()?),
    };
    Ok(Change { key, expected_version: expect, command })
}

impl Member {
    /// Commits a change, on this head if it leads, else on the leader.
    ///
    /// # Errors
    /// The change was not committed within `CHANGE_TIMEOUT`; it may still be committed later.
    pub async fn change(&self, change: Change) -> Result<ChangeOutcome, ClusterRequestError> {
        if self.network.own_greeting().origin.is_none() {
            return Err(AttemptError::NotInCluster.into());
        }
        let begun = Instant::now();
        let mut last_error = AttemptError::NoLeader;
        let mut redirected_to: Option<Peer> = None;
        while let Some(left) = CHANGE_TIMEOUT.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) {
            if self.votes() {
                match tokio::time::timeout(left, self.commit(change.clone())).await {
                    Ok(Ok(outcome)) => return Ok(outcome),
                    Ok(Err(CommitError::NotLeader(_))) => {}
                    Ok(Err(error)) => last_error = error.into(),
                    Err(_) => last_error = AttemptError::NoMajority,
                }
            }
            if let Some(leader) = redirected_to.take().or_else(|| self.leader()) {
                let left = CHANGE_TIMEOUT.saturating_sub(begun.elapsed());
                match self.change_at_leader(&leader, change.clone(), left).await {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => {
                        redirected_to = error.next_leader_to_try(&leader);
                        last_error = error;
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(last_error.into())
    }

    /// Sends a change to the leader.
    async fn change_at_leader(
        &self,
        leader: &Peer,
        change: Change,
        left: Duration,
    ) -> Result<ChangeOutcome, AttemptError> {
        let request = PeerRequest::CommitChange(change, left.as_millis() as u64);
        match self.request_to_leader(leader, &request, left).await? {
            PeerResponse::Changed(outcome) => Ok(outcome),
            PeerResponse::NotLeader(known) => {
                let known = known.map(|VoterAddress { head, address, .. }| Peer { head, address });
                Err(AttemptError::NotLeader { head: leader.head.clone(), known })
            }
            PeerResponse::Rejected(why) => Err(AttemptError::Rejected(why)),
            _ => Err(AttemptError::UnexpectedResponse),
        }
    }
}
