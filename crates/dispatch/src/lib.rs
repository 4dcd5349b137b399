//! The life of a request: its attempts, its timers and its one final answer, round the decisions of
//! `sedgerun_policy`; and the overrides by which operators take backends out of rotation.
//!
//! Everything here is a state machine without I/O and without a clock: time comes in as an argument of each call,
//! and what is to be done comes out as [`Effect`]s. Whoever owns a [`Dispatcher`] feeds it events and carries its
//! effects out: the program on sockets, the simulator on virtual time.

mod backend_overrides;
mod dispatcher;
mod effect;
mod operator_command;
mod request;
mod timers;

pub use backend_overrides::{BackendOverrides, OverrideError};
pub use dispatcher::Dispatcher;
pub use effect::{Effect, FinalResponse};
pub use operator_command::{MAX_COMMAND_BYTES, OperatorCommand, OperatorCommandError};
pub use request::{AttemptResult, RequestSpec};
