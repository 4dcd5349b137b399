//! The unit of time of all decisions in this crate. The caller owns the clock and passes the time in.

/// Milliseconds: a duration, or a point on the caller's clock, which never goes back.
pub type Millis = u64;
