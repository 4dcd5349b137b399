//! Repair of the voter group by the leader, one membership change at a time.
//!
//! [`next_step`](sedgerun_replication::repair::next_step) decides which change to make. This module collects
//! the inputs of that decision and makes the change through the consensus library.

use crate::environment::now;
use crate::member::Member;
use crate::types::{PeerRequest, PeerResponse, VoterAddress};
use openraft::ChangeMembers;
use openraft::error::{ClientWriteError, RaftError};
use sedgerun_replication::follow::Downstream;
use sedgerun_replication::repair::{self, GroupMember, RepairStep, VoterCandidate};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::time::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinSet;

/// Interval between checks of the voters.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of the status request to another voter, which reports its followers.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for waiting for a membership change. A slower change continues in the consensus library, and
/// the next check finds it in progress.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a repair of the voter group failed. It is tried again after the next check.
#[derive(Debug, Error)]
enum RepairError {
    /// The consensus library rejects the membership change.
    #[error(transparent)]
    Raft(#[from] Box<RaftError<StoreId, ClientWriteError<StoreId, VoterAddress>>>),
    /// The membership change was not committed in time.
    #[error("the membership change was not committed in time")]
    Timeout,
}

impl Member {
    /// Repairs the voter group while this head leads. Never returns.
    pub async fn run_repair(&self) {
        let mut leading_since = None;
        let mut logged_error = String::new();
        loop {
            tokio::time::sleep(REPAIR_INTERVAL).await;
            if !self.leads() {
                leading_since = None;
                continue;
            }
            let since = *leading_since.get_or_insert_with(now);
            match self.repair_once(since).await.map_err(|error| error.to_string()) {
                Ok(()) => logged_error.clear(),
                Err(error) if error != logged_error => {
                    tracing::warn!("fleet: cannot repair the voter group, will retry: {error}");
                    logged_error = error;
                }
                Err(_) => {}
            }
        }
    }

    async fn repair_once(&self, leading_since: Millis) -> Result<(), RepairError> {
        let (members, is_change_in_progress) = self.group_members(leading_since);
        if is_change_in_progress {
            // Completes a change that an earlier leader began.
            return self.change_membership(ChangeMembers::ReplaceAllVoters(voters_of(&members))).await;
        }
        let rules = self.state_machine.read(|view| view.rules.clone());
        if !repair::may_need_repair(&rules, &members) {
            return Ok(());
        }
        let candidates = self.candidates(&members).await;
        match repair::next_step(&rules, &members, &candidates, self.raft_id()) {
            Some(step) => self.execute_step(step, &members).await,
            None => Ok(()),
        }
    }

    /// The members as this head knows them, and whether a membership change is in progress. `leading_since`
    /// is when this head became the leader.
    fn group_members(&self, leading_since: Millis) -> (Vec<GroupMember>, bool) {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership();
        let configs = membership.get_joint_config();
        let voters: BTreeSet<StoreId> = configs.last().cloned().unwrap_or_default();
        let (now, last_index) = (now(), metrics.last_log_index.unwrap_or(0));
        let members = membership.nodes().map(|(store, voter)| {
            let matched = metrics.replication.as_ref().and_then(|all| all.get(store).copied().flatten());
            let is_own = *store == metrics.id;
            // A new leader has no responses yet. Counting from when it became the leader keeps it from
            // declaring the other voters dead at once.
            let last_response = self.network.last_response_at(*store).unwrap_or(0).max(leading_since);
            let lag = matched.map(|matched| last_index.saturating_sub(matched.index));
            GroupMember {
                store: *store,
                head: voter.head.clone(),
                zone: voter.zone.clone(),
                votes: voters.contains(store),
                ms_since_response: if is_own { 0 } else { now.saturating_sub(last_response) },
                lag: if is_own { Some(0) } else { lag },
            }
        });
        (members.collect(), configs.len() > 1)
    }

