//! The program of sedgerun: a storage gateway head that keeps volumes to their reservations, shares and limits.
//!
//! The decisions are made by `sedgerun-policy` and the life of a request is `sedgerun-dispatch`; both are without
//! I/O. This crate puts them on sockets, the clock, signals and files:
//!
//! - [`frontend`] takes requests over HTTP and 9P, [`backend`] makes their attempts, and [`dispatch_service`], between
//!   them, carries out what the dispatcher wants.
//! - [`discovery`] watches the endpoint list; [`replicated_state`] applies what the cluster has agreed on.
//! - [`management`] and [`admin`] are operators' ways in; [`metrics`] and [`logging`] are what they read, and [`event_loop`] watches
//!   for stalls.
//! - [`config`], [`operator`] and [`tenants`] read the settings; [`resource_limits`] derives the bounds of each part
//!   from the limits on memory and descriptors, and [`descriptors`] counts the latter.
//! - [`http1`] is HTTP on the wire, for whoever speaks it; [`memory_budget`] shares out the memory.
//! - [`vrrp`] runs a virtual router, [`request_ids`] guards against duplicates, [`clock`] is the program's one clock.
//! - [`head`] runs them all from start to exit, and [`command`] is the command line.
//!
//! One thread runs all tasks of this crate, so that what they share is `Rc` and cells; the log's writer and the cluster
//! have threads of their own.

pub mod admin;
pub mod backend;
pub mod clock;
pub mod command;
pub mod config;
pub mod descriptors;
pub mod discovery;
pub mod dispatch_service;
pub mod event_loop;
pub mod frontend;
pub mod head;
pub mod http1;
pub mod logging;
pub mod management;
pub mod memory_budget;
pub mod metrics;
pub mod operator;
pub mod replicated_state;
pub mod request_ids;
pub mod resource_limits;
pub mod tenants;
pub mod vrrp;
