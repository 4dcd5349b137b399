//! A head's node of the cluster that replicates tenants, exports and bans: the decisions of `sedgerun_replication`,
//! carried out with a consensus library (openraft), a disk (redb) and connections.
//!
//! [`ClusterHandle::start`] runs a node on a thread of its own, beside the thread that serves clients. The state belongs
//! to the node's thread; the handle reads it, requests changes, and waits for versions. The crate knows nothing of
//! clients, backends or the administration API, and decides nothing that `sedgerun_replication` decides.
//!
//! | module | job |
//! |---|---|
//! | [`ClusterHandle`] (`handle`) | the serving thread's end: starting, reading, changing, metrics |
//! | [`node`] | one head's node with all its tasks |
//! | `member` | what the tasks share; requests of other heads, role, status |
//! | `change` | changes and linearizable reads, wherever the leader is |
//! | `election`, `recovery`, `repair` | a voter's campaigns, its recovery after a start, replacement of dead voters |
//! | `follow`, `upstream`, `relay` | receiving updates, serving them, registration of relays |
//! | `state_machine`, `raft_log` | storage for the consensus library |
//! | [`disk`] | the store: records, syncs, typed errors |
//! | `link`, `peer_connection`, `voter_connection`, `frame`, `serve` | connections between heads |
//! | [`types`] | messages between heads, and the status of a head |
//! | [`settings`] | the `(fleet ...)` form of the operator's file |
//! | [`client`], [`force_recovery`] | `sedgerun fleet ...` on the command line |
//! | [`environment`], [`traffic`] | clock, random numbers, transport; traffic counters |

mod change;
mod change_error;
pub mod client;
pub mod disk;
mod election;
pub mod environment;
mod follow;
pub mod force_recovery;
mod frame;
mod handle;
mod link;
mod member;
pub mod node;
mod node_setup;
mod peer_connection;
mod pending_change;
mod raft_log;
mod recovery;
mod relay;
mod repair;
mod serve;
pub mod settings;
mod state_machine;
pub mod traffic;
pub mod types;
mod upstream;
mod voter_connection;

pub use change::new_change;
pub use change_error::ClusterRequestError;
pub use handle::{ClusterHandle, ClusterStartError};
pub use member::{AdoptError, BeginError, StartError};
pub use state_machine::CorruptSnapshot;
