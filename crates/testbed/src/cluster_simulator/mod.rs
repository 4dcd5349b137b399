//! A simulator of the replicated store of a cluster: real nodes (the consensus library, redb, and all decisions) on
//! disks, a network, a clock and random numbers of the simulator, in virtual time. Faults are injected by a seed; an
//! auditor watches that nothing acknowledged is missing, no term has two leaders, and no reader's version goes back.
//!
//! `run` plays the runs and sums them up in a `report`; `heads` are the nodes on their disks
//! (`simulated_disk`) and their `network`, `fault_schedule` says which `fault` comes when, and `client` makes
//! changes and reads.

mod auditor;
mod client;
mod error;
pub mod fault;
mod fault_schedule;
mod heads;
mod injected_bug;
mod network;
mod report;
mod run;
mod seeded_random;
mod simulated_disk;

pub use injected_bug::InjectedBug;
pub use report::{ClusterRunReport, ClusterRunSummary};
pub use run::{ClusterRun, play, play_all};
