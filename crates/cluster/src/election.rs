//! Elections as a voter runs them: answers to pre-votes, pre-votes of its own, and campaigns.
//!
//! When to campaign is decided by [`Election`](sedgerun_replication::election::Election); votes are counted by the
//! consensus library.

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

/// Time for the answer to a pre-vote.
const PRE_VOTE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between checks of whether to campaign; a heartbeat in between puts that off.
const ELECTION_POLL: Duration = Duration::from_millis(50);

impl Member {
    /// The answer to a pre-vote: whether this voter hears from no leader, and would not reject a candidate whose log ends
    /// at this position.
    pub fn is_silent(&self, last: Option<LogId>) -> bool {
        // Guards against split votes on slow disks: while this voter writes a vote, another that campaigned would request
        // a newer one before this one is counted.
        let is_free = self.may_vote() && !self.log.has_unsynced_vote();
        is_free && !self.leads() && !self.election().hears_leader(now()) && last >= self.log.last()
    }

    fn may_vote(&self) -> bool {
        self.has_recovered.load(Ordering::SeqCst) && !self.links.is_rolled_back()
    }

    /// Campaigns when it is time, for as long as the future is polled.
    pub async fn run_elections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ELECTION_POLL).await;
            self.run_election_step().await;
        }
    }

    async fn run_election_step(&self) {
        let metrics = self.raft.metrics().borrow().clone();
        if metrics.state == ServerState::Leader {
            // A leader receives its own heartbeats, whether or not others do.
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
        let mut answers = JoinSet::new();
        for (store, voter) in recipients {
            let Some(to) = self.links.route(&voter.head, &voter.address) else { continue };
            let links = self.links.clone();
            answers.spawn(async move {
                match links.request(to, &PeerRequest::PreVote(last), PRE_VOTE_TIMEOUT).await {
                    // Guards against the answer of another store under the voter's address.
                    Ok(PeerResponse::PreVote(from, is_silent)) => from == store && is_silent,
                    _ => false,
                }
                .then_some(store)
            });
        }
        while let Some(answer) = answers.join_next().await {
            let Ok(Some(store)) = answer else { continue };
            // Guards against a campaign that overtakes a vote given to another while the answers arrived.
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
        tracing::info!("fleet: no leader is heard; campaigning");
        if let Err(error) = self.raft.trigger().elect().await {
            tracing::warn!("fleet: cannot campaign: {error}");
        }
    }
}
