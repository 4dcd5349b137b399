//! What a seed draws: the limits of the heads, the faults of backends, system calls and clocks, the signals and the crowd.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::time::Duration;

/// Random numbers of one part of a run.
pub struct Draw(ChaCha8Rng);

impl Draw {
    /// The numbers of a part; parts of one seed are independent.
    pub fn new(seed: u64, part: u64) -> Draw {
        Draw(ChaCha8Rng::seed_from_u64(seed.wrapping_mul(0x1_0001).wrapping_add(part)))
    }

    /// A number below `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0.next_u64() % most
    }

    /// One of these.
    pub fn one_of<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize]
    }

    /// Whether something that happens `of_hundred` times of a hundred happens.
    pub fn chance(&mut self, of_hundred: u64) -> bool {
        self.below(100) < of_hundred
    }

    /// A time between two, in milliseconds.
    pub fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from + 1))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }
}

/// How a backend treats a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Sound,
    /// Writes its response in parts over some time.
    SlowWrite,
    /// Reads the request slowly.
    SlowRead,
    /// The response has no length and ends with the connection.
    NoLength,
    /// The connection ends, or is reset, within the response.
    Cut,
    Reset,
    /// Never answers.
    Silent,
    /// Says that it has not begun the request.
    Rejects,
}

/// The behaviours that are not sound.
pub const TROUBLES: [Behaviour; 7] = [
    Behaviour::SlowWrite,
    Behaviour::SlowRead,
    Behaviour::NoLength,
    Behaviour::Cut,
    Behaviour::Reset,
    Behaviour::Silent,
    Behaviour::Rejects,
];

/// What a crowd of bad clients does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    HalfHeads,
    HalfBodies,
    SendsAhead,
    Idle,
}

/// What clients that write at full speed without reading send again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    EmptyLines,
    UnsoundHeads,
    TinyChunks,
    EndlessHead,
    HealthChecks,
}

/// One run.
#[derive(Debug)]
pub struct Scenario {
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The longest deadline of a class, and the shortest latency objective, in milliseconds.
    pub longest_deadline_ms: u64,
    pub objective_ms: u64,
    /// How many requests of a hundred meet trouble at a backend.
    pub trouble_of_hundred: u64,
    pub crowd: Option<Crowd>,
    /// Restarts of a head, one after the other, by SIGTERM and then SIGKILL.
    pub restarts: usize,
    pub failing_calls: bool,
    /// A step of the wall clock of one head, in seconds.
    pub clock_step: Option<i64>,
    pub clients: usize,
    /// Three clients at full speed at the first head, for the whole run.
    pub flood: Option<Flood>,
    /// How many requests of a hundred ask for a response whose writing outlasts its client's wait.
    pub long_of_hundred: u64,
    /// How many requests of a hundred are read slowly by their client.
    pub slow_reader_of_hundred: u64,
}

impl Scenario {
    /// What a seed draws.
    pub fn draw(seed: u64) -> Scenario {
        let mut draw = Draw::new(seed, 0);
        Scenario {
            seed,
            memory_mb: draw.one_of(&[32, 32, 48, 96, 192]),
            sockets: draw.one_of(&[256, 384, 1024]),
            longest_deadline_ms: draw.one_of(&[800, 1200, 3000, 4000]),
            objective_ms: draw.one_of(&[100, 200, 400]),
            trouble_of_hundred: draw.one_of(&[0, 5, 15, 30]),
            crowd: draw.one_of(&[
                None,
                None,
                Some(Crowd::HalfHeads),
                Some(Crowd::HalfBodies),
                Some(Crowd::SendsAhead),
                Some(Crowd::Idle),
            ]),
            restarts: draw.one_of(&[0, 1, 2]),
            failing_calls: draw.chance(40),
            clock_step: draw.one_of(&[None, None, Some(5), Some(-5), Some(3600), Some(-3600)]),
            clients: draw.one_of(&[6, 12, 20]),
            flood: draw.one_of(&[
                None,
                None,
                None,
                Some(Flood::EmptyLines),
                Some(Flood::UnsoundHeads),
                Some(Flood::TinyChunks),
                Some(Flood::EndlessHead),
                Some(Flood::HealthChecks),
            ]),
            long_of_hundred: draw.one_of(&[0, 10, 25]),
            slow_reader_of_hundred: draw.one_of(&[0, 0, 10]),
        }
    }

    /// Time from SIGTERM to SIGKILL: the earliest that the operators allow.
    pub fn kill_after(&self) -> Duration {
        Duration::from_millis(self.longest_deadline_ms.min(3000) + 700)
    }
}
