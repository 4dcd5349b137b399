//! Codec of the simulator wire `prairie-1d57`: frames to events, actions to records. Translation only.
//!
//! Figures are little-endian. A frame carries a batch: the clock, and records of one or many instances of the decision
//! module. [`read_batch`] reads one, [`ActionFrame`] gathers the actions in reply.

mod action_frame;
mod batch;
mod error;
mod field_reader;
mod record;

pub use action_frame::ActionFrame;
pub use batch::{Batch, Record, read_batch};
pub use error::WireError;
