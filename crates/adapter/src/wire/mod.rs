//! Codec of the simulator's wire protocol `prairie-1d57`: decodes frames to events and encodes actions as
//! records.
//!
//! All numbers are little-endian. An incoming frame carries a batch: the current time, and records for one or
//! more instances of the decision module. [`read_batch`] decodes it; [`ActionFrame`] encodes the resulting
//! actions as the response.

mod action_frame;
mod batch;
mod error;
mod field_reader;
mod record;

pub use action_frame::ActionFrame;
pub use batch::{Batch, read_batch};
pub use error::WireError;
pub use record::Record;
