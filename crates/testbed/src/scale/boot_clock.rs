//! The clock that all processes of a run share.

use rustix::time::{ClockId, clock_gettime};

/// Microseconds since the machine started.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
