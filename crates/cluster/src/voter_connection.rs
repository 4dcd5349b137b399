//! Raft over connections between heads: sends the consensus library's requests to other voters, and passes
//! their requests to the library.
//!
//! Each [`VoterConnection`] is owned by the consensus library, which retries failed requests. What a voter
//! acknowledges is recorded as the watermark of its store.

use crate::frame::{CountedConnection, exchange, with_timeout};
use crate::peer_network::PeerNetwork;
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
    network: PeerNetwork,
    target: StoreId,
    /// The voter's address; `None` if it is malformed.
    to: Option<SocketAddr>,
    stream: Option<CountedConnection>,
    /// The incarnation of the voter's store, from its greeting on the current connection.
    incarnation: Incarnation,
}

impl VoterConnection {
    /// Sends a request on the kept connection, or on a new one. The connection is dropped after an error.
    async fn request(&mut self, request: &PeerRequest, option: &RPCOption) -> io::Result<PeerResponse> {
        let to = self.to.ok_or_else(|| io::Error::other("the voter's address is malformed"))?;
        let exchanged = async {
            let mut stream = match self.stream.take() {
                Some(stream) => stream,
                None => {
                    let (stream, greeting) = self.network.dial(to).await?;
                    // Another store may use the voter's address now; its acknowledgements must not count as
                    // the voter's.
                    if greeting.store != Some(self.target) {
                        return Err(io::Error::other("the head at the voter's address has another store"));
                    }
                    self.incarnation = greeting.incarnation;
                    stream
                }
            };
            let response = exchange(&mut stream, request).await?;
            self.stream = Some(stream);
            // A voter that rejects Raft requests stores nothing, so it counts as unresponsive.
            if !matches!(response, PeerResponse::Rejected(_)) {
                self.network.record_response(self.target);
            }
            Ok(response)
        };
        with_timeout(option.hard_ttl(), exchanged).await
    }
}

fn unreachable<E: std::error::Error>(error: &io::Error) -> RPCError<StoreId, VoterAddress, E> {
    RPCError::Unreachable(Unreachable::new(error))
}

/// The error for a rejected request, or for a response that does not fit the request.
fn request_failed<E: std::error::Error>(response: &PeerResponse) -> RPCError<StoreId, VoterAddress, E> {
    let reason = match response {
        PeerResponse::Rejected(why) => why.clone(),
        _ => "unexpected type of response".to_owned(),
    };
    RPCError::Network(NetworkError::new(&io::Error::other(reason)))
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
            Ok(PeerResponse::Append(response)) => {
                if let AppendEntriesResponse::Success = response {
                    let last = last.map_or((0, 0), |last| (last.leader_id.term, last.index));
                    self.network.observe(
                        self.target,
                        self.incarnation,
                        Watermark { vote_term: vote, last_entry: last },
                    );
                }
                Ok(response)
            }
            Ok(other) => Err(request_failed(&other)),
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
            Ok(PeerResponse::Snapshot(response)) => Ok(response),
            Ok(PeerResponse::Mismatch(mismatch)) => {
                let error = RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch));
                Err(RPCError::RemoteError(RemoteError::new(self.target, error)))
            }
            Ok(other) => Err(request_failed(&other)),
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
            Ok(PeerResponse::Vote(response)) => {
                if response.vote_granted {
                    let watermark = Watermark { vote_term: vote, ..Watermark::default() };
                    self.network.observe(self.target, self.incarnation, watermark);
                }
                Ok(response)
            }
            Ok(other) => Err(request_failed(&other)),
            Err(error) => Err(unreachable(&error)),
        }
    }
}

impl RaftNetworkFactory<RaftTypes> for PeerNetwork {
    type Network = VoterConnection;

    async fn new_client(&mut self, target: StoreId, node: &VoterAddress) -> VoterConnection {
        let to = self.route(&node.head, &node.address);
        VoterConnection {
            network: self.clone(),
            target,
            to,
            stream: None,
            incarnation: Incarnation::default(),
        }
    }
}

/// Passes a Raft request of another head to the consensus library and returns the response.
///
/// # Errors
/// Returns the request if it is not a Raft request.
pub async fn respond_to_raft(raft: &Raft, request: PeerRequest) -> Result<PeerResponse, PeerRequest> {
    let rejected = |error: &dyn std::error::Error| PeerResponse::Rejected(error.to_string());
    Ok(match request {
        PeerRequest::Append(rpc) => {
            raft.append_entries(rpc).await.map_or_else(|error| rejected(&error), PeerResponse::Append)
        }
        PeerRequest::Vote(rpc) => {
            raft.vote(rpc).await.map_or_else(|error| rejected(&error), PeerResponse::Vote)
        }
        PeerRequest::Snapshot(rpc) => match raft.install_snapshot(rpc).await {
            Ok(response) => PeerResponse::Snapshot(response),
            Err(RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch))) => {
                PeerResponse::Mismatch(mismatch)
            }
            Err(error) => rejected(&error),
        },
        other => return Err(other),
    })
}
