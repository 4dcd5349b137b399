//! One head's node of the cluster, which replicates tenants, exports and bans between heads.
//!
//! `sedgerun_replication` contains the decisions as code without I/O. This crate executes them with a
//! consensus library (openraft), an embedded database (redb) and connections to the other heads. It does not
//! depend on clients, backends or the administration API.
//!
//! [`ClusterHandle::start`] runs a node on its own thread, beside the thread that serves clients. The node's
//! thread owns the replicated state; the handle reads the state, requests changes and waits for versions.
//!
//! | module | purpose |
//! |---|---|
//! | [`ClusterHandle`] (`handle`) | the serving thread's handle: start, reads, changes, metrics |
//! | [`node`] | one head's node with all its tasks |
//! | `member` | state shared by the tasks; responses to other heads, role, status |
//! | `pending_change`, `pending_memory` | changes that wait to be committed, and the memory for them |
//! | `change` | changes and linearizable reads, forwarded to the leader where necessary |
//! | `election`, `recovery`, `repair` | elections, recovery of a store after a start, replacement of dead voters |
//! | `follow`, `upstream`, `relay` | receiving updates, serving updates, registration of relays |
//! | `state_machine`, `raft_log` | storage for the consensus library |
//! | [`memory_limits`] | the memory that the parts of the replicated state may take up |
//! | [`disk`] | the store on disk: records, syncs, typed errors |
//! | `peer_network`, `peer_connection`, `voter_connection`, `frame`, `serve` | connections between heads |
//! | [`types`] | messages between heads, and the status of a head |
//! | [`settings`] | the `(fleet ...)` form of the operator's file |
//! | [`client`], [`force_recovery`] | the `sedgerun fleet ...` commands |
//! | [`environment`], [`traffic`] | clock, random numbers and transport; traffic counters |

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
mod member;
pub mod memory_limits;
pub mod node;
mod node_setup;
mod peer_connection;
mod peer_network;
mod pending_change;
mod pending_memory;
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
pub use state_machine::{CorruptSnapshot, ReplayError};
