//! The memory budget of bodies and the headers that are read of a response, at the path where other modules use them.

pub use super::complete_response_stream::READ_HEADERS;
pub use super::memory_budget::{BodyTooLarge, MemoryBudget, MemoryReservation};
