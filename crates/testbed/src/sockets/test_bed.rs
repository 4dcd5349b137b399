//! What all parts of one test run on sockets share: the drawn requests, the clock, the auditor and the figures.

use crate::auditor::{Auditor, ExecutionProof, Ticket};
use crate::drawn_scenario::DrawnScenario;
use crate::drawn_scenario::types::Placement;
use crate::figures::RunFigures;
use crate::scenario::Scenario;
use sedgerun_policy::{BackendId, Micros};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for heads to start and to receive the endpoint list before the first request.
const START_UP_TIME: Duration = Duration::from_millis(1500);
/// Time before a moment from which on the test bed yields in place of sleeping.
const YIELD_WITHIN: Duration = Duration::from_micros(1200);

/// The loopback address of this process's test runs: one of its own, so that neither another run nor the near end of a
/// connection ever holds a port that a backend or head comes back to.
pub fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, middle, low.clamp(1, 254))
}

/// What all parts of one test run share. It lives on one thread; no borrow of its cells is held over an await.
pub struct TestBed {
    /// The scenario.
    pub scenario: Scenario,
    /// Its backends, volumes and requests.
    pub drawn: DrawnScenario,
    /// The seed.
    pub seed: u64,
    /// When the first second of the scenario begins.
    pub begun: Instant,
    /// The auditor.
    pub auditor: RefCell<Auditor>,
    /// The figures.
    pub figures: RefCell<RunFigures>,
    written_shards: RefCell<HashMap<u32, u32>>,
    attempts_by_ticket: RefCell<HashMap<Ticket, u32>>,
    arrivals_by_ticket: RefCell<Vec<u32>>,
    next_token: Cell<u64>,
}

impl TestBed {
    /// A test bed whose scenario begins after the time that heads take to start.
    pub fn new(scenario: Scenario, drawn: DrawnScenario, seed: u64) -> TestBed {
        let auditor = Auditor::new(0, drawn.settings.rules.drain_grace, drawn.reservations());
        let figures = RunFigures::new(&scenario, drawn.backends.len());
        TestBed {
            begun: Instant::now() + START_UP_TIME,
            auditor: RefCell::new(auditor),
            figures: RefCell::new(figures),
            written_shards: RefCell::default(),
            attempts_by_ticket: RefCell::default(),
            arrivals_by_ticket: RefCell::default(),
            next_token: Cell::new(0),
            scenario,
            drawn,
            seed,
        }
    }

    /// Time since the beginning, us; 0 before it.
    pub fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    /// Waits for a time more closely than the runtime's timers do, which know whole milliseconds: what a request's work
    /// takes would come out up to one longer, and differently each time.
    pub async fn sleep_until(&self, at: Micros) {
        let at = self.instant(at);
        tokio::time::sleep_until(at.checked_sub(YIELD_WITHIN).unwrap_or(at)).await;
        while Instant::now() < at {
            tokio::task::yield_now().await;
        }
    }

    /// The instant of a time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.begun + Duration::from_micros(at)
    }

    /// One line of progress for whoever watches.
    pub fn progress_line(&self) -> String {
        let (figures, auditor) = (self.figures.borrow(), self.auditor.borrow());
        format!(
            "{:5.1} s  {} requests  service {:.3}  {} attempts  {} handshakes  {} rules broken",
            self.now() as f64 / 1e6,
            figures.requests(),
            figures.service(),
            figures.attempts,
            figures.handshakes,
            auditor.broken()
        )
    }

    /// A new token for an attempt at a backend.
    pub fn new_token(&self) -> u64 {
        self.next_token.replace(self.next_token.get() + 1)
    }

    /// A new ticket for a client's attempt at an arrival.
    pub fn new_ticket(&self, arrival: u32) -> Ticket {
        let mut arrivals = self.arrivals_by_ticket.borrow_mut();
        arrivals.push(arrival);
        arrivals.len() as Ticket - 1
    }

    /// The arrival behind a ticket.
    pub fn arrival_of(&self, ticket: Ticket) -> Option<u32> {
        self.arrivals_by_ticket.borrow().get(ticket as usize).copied()
    }

    /// The shard that a request belongs to; none where any will do.
    pub fn shard_of(&self, placement: Placement) -> Option<u32> {
        match placement {
            Placement::Shard(shard) => Some(shard),
            Placement::NewObject => None,
            Placement::WithWrite(arrival, shard) => {
                Some(self.written_shards.borrow().get(&arrival).copied().unwrap_or(shard))
            }
        }
    }

    /// The new object of an arrival was written to a shard.
    pub fn note_written_shard(&self, arrival: u32, shard: u32) {
        self.written_shards.borrow_mut().entry(arrival).or_insert(shard);
    }

    /// Notes an attempt that reaches a backend; whether it is the first one of its request.
    pub fn note_attempt(&self, ticket: Ticket, token: u64, backend: BackendId) -> bool {
        self.figures.borrow_mut().attempts += 1;
        self.auditor.borrow_mut().attempt_sent(self.now(), ticket, token, backend);
        let mut attempts = self.attempts_by_ticket.borrow_mut();
        let count = attempts.entry(ticket).or_default();
        *count += 1;
        *count == 1
    }

    /// Notes the end of an attempt.
    pub fn note_attempt_end(&self, ticket: Ticket, token: u64, proof: ExecutionProof) {
        self.auditor.borrow_mut().attempt_ended(ticket, token, proof);
    }
}
