//! Following: a head without a vote polls an upstream for updates.

use super::environment::now;
use super::member::Member;
use super::peer_connection::{CallError, PeerConnection};
use super::types::{Call, Reply, UpdateRequest};
use sedgerun_replication::follow::{ANSWER_TIMEOUT_MS, Downstream, FollowerStep, Peer, UpstreamPoll};
use sedgerun_replication::record::RecordType;
use sedgerun_replication::subscribe::{
    LegacyPeers, RELAY_WAIT_MS, SubscribeReply, Subscription, SummaryReporter, Update,
};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// A voter that has heard no leader for so long, in milliseconds, asks others whether it is one still.
const LEADER_SILENCE_MS: u64 = 2000;
/// Between checks of whether to follow.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Between the polls in which a follower reports its subtree to an upstream of an earlier version.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Between writes of what is held, at least.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between writes is at least so many times the length of the last one.
const SAVE_COST_FACTOR: u32 = 20;

/// Connections to the heads that are polled, and what was sent to them.
#[derive(Default)]
struct Polling {
    /// To the upstream, and to one that is probed beside it; by name.
    connections: BTreeMap<String, PeerConnection>,
    /// Heads of earlier versions, which do not know subscriptions.
    legacy: LegacyPeers,
    reporter: SummaryReporter,
    /// The upstream that has received what the reporter sent.
    reported_to: Option<String>,
    /// When the subtree was last reported to an upstream of an earlier version.
    reported_at: Option<Instant>,
}

