//! Following: a head without a vote polls an upstream for updates and applies them.
//!
//! [`Follower`](sedgerun_replication::follow::Follower) decides which head to poll and which responses to
//! accept. This module makes the connections, sends the requests in the form that each upstream supports, and
//! saves the received view.

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

/// A voter that has received no leader's heartbeat for this long, in milliseconds, polls other heads to learn
/// whether it has been removed from the voters.
const LEADER_CONTACT_TIMEOUT_MS: u64 = 2000;
/// Interval between checks of whether to follow.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum sleep between two steps of the follower.
const MIN_SLEEP: Duration = Duration::from_millis(5);
/// Interval at which a follower reports its own followers to an upstream of an earlier version.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum pause between two writes of the view.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum pause after a write of the view, as a multiple of the write's duration.
const SAVE_COST_FACTOR: u32 = 20;

/// Why a poll failed.
#[derive(Debug, Error)]
enum PollError {
    /// The address of the head is malformed.
    #[error("its address is malformed")]
    NoAddress,
    /// The head cannot be reached, or rejects this one.
    #[error(transparent)]
    Dial(io::Error),
    /// The head did not respond.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The head rejected the poll, for this reason.
    #[error("{0}")]
    PollRejected(String),
    /// The response does not fit the request.
    #[error("unexpected type of response")]
    UnexpectedResponse,
    /// The head belongs to another cluster, or its origin cannot be saved.
    #[error(transparent)]
    Adopt(#[from] AdoptError),
    /// This head did not accept the response.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

/// Connections to the polled heads, and what has been reported to them.
#[derive(Default)]
struct PollingState {
    /// Connections by name: to the upstream, and to another head that is being probed.
    connections: BTreeMap<String, PeerConnection>,
    /// Heads of earlier versions, which do not know subscriptions.
    legacy: LegacyPeers,
    reporter: SummaryReporter,
    /// Name of the upstream that has received the reporter's summaries.
    reported_to: Option<String>,
    /// When this head last reported its followers to an upstream of an earlier version.
    reported_at: Option<Instant>,
}

impl Member {
    /// Polls for updates while this head does not vote, or votes without contact to a leader. Never returns.
    pub async fn follow(&self) {
        let mut polling = PollingState::default();
        loop {
            let misses_leader =
                self.election().time_since_heartbeat(now()) > LEADER_CONTACT_TIMEOUT_MS && !self.leads();
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
                tracing::debug!("fleet: poll of {} failed: {error}", poll.peer.head);
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
        self.state_machine.update_follower_view(|view| self.follower().on_response(now(), view, reply))?;
        self.check_still_voter();
        Ok(())
    }

    /// Stops voting if the upstream knows a newer set of voters without this store.
    fn check_still_voter(&self) {
        let log_index = self.state_machine.membership().log_id().map_or(0, |at| at.index);
        if self.votes() && self.follower().voters.excludes(self.raft_id(), log_index) {
            tracing::warn!("fleet: this head has been removed from the voters; continuing as a follower");
            self.is_removed.store(true, Ordering::SeqCst);
        }
    }

    /// Sends one poll in the form that the polled head supports, and reads the response. A head that closes
    /// the connection on a subscription is of an earlier version, and is polled again in the earlier form.
    async fn exchange(
        &self,
        polling: &mut PollingState,
        poll: &UpstreamPoll,
    ) -> Result<SubscribeResponse, PollError> {
        let to = self.network.route(&poll.peer.head, &poll.peer.address).ok_or(PollError::NoAddress)?;
        let head = &poll.peer.head;
        let mut connection = match polling.connections.remove(head) {
            Some(connection) => connection,
            None => PeerConnection::dial(&self.network, to).await.map_err(PollError::Dial)?,
        };
        let incarnation = connection.incarnation();
        let mut response = Err(RequestError::ClosedByPeer);
        if !polling.legacy.contains(now(), head, incarnation) {
            let request = self.subscription(polling, poll);
            response = connection.request(&request, response_timeout(poll.poll_timeout)).await;
            if matches!(response, Err(RequestError::ClosedByPeer)) {
                polling.legacy.remember(now(), head, incarnation);
                connection = PeerConnection::dial(&self.network, to).await.map_err(PollError::Dial)?;
            }
        }
        if matches!(response, Err(RequestError::ClosedByPeer)) {
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
            PeerResponse::Rejected(why) => return Err(PollError::PollRejected(why)),
            _ => return Err(PollError::UnexpectedResponse),
        };
        // From its first update on, this head belongs to the upstream's cluster.
        if let SubscribeResponse::Update(Update { route: Some(route), .. }) = &reply
            && route.origin.is_some()
        {
            self.adopt_origin(route.origin).await?;
        }
        Ok(reply)
    }

    /// Builds the request of a poll.
    fn subscription(&self, polling: &mut PollingState, poll: &UpstreamPoll) -> PeerRequest {
        let (role, region, cached, upstream) = {
            let follower = self.follower();
            let upstream = follower.upstream().map(|upstream| upstream.head.clone());
            (follower.role(), follower.region().map(str::to_owned), follower.cached_digests(), upstream)
        };
        // A head that is only probed does not receive the summary of this head's followers.
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
            // A voter polls only to learn whether it still votes, so it needs a response and no redirect to a
            // relay.
            bypass_relays: poll.bypass_relays || self.votes(),
            summary,
        }))
    }

    /// Builds the request of a poll in the form of earlier versions.
    fn update_request(&self, polling: &mut PollingState, poll: &UpstreamPoll) -> PeerRequest {
        let own = self.network.own_greeting();
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

    /// Saves the view that this head receives as a follower whenever it has changed, so that after a restart
    /// the head can serve clients even if it reaches no other head. Never returns.
    pub async fn save_follower_view(&self) {
        let mut saved_version = self.state_machine.follower_view_version();
        let mut pause = SAVE_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            if self.state_machine.follower_view_version() == saved_version {
                continue;
            }
            let Some(follower_view) = self.state_machine.follower_view() else { continue };
            let begun = Instant::now();
            if let Err(error) = self.disk.put(RecordType::View, key::VIEW, &follower_view).await {
                tracing::error!("fleet: cannot save the view received as a follower: {error}");
            }
            saved_version = follower_view.version;
            pause = SAVE_INTERVAL.max(begun.elapsed() * SAVE_COST_FACTOR);
        }
    }
}

/// Timeout of a poll for which the upstream may wait `wait_ms` milliseconds before it responds.
fn response_timeout(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS)
}
