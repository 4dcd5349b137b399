//! Bounds how many log lines each place in the program may write in a period, and counts those left out.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;

/// The most lines that one place may write in a [`PERIOD`]; the rest is counted.
pub const MAX_LINES: u32 = 50;
/// The period in which lines are counted. The first line behind its end begins the next one.
pub const PERIOD: Duration = Duration::from_secs(1);

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether it may be written.
    pub is_admitted: bool,
    /// How many lines of its place were left out in the period that ended with it.
    pub left_out: u32,
}

/// The lines of one place in its current period.
struct PlaceCount {
    period_start: Instant,
    lines: u32,
}

/// Counts the lines of each place in the program.
#[derive(Default)]
pub struct RateLimit {
    places: Mutex<HashMap<Identifier, PlaceCount>>,
}

impl RateLimit {
    /// Counts one line of a place at this time.
    pub fn admit(&self, place: Identifier, now: Instant) -> Admission {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let count = places.entry(place).or_insert(PlaceCount { period_start: now, lines: 0 });
        let mut left_out = 0;
        if now.duration_since(count.period_start) >= PERIOD {
            left_out = count.lines.saturating_sub(MAX_LINES);
            *count = PlaceCount { period_start: now, lines: 0 };
        }
        count.lines = count.lines.saturating_add(1);
        Admission { is_admitted: count.lines <= MAX_LINES, left_out }
    }
}