    async fn execute_step(&self, step: RepairStep, members: &[GroupMember]) -> Result<(), RepairError> {
        let name = |store: StoreId| {
            let member = members.iter().find(|member| member.store == store);
            member.map_or_else(|| format!("{store:016x}"), |member| member.head.clone())
        };
        let voters = voters_of(members);
        match step {
            RepairStep::AddLearner(VoterCandidate { store, head, address, zone }) => {
                tracing::warn!("fleet: adding {head} as a learner, to become a voter");
                let address = VoterAddress { head, address, zone };
                self.change_membership(ChangeMembers::AddNodes(BTreeMap::from([(store, address)]))).await
            }
            RepairStep::Replace(removed, added) => {
                tracing::warn!("fleet: replacing voter {} by {}", name(removed), name(added));
                self.replace_voters(voters, Some(removed), Some(added)).await
            }
            RepairStep::Promote(added) => {
                tracing::warn!("fleet: promoting learner {} to voter", name(added));
                self.replace_voters(voters, None, Some(added)).await
            }
            RepairStep::Remove(removed) if voters.contains(&removed) => {
                tracing::warn!("fleet: removing voter {}", name(removed));
                self.replace_voters(voters, Some(removed), None).await
            }
            RepairStep::Remove(removed) => {
                tracing::warn!("fleet: removing learner {}", name(removed));
                self.change_membership(ChangeMembers::RemoveNodes(BTreeSet::from([removed]))).await
            }
        }
    }

    /// Removes a voter, adds a voter, or both in one membership change, and counts the repair.
    async fn replace_voters(
        &self,
        mut voters: BTreeSet<StoreId>,
        removed: Option<StoreId>,
        added: Option<StoreId>,
    ) -> Result<(), RepairError> {
        voters.retain(|voter| Some(*voter) != removed);
        voters.extend(added);
        self.change_membership(ChangeMembers::ReplaceAllVoters(voters)).await?;
        self.repairs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn change_membership(
        &self,
        change: ChangeMembers<StoreId, VoterAddress>,
    ) -> Result<(), RepairError> {
        let changed = self.raft.change_membership(change, false);
        let changed = tokio::time::timeout(CHANGE_TIMEOUT, changed).await;
        changed.map_err(|_| RepairError::Timeout)?.map_err(Box::new)?;
        Ok(())
    }

    /// The followers that may become voters: those of this head and those that the other members report.
    /// Members and relays are excluded.
    async fn candidates(&self, members: &[GroupMember]) -> Vec<VoterCandidate> {
        let mut followers: BTreeMap<StoreId, Downstream> = BTreeMap::new();
        let membership = self.state_machine.membership();
        let mut responses = JoinSet::new();
        for (_, voter) in membership.nodes().filter(|(store, _)| **store != self.raft_id()) {
            let Some(to) = self.network.route(&voter.head, &voter.address) else { continue };
            let network = self.network.clone();
            responses.spawn(async move { network.request(to, &PeerRequest::Status, STATUS_TIMEOUT).await });
        }
        let by_store = |follower: Downstream| (follower.store, follower);
        followers.extend(self.followers().subtree(now()).into_iter().map(by_store));
        while let Some(response) = responses.join_next().await {
            if let Ok(Ok(PeerResponse::Status(status))) = response {
                followers.extend(status.followers.into_iter().map(by_store));
            }
        }
        let relays = self.voting_registry().relays(now());
        let is_relay = |store: StoreId| relays.iter().any(|known| known.relay.store == store);
        let is_member = |store: StoreId| members.iter().any(|member| member.store == store);
        let may_vote = |follower: &Downstream| !is_member(follower.store) && !is_relay(follower.store);
        let candidates = followers.into_values().filter(may_vote);
        let candidates = candidates.map(|Downstream { peer, store, zone, .. }| VoterCandidate {
            store,
            head: peer.head,
            address: peer.address,
            zone,
        });
        candidates.collect()
    }
}

fn voters_of(members: &[GroupMember]) -> BTreeSet<StoreId> {
    members.iter().filter(|member| member.votes).map(|member| member.store).collect()
}
