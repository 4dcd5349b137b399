//! A keeper's first words after its start, what it remembers of the others, and its standing for election.

use super::keeper::Keeper;
use super::outside::now;
use super::types::{Call, LogId, Place, Reply};
use openraft::ServerState;
use sedgerun_fleet::election::Step;
use sedgerun_fleet::greeting::StoreId;
use sedgerun_fleet::record::Kind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time that a store which has just woken waits for the word of each other keeper.
const WAKE: Duration = Duration::from_secs(2);
/// How often what is remembered of other stores is written down.
const REMEMBER: Duration = Duration::from_millis(200);
/// Between tries at those that were not reached.
const RETRY: Duration = Duration::from_millis(25);
/// Time for the answer to whether a keeper hears a leader.
const ASKED: Duration = Duration::from_millis(200);
/// Between looks at whether to stand; a leader heard in between puts it off.
const LOOK: Duration = Duration::from_millis(50);

impl Keeper {
    /// Asks the other keepers, as a store that has just woken, whether it is what they remember; then it votes.
    /// One that cannot be reached is waited for so long, and no longer: it may be gone for good.
    pub async fn wake(&self) {
        let own = self.links.own();
        let membership = self.machine.membership();
        let mut others: BTreeMap<String, Place> = BTreeMap::new();
        // Guards against a store that was killed before it noted who keeps (that note has no sync of its own): it
        // would know nobody to ask. The keepers of the settings are asked too, once there is a fleet.
        if own.origin.is_some() {
            let named = self.settings.keepers.iter();
            others.extend(named.map(|(head, at)| {
                (head.clone(), Place { head: head.clone(), address: at.to_string(), zone: None })
            }));
        }
        others.extend(membership.nodes().map(|(_, place)| (place.head.clone(), place.clone())));
        others.remove(&own.head);
        let mut others: Vec<Place> = others.into_values().collect();
        let begun = Instant::now();
        while !others.is_empty() && begun.elapsed() < WAKE && !self.links.is_old() {
            let mut left = Vec::new();
            for place in others {
                let heard = match self.links.route(&place.head, &place.address) {
                    Some(to) => self.links.dial(to).await.is_ok(),
                    None => false,
                };
                if !heard {
                    left.push(place);
                }
            }
            others = left;
            if !others.is_empty() {
                tokio::time::sleep(RETRY).await;
            }
        }
        if !self.links.is_old() {
            self.awake.store(true, Ordering::SeqCst);
        }
    }

    /// Writes down what is remembered of the others, as it changes.
    pub async fn remember(&self) {
        let mut written = self.links.remembered();
        loop {
            tokio::time::sleep(REMEMBER).await;
            let now = self.links.remembered();
            if now != written {
                self.disk.note(Kind::Memory, "memory", &now).await;
                written = now;
            }
        }
    }

    /// Whether this keeper hears no leader, and would not stand in the way of one whose log ends there.
    pub fn is_silent(&self, last: Option<LogId>) -> bool {
        self.may_vote() && !self.leads() && !self.election().hears(now()) && last >= self.log.last()
    }

    fn may_vote(&self) -> bool {
        self.awake.load(Ordering::SeqCst) && !self.links.is_old()
    }

    /// Stands for election when it is time, for as long as it is polled.
    pub async fn stand(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let metrics = self.raft.metrics().borrow().clone();
            if metrics.state == ServerState::Leader {
                // It hears itself; whether others do is theirs to say.
                self.election().heard(now());
                continue;
            }
            if !self.may_vote() || !self.votes() {
                continue;
            }
            let membership = metrics.membership_config.membership();
            let voters: BTreeSet<StoreId> = membership.voter_ids().collect();
            let step = self.election().step(now(), metrics.id, &voters);
            match step {
                Step::Wait(_) => {}
                Step::Stand => self.elect().await,
                Step::Ask(question, others) => {
                    let places = membership.nodes().filter(|(store, _)| others.contains(store));
                    let places = places.map(|(store, place)| (*store, place.clone())).collect();
                    self.ask(question, places).await;
                }
            }
        }
    }

    async fn ask(&self, question: u64, others: Vec<(StoreId, Place)>) {
        let last = self.log.last();
        let mut asked = JoinSet::new();
        for (store, place) in others {
            let Some(to) = self.links.route(&place.head, &place.address) else { continue };
            let links = self.links.clone();
            asked.spawn(async move {
                match links.call(to, &Call::Silent(last), ASKED).await {
                    // Guards against the word of another store under the keeper's address.
                    Ok(Reply::Silent(from, silent)) => from == store && silent,
                    _ => false,
                }
                .then_some(store)
            });
        }
        while let Some(answer) = asked.join_next().await {
            let Ok(Some(store)) = answer else { continue };
            let step = self.election().told(now(), question, store, true);
            if step == Step::Stand {
                return self.elect().await;
            }
        }
    }

    async fn elect(&self) {
        tracing::info!("fleet: no leader is heard; standing for election");
        if let Err(error) = self.raft.trigger().elect().await {
            tracing::warn!("fleet: cannot stand for election: {error}");
        }
    }
}
