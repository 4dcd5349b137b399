//! Replication to heads without a vote: from which upstream a follower gets the state, and which followers a head
//! serves.
//!
//! A follower polls one other head, its upstream, for what it lacks, and waits there for the next change. If relays are
//! known it prefers one of its own region; otherwise followers form a tree: a head serves a limited number of followers
//! and redirects others to these, so that no voter's work grows with the fleet. Each answer names the heads over which
//! it came, by which a follower never follows itself, and how old it may be, by which a follower with a stale upstream
//! looks for another.
//!
//! | type | job | owner |
//! |---|---|---|
//! | [`Follower`] | which upstream to poll, and what to accept from it | a head without a vote |
//! | [`Followers`] | which followers to serve | every head |

mod avoidance;
mod follower;
mod followers;
mod legacy;
mod selection;

pub use crate::peer::{Downstream, Peer, Voters};
pub use follower::{Follower, FollowerStep, Rejection, UpstreamPoll};
pub use followers::{Admission, Followers, PollingFollower};
pub use legacy::LegacyUpdateResponse;

use crate::time::Millis;

/// An update older than this, in milliseconds, is stale: its upstream has lost contact with the voters.
pub const MAX_UPDATE_AGE_MS: Millis = 5000;
/// Followers that an ordinary head, or a voter, serves directly, at most.
pub const MAX_FOLLOWERS: usize = 16;
/// A follower that has not polled for this long, in milliseconds, is forgotten.
pub const FOLLOWER_TIMEOUT_MS: Millis = 5000;
/// Time for an answer on top of the wait, in milliseconds; an upstream that takes longer is abandoned.
pub const RESPONSE_TIMEOUT_MS: Millis = 1000;
