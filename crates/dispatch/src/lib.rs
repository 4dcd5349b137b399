//! The lifecycle of a request, from submission through its attempts and timers to its final response. The
//! decisions themselves (admission, choice of backend, retries) are made by `sedgerun_policy`. The crate also
//! holds the overrides with which operators take backends out of rotation, and the parser of operators'
//! commands.
//!
//! The crate performs no I/O and reads no clock: the current time is an argument of each method, and a
//! [`Dispatcher`] returns the operations to perform as [`Effect`]s. Its owner feeds it events and carries out
//! the effects: the gateway with sockets, the simulator in virtual time.

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
pub use request::{AttemptResult, AttemptStage, RequestSpec};
