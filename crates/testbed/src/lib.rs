//! The test bed of sedgerun: a fleet of the real heads' decisions with emulated backends, discovery, network and
//! clients, in one deterministic simulator or on loopback sockets, under a script of faults; and scale runs.
//!
//! Modules depend on each other in one direction, on those before them in this list:
//!
//! 1. [`random`], [`process`] and `http` (connections), [`fault_proxy`], [`auditor`];
//! 2. [`script`], [`scenario`], [`drawn_scenario`], [`model`], [`figures`]: what a test run is made of;
//! 3. [`simulator`] and [`sockets`], which play it; [`experiment`] and [`report`], which compare the results;
//! 4. [`cluster_simulator`] and [`cluster_processes`], for the replicated store alone;
//! 5. [`scale`] runs, and the [`capacity`] page that is worked out from their records.

pub mod auditor;
pub mod capacity;
pub mod cluster_processes;
pub mod cluster_simulator;
pub mod drawn_scenario;
pub mod experiment;
pub mod fault_proxy;
pub mod figures;
mod http;
pub mod model;
pub mod process;
pub mod random;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod script;
pub mod simulator;
pub mod sockets;
