//! The unit of time of this crate. The caller owns the clock and passes the current time in.

/// Milliseconds: a duration, or a point in time on the caller's monotonic clock.
pub type Millis = u64;
