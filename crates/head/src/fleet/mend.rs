//! The leader's care for the keepers: one that is lost is replaced, one change at a time.

use super::keeper::Keeper;
use super::outside::now;
use super::types::{Call, Place, Reply};
use openraft::ChangeMembers;
use sedgerun_fleet::election::Millis;
use sedgerun_fleet::follow::Hanging;
use sedgerun_fleet::greeting::StoreId;
use sedgerun_fleet::repair::{self, Spare, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;

/// Between looks at the keepers.
const LOOK: Duration = Duration::from_millis(250);
/// Time for another keeper to say who hangs on it.
const ASKED: Duration = Duration::from_millis(500);
/// Time for a change of keepers; one that takes longer goes on by itself, and the next look finds it.
const CHANGE: Duration = Duration::from_secs(5);

impl Keeper {
    /// Looks after the keepers while this head leads.
    pub async fn mend(&self) {
        let mut since = None;
        let mut said = String::new();
        loop {
            tokio::time::sleep(LOOK).await;
            if !self.leads() {
                since = None;
                continue;
            }
            let since = *since.get_or_insert_with(now);
            match self.mend_once(since).await {
                Ok(()) => said.clear(),
                Err(what) if what != said => {
                    tracing::warn!("fleet: the keepers stay as they are for now: {what}");
                    said = what;
                }
                Err(_) => {}
            }
        }
    }

    /// The keepers as this head sees them, which has led since then.
    fn seen(&self, since: Millis) -> (Vec<repair::Keeper>, bool) {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership();
        let configs = membership.get_joint_config();
        let voters: BTreeSet<StoreId> = configs.last().cloned().unwrap_or_default();
        let (now, last) = (now(), metrics.last_log_index.unwrap_or(0));
        let keepers = membership.nodes().map(|(store, place)| {
            let matched = metrics.replication.as_ref().and_then(|all| all.get(store).copied().flatten());
            let own = *store == metrics.id;
            // Guards against giving up at once, as a new leader, whoever has not been called yet.
            let heard = self.links.heard(*store).unwrap_or(0).max(since);
            repair::Keeper {
                store: *store,
                head: place.head.clone(),
                zone: place.zone.clone(),
                votes: voters.contains(store),
                silent: if own { 0 } else { now.saturating_sub(heard) },
                lacks: if own { Some(0) } else { matched.map(|matched| last.saturating_sub(matched.index)) },
            }
        });
        (keepers.collect(), configs.len() > 1)
    }

    async fn mend_once(&self, since: Millis) -> Result<(), String> {
        let (keepers, between) = self.seen(since);
        let voters: BTreeSet<StoreId> =
            keepers.iter().filter(|keeper| keeper.votes).map(|keeper| keeper.store).collect();
        if between {
            // Guards against a change that its leader began and did not live to end.
            return self.reshape(ChangeMembers::ReplaceAllVoters(voters)).await;
        }
        let rules = self.machine.look(|view| view.rules.clone());
        if !repair::needs(&rules, &keepers) {
            return Ok(());
        }
        let spares = self.spares(&keepers).await;
        let Some(step) = repair::next(&rules, &keepers, &spares, self.raft_id()) else { return Ok(()) };
        let name =
            |store: StoreId| keepers.iter().find(|keeper| keeper.store == store).map(|k| k.head.clone());
        let name = |store: StoreId| name(store).unwrap_or_else(|| format!("{store:016x}"));
        let swapped = |out: Option<StoreId>, into: Option<StoreId>| {
            let stay = voters.iter().copied().filter(|voter| Some(*voter) != out);
            ChangeMembers::ReplaceAllVoters(stay.chain(into).collect())
        };
        match step {
            Step::Bring(Spare { store, head, address, zone }) => {
                tracing::warn!("fleet: {head} is brought up to date, to keep");
                let place = Place { head, address, zone };
                self.reshape(ChangeMembers::AddNodes(BTreeMap::from([(store, place)]))).await?;
            }
            Step::Swap(out, into) => {
                tracing::warn!("fleet: {} keeps in the place of {}", name(into), name(out));
                self.reshape(swapped(Some(out), Some(into))).await?;
                self.repairs.fetch_add(1, Ordering::Relaxed);
            }
            Step::Add(into) => {
                tracing::warn!("fleet: {} keeps, too", name(into));
                self.reshape(swapped(None, Some(into))).await?;
                self.repairs.fetch_add(1, Ordering::Relaxed);
            }
            Step::Remove(out) if voters.contains(&out) => {
                tracing::warn!("fleet: {} keeps no more", name(out));
                self.reshape(swapped(Some(out), None)).await?;
                self.repairs.fetch_add(1, Ordering::Relaxed);
            }
            Step::Remove(out) => {
                tracing::warn!("fleet: {} is not to keep after all", name(out));
                self.reshape(ChangeMembers::RemoveNodes(BTreeSet::from([out]))).await?;
            }
        }
        Ok(())
    }

    async fn reshape(&self, change: ChangeMembers<StoreId, Place>) -> Result<(), String> {
        match tokio::time::timeout(CHANGE, self.raft.change_membership(change, false)).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("a change of keepers is not settled".into()),
        }
    }

    /// The heads that follow, whichever keeper they hang on.
    async fn spares(&self, keepers: &[repair::Keeper]) -> Vec<Spare> {
        let mut all: BTreeMap<StoreId, Hanging> = BTreeMap::new();
        let membership = self.machine.membership();
        let mut asked = JoinSet::new();
        for (_, place) in membership.nodes().filter(|(store, _)| **store != self.raft_id()) {
            let Some(to) = self.links.route(&place.head, &place.address) else { continue };
            let links = self.links.clone();
            asked.spawn(async move { links.call(to, &Call::Status, ASKED).await });
        }
        let told = self.followers().all(now());
        all.extend(told.into_iter().map(|follower| (follower.store, follower)));
        while let Some(answer) = asked.join_next().await {
            if let Ok(Ok(Reply::Status(status))) = answer {
                all.extend(status.followers.into_iter().map(|follower| (follower.store, follower)));
            }
        }
        let keeps = |store: &StoreId| keepers.iter().any(|keeper| keeper.store == *store);
        let spares = all.into_values().filter(|follower| !keeps(&follower.store));
        let spares = spares.map(|Hanging { at, store, zone, .. }| Spare {
            store,
            head: at.head,
            address: at.address,
            zone,
        });
        spares.collect()
    }
}
