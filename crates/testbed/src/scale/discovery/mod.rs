//! An emulation of the platform's discovery service that bears thousands of watches: one process, one thread.
//!
//! The program prints one [`Listening`] line on standard output, then obeys one [`Command`] a line on standard
//! input, each answered by one [`Reply`] line, until [`Command::End`] or the end of its input.
//! [`DiscoveryProcess`] is the other end of that conversation.

pub mod catalog;
mod client;
mod control;
mod server;
mod traffic;

pub use super::json_lines::ConversationError as DiscoveryError;
pub use client::DiscoveryProcess;
pub use control::{Command, Listening, MOST_BACKENDS, Reply, run};
pub use traffic::{PeerTraffic, Report};
