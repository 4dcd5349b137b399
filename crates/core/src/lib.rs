//! The core of sedgerun: what is open and what is out, round the decision module. No I/O, no clock, no wire.

pub mod exchange;
pub mod maintenance;
