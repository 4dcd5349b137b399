//! Responses to requests of other heads.

use super::Member;
use crate::disk::crash_point;
use crate::environment::now;
use crate::types::{LogId, PeerRequest, PeerResponse};
use crate::voter_connection::answer_raft;
use openraft::raft::AppendEntriesResponse;
use sedgerun_replication::greeting::Greeting;
use sedgerun_replication::watermark::Watermark;
use std::sync::atomic::Ordering;

impl Member {
    /// Answers a request of the head that sent this greeting.
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
            PeerRequest::PreVote(last) => PeerResponse::PreVote(self.raft_id(), self.is_silent(last)),
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

    /// Answers a Raft request.
    async fn respond_as_voter(&self, request: PeerRequest, from: &Greeting) -> PeerResponse {
        // Guards against acknowledgements on top of an older copy of the disk.
        if self.links.is_rolled_back() || !self.has_recovered.load(Ordering::SeqCst) {
            return PeerResponse::Rejected(
                "has just started, and asks the others what it has acknowledged".into(),
            );
        }
        // A head that takes part in the consensus is of the same cluster, from its first Raft request on.
        if let Err(error) = self.adopt(from.origin).await {
            return PeerResponse::Rejected(error.to_string());
        }
        let (received_at, sender_watermark) = (now(), sender_watermark(&request));
        let Ok(response) = answer_raft(&self.raft, request).await else {
            return PeerResponse::Rejected("not a request of the consensus protocol".into());
        };
        crash_point("before the response to a leader");
        if let PeerResponse::Append(answer) = &response
            && !matches!(answer, AppendEntriesResponse::HigherVote(_))
        {
            self.election().on_heartbeat(received_at);
            self.is_removed.store(false, Ordering::SeqCst);
        }
        // A leader counts itself, too: it has synced what it sends, and a copy of its disk from before that is as
        // outdated as any other's. The model in crates/replication/tests found this.
        if let (Some(store), Some(watermark)) = (from.store, sender_watermark) {
            self.links.observe(store, from.incarnation, watermark);
        }
        response
    }
}

/// How far the sender's store is, by its own request: its vote is saved, and the entries that it sends are synced.
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
