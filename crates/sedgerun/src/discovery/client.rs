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
/// Time in which the request of a poll must be taken by the socket.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

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
        let exchange = self.exchange(self.target(poll));
        tokio::time::timeout(poll.timeout, exchange).await.map_err(|_| PollFailure::TimedOut)?
    }

    fn target(&self, poll: Poll) -> String {
        match poll.since {
            Some(since) => format!("/v1/servers?since={since}&timeout_ms={}", poll.wait.as_millis()),
            None => "/v1/servers".to_owned(),
        }
    }

    async fn exchange(&self, target: String) -> Result<Vec<u8>, PollFailure> {
        let mut connection = match self.connections.take() {
            Some(connection) => connection,
            None => Connection::open(self.address, CONNECTION_TIMEOUTS.dial, &self.resources).await?,
        };
        let head = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        connection.send(head.as_bytes(), &[], SEND_TIMEOUT).await.map_err(ResponseError::Connection)?;
        let summary = connection.read_head(|| {}).await?;
        if summary.status != StatusCode::OK.as_u16() {
            return Err(PollFailure::Status(summary.status));
        }
        let connections = summary.keep_alive.then(|| Rc::clone(&self.connections));
        let reader = BodyReader::new(connection, summary.framing, connections);
        self.collect(reader, summary.framing).await.map_err(PollFailure::of_body)
    }

    /// Collects a body within the bound. One without a length may have been cut off anywhere.
    async fn collect(&self, mut reader: BodyReader, framing: BodyFraming) -> Result<Vec<u8>, ResponseError> {
        let max_bytes = self.max_bytes;
        let too_large = |bytes| BodyTooLarge { bytes, max_bytes };
        let mut text = Vec::new();
        if let BodyFraming::Length(length) = framing {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > max_bytes {
                return Err(too_large(length as u64).into());
            }
            text.reserve_exact(length);
        }
        while reader.wait_for_data().await? {
            let length = text.len() + reader.data().len();
            if length > max_bytes {
                return Err(too_large(length as u64).into());
            }
            if length > text.capacity() {
                text.reserve_exact((2 * text.capacity()).clamp(length, max_bytes) - text.len());
            }
            text.extend_from_slice(reader.data());
            reader.consume_data();
        }
        reader.finish();
        Ok(text)
    }
}
