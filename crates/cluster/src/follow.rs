//! Following, as a head without a vote does: it polls an upstream for updates and applies them.
//!
//! Which head to poll and what to accept is decided by [`Follower`](sedgerun_replication::follow::Follower); here are the
//! connections, the requests in the form that each upstream knows, and the saving of what was received.

use crate::disk::key;
use crate::environment::now;
use crate::member::{AdoptError, Member};
use crate::peer_connection::{PeerConnection, RequestError};
use crate::types::{LegacyPollRequest, PeerRequest, PeerResponse};
use sedgerun_replication::follow::{
    Downstream, FollowerStep, Peer, RESPONSE_TIMEOUT_MS, Rejection, UpstreamPoll,
};
use sedgerun_replication::record::RecordType;
use sedgerun_replication::subscribe::{
    LegacyPeers, RELAY_POLL_TIMEOUT_MS, SubscribeResponse, Subscription, SummaryReporter, Update,
};
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// A voter without a heartbeat of a leader for this long, in milliseconds, polls others to learn whether it still votes.
const LEADER_SILENCE_MS: u64 = 2000;
/// Time between checks of whether to follow.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest sleep between two steps of the follower.
const MIN_SLEEP: Duration = Duration::from_millis(5);
/// Time between polls in which a follower reports its subtree to an upstream of an earlier version.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest time between two writes of the view.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after a write of the view is at least this many times as long as the write.
const SAVE_COST_FACTOR: u32 = 20;

