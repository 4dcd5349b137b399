//! The events of the simulator, and their form in the digest of a run.

use sedgerun_policy::AttemptEnd;

/// How an attempt ends on the wire between a head and a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WireEnd {
    /// It was served.
    Ok,
    /// It was rejected, and never ran.
    Rejected,
    /// No connection was made.
    ConnectFailed,
    /// The connection was reset.
    Reset,
}

impl WireEnd {
    /// Its number in the digest.
    fn code(self) -> u64 {
        match self {
            WireEnd::Ok => 0,
            WireEnd::Rejected => 1,
            WireEnd::ConnectFailed => 2,
            WireEnd::Reset => 3,
        }
    }
}

impl From<WireEnd> for AttemptEnd {
    fn from(end: WireEnd) -> AttemptEnd {
        match end {
            WireEnd::Ok => AttemptEnd::Ok,
            WireEnd::Rejected => AttemptEnd::Rejected,
            WireEnd::ConnectFailed => AttemptEnd::ConnectFailed,
            WireEnd::Reset => AttemptEnd::Reset,
        }
    }
}

/// An event of the simulator. The numbers are positions: of arrivals, of clients' attempts (`client_attempt`), of heads'
/// attempts (`attempt`), of machines and of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A request is to be sent by its client.
    Arrival(u32),
    /// A client's attempt reaches its head.
    ClientRequest(u32),
    /// The deadline of a client's attempt passes.
    ClientDeadline(u32),
    /// The final answer of a client's attempt reaches the client.
    FinalAnswer(u32),
    /// Timers of a head, in one of its incarnations.
    HeadTimer {
        /// The head.
        head: u16,
        /// Its incarnation when the timer was armed.
        incarnation: u32,
    },
    /// A head starts again.
    HeadStart(u16),
    /// The last byte of an attempt reaches its backend.
    AttemptAtBackend(u32),
    /// Something changes by itself at the backend of a machine.
    BackendChange {
        /// The machine.
        machine: u32,
        /// Its generation when the event was armed.
        generation: u64,
    },
    /// The end of an attempt reaches its head.
    AttemptEnd(u32, WireEnd),
    /// A backend sees that an attempt was cancelled.
    AttemptCancelled(u32),
    /// The discovery server delivers updates.
    DiscoveryUpdate,
    /// A step of the script.
    ScriptStep(u32),
    /// A backend that drained is replaced, or one that restarts is up again.
    MachineReplaced(u32),
}

impl Event {
    /// Its kind and its numbers in the digest; `list_version` is that of the endpoint list.
    pub fn digest_words(self, list_version: u64) -> [u64; 3] {
        match self {
            Event::Arrival(i) => [1, u64::from(i), 0],
            Event::ClientRequest(i) => [2, u64::from(i), 0],
            Event::ClientDeadline(i) => [3, u64::from(i), 0],
            Event::FinalAnswer(i) => [4, u64::from(i), 0],
            Event::HeadTimer { head, incarnation } => [5, u64::from(head), u64::from(incarnation)],
            Event::HeadStart(head) => [6, u64::from(head), 0],
            Event::AttemptAtBackend(i) => [7, u64::from(i), 0],
            Event::BackendChange { machine, generation } => [8, u64::from(machine), generation],
            Event::AttemptEnd(i, end) => [9, u64::from(i), end.code()],
            Event::AttemptCancelled(i) => [10, u64::from(i), 0],
            Event::DiscoveryUpdate => [11, list_version, 0],
            Event::ScriptStep(i) => [12, u64::from(i), 0],
            Event::MachineReplaced(i) => [13, u64::from(i), 0],
        }
    }
}
