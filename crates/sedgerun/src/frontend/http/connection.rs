//! What is known of one client connection. Its stream writes down what it reads and writes, the handler which stage its
//! request is in; the accept loop and the sweep read it to decide which connections are closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The activity of a client connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// A request is being read or answered.
    request_in_progress: Cell<bool>,
    /// When bytes were last read, or written or tried to be.
    last_activity_at: Cell<Instant>,
    /// Bytes have been received since the last answer.
    received_since_answer: Cell<bool>,
    /// When the first byte of a request came that is not answered; at first, when the connection was made.
    request_started_at: Cell<Option<Instant>>,
    /// Any byte has ever been received.
    has_received: Cell<bool>,
    /// The request is complete, and its answer is awaited.
    awaiting_answer: Cell<bool>,
    /// The client has disconnected while an answer was awaited.
    client_disconnected: Cell<bool>,
    /// Bytes that came while an answer was awaited have been discarded.
    has_discarded: Cell<bool>,
    /// When the connection was given its last answer.
    last_answer_at: Cell<Option<Instant>>,
    /// Since when an answer, or a part of one, has been waiting for the client to take it.
    write_pending_since: Cell<Option<Instant>>,
}

impl ConnectionState {
    /// The state of a connection that was made at `now`.
    pub(super) fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            request_in_progress: Cell::new(false),
            last_activity_at: Cell::new(now),
            received_since_answer: Cell::new(false),
            request_started_at: Cell::new(Some(now)),
            has_received: Cell::new(false),
            awaiting_answer: Cell::new(false),
            client_disconnected: Cell::new(false),
            has_discarded: Cell::new(false),
            last_answer_at: Cell::new(None),
            write_pending_since: Cell::new(None),
        }
    }

    /// Records that bytes were received and passed on to actix-http.
    pub(super) fn record_received(&self) {
        let now = Instant::now();
        self.last_activity_at.set(now);
        self.received_since_answer.set(true);
        self.has_received.set(true);
        self.request_started_at.set(self.request_started_at.get().or(Some(now)));
    }

    /// Records that bytes were received and discarded.
    pub(super) fn record_discarded(&self) {
        self.has_discarded.set(true);
    }

    /// Records a write that was tried at `now`. A client that accepts a part now and then is slow, not disconnected:
    /// with each part that it accepts, its time begins anew.
    pub(super) fn record_write(&self, now: Instant, accepted: bool) {
        self.last_activity_at.set(now);
        let since = if accepted { now } else { self.write_pending_since.get().unwrap_or(now) };
        self.write_pending_since.set(Some(since));
    }

    /// Records that all that was to be written has been.
    pub(super) fn record_flushed(&self) {
        self.write_pending_since.set(None);
    }

    /// Records whether the client has disconnected while its answer was awaited.
    pub(super) fn set_client_disconnected(&self, disconnected: bool) {
        self.client_disconnected.set(disconnected);
    }

    /// Records that no answer follows on this connection, at the first call that says so.
    pub(super) fn end_answers(&self) {
        self.last_answer_at.set(self.last_answer_at.get().or_else(|| Some(Instant::now())));
    }

    /// Records that the answer which is given now is the last one.
    pub(super) fn record_last_answer(&self) {
        self.last_answer_at.set(Some(Instant::now()));
    }

    /// Marks the request as complete until the guard is dropped: its answer is awaited.
    pub(super) fn await_answer(&self) -> AwaitingAnswer<'_> {
        self.awaiting_answer.set(true);
        AwaitingAnswer(self)
    }

    /// Whether a request is being read or answered.
    pub(super) fn request_in_progress(&self) -> bool {
        self.request_in_progress.get()
    }

    /// When bytes were last read, or written or tried to be.
    pub(super) fn last_activity_at(&self) -> Instant {
        self.last_activity_at.get()
    }

    /// Whether bytes have been received since the last answer.
    pub(super) fn received_since_answer(&self) -> bool {
        self.received_since_answer.get()
    }

    /// When the first byte of a request came that is not answered; at first, when the connection was made.
    pub(super) fn request_started_at(&self) -> Option<Instant> {
        self.request_started_at.get()
    }

    /// Whether any byte has ever been received.
    pub(super) fn has_received(&self) -> bool {
        self.has_received.get()
    }

    /// Whether a complete request awaits its answer.
    pub(super) fn awaiting_answer(&self) -> bool {
        self.awaiting_answer.get()
    }

    /// Whether the client has disconnected while an answer was awaited.
    pub(super) fn client_disconnected(&self) -> bool {
        self.client_disconnected.get()
    }

    /// Whether bytes that came while an answer was awaited have been discarded.
    pub(super) fn has_discarded(&self) -> bool {
        self.has_discarded.get()
    }

    /// When the connection was given its last answer.
    pub(super) fn last_answer_at(&self) -> Option<Instant> {
        self.last_answer_at.get()
    }

    /// Since when an answer, or a part of one, has been waiting for the client to take it.
    pub(super) fn write_pending_since(&self) -> Option<Instant> {
        self.write_pending_since.get()
    }
}

/// Marks a connection as one whose request is complete and awaits its answer, until dropped.
pub(super) struct AwaitingAnswer<'a>(&'a ConnectionState);

impl Drop for AwaitingAnswer<'_> {
    fn drop(&mut self) {
        self.0.awaiting_answer.set(false);
    }
}

/// Marks a connection as one with a request in progress, until the answer is given, or given up, with the drop.
pub(super) struct RequestInProgress(Option<Rc<ConnectionState>>);

impl RequestInProgress {
    /// Marks the connection; `None` where a request has none.
    pub(super) fn begin(connection: Option<Rc<ConnectionState>>) -> RequestInProgress {
        if let Some(connection) = &connection {
            connection.request_in_progress.set(true);
        }
        RequestInProgress(connection)
    }

    /// The connection that is marked.
    pub(super) fn connection(&self) -> Option<&ConnectionState> {
        self.0.as_deref()
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.request_in_progress.set(false);
            connection.received_since_answer.set(false);
            connection.request_started_at.set(None);
            connection.last_activity_at.set(Instant::now());
            connection.write_pending_since.set(Some(Instant::now()));
        }
    }
}
