//! Whether an attempt may begin: everything that was decided when it was started, asked again right before the last byte
//! of its request is written.
//!
//! A backend begins a request with its last byte. Between the decision to make an attempt and that byte lie the
//! connection, the rest of the request and pauses of this process. Until then the attempt can be called off with the
//! certainty that it never ran.

use crate::clock::Clock;
use crate::config::MAX_PAUSE;
use sedgerun_policy::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Time after which the process may have been paused, and have missed news that wait in its sockets, in microseconds.
const SUSPECTED_PAUSE: Micros = 10_000;
/// The resolution of the system's timeout for acknowledgements.
const MIN_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1);
/// Turns of the event loop in which such news reach an attempt: a 9P session's end takes one to its operations, and
/// another to their attempts.
const TURNS_FOR_NEWS: usize = 2;

/// Why an attempt may not begin. Its request never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CalledOff {
    /// Its client has disconnected or cancelled it, or its backend takes no requests any more.
    #[error("it was cancelled")]
    Cancelled,
    /// Its client's time is over, or backends may no longer recognise it as a duplicate of an earlier attempt, or its
    /// backend has been draining for too long.
    #[error("it is too late to begin")]
    TooLate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its last byte was not written.
    Pending,
    /// Its last byte may have been written.
    Begun,
    /// It may not begin any more.
    Cancelled,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Cell<State>,
    /// The attempt may begin only before this time.
    begin_before: Cell<Micros>,
    /// Past this time the attempt could run a second time, whatever holds its last byte up; `None`: at no time.
    duplicate_from: Option<Micros>,
    /// When all news had last been heeded.
    fresh_at: Cell<Micros>,
}

/// The last check of one attempt before it begins. Its connection asks it, and the dispatch service cancels it.
#[derive(Clone, Debug)]
pub struct BeginCheck(Rc<Shared>);

impl BeginCheck {
    /// The check of an attempt whose response is due at `respond_by`. It has to begin within [`MAX_PAUSE`] of
    /// `begin_before` where an earlier attempt may have run.
    pub fn new(clock: Clock, respond_by: Micros, begin_before: Option<Micros>) -> BeginCheck {
        BeginCheck(Rc::new(Shared {
            clock,
            state: Cell::new(State::Pending),
            begin_before: Cell::new(begin_before.map_or(respond_by, |before| before.min(respond_by))),
            duplicate_from: begin_before.map(|before| before + MAX_PAUSE),
            fresh_at: Cell::new(clock.now()),
        }))
    }

    /// The time within which the last byte must reach the backend if it is written now; `None`: any.
    pub fn acknowledgement_timeout(&self) -> Option<Duration> {
        let duplicate_from = self.0.duplicate_from?;
        let time_left = duplicate_from.saturating_sub(self.0.clock.now());
        Some(Duration::from_micros(time_left).max(MIN_ACKNOWLEDGEMENT_TIMEOUT))
    }

    /// The time before which the attempt may begin.
    pub fn begin_before(&self) -> Micros {
        self.0.begin_before.get()
    }

    /// Makes the attempt begin before a time, if it may begin later at present.
    pub fn limit(&self, begin_before: Micros) {
        self.0.begin_before.set(self.begin_before().min(begin_before));
    }

    /// Forbids the attempt to begin; whether it has not begun, and so never runs.
    pub fn cancel(&self) -> bool {
        if self.0.state.get() == State::Begun {
            return false;
        }
        self.0.state.set(State::Cancelled);
        true
    }

    /// Whether the last byte of the request may have been written.
    pub fn has_begun(&self) -> bool {
        self.0.state.get() == State::Begun
    }

    /// Whether the attempt was called off.
    pub fn is_called_off(&self) -> bool {
        self.0.state.get() == State::Cancelled
    }

    /// Lets tasks run that have news for this attempt, if the process may have been paused since they last ran: a client
    /// that has disconnected, or a new endpoint list.
    pub async fn heed_news(&self) {
        if self.0.clock.now().saturating_sub(self.0.fresh_at.get()) < SUSPECTED_PAUSE {
            return;
        }
        for _ in 0..TURNS_FOR_NEWS {
            tokio::task::yield_now().await;
        }
        self.0.fresh_at.set(self.0.clock.now());
    }

    /// Whether the attempt may begin now, or go on where it has begun. One that may not never begins.
    ///
    /// # Errors
    /// It may not; nothing more of it is written.
    pub fn ask(&self) -> Result<(), CalledOff> {
        match self.0.state.get() {
            State::Begun => Ok(()),
            State::Cancelled => Err(CalledOff::Cancelled),
            State::Pending if self.0.clock.now() < self.begin_before() => Ok(()),
            State::Pending => Err(self.call_off()),
        }
    }

    /// Records that it is too late for the attempt to begin.
    pub fn call_off(&self) -> CalledOff {
        self.0.state.set(State::Cancelled);
        CalledOff::TooLate
    }

    /// Records that the last byte of the request may have been written.
    pub fn record_begun(&self) {
        self.0.state.set(State::Begun);
    }
}
