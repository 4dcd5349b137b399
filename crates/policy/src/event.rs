//! What a head tells its controller.

use crate::{BackendId, Micros, RequestId};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// What the update covers.
        scope: UpdateScope,
        /// The endpoints in it.
        endpoints: Vec<Endpoint>,
    },
    /// A request was received; it is owed one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A streamed response has begun; the deadline of its attempt no longer runs.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// A request ended without the controller: its client disconnected, or it got its answer elsewhere.
    RequestEnded {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token that it was set with.
        token: u64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The backend.
        backend: BackendId,
        /// Whether it responded.
        healthy: bool,
    },
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// The complete list as it was last held; it may be stale.
    Cached,
    /// The complete list.
    Full,
    /// Changes only.
    Delta,
    /// There is no list: a poll failed or the watch broke.
    Failed,
}

/// Whether a backend takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It takes new requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Removed,
}

/// A backend as the endpoint list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// The shard that it holds.
    pub shard: u32,
    /// Its zone.
    pub zone: u16,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
    /// Whether it takes requests.
    pub readiness: Readiness,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// Position of its class.
    pub class: usize,
    /// Position of its plan.
    pub plan: usize,
    /// The item of data; 0: none.
    pub key: u64,
    /// When the client gives up.
    pub deadline: Micros,
    /// The volume.
    pub volume: u64,
    /// Its size.
    pub units: f64,
    /// The shard that holds the data; none: a new object, which any backend takes.
    pub shard: Option<u32>,
    /// Heads through which the volume's requests come.
    pub volume_heads: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served.
    Ok,
    /// An error; it may have run.
    Error,
    /// Rejected by the backend, which was full; it did not run.
    Rejected,
    /// No response in time; it may have run.
    Timeout,
    /// The connection was refused or broke before the request was sent; it did not run.
    ConnectFailed,
    /// The connection was not established in time; the request did not run.
    ConnectTimeout,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled after it was sent; it may have run.
    Cancelled,
    /// Cancelled before it was sent; it did not run.
    CancelledUnsent,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub id: RequestId,
    /// The attempt, from 0.
    pub attempt: u8,
    /// The backend.
    pub backend: BackendId,
    /// How it ended.
    pub end: AttemptEnd,
    /// How long it took.
    pub latency: Micros,
    /// The request has its final answer.
    pub request_ended: bool,
    /// Units a second that the volume was served by all backends in a finished period, as a multiple of the
    /// plan's nominal rate.
    pub volume_usage: Option<f64>,
    /// Units that this backend served the volume through other heads since its last response to this head.
    pub units_via_other_heads: f64,
}
