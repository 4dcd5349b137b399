//! Serving updates to followers, as their upstream.
//!
//! [`Followers`](sedgerun_replication::follow::Followers) decides which followers are served, and
//! [`UpdateSource`] which update each of them gets. In this module, polls wait for changes and large
//! transfers acquire permits.

use crate::environment::now;
use crate::member::Member;
use crate::types::{DistributionStatus, LegacyPollRequest, PeerResponse};
use sedgerun_replication::follow::{Admission, Downstream, LegacyUpdateResponse, Peer, PollingFollower};
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::relay::{FollowerRole, RelayDirectory, RelayStatus};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::subscribe::{
    CachedDigests, MAX_POLL_TIMEOUT_MS, MAX_REDIRECT_PEERS, RELAY_POLL_TIMEOUT_MS, Route, SubscribeResponse,
    Subscription, SubtreeSummary,
};
use sedgerun_replication::transfer_permits::SMALL_CHUNK_BYTES;
use sedgerun_replication::upstream::{UpdateSource, is_up_to_date, needs_permit, redirect};
use sedgerun_replication::view::Chunk;
use std::time::Duration;

/// Approximate size of one chunk of an update, in bytes.
const CHUNK_BYTES: usize = 256 << 10;

/// Reason for rejecting a head that has the same name as another one.
const DUPLICATE_NAME: &str = "two heads have this name";
/// Reason for rejecting a poll while this head has no state to serve.
const NO_STATE_YET: &str = "this head has received no update yet";

impl Member {
    /// Responds to the poll of a follower: with an update as soon as there is one or the poll's wait has
    /// passed, or with a redirect if the follower is not admitted.
    pub async fn serve_subscription(&self, subscription: Subscription, from: &Greeting) -> PeerResponse {
        let Some(store) = from.store else {
            return PeerResponse::Rejected("only a head with a store can follow".into());
        };
        let downstream = Downstream {
            peer: Peer { head: from.head.clone(), address: from.address.clone() },
            store,
            zone: from.zone.clone(),
            version: subscription.version,
            incarnation: from.incarnation.count,
        };
        let (role, bypass_relays) = (subscription.role, subscription.bypass_relays);
        let summary = subscription.summary.clone();
        let follower = PollingFollower { downstream, role, bypass_relays, summary };
        let directory = self.directory();
        let relays_known = directory.as_ref().is_some_and(|directory| !directory.is_empty());
        let admission = self.admit_follower(follower, relays_known);
        match admission {
            Admission::Admitted => {}
            Admission::RedirectedToRelays => return redirected(directory, subscription.cached, Vec::new()),
            Admission::Full => {
                return redirected(directory, subscription.cached, self.followers().peers());
            }
            Admission::DuplicateName => return PeerResponse::Rejected(DUPLICATE_NAME.into()),
        }
        let wait = subscription.poll_timeout.min(MAX_POLL_TIMEOUT_MS);
        self.wait_for_change(wait, |version| !is_up_to_date(&subscription, version)).await;
        let Some(source) = self.update_source() else {
            return PeerResponse::Rejected(NO_STATE_YET.into());
        };
        PeerResponse::Subscribed(self.update_within_permits(&source, &subscription, store))
    }

    /// Decides whether to serve a follower that polls.
    fn admit_follower(&self, follower: PollingFollower, relays_known: bool) -> Admission {
        let voters = self.state_machine.membership().voter_ids().collect();
        let mut followers = self.followers();
        followers.set_voters(voters);
        followers.admit(now(), follower, relays_known)
    }

    /// The update for a follower, or a retry-after if it is large and all permits for large transfers are
    /// taken.
    fn update_within_permits(
        &self,
        source: &UpdateSource,
        subscription: &Subscription,
        store: StoreId,
    ) -> SubscribeResponse {
        let may_transfer = self.transfer_permits().is_available(now(), store);
        // Without a permit only a small chunk could be sent, so no large one is built.
        let max_bytes = if may_transfer { CHUNK_BYTES } else { SMALL_CHUNK_BYTES };
        let update = self.state_machine.read(|view| source.update(view, subscription, max_bytes));
        if update.chunk.as_ref().is_some_and(needs_permit)
            && let Err(wait) = self.transfer_permits().acquire(now(), store)
        {
            return SubscribeResponse::RetryAfter(wait);
        }
        if update.chunk.as_ref().is_none_or(|chunk| chunk.up_to == chunk.version) {
            self.transfer_permits().release(store);
        }
        SubscribeResponse::Update(update)
    }

