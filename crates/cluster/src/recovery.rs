//! Recovery of a voter after its start, the watermarks that it saves of other stores, and its campaigns.

use super::environment::now;
use super::member::Member;
use super::types::{Call, LogId, Reply, VoterAddress};
use openraft::ServerState;
use sedgerun_replication::election::ElectionStep;
use sedgerun_replication::record::RecordType;
use sedgerun_replication::store::StoreId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time that a store which has just started waits for the word of each other voter.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How often what is remembered of other stores is written down.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);
/// Between tries at those that were not reached.
const RETRY: Duration = Duration::from_millis(25);
/// Time for the answer to whether a voter hears a leader.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Between checks of whether to campaign; a heartbeat in between puts it off.
const ELECTION_POLL: Duration = Duration::from_millis(50);

impl Member {
    /// Asks the other voters, as a store that has just started, whether it is what they remember; then it votes.
    /// One that cannot be reached is waited for so long, and no longer: it may be gone for good.
    pub async fn recover(&self) {
        let own = self.links.own();
        let membership = self.machine.membership();
        let mut others: BTreeMap<String, VoterAddress> = BTreeMap::new();
        // Guards against a store that was killed before it noted the voters (that note has no sync of its own): it
        // would know nobody to ask. The voters of the settings are asked too, once there is a fleet.
        if own.origin.is_some() {
            let configured = self.settings.voters.iter();
            others.extend(configured.map(|(head, at)| {
                (head.clone(), VoterAddress { head: head.clone(), address: at.to_string(), zone: None })
            }));
        }
        others.extend(membership.nodes().map(|(_, voter)| (voter.head.clone(), voter.clone())));
        others.remove(&own.head);
        let mut others: Vec<VoterAddress> = others.into_values().collect();
        let begun = Instant::now();
        while !others.is_empty() && begun.elapsed() < RECOVERY_TIMEOUT && !self.links.is_rolled_back() {
            let mut left = Vec::new();
            for voter in others {
                let heard = match self.links.route(&voter.head, &voter.address) {
                    Some(to) => self.links.dial(to).await.is_ok(),
                    None => false,
                };
                if !heard {
                    left.push(voter);
                }
            }
            others = left;
            if !others.is_empty() {
                tokio::time::sleep(RETRY).await;
            }
        }
        if !self.links.is_rolled_back() {
            self.recovered.store(true, Ordering::SeqCst);
        }
    }

    /// Writes down what is remembered of the others, as it changes.
    pub async fn save_watermarks(&self) {
        let mut written = self.links.watermarks();
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            let now = self.links.watermarks();
            if now != written {
                self.disk.note(RecordType::Watermarks, "memory", &now).await;
                written = now;
            }
        }
    }

    /// Whether this voter hears no leader, and would not stand in the way of one whose log ends there.
    pub fn is_silent(&self, last: Option<LogId>) -> bool {
        // Guards against split votes on slow disks: while this voter writes a vote, another that campaigned would ask
        // for a newer one before this one is counted.
        let free = self.may_vote() && !self.log.has_unsynced_vote();
        free && !self.leads() && !self.election().hears_leader(now()) && last >= self.log.last()
    }

    fn may_vote(&self) -> bool {
        self.recovered.load(Ordering::SeqCst) && !self.links.is_rolled_back()
    }

    /// Campaigns when it is time, for as long as it is polled.
    pub async fn run_elections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ELECTION_POLL).await;
            let metrics = self.raft.metrics().borrow().clone();
            if metrics.state == ServerState::Leader {
                // It hears itself; whether others do is theirs to say.
                self.election().on_heartbeat(now());
                continue;
            }
            if !self.may_vote() || !self.votes() {
                continue;
            }
            if self.log.has_unsynced_vote() {
                self.election().on_unsynced_vote();
                continue;
            }
            let membership = metrics.membership_config.membership();
            let voters: BTreeSet<StoreId> = membership.voter_ids().collect();
            let step = self.election().step(now(), metrics.id, &voters);
            match step {
                ElectionStep::Wait(_) => {}
                ElectionStep::Campaign => self.campaign().await,
                ElectionStep::PreVote { round, voters: others } => {
                    let addresses = membership.nodes().filter(|(store, _)| others.contains(store));
                    let addresses = addresses.map(|(store, voter)| (*store, voter.clone())).collect();
                    self.ask_voters(round, addresses).await;
                }
            }
        }
    }

    async fn ask_voters(&self, round: u64, others: Vec<(StoreId, VoterAddress)>) {
        let last = self.log.last();
        let mut asked = JoinSet::new();
        for (store, voter) in others {
            let Some(to) = self.links.route(&voter.head, &voter.address) else { continue };
            let links = self.links.clone();
            asked.spawn(async move {
                match links.call(to, &Call::Silent(last), ANSWER_TIMEOUT).await {
                    // Guards against the word of another store under the voter's address.
                    Ok(Reply::Silent(from, silent)) => from == store && silent,
                    _ => false,
                }
                .then_some(store)
            });
        }
        while let Some(answer) = asked.join_next().await {
            let Ok(Some(store)) = answer else { continue };
            // Guards against a campaign that overtakes a vote given to another while the answers came in.
            if self.log.has_unsynced_vote() {
                return self.election().on_unsynced_vote();
            }
            let step = self.election().on_answer(now(), round, store, true);
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
