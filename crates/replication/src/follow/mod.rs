//! Replication to heads that are not voters: which upstream a follower polls, and which followers a head
//! serves.
//!
//! A follower polls one other head, its upstream, for the changes that it lacks, and the poll waits there for
//! the next change. If relays are known, the follower prefers one of its own region; otherwise followers form
//! a tree: a head serves a limited number of followers and redirects others to these, so that the load of a
//! voter does not grow with the cluster. Each update carries the path of heads that passed it on, so that a
//! follower rejects updates that came through itself, and its age, so that a follower with a stale upstream
//! looks for another.
//!
//! | type | decides | owner |
//! |---|---|---|
//! | [`Follower`] | which upstream to poll, and what to accept from it | a head that is not a voter |
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
/// Maximum number of followers that an ordinary head, or a voter, serves directly.
pub const MAX_FOLLOWERS: usize = 16;
/// Time without a poll after which a follower is removed, in milliseconds.
pub const FOLLOWER_TIMEOUT_MS: Millis = 5000;
/// Time for a response in addition to the poll timeout, in milliseconds. An upstream that takes longer is
/// abandoned.
pub const RESPONSE_TIMEOUT_MS: Millis = 1000;
