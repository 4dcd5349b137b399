//! Serving updates to followers.

use super::environment::now;
use super::member::Member;
use super::types::{DistributionStatus, Reply, UpdateRequest};
use sedgerun_replication::follow::{Admission, Downstream, Peer, PollingFollower, UpdateReply};
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::relay::{Directory, FollowerRole, RelayStatus};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::subscribe::{
    CachedDigests, MAX_POLL_WAIT_MS, MAX_REDIRECT_PEERS, RELAY_WAIT_MS, Route, SubscribeReply, Subscription,
    Summary,
};
use sedgerun_replication::transfer_permits::SMALL_CHUNK_BYTES;
use sedgerun_replication::upstream::{UpdateSource, is_up_to_date, needs_permit, redirect};
use sedgerun_replication::view::Chunk;
use std::time::Duration;

/// Size of one chunk of an update, about, in bytes.
const CHUNK_BYTES: usize = 256 << 10;

impl Member {
    /// Answers a follower: with an update as soon as there is one.
    pub async fn serve_subscription(&self, subscription: Subscription, from: &Greeting) -> Reply {
        let Some(store) = from.store else { return Reply::Refused("a follower has a store".into()) };
        let downstream = Downstream {
            at: Peer { head: from.head.clone(), address: from.address.clone() },
            store,
            zone: from.zone.clone(),
            version: subscription.version,
            incarnation: from.incarnation.count,
        };
        let (role, bypass_relays) = (subscription.role, subscription.bypass_relays);
        let asker =
            PollingFollower { downstream, role, bypass_relays, summary: subscription.summary.clone() };
        let directory = self.directory();
        let relays_known = directory.as_ref().is_some_and(|directory| !directory.is_empty());
        let admission = self.followers().admit(now(), asker, relays_known);
        match admission {
            Admission::Admitted => {}
            Admission::RedirectedToRelays => return redirected(directory, subscription.cached, Vec::new()),
            Admission::Full => return redirected(directory, subscription.cached, self.followers().peers()),
            Admission::DuplicateName => return Reply::Refused("two heads have this name".into()),
        }
        let wait = subscription.wait.min(MAX_POLL_WAIT_MS);
        self.wait_for_change(wait, |version| !is_up_to_date(&subscription, version)).await;
        let Some(source) = self.source() else {
            return Reply::Refused("has heard nothing of the fleet yet".into());
        };
        Reply::Subscribed(self.update_within_slots(&source, &subscription, store))
    }

    /// The update for a follower, or when it may ask again where enough large transfers go on.
    fn update_within_slots(
        &self,
        source: &UpdateSource,
        subscription: &Subscription,
        store: StoreId,
    ) -> SubscribeReply {
        let has_slot = self.transfer_slots().is_available(now(), store);
        // One that would be refused is not made in full.
        let max_bytes = if has_slot { CHUNK_BYTES } else { SMALL_CHUNK_BYTES };
        let update = self.machine.read(|view| source.update(view, subscription, max_bytes));
        if update.chunk.as_ref().is_some_and(needs_permit)
            && let Err(wait) = self.transfer_slots().acquire(now(), store)
        {
            return SubscribeReply::RetryAfter(wait);
        }
        if update.chunk.as_ref().is_none_or(|chunk| chunk.upto == chunk.version) {
            self.transfer_slots().release(store);
        }
        SubscribeReply::Update(update)
    }

