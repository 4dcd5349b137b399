//! Elections: responding to pre-votes, requesting pre-votes, and campaigning.
//!
//! [`Election`](sedgerun_replication::election::Election) decides when to campaign; the consensus library
//! counts the votes.

use crate::environment::now;
use crate::member::Member;
use crate::types::{LogId, PeerRequest, PeerResponse, VoterAddress};
use openraft::ServerState;
use sedgerun_replication::election::ElectionStep;
use sedgerun_replication::store::StoreId;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;

/// Timeout of a pre-vote request.
const PRE_VOTE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks of whether to campaign.
const ELECTION_POLL: Duration = Duration::from_millis(50);

impl Member {
    /// Whether this voter grants a pre-vote: it has no recent heartbeat of a leader, and would vote for a
    /// candidate whose log ends at the position `last`.
    pub fn grants_pre_vote(&self, last: Option<LogId>) -> bool {
        // While this voter's own vote is being written, another campaign would request a newer vote before
        // this one is counted. On slow disks such campaigns would split the votes.
        let may_vote_now = self.may_vote() && !self.log.has_unsynced_vote();
        may_vote_now && !self.leads() && !self.election().hears_leader(now()) && last >= self.log.last()
    }

    fn may_vote(&self) -> bool {
        self.has_recovered.load(Ordering::SeqCst) && !self.network.is_rolled_back()
    }

    /// Checks periodically whether to campaign, and campaigns. Never returns.
    pub async fn run_elections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ELECTION_POLL).await;
            self.run_election_step().await;
        }
    }

    async fn run_election_step(&self) {
        let metrics = self.raft.metrics().borrow().clone();
        if metrics.state == ServerState::Leader {
            // A leader counts as having received its own heartbeat, whether or not the other voters respond.
            self.election().on_heartbeat(now());
            return;
        }
        if !self.may_vote() || !self.votes() {
            return;
        }
        if self.log.has_unsynced_vote() {
            self.election().on_unsynced_vote();
            return;
        }
        let membership = metrics.membership_config.membership();
        let voters: BTreeSet<StoreId> = membership.voter_ids().collect();
        let step = self.election().step(now(), metrics.id, &voters);
        match step {
            ElectionStep::WaitUntil(_) => {}
            ElectionStep::Campaign => self.campaign().await,
            ElectionStep::PreVote { round, voters } => {
                let recipients = membership.nodes().filter(|(store, _)| voters.contains(store));
                let recipients = recipients.map(|(store, voter)| (*store, voter.clone())).collect();
                self.run_pre_vote(round, recipients).await;
            }
        }
    }

    async fn run_pre_vote(&self, round: u64, recipients: Vec<(StoreId, VoterAddress)>) {
        let last = self.log.last();
        let mut responses = JoinSet::new();
        for (store, voter) in recipients {
            let Some(to) = self.network.route(&voter.head, &voter.address) else { continue };
            let network = self.network.clone();
            responses.spawn(async move {
                match network.request(to, &PeerRequest::PreVote(last), PRE_VOTE_TIMEOUT).await {
                    // Another store may respond at the voter's address.
                    Ok(PeerResponse::PreVote(from, is_granted)) => from == store && is_granted,
                    _ => false,
                }
                .then_some(store)
            });
        }
        while let Some(response) = responses.join_next().await {
            let Ok(Some(store)) = response else { continue };
            // While the responses arrived, this voter may have voted for another candidate; that vote comes
            // first.
            if self.log.has_unsynced_vote() {
                return self.election().on_unsynced_vote();
            }
            let step = self.election().on_pre_vote_response(now(), round, store, true);
            if step == ElectionStep::Campaign {
                return self.campaign().await;
            }
        }
    }

    async fn campaign(&self) {
        tracing::info!("fleet: no heartbeat from a leader; starting an election");
        if let Err(error) = self.raft.trigger().elect().await {
            tracing::warn!("fleet: cannot start an election: {error}");
        }
    }
}
