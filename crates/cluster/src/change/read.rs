//! Linearizable reads: a head waits until it has all changes that were committed when the read began.

use super::{CHANGE_TIMEOUT, RETRY_INTERVAL};
use crate::change_error::{AttemptError, ClusterRequestError, LinearizableReadError};
use crate::member::Member;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::follow::Peer;
use std::time::Duration;
use tokio::time::Instant;

impl Member {
    /// The version that a linearizable read beginning now must have reached, confirmed by this head as
    /// leader.
    ///
    /// # Errors
    /// This head does not lead, or a majority did not confirm its leadership in time.
    pub async fn linearizable_version(&self) -> Result<u64, LinearizableReadError> {
        let confirmed = tokio::time::timeout(CHANGE_TIMEOUT, self.raft.ensure_linearizable()).await;
        confirmed.map_err(|_| LinearizableReadError::NoMajority)?.map_err(Box::new)?;
        Ok(self.state_machine.applied_version())
    }

    /// Waits until this head has all changes that were committed when this was called; returns the version.
    ///
    /// # Errors
    /// No leader confirmed a version, or this head did not reach it in time.
    pub async fn wait_for_latest(&self) -> Result<u64, ClusterRequestError> {
        let begun = Instant::now();
        let mut last_error = AttemptError::NoLeader;
        while let Some(left) = CHANGE_TIMEOUT.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) {
            if self.votes() {
                match self.linearizable_version().await {
                    Ok(version) => return Ok(version),
                    Err(error) => last_error = error.into(),
                }
            }
            if let Some(leader) = self.leader() {
                match self.version_at_leader(&leader, left).await {
                    Ok(version) => {
                        let left = CHANGE_TIMEOUT.saturating_sub(begun.elapsed());
                        return self.wait_for_version(version, left).await;
                    }
                    Err(error) => last_error = error,
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(last_error.into())
    }

    async fn version_at_leader(&self, leader: &Peer, left: Duration) -> Result<u64, AttemptError> {
        match self.request_to_leader(leader, &PeerRequest::LinearizableVersion, left).await? {
            PeerResponse::LinearizableVersion(version) => Ok(version),
            PeerResponse::Rejected(why) => Err(AttemptError::Rejected(why)),
            _ => Err(AttemptError::UnexpectedResponse),
        }
    }

    /// Waits until this head has reached `version`; returns the version that it has then.
    ///
    /// # Errors
    /// This head did not reach the version in time.
    pub async fn wait_for_version(
        &self,
        version: u64,
        timeout: Duration,
    ) -> Result<u64, ClusterRequestError> {
        let mut versions = self.state_machine.watch_version();
        let reached = versions.wait_for(|current| *current >= version);
        if let Ok(Ok(current)) = tokio::time::timeout(timeout, reached).await {
            return Ok(*current);
        }
        let current = self.state_machine.read(|view| view.version);
        Err(AttemptError::Behind { version: current, wanted: version }.into())
    }
}
