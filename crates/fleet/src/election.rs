//! When a keeper stands for election: once it has heard nothing of a leader for a while, and a majority says that
//! they have not either.
//!
//! Asking first keeps a keeper that was cut off, stood still or hears nothing from ending the term of a leader
//! that the others hear. It promises nothing: whether an election is won is for the consensus library, which counts
//! votes; this decides only when one is worth its while. The waits are drawn anew each time, so that two keepers
//! that ended in a draw do not stand together again.

use crate::greeting::StoreId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Milliseconds on a clock that never goes back.
pub type Millis = u64;

/// How long a keeper waits.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// Silence of the leader after which it is no longer followed.
    pub silence: Millis,
    /// On top of it, up to this much by chance.
    pub spread: Millis,
    /// After a question that found no majority, or an election that was not won: up to this much, by chance, and
    /// half of it at the least.
    pub again: Millis,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time.
    Wait(Millis),
    /// Ask these voters whether they hear a leader, under this number.
    Ask(u64, BTreeSet<StoreId>),
    /// Stand for election.
    Stand,
}

/// One keeper's view of when to stand.
#[derive(Debug)]
pub struct Election {
    waits: Waits,
    rng: ChaCha8Rng,
    heard: Millis,
    due: Millis,
    /// The question that is out: its number, who was asked, and who said that they hear nobody.
    asked: Option<(u64, BTreeSet<StoreId>, BTreeSet<StoreId>)>,
    questions: u64,
}

impl Election {
    /// A keeper that begins now.
    pub fn new(waits: Waits, seed: u64, now: Millis) -> Election {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut election = Election { waits, rng, heard: now, due: 0, asked: None, questions: 0 };
        election.due = now + waits.silence + election.draw(waits.spread);
        election
    }

    fn draw(&mut self, most: Millis) -> Millis {
        if most == 0 { 0 } else { u64::from(self.rng.next_u32()) % (most + 1) }
    }

    /// A leader has been heard.
    pub fn heard(&mut self, now: Millis) {
        self.heard = self.heard.max(now);
        self.due = self.heard + self.waits.silence + self.draw(self.waits.spread);
        self.asked = None;
    }

    /// Whether a leader counts as heard: what others are told who ask.
    pub fn hears(&self, now: Millis) -> bool {
        now < self.heard + self.waits.silence
    }

    /// How long no leader has been heard.
    pub fn silent(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard)
    }

    /// What is to be done now, by a voter among these.
    pub fn step(&mut self, now: Millis, own: StoreId, voters: &BTreeSet<StoreId>) -> Step {
        if now < self.due {
            return Step::Wait(self.due);
        }
        self.due = now + self.waits.again / 2 + self.draw(self.waits.again / 2);
        self.questions += 1;
        let others: BTreeSet<StoreId> = voters.iter().copied().filter(|voter| *voter != own).collect();
        self.asked = Some((self.questions, others.clone(), BTreeSet::new()));
        if others.is_empty() { self.stand() } else { Step::Ask(self.questions, others) }
    }

    /// A voter's answer to a question: whether it hears no leader either.
    pub fn told(&mut self, now: Millis, question: u64, from: StoreId, silent: bool) -> Step {
        let hears = self.hears(now);
        match &mut self.asked {
            // Guards against words that are late: since then a leader was heard, or the question was put anew.
            Some((number, asked, agree))
                if *number == question && !hears && silent && asked.contains(&from) =>
            {
                agree.insert(from);
                if agree.len() + 1 > asked.len().div_ceil(2) {
                    return self.stand();
                }
            }
            _ => {}
        }
        Step::Wait(self.due)
    }

    fn stand(&mut self) -> Step {
        self.asked = None;
        Step::Stand
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WAITS: Waits = Waits { silence: 500, spread: 300, again: 400 };

    fn silent(election: &mut Election) -> (Millis, u64) {
        let voters = BTreeSet::from([1, 2, 3, 4, 5]);
        let Step::Wait(due) = election.step(0, 1, &voters) else { panic!("at once") };
        let Step::Ask(question, others) = election.step(due, 1, &voters) else { panic!("unasked") };
        assert_eq!(others, BTreeSet::from([2, 3, 4, 5]));
        (due, question)
    }

    #[test]
    fn it_stands_only_when_a_majority_hears_nobody() {
        let mut election = Election::new(WAITS, 1, 0);
        let (due, question) = silent(&mut election);
        assert!((500..=800).contains(&due));
        // Of five, two more make a majority; one that hears a leader, a stranger and a repeat do not count.
        for (from, silent) in [(2, false), (9, true), (3, true), (3, true)] {
            assert!(matches!(election.told(due, question, from, silent), Step::Wait(_)), "{from}");
        }
        assert_eq!(election.told(due, question, 4, true), Step::Stand);
        assert!(matches!(election.told(due, question, 5, true), Step::Wait(_)), "twice");
    }

    #[test]
    fn a_leader_heard_in_between_calls_it_off() {
        let mut election = Election::new(WAITS, 1, 0);
        let (due, question) = silent(&mut election);
        election.heard(due);
        assert!(election.hears(due + 499) && !election.hears(due + 500));
        for from in 2..=5 {
            assert!(matches!(election.told(due + 1, question, from, true), Step::Wait(_)));
        }
    }

    #[test]
    fn waits_after_a_draw_differ() {
        let dues = (0..20).map(|seed| {
            let mut election = Election::new(WAITS, seed, 0);
            let (due, _) = silent(&mut election);
            let Step::Wait(again) = election.step(due, 1, &BTreeSet::from([1, 2, 3])) else {
                panic!("at once")
            };
            assert!((200..=400).contains(&(again - due)));
            (due, again)
        });
        assert!(dues.collect::<BTreeSet<_>>().len() > 15);
    }
}
