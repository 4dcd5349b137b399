//! Which fault is injected when. Disks are lost one at a time: the next only when all copies are at full number again,
//! which is what the store promises to bear.

use super::fault::{Fault, FaultInjection};
use super::heads::SimulatedHeads;
use super::seeded_random::SeededRandom;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time before the first fault.
const FIRST_FAULT: Duration = Duration::from_millis(1500);

/// The faults of one run.
pub struct FaultSchedule {
    /// Its random numbers, which also say what a loss of power tears.
    pub random: SeededRandom,
    heads: usize,
    next_at: Instant,
    /// How often each fault was injected.
    pub injected: BTreeMap<Fault, u64>,
}

impl FaultSchedule {
    /// Faults for so many heads.
    pub fn new(random: SeededRandom, heads: usize) -> FaultSchedule {
        FaultSchedule { random, heads, next_at: Instant::now() + FIRST_FAULT, injected: BTreeMap::new() }
    }

    /// The fault to inject now, if any.
    pub fn take_due(&mut self, heads: &SimulatedHeads) -> Option<FaultInjection> {
        if Instant::now() < self.next_at {
            return None;
        }
        self.next_at = Instant::now() + Duration::from_millis(50 + self.random.below(900));
        let head = self.random.below(self.heads as u64) as usize;
        let other = (head + 1 + self.random.below(self.heads as u64 - 1) as usize) % self.heads;
        let is_up = heads.is_up(head);
        let fault = match self.random.below(20) {
            0..=2 if is_up => Fault::Kill,
            3..=5 if is_up => Fault::Power,
            0..=13 if !is_up => Fault::Start,
            6 => Fault::Cut,
            7 => Fault::Isolate,
            8 => Fault::Deaf,
            9 => Fault::Stall,
            10..=14 => Fault::Heal,
            15 | 16 if is_up => Fault::Copy,
            17 | 18 if is_up && heads.are_complete() => Fault::Lose,
            19 if is_up && heads.are_complete() && heads.has_copy(head) => Fault::Restore,
            _ => return None,
        };
        *self.injected.entry(fault).or_default() += 1;
        Some(FaultInjection { fault, head, other })
    }
}