    /// Responds to the poll of a follower of an earlier version.
    pub async fn serve_update(&self, request: LegacyPollRequest, from: &Greeting) -> PeerResponse {
        if from.store != Some(request.follower.store) {
            return PeerResponse::Rejected("the store in the poll is not the store of the greeting".into());
        }
        let LegacyPollRequest { follower, subtree, since, first_version, wait_ms } = request;
        let version_of_follower = follower.version;
        let follower = PollingFollower {
            downstream: follower,
            role: FollowerRole::Head,
            // A follower of an earlier version cannot report that it reaches no relay, so it is not
            // redirected to relays.
            bypass_relays: true,
            summary: subtree.map(SubtreeSummary::from_followers),
        };
        let admission = self.admit_follower(follower, false);
        match admission {
            Admission::Admitted => {}
            Admission::DuplicateName => return PeerResponse::Rejected(DUPLICATE_NAME.into()),
            Admission::Full | Admission::RedirectedToRelays => {
                return PeerResponse::LegacyUpdate(
                    None,
                    LegacyUpdateResponse::Full { redirect: self.legacy_redirect() },
                );
            }
        }
        // A follower that is ahead of this head gets its response at once, so that it chooses another
        // upstream.
        let is_due = |version| first_version != 0 || version_of_follower != since || version != since;
        self.wait_for_change(wait_ms.min(RELAY_POLL_TIMEOUT_MS), is_due).await;
        let Some(UpdateSource { route, age, .. }) = self.update_source() else {
            return PeerResponse::Rejected(NO_STATE_YET.into());
        };
        let Route { origin, path, leader, voters } = route;
        let chunk = self.serve_chunk(since, first_version);
        PeerResponse::LegacyUpdate(origin, LegacyUpdateResponse::Chunk { chunk, path, age, leader, voters })
    }

    /// The next chunk for a head that has all changes up to `since`, in a transfer that began at
    /// `first_version`.
    pub fn serve_chunk(&self, since: u64, first_version: u64) -> Chunk {
        self.state_machine.read(|view| view.chunk(since, first_version, CHUNK_BYTES))
    }

    /// The heads to which a follower of an earlier version is redirected: the relays and this head's own
    /// followers.
    fn legacy_redirect(&self) -> Vec<Peer> {
        let directory = self.directory().unwrap_or_default();
        let mut peers: Vec<Peer> = directory.relays().iter().map(|relay| relay.peer.clone()).collect();
        peers.extend(self.followers().peers());
        peers.truncate(MAX_REDIRECT_PEERS);
        peers
    }

    /// Waits until `is_due` holds for this head's version, for `wait_ms` milliseconds at most.
    async fn wait_for_change(&self, wait_ms: u64, is_due: impl Fn(u64) -> bool) {
        let mut versions = self.state_machine.watch_version();
        let changed = versions.wait_for(|version| is_due(*version));
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
    }

    /// The data that this head serves to followers besides its view; `None` before its first update.
    fn update_source(&self) -> Option<UpdateSource> {
        let (path, age) = self.path_and_age();
        let (age, own) = (age?, self.network.own_greeting());
        let origin = Some(own.origin?);
        let leads = self.leads().then_some(Peer { head: own.head, address: own.address });
        let leader = leads.or_else(|| self.leader());
        let route = Route { origin, path, leader, voters: self.voters() };
        Some(UpdateSource { route, age, directory: self.directory() })
    }

    /// The relays that this head knows: a voter from their leases, a follower from its upstream. `None` if
    /// this head does not know whether there are relays.
    pub fn directory(&self) -> Option<RelayDirectory> {
        let registered = self.voting_registry().directory(now());
        registered.or_else(|| self.follower().directory().cloned())
    }

    /// The position of this head among relays and followers.
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

fn redirected(directory: Option<RelayDirectory>, cached: CachedDigests, peers: Vec<Peer>) -> PeerResponse {
    PeerResponse::Subscribed(SubscribeResponse::Redirect(redirect(directory.as_ref(), cached, peers)))
}
