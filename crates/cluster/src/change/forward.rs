//! Requests to the leader. A voter abandons them as soon as it learns that the leader has changed.

use crate::change_error::LeaderRequestError;
use crate::member::Member;
use crate::types::{PeerRequest, PeerResponse};
use sedgerun_replication::follow::Peer;
use sedgerun_replication::store::StoreId;
use std::time::Duration;

/// Timeout of one attempt on a follower, which does not learn of a leader change during the request.
const FOLLOWER_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);

impl Member {
    /// Sends a request to the leader and waits for the response until `left` has passed or the leader
    /// changes.
    pub(super) async fn request_to_leader(
        &self,
        leader: &Peer,
        request: &PeerRequest,
        left: Duration,
    ) -> Result<PeerResponse, LeaderRequestError> {
        let Some(address) = self.network.route(&leader.head, &leader.address) else {
            return Err(LeaderRequestError::NoAddress(leader.head.clone()));
        };
        let known = self.raft.metrics().borrow().current_leader;
        let timeout = if known.is_some() { left } else { left.min(FOLLOWER_ATTEMPT_TIMEOUT) };
        tokio::select! {
            biased;
            response = self.network.request(address, request, timeout) => {
                let head = leader.head.clone();
                response.map_err(|source| LeaderRequestError::Connection { head, address, source })
            }
            () = self.leader_changed(known), if known.is_some() => Err(LeaderRequestError::Changed),
        }
    }

    /// Waits until the leader is no longer the store `from`.
    async fn leader_changed(&self, from: Option<StoreId>) {
        let mut metrics = self.raft.metrics();
        if metrics.wait_for(|metrics| metrics.current_leader != from).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
