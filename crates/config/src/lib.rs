//! Settings of sedgerun as they are written: `path=value` pairs, S-expressions and the platform's JSON, and what is
//! wrong with them. Every fault is reported, with its key and, where there is one, its place in the text. Reads texts
//! only: files and the environment are the program's.

pub mod fault;
pub mod form;
pub mod operator;
pub mod pairs;
pub mod platform;
pub mod policy_settings;

pub use fault::{Fault, Faults, Place};
pub use form::{Form, Item};
pub use pairs::Pairs;
pub use policy_settings::read_settings;
