//! Responses to requests of other heads.

use super::Member;
use crate::disk::failpoint;
use crate::environment::now;
use crate::types::{LogId, PeerRequest, PeerResponse};
use crate::voter_connection::respond_to_raft;
use openraft::raft::AppendEntriesResponse;
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::watermark::Watermark;
use std::sync::atomic::Ordering;

impl Member {
    /// Processes a request of the head that sent the greeting `from`.
    pub async fn respond(&self, request: PeerRequest, from: &Greeting) -> PeerResponse {
        match request {
            PeerRequest::Append(_) | PeerRequest::Vote(_) | PeerRequest::Snapshot(_) => {
                self.respond_as_voter(request, from).await
            }
            PeerRequest::CommitChange(change, left_ms) => self.change_for_peer(change, left_ms).await,
            PeerRequest::SubmitChange(change) => match self.change(change).await {
                Ok(outcome) => PeerResponse::Changed(outcome),
                Err(error) => PeerResponse::Rejected(error.to_string()),
            },
            PeerRequest::LinearizableVersion => match self.linearizable_version().await {
                Ok(version) => PeerResponse::LinearizableVersion(version),
                Err(error) => PeerResponse::Rejected(error.to_string()),
            },
            PeerRequest::Begin => match self.begin().await {
                Ok(()) => PeerResponse::Begun,
                Err(error) => PeerResponse::Rejected(error.to_string()),
            },
            PeerRequest::PreVote(last) => PeerResponse::PreVote(self.raft_id(), self.grants_pre_vote(last)),
            PeerRequest::LegacyPoll(request) => self.serve_update(*request, from).await,
            PeerRequest::Subscribe(subscription) => self.serve_subscription(*subscription, from).await,
            PeerRequest::RegisterRelay(registration) => self.register_relay(registration, from),
            PeerRequest::Distribution => PeerResponse::Distribution(Box::new(self.distribution())),
            PeerRequest::Chunk(since, first_version) => {
                PeerResponse::Chunk(self.serve_chunk(since, first_version))
            }
            PeerRequest::Status => PeerResponse::Status(Box::new(self.status())),
        }
    }

    /// Processes a Raft request.
    async fn respond_as_voter(&self, request: PeerRequest, from: &Greeting) -> PeerResponse {
        // A store that was restored from an older copy of its disk may have forgotten what it acknowledged.
        // It must not acknowledge anything else until the recovery has excluded that.
        if self.network.is_rolled_back() || !self.has_recovered.load(Ordering::SeqCst) {
            return PeerResponse::Rejected(
                "the store is still recovering after its start, or is an older copy of its disk".into(),
            );
        }
        // From its first Raft request on, this head belongs to the sender's cluster.
        if let Err(error) = self.adopt_origin(from.origin).await {
            return PeerResponse::Rejected(error.to_string());
        }
        let (received_at, sender_watermark) = (now(), sender_watermark(&request));
        let Ok(response) = respond_to_raft(&self.raft, request).await else {
            return PeerResponse::Rejected("not a request of the consensus protocol".into());
        };
        failpoint("before the response to a leader");
        if let PeerResponse::Append(append_response) = &response
            && !matches!(append_response, AppendEntriesResponse::HigherVote(_))
        {
            self.election().on_heartbeat(received_at);
            self.is_removed.store(false, Ordering::SeqCst);
        }
        // The leader counts itself in the majority, and a candidate its own vote, so the sender's watermark
        // is recorded too: an older copy of the sender's disk must be detected like that of any other voter.
        // The model in crates/replication/tests found this.
        if let (Some(store), Some(watermark)) = (from.store, sender_watermark) {
            self.network.observe(store, from.incarnation, watermark);
        }
        response
    }
}

/// The watermark of the sender's store that follows from its request: it has saved the vote and synced the
/// entries that it sends.
fn sender_watermark(request: &PeerRequest) -> Option<Watermark> {
    let position = |at: LogId| (at.leader_id.term, at.index);
    match request {
        PeerRequest::Append(rpc) => {
            let last = rpc.entries.last().map(|entry| entry.log_id).or(rpc.prev_log_id);
            Some(Watermark {
                vote_term: rpc.vote.leader_id().term,
                last_entry: last.map_or((0, 0), position),
            })
        }
        PeerRequest::Vote(rpc) => {
            Some(Watermark { vote_term: rpc.vote.leader_id().term, last_entry: (0, 0) })
        }
        _ => None,
    }
}
