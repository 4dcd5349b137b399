//! The interface of the decision module: settings, events and actions as plain types.
//!
//! Nothing here decides anything. A dispatcher builds [`Settings`] once, makes a
//! [`Controller`](crate::Controller) from them, and feeds it one [`Event`] at a time with its clock.

/// A time or a span on the dispatcher's clock, in microseconds.
pub type Micros = u64;

/// A storage node's identity; its value carries no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// A request's identity, unique for the life of a controller.
pub type RequestId = u32;

/// What a deployment states once, before the first event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Dispatchers in this tier, at least 1.
    pub dispatchers: u32,
    /// The shortest time between two events of the clock.
    pub tick: Micros,
    /// The zone of this dispatcher.
    pub zone: u16,
    /// Request classes; requests name them by position.
    pub classes: Vec<Class>,
    /// Service plans; requests name them by position.
    pub plans: Vec<Plan>,
    /// The figures of the rules.
    pub rules: Rules,
    /// What the deployment permits.
    pub permits: Permits,
    /// Mean units of a request.
    pub mean_units: f64,
    /// The most units of a request.
    pub top_units: f64,
    /// The period over which reported use of a volume is totalled; 0: no such reports.
    pub meter_period: Micros,
}

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Safe to repeat.
    Free,
    /// Repeats are dropped by the nodes of a group, for a time.
    Guarded,
    /// Must never run twice.
    SingleShot,
}

/// The nodes that drop repeats of a guarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every node.
    All,
    /// The nodes of the zone that may have run it.
    Zone,
    /// The nodes that hold the same shard.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time is worth the most.
    pub aim: Micros,
    /// How long a client waits over all of its tries.
    pub deadline: Micros,
    /// How often a request may take effect.
    pub repeat: Repeat,
    /// For [`Repeat::Guarded`]: who drops repeats.
    pub group: Group,
    /// For [`Repeat::Guarded`]: for how long after the first send that may have run.
    pub dedup_window: Micros,
    /// Requests of one key run one at a time, in order.
    pub in_turn: bool,
    /// What a timely answer is worth.
    pub worth: f64,
    /// The part of the worth that a late answer still earns.
    pub late_worth: f64,
}

/// A service plan; its figures count per volume over all dispatchers and nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The rate that a volume is sized for, units a second.
    pub nominal: f64,
    /// Reserved units a second; 0: none.
    pub reserve: f64,
    /// Weight in what the reservations leave.
    pub weight: f64,
    /// Units a second that a volume's limit fills at; 0: no limit.
    pub limit: f64,
    /// The most units that the limit's store holds.
    pub limit_burst: f64,
    /// Units by which the store may fall below 0.
    pub limit_slack: f64,
    /// Factor on the worth of a request.
    pub price: f64,
}

/// Figures of the rules. A rule whose figures are 0 does not apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Micros,
    /// How long after news of a drain sends may go on.
    pub drain_grace: Micros,
    /// The part of its capacity that a node starts with.
    pub start_capacity: f64,
    /// A node is warm after this long.
    pub warm_within: Micros,
    /// A cold node falls over when sent this many times its present capacity
    pub tip_multiple: f64,
    /// for this long.
    pub fall: Micros,
    /// Units within `fall`, over all dispatchers, that a node always bears.
    pub cold_units: f64,
    /// A key's rest after an attempt that may still be running.
    pub order_pause: Micros,
    /// The window of the budget for further attempts; 0: no budget.
    pub budget_window: Micros,
    /// Further attempts free of charge in a window.
    pub free_resends: f64,
    /// Further attempts for each request taken in a window.
    pub extra_per_request: f64,
    /// Without a subscription this long, a dispatcher counts as told; 0: no such rule.
    pub ask_within: Micros,
}

/// What a deployment permits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permits {
    /// The list of nodes comes only when asked for.
    pub must_ask: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Nodes may be probed.
    pub probe: bool,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The longest wait that a client is told; 0: clients are told none.
    pub max_retry_after: Micros,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the nodes.
    List {
        /// What kind of news.
        scope: Scope,
        /// The entries.
        nodes: Vec<Listed>,
    },
    /// A request was taken; it is owed one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer has begun; its deadline no longer runs.
    Started {
        /// The request.
        id: RequestId,
    },
    /// A request ended without this dispatcher's doing.
    Gone {
        /// The request.
        id: RequestId,
    },
    /// A timer came due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The node.
        node: NodeId,
        /// Whether it answered.
        ok: bool,
    },
}

/// The kind of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The whole list as last held, perhaps stale.
    Cached,
    /// The whole list.
    Full,
    /// Changes only.
    Delta,
    /// A call for the list failed or the subscription broke.
    Failed,
}

/// A node's place in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// A node on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The node.
    pub node: NodeId,
    /// The shard it holds.
    pub cell: u32,
    /// Its zone.
    pub zone: u16,
    /// When it last started; 0: long ago.
    pub came_up: Micros,
    /// Its place in its life.
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
    /// The shard that holds the data; none: a new object, which any node takes.
    pub cell: Option<u32>,
    /// Dispatchers through which the volume's requests come.
    pub hosts: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// The connection was refused or broke before the request left; it did not run.
    ConnectFailed,
    /// The connection did not come up in time; it did not run.
    ConnectTimeout,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never went out.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt, from 0.
    pub attempt: u8,
    /// The node.
    pub node: NodeId,
    /// How it ended.
    pub ending: Ending,
    /// How long it took.
    pub took: Micros,
    /// The request is over and owed nothing more.
    pub over: bool,
    /// Units a second that the volume was served everywhere in a finished period, as a multiple of the
    /// plan's nominal rate.
    pub used: Option<f64>,
    /// Units that this node served the volume through other dispatchers since its last answer here.
    pub elsewhere: f64,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; the attempts of a request count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        node: NodeId,
        /// When the attempt is given up.
        until: Micros,
    },
    /// Final answer: refused, and harmless to try again.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Ask for [`Event::Timer`] at a time.
    Timer {
        /// When.
        at: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a node.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Subscribe to changes of the list.
    Watch,
}
