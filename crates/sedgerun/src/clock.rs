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
        Clock { anchor: Instant::now(), anchor_time: wall_time() }
    }

    /// The time now, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.anchor_time + self.anchor.elapsed().as_micros() as Micros
    }

    /// The time by this clock of a moment that another machine's wall clock names. Wall clocks may have been stepped since
    /// this clock was anchored, all of them or only some: the moment counts as the later of what the anchor says and what
    /// the wall clock says now, and never as later than now. So nothing that began a moment ago counts as old.
    pub fn time_of_wall(&self, wall: Micros) -> Micros {
        let now = self.now();
        let age_by_anchor = now.saturating_sub(wall);
        let age_by_wall_clock = wall_time().saturating_sub(wall);
        now - age_by_anchor.min(age_by_wall_clock)
    }

    /// The instant of a time in microseconds since 1970; times before the anchor are the anchor.
    pub fn instant(&self, at: Micros) -> Instant {
        self.anchor + Duration::from_micros(at.saturating_sub(self.anchor_time))
    }
}

/// What the machine's wall clock says, in microseconds since 1970; 0 before that.
fn wall_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as Micros
}
