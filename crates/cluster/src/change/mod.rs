//! Changes of the replicated state, on whichever head they are requested and wherever the leader is.
//!
//! A change is committed once a majority of the voters has synced it. Retries carry the same idempotency key, so a
//! change whose first answer did not arrive still happens once.
//!
//! - `batch`: the leader writes changes in batches
//! - `forward`: requests to the leader
//! - `read`: linearizable reads
//!
//! Why one is not completed is in `change_error`.

mod batch;
mod forward;
mod read;

pub use batch::MAX_WAITING_CHANGES;

use crate::change_error::{CommitError, ProposeError, Unsettled};
use crate::environment::{EntropyError, random};
use crate::member::Member;
use crate::types::{PeerRequest, PeerResponse, VoterAddress};
use sedgerun_replication::follow::Peer;
use sedgerun_replication::state::{Change, ChangeOutcome, Command};
use std::time::Duration;
use tokio::time::Instant;

/// Time in which a change is committed or refused.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(950);
/// Time between attempts while there is no leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A change with its idempotency key: that of the caller, or a random one.
///
/// `expect` is the version that the tenant must have ([`Change::expected_version`]).
///
/// # Errors
/// There are no random numbers for a key.
pub fn new_change(key: Option<&str>, expect: Option<u64>, command: Command) -> Result<Change, EntropyError> {
    let key = match key {
        Some(key) => format!("caller {key}"),
        None => format!("{:016x}{:016x}", random()?, random()?),
    };
    Ok(Change { key, expected_version: expect, command })
}

impl Member {
    /// Makes a change, wherever the leader is.
    ///
    /// # Errors
    /// It was not committed in time; it may still be.
    pub async fn change(&self, change: Change) -> Result<ChangeOutcome, Unsettled> {
        if self.links.own().origin.is_none() {
            return Err(ProposeError::NotInFleet.into());
        }
        let begun = Instant::now();
        let mut last_error = ProposeError::NoLeader;
        let mut redirected_to: Option<Peer> = None;
        while let Some(left) = CHANGE_TIMEOUT.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) {
            if self.votes() {
                match tokio::time::timeout(left, self.commit(change.clone())).await {
                    Ok(Ok(outcome)) => return Ok(outcome),
                    Ok(Err(CommitError::NotLeader(_))) => {}
                    Ok(Err(error)) => last_error = error.into(),
                    Err(_) => last_error = ProposeError::NoMajority,
                }
            }
            if let Some(leader) = redirected_to.take().or_else(|| self.leader()) {
                let left = CHANGE_TIMEOUT.saturating_sub(begun.elapsed());
                match self.change_at(&leader, change.clone(), left).await {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => {
                        redirected_to = error.other_leader(&leader);
                        last_error = error;
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(last_error.into())
    }

    /// Makes a change at the leader.
    async fn change_at(
        &self,
        leader: &Peer,
        change: Change,
        left: Duration,
    ) -> Result<ChangeOutcome, ProposeError> {
        let request = PeerRequest::Change(change, left.as_millis() as u64);
        match self.request_to_leader(leader, &request, left).await? {
            PeerResponse::Changed(outcome) => Ok(outcome),
            PeerResponse::NotLeader(known) => {
                let known = known.map(|VoterAddress { head, address, .. }| Peer { head, address });
                Err(ProposeError::NotLeader { head: leader.head.clone(), known })
            }
            PeerResponse::Refused(why) => Err(ProposeError::Refused(why)),
            _ => Err(ProposeError::UnexpectedResponse),
        }
    }
}