impl Member {
    /// Follows for as long as this head does not vote.
    pub async fn follow(&self) {
        let mut polling = Polling::default();
        loop {
            let alone = self.election().leader_silence(now()) > LEADER_SILENCE_MS && !self.leads();
            if self.votes() && !alone {
                polling.connections.clear();
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let serves_followers = self.followers().count(now()) > 0;
            let next = self.machine.read(|view| self.follower().next_step(now(), view, serves_followers));
            let poll = match next {
                FollowerStep::Wait(until) => {
                    let wait = Duration::from_millis(until.saturating_sub(now()));
                    tokio::time::sleep(wait.clamp(Duration::from_millis(5), POLL_INTERVAL)).await;
                    continue;
                }
                FollowerStep::Poll(poll) => poll,
            };
            if let Err(why) = self.poll_upstream(&mut polling, &poll).await {
                tracing::debug!("fleet: not following {}: {why}", poll.peer.head);
            }
            let upstream = self.follower().upstream().map(|upstream| upstream.head.clone());
            polling.connections.retain(|head, _| Some(head) == upstream.as_ref());
        }
    }

    async fn poll_upstream(&self, polling: &mut Polling, poll: &UpstreamPoll) -> Result<(), String> {
        let reply = match self.exchange(polling, poll).await {
            Ok(reply) => reply,
            Err(why) => {
                self.follower().on_failure(now());
                polling.reported_to = None;
                return Err(why);
            }
        };
        let taken = self.machine.update_followed(|view| self.follower().on_reply(now(), view, reply));
        taken.map_err(|rejection| rejection.to_string())?;
        let (own, at) = (self.raft_id(), self.machine.membership().log_id().map_or(0, |at| at.index));
        if self.votes() && self.follower().voters.excludes(own, at) {
            tracing::warn!("fleet: others have taken this keeper's place; it follows");
            self.removed.store(true, Ordering::SeqCst);
        }
        Ok(())
    }

    /// One poll and its answer, in the way that the other end knows.
    async fn exchange(&self, polling: &mut Polling, poll: &UpstreamPoll) -> Result<SubscribeReply, String> {
        let to = self.links.route(&poll.peer.head, &poll.peer.address).ok_or("it has no address")?;
        let head = &poll.peer.head;
        let mut connection = match polling.connections.remove(head) {
            Some(connection) => connection,
            None => PeerConnection::dial(&self.links, to).await.map_err(|error| error.to_string())?,
        };
        let incarnation = connection.incarnation();
        let mut reply = Err(CallError::Hangup);
        if !polling.legacy.contains(now(), head, incarnation) {
            let call = self.subscription(polling, poll);
            reply = connection.call(&call, timeout(poll.wait)).await;
            if matches!(reply, Err(CallError::Hangup)) {
                polling.legacy.remember(now(), head, incarnation);
                connection =
                    PeerConnection::dial(&self.links, to).await.map_err(|error| error.to_string())?;
            }
        }
        if matches!(reply, Err(CallError::Hangup)) {
            let call = self.update_request(polling, poll);
            reply = connection.call(&call, timeout(poll.wait.min(RELAY_WAIT_MS))).await;
        }
        let reply = self.read_reply(reply.map_err(|error| error.to_string())?).await?;
        polling.connections.insert(head.clone(), connection);
        Ok(reply)
    }

    async fn read_reply(&self, reply: Reply) -> Result<SubscribeReply, String> {
        let reply = match reply {
            Reply::Subscribed(reply) => reply,
            Reply::Update(origin, reply) => reply.into_subscribe_reply(origin),
            Reply::Refused(why) => return Err(why),
            _ => return Err("an answer to something else".into()),
        };
        // From its first update on a head is of that fleet and of no other.
        if let SubscribeReply::Update(Update { route: Some(route), .. }) = &reply
            && route.origin.is_some()
        {
            self.adopt(route.origin).await?;
        }
        Ok(reply)
    }

    fn subscription(&self, polling: &mut Polling, poll: &UpstreamPoll) -> Call {
        let (role, region, cached, upstream) = {
            let follower = self.follower();
            let upstream = follower.upstream().map(|upstream| upstream.head.clone());
            (follower.role(), follower.region().map(str::to_owned), follower.cached_digests(), upstream)
        };
        // A head that is only probed is told nothing of the subtree.
        let is_upstream = upstream.as_ref() == Some(&poll.peer.head);
        if is_upstream && polling.reported_to != upstream {
            polling.reporter.reset();
            polling.reported_to = upstream;
        }
        let summary = self.followers().summary(now());
        let summary = if is_upstream { polling.reporter.due(now(), summary) } else { None };
        Call::Subscribe(Box::new(Subscription {
            role,
            region,
            version: self.machine.read(|view| view.version),
            since: poll.since,
            first_version: poll.first_version,
            wait: poll.wait,
            cached,
            // A voter that asks whether it is one still wants an answer, not an upstream.
            bypass_relays: poll.bypass_relays || self.votes(),
            summary,
        }))
    }

    /// The same poll in the words of earlier versions.
    fn update_request(&self, polling: &mut Polling, poll: &UpstreamPoll) -> Call {
        let own = self.links.own();
        let follower = Downstream {
            at: Peer { head: own.head, address: own.address },
            store: self.raft_id(),
            zone: own.zone,
            version: self.machine.read(|view| view.version),
            incarnation: own.incarnation.count,
        };
        let reports = polling.reported_at.is_none_or(|reported| reported.elapsed() >= REPORT_INTERVAL);
        if reports {
            polling.reported_at = Some(Instant::now());
        }
        Call::Follow(Box::new(UpdateRequest {
            follower,
            subtree: reports.then(|| self.followers().subtree(now())),
            since: poll.since,
            first_version: poll.first_version,
            wait_ms: poll.wait,
        }))
    }

    /// Writes down what this head holds as a follower, so that it serves at its next start whoever is there.
    pub async fn save_followed(&self) {
        let mut written = self.machine.followed_version();
        let mut pause = SAVE_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            if self.machine.followed_version() == written {
                continue;
            }
            let Some(followed) = self.machine.followed() else { continue };
            let begun = Instant::now();
            if let Err(what) = self.disk.put(RecordType::View, "view", &followed).await {
                tracing::error!("fleet: what this head holds is not written down: {what}");
            }
            written = followed.version;
            pause = SAVE_INTERVAL.max(begun.elapsed() * SAVE_COST_FACTOR);
        }
    }
}

fn timeout(wait: u64) -> Duration {
    Duration::from_millis(wait + ANSWER_TIMEOUT_MS)
}
