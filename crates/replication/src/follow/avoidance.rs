//! Relays that a follower avoids for a while because they failed, were slow or were stale. The time doubles
//! with each further failure.

use crate::time::Millis;
use std::collections::BTreeMap;

/// Time for which a relay is avoided after its first failure, in milliseconds.
const MIN_AVOIDANCE_MS: Millis = 1000;
/// Maximum time for which a relay is avoided, in milliseconds.
const MAX_AVOIDANCE_MS: Millis = 30_000;
/// Maximum number of relays that are remembered.
const MAX_AVOIDED: usize = 128;

#[derive(Clone, Copy, Debug)]
struct Penalty {
    failures: u32,
    until: Millis,
}

/// The relays that one follower avoids.
#[derive(Debug, Default)]
pub(super) struct Avoidance {
    by_head: BTreeMap<String, Penalty>,
}

impl Avoidance {
    /// Records a failure of a relay, which is avoided from now on.
    pub(super) fn add(&mut self, now: Millis, head: &str) {
        if !self.by_head.contains_key(head) && self.by_head.len() >= MAX_AVOIDED {
            self.by_head.retain(|_, penalty| now < penalty.until);
            if self.by_head.len() >= MAX_AVOIDED {
                return;
            }
        }
        let penalty = self.by_head.entry(head.to_owned()).or_insert(Penalty { failures: 0, until: now });
        let time = (MIN_AVOIDANCE_MS << penalty.failures.min(5)).min(MAX_AVOIDANCE_MS);
        *penalty = Penalty { failures: penalty.failures + 1, until: now + time };
    }

    /// Forgets the failures of a relay, which has served a fresh update.
    pub(super) fn clear(&mut self, head: &str) {
        self.by_head.remove(head);
    }

    /// Whether a relay is avoided now.
    pub(super) fn contains(&self, now: Millis, head: &str) -> bool {
        self.by_head.get(head).is_some_and(|penalty| now < penalty.until)
    }
}
