//! The fleet's clock: it goes on through a stopped process and a sleeping machine, and nobody sets it.

use rustix::time::{ClockId, clock_gettime};
use sedgerun_fleet::election::Millis;

/// Milliseconds since the machine started.
pub fn now() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Millis * 1000 + now.tv_nsec as Millis / 1_000_000
}
