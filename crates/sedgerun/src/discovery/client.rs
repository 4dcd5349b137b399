//! The HTTP client of discovery: one poll at a time, each with a bounded response.

use super::failure::PollFailure;
use crate::backend::MemoryBudget;
use crate::backend::http::{ConnectionTimeouts, client, content_length};
use crate::dispatch_service::DispatchService;
use awc::Client;
use awc::error::PayloadError;
use awc::http::StatusCode;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection to discovery may take to be made, and how long an idle one is kept.
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { dial: Duration::from_secs(1), idle: Duration::from_secs(60) };

/// What a poll requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    /// The generation that this head has; without one, the full list is requested.
    pub(super) since: Option<u64>,
    /// How long discovery may hold the poll until it has an update.
    pub(super) wait: Duration,
    /// How long the whole exchange may take.
    pub(super) timeout: Duration,
}

/// A client of the discovery at one address. Its connections close when it is dropped.
pub(super) struct PollClient {
    address: SocketAddr,
    http: Client,
}

impl PollClient {
    /// A client whose responses have at most so many bytes of body.
    pub(super) fn new(address: SocketAddr, dispatch: &DispatchService, max_bytes: usize) -> PollClient {
        let memory = MemoryBudget::new(max_bytes, max_bytes);
        let (descriptors, metrics) = (dispatch.backends().descriptors(), dispatch.metrics.discovery.clone());
        PollClient { address, http: client(CONNECTION_TIMEOUTS, &memory, descriptors, 0, Some(metrics)) }
    }

    /// Polls once; the text of the list.
    pub(super) async fn poll(&self, poll: Poll) -> Result<BytesMut, PollFailure> {
        let exchange = self.exchange(self.url(poll));
        tokio::time::timeout(poll.timeout, exchange).await.map_err(|_| PollFailure::TimedOut)?
    }

    fn url(&self, poll: Poll) -> String {
        let address = self.address;
        match poll.since {
            Some(since) => {
                format!("http://{address}/v1/servers?since={since}&timeout_ms={}", poll.wait.as_millis())
            }
            None => format!("http://{address}/v1/servers"),
        }
    }

    async fn exchange(&self, url: String) -> Result<BytesMut, PollFailure> {
        let mut response = self.http.get(url).send().await?;
        if response.status() != StatusCode::OK {
            return Err(PollFailure::Status(response.status().as_u16()));
        }
        let length = content_length(response.headers());
        collect_body(&mut response, length).await
    }
}

/// Collects a body, whose length the connection has checked against the bound.
async fn collect_body(
    mut chunks: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    length: usize,
) -> Result<BytesMut, PollFailure> {
    let mut body = BytesMut::with_capacity(length);
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.map_err(PollFailure::TruncatedBody)?);
    }
    Ok(body)
}
