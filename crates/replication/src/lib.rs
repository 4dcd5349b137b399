//! Replication of tenants, exports and bans between heads: the decision logic, without I/O.
//!
//! A few heads are voters, which replicate the state by Raft; all other heads are followers, which poll an
//! upstream for updates. Each module here is a state machine or a set of data types: events and the current
//! time go in, decisions come out. The crate has no I/O, no clock, no socket and no thread, and random
//! numbers come from a seed that the caller supplies, so the same input always gives the same output. The
//! `sedgerun_cluster` crate runs this logic with a consensus library, a disk and connections.
//!
//! | module | content |
//! |---|---|
//! | [`state`] | the replicated state machine: commands, changes and their outcomes |
//! | [`outcomes`] | the outcomes of recent changes, remembered for retries |
//! | [`change_batch`] | the encoded changes of a log entry |
//! | [`view`] | tenants, bans and voter rules as heads read them; their transfer in resumable chunks |
//! | [`record`] | the header of everything stored or sent: type, format version, checksum |
//! | [`store`], [`peer`] | identities of stores and heads |
//! | [`greeting`] | the handshake on a new connection between heads |
//! | [`watermark`] | detection of stores that were rolled back to an older copy of their disk |
//! | [`election`] | when a voter starts an election (pre-vote and campaign) |
//! | [`repair`] | membership changes: replacement of dead voters |
//! | [`follow`] | which upstream a follower polls, and which followers a head serves |
//! | [`relay`] | followers dedicated to serving many others; their leases and directory |
//! | [`subscribe`] | messages between a follower and its upstream |
//! | [`upstream`] | a head's responses to its followers |
//! | [`transfer_permits`] | limit on the large transfers that a head has in progress |
//! | [`heap_size`] | estimates of the memory that the above take up |
//! | [`digest`], [`time`] | digests of message parts; the unit of time |

pub mod change;
pub mod change_batch;
pub mod digest;
pub mod election;
pub mod follow;
pub mod greeting;
pub mod heap_size;
pub mod outcomes;
pub mod peer;
pub mod record;
pub mod relay;
pub mod repair;
pub mod state;
pub mod store;
pub mod subscribe;
pub mod time;
pub mod transfer_permits;
pub mod upstream;
pub mod view;
mod view_size;
pub mod watermark;

pub use change::{Change, ChangeOutcome, Command};
pub use peer::{Downstream, Peer, Voters};
pub use state::ReplicatedState;
pub use store::StoreId;
pub use time::Millis;
pub use view::View;
