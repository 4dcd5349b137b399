//! Clusters of heads as processes on loopback, for the demo, the measurements and the scale runs.
//!
//! [`harness`] starts, kills and asks the processes, [`admin_client`] calls their administration API; [`demo`] and
//! [`measure`] are two commands of the program that use both.

pub mod admin_client;
mod default_names;
pub mod demo;
pub mod error;
pub mod harness;
pub mod measure;
