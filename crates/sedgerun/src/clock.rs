//! The program's one clock: Unix time, anchored once and advanced monotonically, in microseconds.

use sedgerun_policy::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never jumps: the system's time is read once, and a monotonic clock carries it on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    /// The Unix time of the anchor.
    anchor_time: Micros,
}

impl Clock {
    /// Anchors the clock now. A system whose clock stands before 1970 counts from there.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { anchor: Instant::now(), anchor_time: since_epoch.as_micros() as Micros }
    }

    /// The time now, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.anchor_time + self.anchor.elapsed().as_micros() as Micros
    }

    /// The instant of a time in microseconds since 1970; times before the anchor are the anchor.
    pub fn instant(&self, at: Micros) -> Instant {
        self.anchor + Duration::from_micros(at.saturating_sub(self.anchor_time))
    }
}
