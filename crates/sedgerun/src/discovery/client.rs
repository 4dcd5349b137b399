//! The HTTP client of discovery: one poll at a time, each with a bounded response.

use super::failure::PollFailure;
use crate::backend::http::{
    BodyReader, Connection, ConnectionResources, ConnectionTimeouts, IdleConnections, MAX_HEAD_BYTES,
    ResponseError,
};
use crate::dispatch_service::DispatchService;
use crate::http1::BodyFraming;
use crate::memory_budget::{BodyTooLarge, MemoryBudget};
use http::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection to discovery may take to be made, and how long an idle one is kept.
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { dial: Duration::from_secs(1), idle: Duration::from_secs(60) };
/// Time for a whole list, in times that its transfer may pause.
const TRANSFER_STALLS: u32 = 4;
/// Time in which the request of a poll must be taken by the socket.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// What a poll requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    /// The generation that this head has; without one, the full list is requested.
    pub(super) since: Option<u64>,
    /// How long discovery may hold the poll until it has an update.
    pub(super) wait: Duration,
    /// How long the response may take to begin.
    pub(super) timeout: Duration,
}

impl Poll {
    /// How long discovery may pause within its response.
    fn stall_time(&self) -> Duration {
        self.timeout.saturating_sub(self.wait)
    }

    /// How long the whole exchange may take. A list that is still being written has a few times as long as the pause
    /// that ends it: the next poll would find it no shorter.
    fn exchange_time(&self) -> Duration {
        self.timeout.max(TRANSFER_STALLS * self.stall_time())
    }
}

/// A client of the discovery at one address. Its connections close when it is dropped.
pub(super) struct PollClient {
    address: SocketAddr,
    connections: Rc<IdleConnections>,
    resources: ConnectionResources,
    max_bytes: usize,
}

impl PollClient {
    /// A client whose responses have at most so many bytes of body.
    pub(super) fn new(address: SocketAddr, dispatch: &DispatchService, max_bytes: usize) -> PollClient {
        let resources = ConnectionResources {
            descriptors: dispatch.backends().descriptors().clone(),
            min_descriptors: 0,
            head_budget: MemoryBudget::new(MAX_HEAD_BYTES, MAX_HEAD_BYTES),
            traffic: Some(dispatch.metrics.discovery.clone()),
        };
        let connections = IdleConnections::new(CONNECTION_TIMEOUTS.idle);
        PollClient { address, connections, resources, max_bytes }
    }

    /// Polls once; the text of the list.
    pub(super) async fn poll(&self, poll: Poll) -> Result<Vec<u8>, PollFailure> {
        let exchange = self.exchange(poll);
        tokio::time::timeout(poll.exchange_time(), exchange).await.map_err(|_| PollFailure::TimedOut)?
    }

    fn target(&self, poll: Poll) -> String {
        match poll.since {
            Some(since) => format!("/v1/servers?since={since}&timeout_ms={}", poll.wait.as_millis()),
            None => "/v1/servers".to_owned(),
        }
    }

    async fn exchange(&self, poll: Poll) -> Result<Vec<u8>, PollFailure> {
        let begun = tokio::time::timeout(poll.timeout, self.begin(poll)).await;
        let (reader, framing) = begun.map_err(|_| PollFailure::TimedOut)??;
        self.collect(reader, framing, poll.stall_time()).await
    }

    /// Sends a poll and reads the head of its response.
    async fn begin(&self, poll: Poll) -> Result<(BodyReader, BodyFraming), PollFailure> {
        let mut connection = match self.connections.take() {
            Some(connection) => connection,
            None => Connection::open(self.address, CONNECTION_TIMEOUTS.dial, &self.resources).await?,
        };
        let head = format!("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", self.target(poll), self.address);
        connection.send(head.as_bytes(), &[], SEND_TIMEOUT).await.map_err(ResponseError::Connection)?;
        let summary = connection.read_head(|| {}).await?;
        if summary.status != StatusCode::OK.as_u16() {
            return Err(PollFailure::Status(summary.status));
        }
        let connections = summary.keep_alive.then(|| Rc::clone(&self.connections));
        Ok((BodyReader::new(connection, summary.framing, connections), summary.framing))
    }

    /// Collects a body within the bound. One without a length may have been cut off anywhere.
    async fn collect(
        &self,
        mut reader: BodyReader,
        framing: BodyFraming,
        stall_time: Duration,
    ) -> Result<Vec<u8>, PollFailure> {
        let max_bytes = self.max_bytes;
        let too_large = |bytes| PollFailure::of_body(BodyTooLarge { bytes, max_bytes }.into());
        let mut text = Vec::new();
        if let BodyFraming::Length(length) = framing {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > max_bytes {
                return Err(too_large(length as u64));
            }
            text.reserve_exact(length);
        }
        loop {
            let waited = tokio::time::timeout(stall_time, reader.wait_for_data()).await;
            let has_data = waited.map_err(|_| PollFailure::TimedOut)?.map_err(PollFailure::of_body)?;
            if !has_data {
                reader.finish();
                return Ok(text);
            }
            let length = text.len() + reader.data().len();
            if length > max_bytes {
                return Err(too_large(length as u64));
            }
            if length > text.capacity() {
                text.reserve_exact((2 * text.capacity()).clamp(length, max_bytes) - text.len());
            }
            text.extend_from_slice(reader.data());
            reader.consume_data();
        }
    }
}