    /// Answers a follower of an earlier version.
    pub async fn serve_update(&self, request: UpdateRequest, from: &Greeting) -> Reply {
        if from.store != Some(request.follower.store) {
            return Reply::Refused("a follower asks for another store than its own".into());
        }
        let UpdateRequest { follower, subtree, since, first_version, wait_ms } = request;
        let held = follower.version;
        let asker = PollingFollower {
            downstream: follower,
            role: FollowerRole::Head,
            // It cannot say whether it reaches a relay, so it is served as it was before there were relays.
            bypass_relays: true,
            summary: subtree.map(Summary::of_list),
        };
        let admission = self.followers().admit(now(), asker, false);
        match admission {
            Admission::Admitted => {}
            Admission::DuplicateName => return Reply::Refused("two heads have this name".into()),
            Admission::Full | Admission::RedirectedToRelays => {
                return Reply::Update(None, UpdateReply::Full { redirect: self.legacy_redirect() });
            }
        }
        // One that is ahead of this head goes elsewhere at once.
        let has_news = |version| first_version != 0 || held != since || version != since;
        self.wait_for_change(wait_ms.min(RELAY_WAIT_MS), has_news).await;
        let Some(UpdateSource { route, age, .. }) = self.source() else {
            return Reply::Refused("has heard nothing of the fleet yet".into());
        };
        let Route { origin, path, leader, voters } = route;
        let chunk = self.serve_chunk(since, first_version);
        Reply::Update(origin, UpdateReply::Chunk { chunk, path, age, leader, voters })
    }

    /// The next chunk for a head that holds all up to `since`, in a transfer that began at `first_version`.
    pub fn serve_chunk(&self, since: u64, first_version: u64) -> Chunk {
        self.machine.read(|view| view.chunk(since, first_version, CHUNK_BYTES))
    }

    /// Where a follower of an earlier version may find room: at the relays, and at this head's own followers.
    fn legacy_redirect(&self) -> Vec<Peer> {
        let directory = self.directory().unwrap_or_default();
        let mut peers: Vec<Peer> = directory.relays().iter().map(|relay| relay.peer.clone()).collect();
        peers.extend(self.followers().peers());
        peers.truncate(MAX_REDIRECT_PEERS);
        peers
    }

    /// Waits until there is news at this head's version, for so many milliseconds at the most.
    async fn wait_for_change(&self, wait: u64, has_news: impl Fn(u64) -> bool) {
        let mut versions = self.machine.version();
        let changed = versions.wait_for(|version| has_news(*version));
        let _ = tokio::time::timeout(Duration::from_millis(wait), changed).await;
    }

    /// What this head has to serve beside its view; `None` before it has heard of a fleet.
    fn source(&self) -> Option<UpdateSource> {
        let (path, age) = self.path_and_age();
        let (age, own) = (age?, self.links.own());
        let origin = Some(own.origin?);
        let leads = self.leads().then_some(Peer { head: own.head, address: own.address });
        let leader = leads.or_else(|| self.leader());
        let route = Route { origin, path, leader, voters: self.voters() };
        Some(UpdateSource { route, age, directory: self.directory() })
    }

    /// The relays that this head knows: as a voter by their leases, else from its upstream; `None` where it does not
    /// know whether there are any.
    pub fn directory(&self) -> Option<Directory> {
        let registered = self.voting_registry().directory(now());
        registered.or_else(|| self.follower().directory().cloned())
    }

    /// How this head stands among relays and followers.
    pub fn distribution(&self) -> DistributionStatus {
        let summary = self.followers().summary(now());
        let direct_followers = u32::try_from(self.followers().count(now())).unwrap_or(u32::MAX);
        let mut relays = self.voting_registry().relays(now());
        if relays.is_empty() {
            let known = self.directory().unwrap_or_default();
            relays = known
                .relays()
                .iter()
                .map(|relay| RelayStatus { relay: relay.clone(), followers: 0 })
                .collect();
        }
        let upstream = if self.votes() { None } else { self.follower().upstream().map(|at| at.head.clone()) };
        DistributionStatus {
            region: self.settings.region.clone(),
            upstream,
            direct_followers,
            all_followers: summary.heads,
            lowest_version: summary.lowest_version,
            relays,
        }
    }
}

fn redirected(directory: Option<Directory>, held: CachedDigests, peers: Vec<Peer>) -> Reply {
    Reply::Subscribed(SubscribeReply::Redirect(redirect(directory.as_ref(), held, peers)))
}