/// Why a poll did not bring an update.
#[derive(Debug, Error)]
enum PollError {
    /// The address of the head is malformed.
    #[error("it has no address")]
    NoAddress,
    /// The head cannot be reached, or rejects this one.
    #[error(transparent)]
    Dial(io::Error),
    /// The head did not answer.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The head refuses the poll, for this reason.
    #[error("{0}")]
    Refused(String),
    /// The response does not fit the request.
    #[error("an answer to something else")]
    UnexpectedResponse,
    /// The head's cluster is not this one's, or its origin cannot be saved.
    #[error(transparent)]
    Adopt(#[from] AdoptError),
    /// The head is not followed.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

/// Connections to the heads that are polled, and what was sent to them.
#[derive(Default)]
struct PollingState {
    /// To the upstream, and to a head that is probed beside it; by name.
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
    /// Follows while this head does not vote, for as long as the future is polled.
    pub async fn follow(&self) {
        let mut polling = PollingState::default();
        loop {
            let misses_leader =
                self.election().time_since_heartbeat(now()) > LEADER_SILENCE_MS && !self.leads();
            if self.votes() && !misses_leader {
                polling.connections.clear();
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let serves_followers = self.followers().count(now()) > 0;
            let step =
                self.state_machine.read(|view| self.follower().next_step(now(), view, serves_followers));
            let poll = match step {
                FollowerStep::WaitUntil(until) => {
                    let wait = Duration::from_millis(until.saturating_sub(now()));
                    tokio::time::sleep(wait.clamp(MIN_SLEEP, POLL_INTERVAL)).await;
                    continue;
                }
                FollowerStep::Poll(poll) => poll,
            };
            if let Err(error) = self.poll_upstream(&mut polling, &poll).await {
                tracing::debug!("fleet: not following {}: {error}", poll.peer.head);
            }
            let upstream = self.follower().upstream().map(|upstream| upstream.head.clone());
            polling.connections.retain(|head, _| Some(head) == upstream.as_ref());
        }
    }

    async fn poll_upstream(&self, polling: &mut PollingState, poll: &UpstreamPoll) -> Result<(), PollError> {
        let reply = match self.exchange(polling, poll).await {
            Ok(reply) => reply,
            Err(error) => {
                self.follower().on_failure(now());
                polling.reported_to = None;
                return Err(error);
            }
        };
        self.state_machine.update_followed(|view| self.follower().on_response(now(), view, reply))?;
        self.check_still_voter();
        Ok(())
    }

    /// Stops voting if the upstream knows newer voters without this store.
    fn check_still_voter(&self) {
        let log_index = self.state_machine.membership().log_id().map_or(0, |at| at.index);
        if self.votes() && self.follower().voters.excludes(self.raft_id(), log_index) {
            tracing::warn!("fleet: others have taken this voter's place; it follows");
            self.is_removed.store(true, Ordering::SeqCst);
        }
    }

    /// Sends one poll in the form that the other end knows, and reads the answer.
    async fn exchange(
        &self,
        polling: &mut PollingState,
        poll: &UpstreamPoll,
    ) -> Result<SubscribeResponse, PollError> {
        let to = self.links.route(&poll.peer.head, &poll.peer.address).ok_or(PollError::NoAddress)?;
        let head = &poll.peer.head;
        let mut connection = match polling.connections.remove(head) {
            Some(connection) => connection,
            None => PeerConnection::dial(&self.links, to).await.map_err(PollError::Dial)?,
        };
        let incarnation = connection.incarnation();
        let mut response = Err(RequestError::Hangup);
        if !polling.legacy.contains(now(), head, incarnation) {
            let request = self.subscription(polling, poll);
            response = connection.request(&request, response_timeout(poll.poll_timeout)).await;
            if matches!(response, Err(RequestError::Hangup)) {
                polling.legacy.remember(now(), head, incarnation);
                connection = PeerConnection::dial(&self.links, to).await.map_err(PollError::Dial)?;
            }
        }
        if matches!(response, Err(RequestError::Hangup)) {
            let request = self.update_request(polling, poll);
            let timeout = response_timeout(poll.poll_timeout.min(RELAY_POLL_TIMEOUT_MS));
            response = connection.request(&request, timeout).await;
        }
        let reply = self.read_response(response?).await?;
        polling.connections.insert(head.clone(), connection);
        Ok(reply)
    }

    async fn read_response(&self, response: PeerResponse) -> Result<SubscribeResponse, PollError> {
        let reply = match response {
            PeerResponse::Subscribed(reply) => reply,
            PeerResponse::LegacyUpdate(origin, reply) => reply.into_subscribe_response(origin),
            PeerResponse::Rejected(why) => return Err(PollError::Refused(why)),
            _ => return Err(PollError::UnexpectedResponse),
        };
        // From its first update on a head belongs to that cluster and to no other.
        if let SubscribeResponse::Update(Update { route: Some(route), .. }) = &reply
            && route.origin.is_some()
        {
            self.adopt(route.origin).await?;
        }
        Ok(reply)
    }

    fn subscription(&self, polling: &mut PollingState, poll: &UpstreamPoll) -> PeerRequest {
        let (role, region, cached, upstream) = {
            let follower = self.follower();
            let upstream = follower.upstream().map(|upstream| upstream.head.clone());
            (follower.role(), follower.region().map(str::to_owned), follower.cached_digests(), upstream)
        };
        // A head that is only probed does not receive the summary of the subtree.
        let is_upstream = upstream.as_ref() == Some(&poll.peer.head);
        if is_upstream && polling.reported_to != upstream {
            polling.reporter.reset();
            polling.reported_to = upstream;
        }
        let summary = self.followers().summary(now());
        let summary = if is_upstream { polling.reporter.next_report(now(), summary) } else { None };
        PeerRequest::Subscribe(Box::new(Subscription {
            role,
            region,
            version: self.state_machine.read(|view| view.version),
            since: poll.since,
            first_version: poll.first_version,
            poll_timeout: poll.poll_timeout,
            cached,
            // A voter that polls to learn whether it still votes needs an answer, not an upstream.
            bypass_relays: poll.bypass_relays || self.votes(),
            summary,
        }))
    }

    /// The same poll in the form of earlier versions.
    fn update_request(&self, polling: &mut PollingState, poll: &UpstreamPoll) -> PeerRequest {
        let own = self.links.own();
        let follower = Downstream {
            peer: Peer { head: own.head, address: own.address },
            store: self.raft_id(),
            zone: own.zone,
            version: self.state_machine.read(|view| view.version),
            incarnation: own.incarnation.count,
        };
        let reports = polling.reported_at.is_none_or(|reported| reported.elapsed() >= REPORT_INTERVAL);
        if reports {
            polling.reported_at = Some(Instant::now());
        }
        PeerRequest::LegacyPoll(Box::new(LegacyPollRequest {
            follower,
            subtree: reports.then(|| self.followers().subtree(now())),
            since: poll.since,
            first_version: poll.first_version,
            wait_ms: poll.poll_timeout,
        }))
    }

    /// Saves the view that this head receives as a follower, for as long as the future is polled, so that at its next
    /// start it serves clients whether or not it reaches others.
    pub async fn save_followed(&self) {
        let mut saved_version = self.state_machine.followed_version();
        let mut pause = SAVE_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            if self.state_machine.followed_version() == saved_version {
                continue;
            }
            let Some(followed) = self.state_machine.followed() else { continue };
            let begun = Instant::now();
            if let Err(error) = self.disk.put(RecordType::View, key::VIEW, &followed).await {
                tracing::error!("fleet: what this head holds is not written down: {error}");
            }
            saved_version = followed.version;
            pause = SAVE_INTERVAL.max(begun.elapsed() * SAVE_COST_FACTOR);
        }
    }
}

/// Time for the response to a poll that waits for `wait_ms` milliseconds at the other end.
fn response_timeout(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS)
}
