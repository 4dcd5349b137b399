//! Raft over connections between heads: the consensus library's requests to other voters, and its responses to theirs.
//!
//! Each [`VoterConnection`] belongs to the consensus library, which retries. What a voter acknowledges here is noted as
//! its watermark.

use crate::frame::{CountedConnection, exchange, within};
use crate::link::Links;
use crate::types::{PeerRequest, PeerResponse, Raft, RaftTypes, VoterAddress};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::RPCOption;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{RaftNetwork, RaftNetworkFactory};
use sedgerun_replication::store::StoreId;
use sedgerun_replication::watermark::{Incarnation, Watermark};
use std::io;
use std::net::SocketAddr;

/// The connection to one voter, for the consensus library.
pub struct VoterConnection {
    links: Links,
    target: StoreId,
    to: Option<SocketAddr>,
    stream: Option<CountedConnection>,
    /// The incarnation of the store at the other end.
    incarnation: Incarnation,
}

impl VoterConnection {
    /// Sends a request; the connection is kept until an error.
    async fn request(&mut self, request: &PeerRequest, option: &RPCOption) -> io::Result<PeerResponse> {
        let to = self.to.ok_or_else(|| io::Error::other("no address"))?;
        let exchanged = async {
            let mut stream = match self.stream.take() {
                Some(stream) => stream,
                None => {
                    let (stream, greeting) = self.links.dial(to).await?;
                    // Guards against counting another store in the place of the voter that had this address.
                    if greeting.store != Some(self.target) {
                        return Err(io::Error::other("another store lives there"));
                    }
                    self.incarnation = greeting.incarnation;
                    stream
                }
            };
            let response = exchange(&mut stream, request).await?;
            self.stream = Some(stream);
            // Guards against a voter that answers but no longer stores anything: it counts as silent.
            if !matches!(response, PeerResponse::Rejected(_)) {
                self.links.record_answer(self.target);
            }
            Ok(response)
        };
        within(option.hard_ttl(), exchanged).await
    }
}

fn unreachable<E: std::error::Error>(error: &io::Error) -> RPCError<StoreId, VoterAddress, E> {
    RPCError::Unreachable(Unreachable::new(error))
}

/// The error for a refusal, or for a response that does not fit the request.
fn refused<E: std::error::Error>(response: &PeerResponse) -> RPCError<StoreId, VoterAddress, E> {
    let what = match response {
        PeerResponse::Rejected(why) => why.clone(),
        _ => "an answer to something else".to_owned(),
    };
    RPCError::Network(NetworkError::new(&io::Error::other(what)))
}

impl RaftNetwork<RaftTypes> for VoterConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<StoreId>, RPCError<StoreId, VoterAddress, RaftError<StoreId>>> {
        let last = rpc.entries.last().map(|entry| entry.log_id).or(rpc.prev_log_id);
        let vote = rpc.vote.leader_id().term;
        match self.request(&PeerRequest::Append(rpc), &option).await {
            Ok(PeerResponse::Append(answer)) => {
                if let AppendEntriesResponse::Success = answer {
                    let last = last.map_or((0, 0), |last| (last.leader_id.term, last.index));
                    self.links.observe(
                        self.target,
                        self.incarnation,
                        Watermark { vote_term: vote, last_entry: last },
                    );
                }
                Ok(answer)
            }
            Ok(other) => Err(refused(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<
        InstallSnapshotResponse<StoreId>,
        RPCError<StoreId, VoterAddress, RaftError<StoreId, InstallSnapshotError>>,
    > {
        match self.request(&PeerRequest::Snapshot(rpc), &option).await {
            Ok(PeerResponse::Snapshot(answer)) => Ok(answer),
            Ok(PeerResponse::Mismatch(mismatch)) => {
                let error = RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch));
                Err(RPCError::RemoteError(RemoteError::new(self.target, error)))
            }
            Ok(other) => Err(refused(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<StoreId>,
        option: RPCOption,
    ) -> Result<VoteResponse<StoreId>, RPCError<StoreId, VoterAddress, RaftError<StoreId>>> {
        let vote = rpc.vote.leader_id().term;
        match self.request(&PeerRequest::Vote(rpc), &option).await {
            Ok(PeerResponse::Vote(answer)) => {
                if answer.vote_granted {
                    let watermark = Watermark { vote_term: vote, ..Watermark::default() };
                    self.links.observe(self.target, self.incarnation, watermark);
                }
                Ok(answer)
            }
            Ok(other) => Err(refused(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }
}

impl RaftNetworkFactory<RaftTypes> for Links {
    type Network = VoterConnection;

    async fn new_client(&mut self, target: StoreId, node: &VoterAddress) -> VoterConnection {
        let to = self.route(&node.head, &node.address);
        VoterConnection { links: self.clone(), target, to, stream: None, incarnation: Incarnation::default() }
    }
}

/// Answers a Raft request.
///
/// # Errors
/// The request, if it is not one of Raft.
pub async fn answer_raft(raft: &Raft, request: PeerRequest) -> Result<PeerResponse, PeerRequest> {
    let refused = |error: &dyn std::error::Error| PeerResponse::Rejected(error.to_string());
    Ok(match request {
        PeerRequest::Append(rpc) => {
            raft.append_entries(rpc).await.map_or_else(|error| refused(&error), PeerResponse::Append)
        }
        PeerRequest::Vote(rpc) => {
            raft.vote(rpc).await.map_or_else(|error| refused(&error), PeerResponse::Vote)
        }
        PeerRequest::Snapshot(rpc) => match raft.install_snapshot(rpc).await {
            Ok(response) => PeerResponse::Snapshot(response),
            Err(RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch))) => {
                PeerResponse::Mismatch(mismatch)
            }
            Err(error) => refused(&error),
        },
        other => return Err(other),
    })
}
