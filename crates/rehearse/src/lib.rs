//! Rehearsals of bad mornings: a fleet of the real heads' decisions with stand-in boxes, a registry, a
//! network and
//! clients, in one deterministic world or on loopback sockets, under a script of what strikes when.

pub mod auditor;
pub mod draw;
pub mod experiment;
pub mod figures;
pub mod fleet;
pub mod model;
pub mod report;
pub mod scenario;
pub mod script;
pub mod sockets;
pub mod troublemaker;
pub mod world;
