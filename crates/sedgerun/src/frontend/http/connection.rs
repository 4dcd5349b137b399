//! The state of one client connection. The stream records reads and writes in it, and the handler the stage
//! of the request; the accept loop and the sweep use it to decide which connections to close.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The activity of a client connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// A request is being read or handled.
    request_in_progress: Cell<bool>,
    /// When bytes were last read, or a write was last attempted.
    last_activity_at: Cell<Instant>,
    /// Bytes have been received since the last response.
    received_since_response: Cell<bool>,
    /// When the first byte of the current request was received, or, before the first request, when the
    /// connection was accepted. `None` after a response, until the next request begins.
    request_started_at: Cell<Option<Instant>>,
    /// Any byte has ever been received.
    has_received: Cell<bool>,
    /// The request is complete and its response is pending.
    awaiting_response: Cell<bool>,
    /// The client has disconnected while a response was pending.
    client_disconnected: Cell<bool>,
    /// Bytes received while a response was pending, or after the last one, have been discarded.
    has_discarded: Cell<bool>,
    /// When the last response on this connection was produced, or its sending side was shut down; `None`
    /// while more responses may follow.
    responses_ended_at: Cell<Option<Instant>>,
    /// Since when a response has been waiting for the client to read it, or its next part; `None` if none is.
    write_pending_since: Cell<Option<Instant>>,
}

impl ConnectionState {
    /// The state of a connection that was accepted at `now`.
    pub(super) fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            request_in_progress: Cell::new(false),
            last_activity_at: Cell::new(now),
            received_since_response: Cell::new(false),
            request_started_at: Cell::new(Some(now)),
            has_received: Cell::new(false),
            awaiting_response: Cell::new(false),
            client_disconnected: Cell::new(false),
            has_discarded: Cell::new(false),
            responses_ended_at: Cell::new(None),
            write_pending_since: Cell::new(None),
        }
    }

    /// Records that bytes were received and passed on to actix-http.
    pub(super) fn record_received(&self) {
        let now = Instant::now();
        self.last_activity_at.set(now);
        self.received_since_response.set(true);
        self.has_received.set(true);
        self.request_started_at.set(self.request_started_at.get().or(Some(now)));
    }

    /// Records that bytes were received and discarded.
    pub(super) fn record_discarded(&self) {
        self.has_discarded.set(true);
    }

    /// Records a write that was attempted at `now`. Each part that the socket accepts restarts the write
    /// timeout, since a client that reads slowly is still connected.
    pub(super) fn record_write(&self, now: Instant, accepted: bool) {
        self.last_activity_at.set(now);
        let since = if accepted { now } else { self.write_pending_since.get().unwrap_or(now) };
        self.write_pending_since.set(Some(since));
    }

    /// Records that all pending data has been written.
    pub(super) fn record_flushed(&self) {
        self.write_pending_since.set(None);
    }

    /// Records whether the client has disconnected while its response was pending.
    pub(super) fn set_client_disconnected(&self, disconnected: bool) {
        self.client_disconnected.set(disconnected);
    }

    /// Records that no response follows on this connection. An earlier time that was recorded is kept.
    pub(super) fn end_responses(&self) {
        self.responses_ended_at.set(self.responses_ended_at.get().or_else(|| Some(Instant::now())));
    }

    /// Records that the response produced now closes the connection.
    pub(super) fn record_closing_response(&self) {
        self.responses_ended_at.set(Some(Instant::now()));
    }

    /// Marks the request as complete, with its response pending, until the guard is dropped.
    pub(super) fn await_response(&self) -> AwaitingResponse<'_> {
        self.awaiting_response.set(true);
        AwaitingResponse(self)
    }

    /// Whether a request is being read or handled.
    pub(super) fn request_in_progress(&self) -> bool {
        self.request_in_progress.get()
    }

    /// When bytes were last read, or a write was last attempted.
    pub(super) fn last_activity_at(&self) -> Instant {
        self.last_activity_at.get()
    }

    /// Whether bytes have been received since the last response.
    pub(super) fn received_since_response(&self) -> bool {
        self.received_since_response.get()
    }

    /// When the first byte of the current request was received, or, before the first request, when the
    /// connection was accepted. `None` after a response, until the next request begins.
    pub(super) fn request_started_at(&self) -> Option<Instant> {
        self.request_started_at.get()
    }

    /// Whether any byte has ever been received.
    pub(super) fn has_received(&self) -> bool {
        self.has_received.get()
    }

    /// Whether the response to a complete request is pending.
    pub(super) fn awaiting_response(&self) -> bool {
        self.awaiting_response.get()
    }

    /// Whether the client has disconnected while a response was pending.
    pub(super) fn client_disconnected(&self) -> bool {
        self.client_disconnected.get()
    }

    /// Whether bytes have been discarded that were received while a response was pending or after the last
    /// one.
    pub(super) fn has_discarded(&self) -> bool {
        self.has_discarded.get()
    }

    /// When the last response on this connection was produced, or its sending side was shut down; `None`
    /// while more responses may follow.
    pub(super) fn responses_ended_at(&self) -> Option<Instant> {
        self.responses_ended_at.get()
    }

    /// Since when a response has been waiting for the client to read it, or its next part; `None` if none is.
    pub(super) fn write_pending_since(&self) -> Option<Instant> {
        self.write_pending_since.get()
    }
}

/// Marks a connection's response as pending until dropped.
pub(super) struct AwaitingResponse<'a>(&'a ConnectionState);

impl Drop for AwaitingResponse<'_> {
    fn drop(&mut self) {
        self.0.awaiting_response.set(false);
    }
}

/// Marks a connection as having a request in progress. Dropped when the response is produced or the request
/// is abandoned.
pub(super) struct RequestInProgress(Option<Rc<ConnectionState>>);

impl RequestInProgress {
    /// Marks the connection; `None` if the request has no connection state.
    pub(super) fn begin(connection: Option<Rc<ConnectionState>>) -> RequestInProgress {
        if let Some(connection) = &connection {
            connection.request_in_progress.set(true);
        }
        RequestInProgress(connection)
    }

    /// The marked connection.
    pub(super) fn connection(&self) -> Option<&ConnectionState> {
        self.0.as_deref()
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.request_in_progress.set(false);
            connection.received_since_response.set(false);
            connection.request_started_at.set(None);
            connection.last_activity_at.set(Instant::now());
            connection.write_pending_since.set(Some(Instant::now()));
        }
    }
}
