//! Decisions of heads that keep state for each other: what is held, how a change to it is applied, how records
//! are written down, and who is spoken to. No I/O, clock, socket or thread; the same input gives the same output.
//!
//! [`state`] is what every keeper holds and every change does to it, [`view`] what of it is read and goes from
//! head to head; [`record`] wraps whatever goes to a disk or to another head in a format version and a checksum;
//! [`greeting`] decides whether two heads may speak, [`memory`] whether a store is what it was, [`election`] when a
//! keeper stands, [`repair`] who keeps, [`follow`] from whom the others hear.

pub mod election;
pub mod follow;
pub mod greeting;
pub mod memory;
pub mod record;
pub mod repair;
pub mod state;
pub mod view;
