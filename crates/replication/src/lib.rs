//! Replication of tenants, exports and bans between heads: the decisions, without what carries them out.
//!
//! A few heads are voters, which replicate the state by Raft; all other heads are followers, which poll an upstream for
//! updates. Each module here is a state machine or a set of data types: events and the time go in, decisions come out.
//! The crate has no I/O, no clock, no socket and no thread, and random numbers come from a seed of the caller, so the
//! same input always gives the same output. The `sedgerun_cluster` crate runs these decisions with a consensus library,
//! a disk and connections.
//!
//! | module | job |
//! |---|---|
//! | [`state`] | the replicated state, and what each change does to it |
//! | [`view`] | what heads read of the state; its transfer in resumable chunks |
//! | [`record`] | the envelope of everything stored or sent: type, format version, checksum |
//! | [`store`], [`peer`] | identities of stores and heads |
//! | [`greeting`] | whether two heads may talk to each other |
//! | [`watermark`] | whether a store is an older copy of its disk |
//! | [`election`] | when a voter campaigns |
//! | [`repair`] | which heads vote: replacement of dead voters |
//! | [`follow`] | which upstream a follower polls, and which followers a head serves |
//! | [`relay`] | followers set aside to serve many others, with leases and a directory |
//! | [`subscribe`] | messages between a follower and its upstream |
//! | [`upstream`] | what a head answers its followers |
//! | [`transfer_permits`] | how many large transfers a head has in progress |
//! | [`digest`], [`time`] | digests of message parts; the unit of time |

pub mod digest;
pub mod election;
pub mod follow;
pub mod greeting;
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
pub mod watermark;

pub use peer::{Downstream, Peer, Voters};
pub use state::{Change, ChangeOutcome, Command, ReplicatedState};
pub use store::StoreId;
pub use time::Millis;
pub use view::View;
