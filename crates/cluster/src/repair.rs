//! Repair by the leader: a voter that is dead is replaced, one membership change at a time.

use super::environment::now;
use super::member::Member;
use super::types::{Call, Reply, VoterAddress};
use openraft::ChangeMembers;
use sedgerun_replication::election::Millis;
use sedgerun_replication::follow::Downstream;
use sedgerun_replication::repair::{self, RepairStep, VoterCandidate};
use sedgerun_replication::store::StoreId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;

/// Between checks of the voters.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Time for another voter to report its followers.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a membership change; one that takes longer goes on by itself, and the next check finds it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

impl Member {
    /// Repairs the voter group while this head leads.
    pub async fn run_repair(&self) {
        let mut since = None;
        let mut said = String::new();
        loop {
            tokio::time::sleep(REPAIR_INTERVAL).await;
            if !self.leads() {
                since = None;
                continue;
            }
            let since = *since.get_or_insert_with(now);
            match self.repair_once(since).await {
                Ok(()) => said.clear(),
                Err(what) if what != said => {
                    tracing::warn!("fleet: the voters are not repaired for now: {what}");
                    said = what;
                }
                Err(_) => {}
            }
        }
    }

    /// The members as this head sees them, which has led since then, and whether a change is under way.
    fn group_members(&self, since: Millis) -> (Vec<repair::GroupMember>, bool) {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership();
        let configs = membership.get_joint_config();
        let voters: BTreeSet<StoreId> = configs.last().cloned().unwrap_or_default();
        let (now, last) = (now(), metrics.last_log_index.unwrap_or(0));
        let members = membership.nodes().map(|(store, voter)| {
            let matched = metrics.replication.as_ref().and_then(|all| all.get(store).copied().flatten());
            let own = *store == metrics.id;
            // Guards against declaring dead at once, as a new leader, whoever has not been called yet.
            let heard = self.links.answered_at(*store).unwrap_or(0).max(since);
            repair::GroupMember {
                store: *store,
                head: voter.head.clone(),
                zone: voter.zone.clone(),
                votes: voters.contains(store),
                silent_ms: if own { 0 } else { now.saturating_sub(heard) },
                lag: if own { Some(0) } else { matched.map(|matched| last.saturating_sub(matched.index)) },
            }
        });
        (members.collect(), configs.len() > 1)
    }

    async fn repair_once(&self, since: Millis) -> Result<(), String> {
        let (members, between) = self.group_members(since);
        let voters: BTreeSet<StoreId> =
            members.iter().filter(|member| member.votes).map(|member| member.store).collect();
        if between {
            // Guards against a change that its leader began and did not live to end.
            return self.change_membership(ChangeMembers::ReplaceAllVoters(voters)).await;
        }
        let rules = self.machine.read(|view| view.rules.clone());
        if !repair::may_need_repair(&rules, &members) {
            return Ok(());
        }
        let candidates = self.candidates(&members).await;
        let Some(step) = repair::next_step(&rules, &members, &candidates, self.raft_id()) else {
            return Ok(());
        };
        let name =
            |store: StoreId| members.iter().find(|member| member.store == store).map(|k| k.head.clone());
        let name = |store: StoreId| name(store).unwrap_or_else(|| format!("{store:016x}"));
        let swapped = |out: Option<StoreId>, into: Option<StoreId>| {
            let stay = voters.iter().copied().filter(|voter| Some(*voter) != out);
            ChangeMembers::ReplaceAllVoters(stay.chain(into).collect())
        };
        match step {
            RepairStep::AddLearner(VoterCandidate { store, head, address, zone }) => {
                tracing::warn!("fleet: {head} is brought up to date, to become a voter");
                let address = VoterAddress { head, address, zone };
                self.change_membership(ChangeMembers::AddNodes(BTreeMap::from([(store, address)]))).await?;
            }
            RepairStep::Replace(out, into) => {
                tracing::warn!("fleet: {} votes in the place of {}", name(into), name(out));
                self.change_membership(swapped(Some(out), Some(into))).await?;
                self.repairs.fetch_add(1, Ordering::Relaxed);
            }
            RepairStep::Promote(into) => {
                tracing::warn!("fleet: {} votes, too", name(into));
                self.change_membership(swapped(None, Some(into))).await?;
                self.repairs.fetch_add(1, Ordering::Relaxed);
            }
            RepairStep::Remove(out) if voters.contains(&out) => {
                tracing::warn!("fleet: {} votes no more", name(out));
                self.change_membership(swapped(Some(out), None)).await?;
                self.repairs.fetch_add(1, Ordering::Relaxed);
            }
            RepairStep::Remove(out) => {
                tracing::warn!("fleet: {} is not to become a voter after all", name(out));
                self.change_membership(ChangeMembers::RemoveNodes(BTreeSet::from([out]))).await?;
            }
        }
        Ok(())
    }

    async fn change_membership(&self, change: ChangeMembers<StoreId, VoterAddress>) -> Result<(), String> {
        match tokio::time::timeout(CHANGE_TIMEOUT, self.raft.change_membership(change, false)).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("a change of voters is not settled".into()),
        }
    }

    /// The followers, whichever voter they are served by.
    async fn candidates(&self, members: &[repair::GroupMember]) -> Vec<VoterCandidate> {
        let mut all: BTreeMap<StoreId, Downstream> = BTreeMap::new();
        let membership = self.machine.membership();
        let mut asked = JoinSet::new();
        for (_, voter) in membership.nodes().filter(|(store, _)| **store != self.raft_id()) {
            let Some(to) = self.links.route(&voter.head, &voter.address) else { continue };
            let links = self.links.clone();
            asked.spawn(async move { links.call(to, &Call::Status, STATUS_TIMEOUT).await });
        }
        let told = self.followers().subtree(now());
        all.extend(told.into_iter().map(|follower| (follower.store, follower)));
        while let Some(answer) = asked.join_next().await {
            if let Ok(Ok(Reply::Status(status))) = answer {
                all.extend(status.followers.into_iter().map(|follower| (follower.store, follower)));
            }
        }
        let relays = self.voting_registry().relays(now());
        let is_relay = |store: &StoreId| relays.iter().any(|known| known.relay.store == *store);
        let is_member = |store: &StoreId| members.iter().any(|member| member.store == *store);
        let may_vote = |follower: &Downstream| !is_member(&follower.store) && !is_relay(&follower.store);
        let candidates = all.into_values().filter(may_vote);
        let candidates = candidates.map(|Downstream { at, store, zone, .. }| VoterCandidate {
            store,
            head: at.head,
            address: at.address,
            zone,
        });
        candidates.collect()
    }
}
