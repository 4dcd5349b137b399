//! What a follower does next, why, and why it may reject the answer.

use crate::follow::selection::UpstreamCandidate;
use crate::peer::Peer;
use crate::time::Millis;
use thiserror::Error;

/// One poll of another head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPoll {
    /// The head to be polled.
    pub peer: Peer,
    /// `since` of [`View::chunk`](crate::view::View::chunk).
    pub since: u64,
    /// `first_version` of [`View::chunk`](crate::view::View::chunk).
    pub first_version: u64,
    /// How long the poll may wait there for a change, in milliseconds.
    pub poll_timeout: Millis,
    /// The follower is to be served there although relays are known.
    pub bypass_relays: bool,
}

/// What a follower does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerStep {
    /// Nothing before this time, in milliseconds.
    WaitUntil(Millis),
    /// Poll a head.
    Poll(UpstreamPoll),
}

/// Why a follower does not follow a head that has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The upstream follows this head.
    #[error("it follows this head")]
    Cycle,
    /// Too many heads are between it and a voter.
    #[error("too many heads are between it and a voter")]
    TooDeep,
    /// It has lost contact with the voters.
    #[error("its update is old")]
    Stale,
    /// It has an older version than this head.
    #[error("it is behind this head")]
    Behind,
    /// It serves as many followers as it can, or leaves them to relays.
    #[error("it redirects to other heads")]
    Redirected,
    /// It has too many transfers in progress.
    #[error("it has too many transfers going on")]
    Busy,
    /// It is no better than the current upstream.
    #[error("it is no better than the upstream")]
    NoBetter,
    /// Its answer leaves out what this head does not have.
    #[error("its update is incomplete")]
    Incomplete,
}

/// Why another head than the upstream is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeReason {
    /// The upstream is stale: is another one fresher?
    Fresher,
    /// The upstream is not the first choice: can the follower return to that?
    FirstChoice,
}

/// A probe that is due at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledProbe {
    pub(super) at: Millis,
    pub(super) reason: ProbeReason,
}

/// What the poll in progress is for.
#[derive(Clone, Debug)]
pub(super) enum PollPurpose {
    /// To find an upstream.
    Attach(UpstreamCandidate),
    /// To receive changes from the upstream.
    Follow,
    /// To see whether to move.
    Probe(UpstreamCandidate, ProbeReason),
}
