//! The simulator: all heads in one process and in virtual time. Every head is the real dispatcher with the real decision
//! module; backends, discovery server, network and clients are models. One thread, one queue of events, no clock.
//!
//! `state` holds all state and the queue; the other modules are its parts by concern: `clients`, `heads`,
//! `network` between heads and backends, `machines` that backends run on, `script` and `run`, which plays the
//! events. Every event is added to a digest, so that two runs are the same if and only if their digests are.

mod clients;
mod event;
mod heads;
mod injected_bug;
mod machines;
mod network;
mod run;
mod script;
mod state;

pub use injected_bug::InjectedBug;
pub use state::{START, Simulator};
