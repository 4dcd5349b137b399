//! The decision module of sedgerun: [`api`] holds the plain types that go in and come out, [`control`] every
//! decision about which box, whether to retry, and what is refused. No I/O, no clock, no wire.

pub mod api;
pub mod control;

pub use api::{Action, Event, Settings};
pub use control::Controller;
