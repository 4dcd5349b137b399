//! The state of one client connection, by which the accept loop and the sweep decide which connections to close.

use std::cell::Cell;
use std::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has arrived since the last response.
    Idle,
    /// A part of a request's head has arrived.
    ReceivingHead,
    /// The head is complete, and the body is not.
    ReceivingBody,
    /// The request is complete, and its response is not known.
    AwaitingResponse,
    /// The response is being written.
    SendingResponse,
    /// The last response is written; the client may still be reading it.
    Lingering,
}

/// The activity of a client connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    phase: Cell<Phase>,
    /// When the phase began, or bytes were last received or written.
    last_activity_at: Cell<Instant>,
    /// Any byte has ever been received.
    has_received: Cell<bool>,
}

impl ConnectionState {
    /// The state of a connection that was accepted at `now`.
    pub(super) fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            phase: Cell::new(Phase::Idle),
            last_activity_at: Cell::new(now),
            has_received: Cell::new(false),
        }
    }

    /// Records that a phase has begun.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.last_activity_at.set(Instant::now());
    }

    /// Records that bytes were received.
    pub(super) fn record_received(&self) {
        self.has_received.set(true);
        self.last_activity_at.set(Instant::now());
    }

    /// Records that bytes were written.
    pub(super) fn record_written(&self) {
        self.last_activity_at.set(Instant::now());
    }

    /// What the connection is doing.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the phase began, or bytes were last received or written.
    pub(super) fn last_activity_at(&self) -> Instant {
        self.last_activity_at.get()
    }

    /// Whether any byte has ever been received.
    pub(super) fn has_received(&self) -> bool {
        self.has_received.get()
    }
}
