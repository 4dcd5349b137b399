//! The program of sedgerun: a storage gateway head that keeps volumes to their reservations, shares and limits.
//!
//! [`front`] takes requests, [`back`] makes attempts, [`discovery`] watches the list, [`hub`] carries out what
//! the exchange of `sedgerun-core` wants, and [`head`] runs them all. [`config`] and [`operator`] read what it
//! is set up with, [`logging`] writes what it says.

pub mod admin;
pub mod back;
pub mod bounds;
pub mod clock;
pub mod command;
pub mod config;
pub mod descriptors;
pub mod discovery;
pub mod figures;
pub mod fleet;
pub mod front;
pub mod head;
pub mod hub;
pub mod ids;
pub mod logging;
pub mod mgmt;
pub mod operator;
pub mod tenants;
pub mod traffic;
pub mod vrrp;
