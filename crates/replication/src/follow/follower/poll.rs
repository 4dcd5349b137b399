//! Steps of a follower, the purposes of its polls, and the reasons to reject a response.

use crate::follow::selection::UpstreamCandidate;
use crate::peer::Peer;
use crate::time::Millis;
use thiserror::Error;

/// One poll of another head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPoll {
    /// The head to poll.
    pub peer: Peer,
    /// `since` of [`View::chunk`](crate::view::View::chunk).
    pub since: u64,
    /// `first_version` of [`View::chunk`](crate::view::View::chunk).
    pub first_version: u64,
    /// Time for which the poll may wait there for a change, in milliseconds.
    pub poll_timeout: Millis,
    /// Asks to be served even if that head knows relays.
    pub bypass_relays: bool,
}

/// The next step of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerStep {
    /// Do nothing before this time, in milliseconds.
    WaitUntil(Millis),
    /// Poll a head.
    Poll(UpstreamPoll),
}

/// Why a follower does not follow a head that has responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The head follows this one, directly or through others, so following it would form a cycle.
    #[error("it follows this head")]
    Cycle,
    /// There are too many heads between it and a voter.
    #[error("too many heads are between it and a voter")]
    TooDeep,
    /// It has lost contact with the voters.
    #[error("its update is stale")]
    Stale,
    /// It has an older version than this head.
    #[error("it is behind this head")]
    Behind,
    /// It serves its maximum number of followers, or leaves them to the relays.
    #[error("it redirects to other heads")]
    Redirected,
    /// It has too many large transfers in progress.
    #[error("it has too many transfers in progress")]
    Busy,
    /// It is no better than the current upstream.
    #[error("it is no better than the upstream")]
    NoBetter,
    /// Its update leaves out a part that this head does not have.
    #[error("its update is incomplete")]
    Incomplete,
}

/// Why a follower polls another head than its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeReason {
    /// The upstream is stale; the other head may have a fresher state.
    Fresher,
    /// The upstream is not the first choice; the follower may be able to move to a preferred one.
    FirstChoice,
}

/// A poll of another head than the upstream, scheduled for a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledProbe {
    pub(super) at: Millis,
    pub(super) reason: ProbeReason,
}

/// The purpose of a poll.
#[derive(Clone, Debug)]
pub(super) enum PollPurpose {
    /// To find an upstream.
    Attach(UpstreamCandidate),
    /// To receive changes from the upstream.
    Follow,
    /// To decide whether to move to another head.
    Probe(UpstreamCandidate, ProbeReason),
}
