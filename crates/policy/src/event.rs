//! The events that a head reports to its controller.

use crate::{BackendId, Micros, RequestId};

/// An event for the controller to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list was updated, or could not be read.
    EndpointList {
        /// What the update covers.
        scope: UpdateScope,
        /// The endpoints in the update.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request was received. It has to get exactly one final response.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A part of the response to an attempt has arrived, and the rest has not. The first such event of an attempt gives
    /// its latency; later ones show that the transfer goes on.
    AttemptProgressed {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u8,
    },
    /// The response to an attempt is being passed on to the client while it comes in. The request is bound to the
    /// attempt, and neither timeout nor deadline applies any more.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u8,
    },
    /// A request ended without an action of the controller: its client disconnected, or the head gave the
    /// final response itself.
    RequestEnded {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token of the [`Action::SetTimer`](crate::Action::SetTimer) that set it.
        token: u64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The backend.
        backend: BackendId,
        /// Whether the backend responded.
        healthy: bool,
    },
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// The complete list from the head's cache; it may be stale.
    Cached,
    /// The complete current list.
    Full,
    /// Only the endpoints that changed.
    Delta,
    /// Nothing: a poll failed or the watch broke.
    Failed,
}

/// Whether a backend takes requests, by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It takes new requests.
    #[default]
    Ready,
    /// It completes the requests it has and takes no new ones.
    Draining,
    /// It is not in the list any more.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// The shard that it holds.
    pub shard: u32,
    /// The zone that it is in.
    pub zone: u16,
    /// When its process last started; 0: long ago.
    pub started_at: Micros,
    /// Whether it takes requests.
    pub readiness: Readiness,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The identifier by which events and actions name it.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index of its plan in [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// The data item that it reads or changes, by which requests are ordered; 0: none.
    pub key: u64,
    /// When the client stops waiting for a response.
    pub deadline: Micros,
    /// The volume that it is for.
    pub volume: u64,
    /// Its size, in units.
    pub units: f64,
    /// The shard that holds the data; `None`: a new object, which any backend takes.
    pub shard: Option<u32>,
    /// Number of heads through which the volume's requests come.
    pub volume_heads: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The backend served it.
    Ok,
    /// The backend responded with an error; the request may have run.
    Error,
    /// The backend rejected it because it was full; the request did not run.
    Rejected,
    /// It timed out; the request may have run.
    Timeout,
    /// The connection was refused or broke before the request was sent; the request did not run.
    ConnectFailed,
    /// The connection was not established in time; the request did not run.
    ConnectTimeout,
    /// The connection broke after the request was sent; the request may have run.
    Reset,
    /// It was cancelled after it was sent; the request may have run.
    Cancelled,
    /// It was cancelled before it was sent; the request did not run.
    CancelledUnsent,
}

/// The outcome of an attempt, with the load report that came with the response.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u8,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub end: AttemptEnd,
    /// How long it took.
    pub latency: Micros,
    /// Whether the request has its final response.
    pub request_ended: bool,
    /// The rate at which all backends served the volume in the last complete report period, as a multiple of
    /// the plan's nominal rate; `None`: not reported.
    pub volume_usage: Option<f64>,
    /// Units that this backend served the volume through other heads since its last response to this head.
    pub units_via_other_heads: f64,
}
